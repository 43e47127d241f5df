"""Division of a service's runners into subsets with one coordinator each.

Hundreds of hosts cannot notify each other of every slot that they take: the
number of messages grows with the square of the number of hosts, and with fewer
messages the information is outdated on arrival. So the runners of a service
are divided into small subsets. For each subset one live host, its coordinator,
grants the slots and orders the waiting requests (``hosts.coordinator``). Every
host computes subsets and coordinators locally, from the runners and hosts that
it knows.

Where capacity is contended, a runner's subset depends on its own id alone and
not on which others are there. Otherwise each runner that comes or goes moves
others to a coordinator that does not know their places. The subsets are less
equal in size then.

While the views of two hosts differ, two coordinators may grant slots of the
same runner. The runner then queues some requests; there is no other effect.
"""

import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Subset', 'is_current', 'list_subsets', 'select_runners']

# Few enough for one host to schedule, and enough to balance fast and slow
# runners.
TARGET_SUBSET_RUNNERS = 8
HASH_BITS = 64
# Mean size above which there are more subsets of a contended service, and how
# many times as many. A change of their number moves most runners, so it is to
# be rare when a part of the runners is lost or replaced.
MAX_SUBSET_RUNNERS = 16
STABLE_TOTAL_FACTOR = 8


class Subset(ty.NamedTuple):
    """One subset of the runners of a service."""

    service: ids.Pool
    # Position among the subsets of the service, and the number of subsets.
    number: int
    total: int
    # Runners are assigned by a hash of their ids alone.
    is_by_hash: bool = False

    def find_name(self) -> str:
        """Return the name from which the coordinator is computed.

        It leaves out the number of subsets, so that adding one subset moves
        few of the others.
        """
        return f'{self.service}/{self.number}'


def list_subsets(
    service: ids.Pool, runners: int, is_by_hash: bool = False
) -> list[Subset]:
    """Return the subsets of a service with ``runners`` runners."""
    if runners == 0:
        return []
    total = max(1, round(runners / TARGET_SUBSET_RUNNERS))
    if is_by_hash:
        total = _find_stable_total(runners)
    return [
        Subset(service, number, total, is_by_hash) for number in range(total)
    ]


def is_current(subset: Subset, runners: int) -> bool:
    """Tell whether a subset is one of a contended service's subsets now.

    ``runners`` is the number of the service's runners. A service without any
    keeps its subsets.
    """
    if not subset.is_by_hash or not runners:
        return True
    return subset.total == _find_stable_total(runners)


def select_runners(
    subset: Subset, entries: list[dialect.RunnerEntry]
) -> list[dialect.RunnerEntry]:
    """Return the entries of a service that belong to the subset."""
    if subset.is_by_hash:
        return [
            entry
            for entry in entries
            if _find_number(entry.start, subset.total) == subset.number
        ]
    # By the registered id, so that a restarted runner stays in its subset.
    order = sorted(
        entries, key=lambda entry: _hash_name(ids.parse_runner(entry.start))
    )
    return [
        entry
        for position, entry in enumerate(order)
        if position * subset.total // len(order) == subset.number
    ]


def _find_stable_total(runners: int) -> int:
    total = 1
    while runners > total * MAX_SUBSET_RUNNERS:
        total *= STABLE_TOTAL_FACTOR
    return total


def _find_number(start: ids.RunnerStart, total: int) -> int:
    return _hash_name(ids.parse_runner(start)) * total >> HASH_BITS


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
