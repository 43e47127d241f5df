"""Runners of a service in subsets, each of which one host schedules.

Hundreds of hosts cannot tell each other every place that they take: the
messages grow with the square of the hosts, and what is told less often is
outdated when it arrives. So the runners of a service are divided into subsets
of a few runners, and for each subset one live host, its coordinator, grants
the places and orders what waits (``hosts.coordinator``). Every host computes
subsets and coordinators alone, from the runners and the hosts that it knows.

Views that differ for a moment let two coordinators grant places of the same
runner; it then queues some requests, and nothing else happens.
"""

import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Subset', 'list_subsets', 'select_runners']

# Runners in a subset: few enough for one host to schedule, enough to even out
# fast and slow runners.
SUBSET_RUNNERS = 8


class Subset(ty.NamedTuple):
    """Some runners of a service."""

    service: ids.Pool
    # Place among the subsets of the service, and how many there are.
    place: int
    total: int

    def find_name(self) -> str:
        """Return the name by which its coordinator is chosen.

        Without the number of subsets: one more moves few of the others.
        """
        return f'{self.service}/{self.place}'


def list_subsets(service: ids.Pool, runners: int) -> list[Subset]:
    """Return the subsets of a service with so many runners."""
    if runners == 0:
        return []
    total = max(1, round(runners / SUBSET_RUNNERS))
    return [Subset(service, place, total) for place in range(total)]


def select_runners(
    subset: Subset, entries: list[dialect.RunnerEntry]
) -> list[dialect.RunnerEntry]:
    """Return the runners of a subset, out of those of its service."""
    # By the registered id: a runner that starts again stays in its subset.
    order = sorted(
        entries, key=lambda entry: _rate(ids.parse_runner(entry.start))
    )
    return [
        entry
        for number, entry in enumerate(order)
        if number * subset.total // len(order) == subset.place
    ]


def _rate(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
