"""Places that other groups of hosts can spare.

Groups have runners to themselves, but neither callers nor fast and slow
runners spread evenly over them: by chance one group is full while the next has
places free. So a host tells hosts of other groups where its group has places
to spare, and one whose group is full sends there instead of letting a request
wait.

Played without a network (tests/groupload.py: five groups, 55 runners, uneven
callers), at 0.9 of what the runners can do: 2.2% refused and 0.194 s of wait
without this, none and 0.003 s with it; with one group's runners gone at 0.6,
20% refused without it and none with it.

What is told is some tenths of a second old, and the owners of the runner learn
of the request only by the load that the runner states. Hence only runners with
several free places count, and few of them are used: a runner that is filled
all the same queues one request for a moment.
"""

import typing as ty

from apricotlanding import ids

__all__ = ['Spares']

# Free places of a runner that stay with its group: on an overloaded day of 61
# hosts a runner got six requests a second (15,770 at 77 runners in 34 s), two
# in the third of a second that the news is old.
LEFT_PLACES = 2
# Seconds for which the news is used. Each group is heard some three times a
# second, so it is replaced before.
NEWS_TIME = 0.6


@ty.final
class Spares:
    """What other groups can spare, as this host heard last."""

    def __init__(self) -> None:
        """Start without any news."""
        # By group: when it was heard, and the places that may be used.
        self._news: dict[int, tuple[float, dict[ids.RunnerStart, int]]] = {}

    def hear(
        self, group: int, spare: dict[ids.RunnerStart, int], now: float
    ) -> None:
        """Take what a host of another group says of its group."""
        usable = {
            runner: count - LEFT_PLACES
            for runner, count in spare.items()
            if count > LEFT_PLACES
        }
        self._news[group] = (now, usable)

    def list_runners(self, now: float) -> dict[ids.RunnerStart, int]:
        """Return the runners that may be used, with their places."""
        found: dict[ids.RunnerStart, int] = {}
        for heard_at, places in self._news.values():
            if now - heard_at < NEWS_TIME:
                found.update(places)
        return found

    def take(self, runner: ids.RunnerStart) -> None:
        """Use one place."""
        for _, places in self._news.values():
            if runner not in places:
                continue
            places[runner] -= 1
            if places[runner] <= 0:
                del places[runner]
