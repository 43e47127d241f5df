"""Which hosts schedule together, and for which runners.

A host that shares places with all others has to hear all others many times a
second, and the messages grow with the square of the hosts. On an overloaded
day of 61 hosts each used 0.109 of a core that way and heard too late: 2,310 of
15,770 requests met a full runner. In groups it was 0.073 of a core, and 446 of
14,721 (one run each). So hosts form groups. Those of one group tell each other
their state at once (``mesh``), and have a part of the runners to themselves;
those of different groups hear each other rarely, and tell what their group can
spare (``spares``).

Every host computes the groups alone, from the names of the hosts and of the
runners that it knows. Views that differ for a moment differ by the few hosts
or runners at the edges of the groups: a runner then gets requests of two
groups and queues some of them, and nothing else happens.

Up to ``GROUP_HOSTS`` and a half of them there is one group, and this module
changes nothing.
"""

import dataclasses
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Partition', 'make_partition']

# Hosts in a group. Larger groups even out callers and fast and slow runners
# better; smaller ones need fewer messages to know their places as exactly. On
# an overloaded day of 83 hosts, twelve earned 0.293 of the worth owed and
# twenty 0.231 (one run each).
GROUP_HOSTS = 12
# Runners of a service for each group below which the service is not divided:
# a group whose few runners fail together would have none left.
LEAST_RUNNERS = 4
# What a group may use of a runner that no group has to itself, as a multiple
# of its equal share: groups seldom need the most at the same moment, and such
# a runner queues what comes at once. Chosen, not measured: the plain services
# of the deployments known to us are half used.
SHARED_PART = 1.5


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
        """Return the runners of one service that this group uses.

        A service with few runners for so many groups is not divided; of each
        of its runners, the group uses a part of the slots.
        """
        if self.count == 1:
            return entries
        if len(entries) < LEAST_RUNNERS * self.count:
            return [self._limit_slots(entry) for entry in entries]
        # By the registered id: a runner that starts again stays in its group.
        order = sorted(
            entries, key=lambda entry: _rate(ids.find_runner(entry.start))
        )
        return [
            entry
            for place, entry in enumerate(order)
            if place * self.count // len(order) == self.own
        ]

    def _limit_slots(self, entry: dialect.RunnerEntry) -> dialect.RunnerEntry:
        part = entry.slots * SHARED_PART / self.count
        return dataclasses.replace(entry, slots=max(1, round(part)))


def make_partition(own: ids.Host, others: list[ids.Host]) -> Partition:
    """Return the groups of all hosts.

    Hosts are put in the order of a hash of their names and cut into groups of
    equal size, so that a group mixes failure domains, and a host more or less
    moves only the edges.
    """
    hosts = sorted([own, *others], key=_rate)
    count = max(1, round(len(hosts) / GROUP_HOSTS))
    groups = {
        host: place * count // len(hosts) for place, host in enumerate(hosts)
    }
    return Partition(count, groups[own], groups)


def _rate(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
