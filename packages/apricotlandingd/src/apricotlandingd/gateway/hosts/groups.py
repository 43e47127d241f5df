"""Which hosts hear each other at once.

A host that tells all others each change sends messages with the square of the
hosts. So hosts form groups. Those of one group tell each other their state at
once (``mesh``); those of different groups hear each other rarely. What all
hosts share, the places at runners, is granted by coordinators instead
(``coordinator``).

Every host computes the groups alone, from the names of the hosts that it
knows. Views that differ for a moment differ by the few hosts at the edges.

Up to ``GROUP_TARGET_HOSTS`` and a half of them there is one group, and this module
changes nothing.
"""

import dataclasses
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Partition', 'make_partition']

# Hosts in a group: each hears all others of its group several times a second.
GROUP_TARGET_HOSTS = 12
# What a group may use of a runner without a coordinator, as a multiple of its
# equal share: groups seldom need the most at the same moment.
GROUP_SHARE_RATIO = 1.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """The groups, as one host sees them."""

    # Groups in all, and the one that this host is in.
    count: int = 1
    own: int = 0
    # Group of each known host.
    groups: dict[ids.Host, int] = dataclasses.field(default_factory=dict)

    def is_near(self, host: ids.Host) -> bool:
        """Tell whether a host is in this host's group."""
        return self.groups.get(host, self.own) == self.own

    def find_group(self, host: ids.Host) -> int:
        """Return the group of a host."""
        return self.groups.get(host, self.own)

    def select_runners(
        self, entries: list[dialect.RunnerEntry]
    ) -> list[dialect.RunnerEntry]:
        """Return the runners of one service, with the slots to be used.

        Beside other groups, a host that schedules by itself uses its group's
        share of each runner.
        """
        if self.count == 1:
            return entries
        return [self._limit_slots(entry) for entry in entries]

    def _limit_slots(self, entry: dialect.RunnerEntry) -> dialect.RunnerEntry:
        part = entry.slots * GROUP_SHARE_RATIO / self.count
        return dataclasses.replace(entry, slots=max(1, round(part)))


def make_partition(own: ids.Host, others: list[ids.Host]) -> Partition:
    """Return the groups of all hosts.

    Hosts are put in the order of a hash of their names and cut into groups of
    equal size, so that a group mixes failure domains, and a host more or less
    moves only the edges.
    """
    hosts = sorted([own, *others], key=_hash_name)
    count = max(1, round(len(hosts) / GROUP_TARGET_HOSTS))
    groups = {
        host: place * count // len(hosts) for place, host in enumerate(hosts)
    }
    return Partition(count, groups[own], groups)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
