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

# Seconds after the start of a process in which it hands out nothing as long
# as it has not read who else there is: hosts that start together would each
# take themselves for the only one. The list is read within 0.2 s of the start;
# after this long, without the store, seeds and hints have named the others:
# they come twice a second.
UNLISTED_TIME = 1.0
# Seconds after the start of a process, and beside them one turn of all far
# hosts, in which its group has no more than an equal part. What is asked for
# is averaged over two seconds: until all are heard with their own averages,
# each of the groups that start together takes the others for idle. Played
# without a network, groups of forty hosts used 1.2 to 1.9 allowances between
# them for three seconds, and now one.
UNSETTLED_TIME = 3.0


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

    def __init__(
        self, buckets: quotas.Quotas, others: mesh.Mesh, now: float
    ) -> None:
        """Tie this host's buckets to what other hosts say."""
        self.buckets = buckets
        self._others = others
        self._started_at = now
        self._is_listed = False
        self._group_uses = groupuses.GroupUses()

    # Requests of this host.

    def find_shares(
        self, organisation: catalogue.Organisation, now: float
    ) -> Shares:
        """Return which part of an allowance may be used here."""
        is_new = now - self._started_at < UNLISTED_TIME
        silent = self._others.find_unheard_share()
        if is_new and not self._is_listed:
            silent = 1.0
        return Shares(silent, self._find_group_part(organisation, now))

    def note_listed(self) -> None:
        """Say that the other hosts were read from the store's list."""
        self._is_listed = True

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
        part = self._group_uses.find_part(organisation, asked, count)
        settled_at = (
            self._started_at + UNSETTLED_TIME + self._others.find_turn()
        )
        return min(part, 1 / count) if now < settled_at else part
