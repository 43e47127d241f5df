"""What hosts tell each other of organisations' allowances.

Ties the buckets of this host (``quotas``) to what the other hosts say
(``mesh``): near hosts state what they handed out, and it is taken out of the
buckets here; of other groups only the units asked for count, by which an
allowance is divided (``groupuses``). A request's way asks this module alone.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import groupuses
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages

__all__ = ['Allowances', 'Shares']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Which part of an allowance is for this host and its near peers."""

    # Share of the group's hosts that are not heard, and so not counted on.
    silent: float
    # Part of the allowance that is for this host's group.
    group_part: float


@ty.final
class Allowances:
    """The allowances of all organisations, shared with the other hosts."""

    def __init__(self, buckets: quotas.Quotas, others: mesh.Mesh) -> None:
        """Tie this host's buckets to what other hosts say."""
        self.buckets = buckets
        self._others = others
        self._group_uses = groupuses.GroupUses()

    # Requests of this host.

    def find_shares(
        self, organisation: catalogue.Organisation, now: float
    ) -> Shares:
        """Return which part of an allowance may be used here."""
        return Shares(
            silent=self._others.find_silent_share(),
            group_part=self._find_group_part(organisation, now),
        )

    def take(
        self,
        organisation: catalogue.Organisation,
        cost: float,
        shares: Shares,
        now: float,
    ) -> float | None:
        """Hand out units, or return seconds until there are enough."""
        return self.buckets.take(
            organisation, cost, shares.silent, now, shares.group_part
        )

    # What hosts tell.

    def sum_group_asked(self, asked: quotas.Usage) -> quotas.Usage:
        """Return the units asked for a second in this host's group."""
        total = collections.Counter(asked)
        for peer in self._others.list_near():
            total.update(peer.asked)
        return dict(total)

    def hear(self, state: messages.HostState, now: float) -> None:
        """Take what another host handed out, or what its group asks."""
        if self._others.partition.is_near(state.host):
            self.buckets.hear(state.incarnation, state.usage, now)
            return
        self.buckets.skip(state.incarnation, state.usage)
        group = self._others.partition.find_group(state.host)
        self._group_uses.hear(group, state.group_asked)

    def forget(self, process: ids.Incarnation) -> None:
        """Drop what is kept about a process that has ended."""
        self.buckets.forget(process)

    def _find_group_part(
        self, organisation: catalogue.Organisation, now: float
    ) -> float:
        count = self._others.partition.count
        if count == 1:
            return 1.0
        name = organisation.name
        asked = self.buckets.find_asked(name, now) + sum(
            peer.asked.get(name, 0.0) for peer in self._others.list_near()
        )
        return self._group_uses.find_part(organisation, asked, count)
