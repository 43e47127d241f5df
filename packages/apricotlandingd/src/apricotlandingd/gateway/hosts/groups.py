"""Groups of hosts that send each other every change.

If each host sent each change to all others, the messages would grow with the
square of the hosts. So hosts form groups. Those of one group send each other
their state at once (``mesh``); those of different groups rarely send to each
other. Places at runners, which all hosts share, are granted by coordinators
instead (``coordinator``).

Each host computes the groups alone, from the names of the hosts that it knows.
Views that differ for a moment differ by the few hosts at the edges of groups.

Up to one and a half times ``GROUP_TARGET_HOSTS`` there is one group, and this
module changes nothing.
"""

import dataclasses
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Partition', 'make_partition']

# Hosts in a group, about: each hears all others of its group several times a
# second.
GROUP_TARGET_HOSTS = 12
# Slots of a runner that a group may use without a coordinator, as a multiple
# of its equal share: groups seldom reach their peaks at the same moment.
GROUP_SHARE_RATIO = 1.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """The groups, as one host sees them."""

    # Number of groups, and the index of this host's group.
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

        With several groups, a host that schedules locally uses its group's
        share of each runner.
        """
        if self.count == 1:
            return entries
        return [self._limit_slots(entry) for entry in entries]

    def _limit_slots(self, entry: dialect.RunnerEntry) -> dialect.RunnerEntry:
        slots = entry.slots * GROUP_SHARE_RATIO / self.count
        return dataclasses.replace(entry, slots=max(1, round(slots)))


def make_partition(own: ids.Host, others: list[ids.Host]) -> Partition:
    """Return the groups of all hosts.

    Hosts are sorted by a hash of their names and cut into groups of equal
    size, so that a group mixes failure domains, and a host that joins or
    leaves moves only hosts at the edges of groups.
    """
    hosts = sorted([own, *others], key=_hash_name)
    count = max(1, round(len(hosts) / GROUP_TARGET_HOSTS))
    groups = {
        host: position * count // len(hosts)
        for position, host in enumerate(hosts)
    }
    return Partition(count, groups[own], groups)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
