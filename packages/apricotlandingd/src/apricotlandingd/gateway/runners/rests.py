"""Runners that ask this host for rest.

A runner that turns a request away may say for how many seconds it wants
nothing from the host that sent it. That concerns no other host, and holds to
its end, whatever the runner's later answers say.
"""

import dataclasses
import typing as ty

import eliot

from apricotlanding import ids

__all__ = ['Rest', 'Rests']

# Most runners whose rests are kept; the oldest ones are dropped first.
MAX_RESTS: ty.Final = 4000
# Requests that were under way are turned away too. What they add to a rest is
# logged from this many seconds on.
MIN_LOGGED_EXTENSION_S = 0.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """A rest that a runner asked for; times are monotonic."""

    asked_at: float
    ends_at: float


@ty.final
class Rests:
    """The rest that each start of a runner asked this host for."""

    def __init__(self) -> None:
        """Start without rests."""
        self._rests: dict[ids.RunnerStart, Rest] = {}

    def note(self, start: ids.RunnerStart, rest_s: float, now: float) -> None:
        """Apply an answer that asks for rest; it never ends one earlier."""
        known = self.find(start, now)
        ends_at = now + rest_s
        before = now if known is None else known.ends_at
        if ends_at <= before:
            return
        self._rests.pop(start, None)
        if len(self._rests) >= MAX_RESTS:
            del self._rests[next(iter(self._rests))]
        self._rests[start] = Rest(now, ends_at)
        if known is not None and ends_at - before < MIN_LOGGED_EXTENSION_S:
            return
        eliot.log_message(
            'gateway:runner_rest',
            runner=ids.parse_runner(start),
            rest_s=round(rest_s, 3),
            left_before_s=round(before - now, 3),
        )

    def find(self, start: ids.RunnerStart, now: float) -> Rest | None:
        """Return the rest that a runner has now; None if it has none."""
        rest = self._rests.get(start)
        if rest is None or rest.ends_at <= now:
            return None
        return rest

    def has_any(self) -> bool:
        """Tell whether a runner may rest; a cheap check before others."""
        return bool(self._rests)

    def count(self, now: float) -> int:
        """Return the number of runners that rest."""
        return sum(rest.ends_at > now for rest in self._rests.values())

    def expire(self, now: float) -> None:
        """Forget the rests that have ended."""
        for start, rest in list(self._rests.items()):
            if rest.ends_at <= now:
                del self._rests[start]
