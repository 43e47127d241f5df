"""Appends long-lived state to the log again before retention removes it.

The log keeps records for a limited time. A daemon that starts later must
still learn the bundle in force and the owners of shards, so one daemon
appends both again well before the retention ends. This is the live host that
ranks first. The others do it one after the other, in the order of their rank,
if they do not see the restatement.
"""

import typing as ty

import anyio

from apricotlanding import clocks
from apricotlanding import ids
from apricotlanding import records
from apricotlandingd.configuration import bundlestore
from apricotlandingd.configuration import logfollower
from apricotlandingd.ownership import shardview
from apricotlandingd.peering import peers

__all__ = ['Restater']

# Restatements in a retention period.
_RESTATEMENTS_PER_RETENTION = 4.0
# Additional delay of each further rank, as a share of the interval.
_RANK_DELAY_RATIO = 0.05


@ty.final
class Restater:
    """Appends restatements unless another daemon does."""

    def __init__(
        self,
        retention_s: float,
        follower: logfollower.LogFollower,
        view: shardview.ShardView,
        store: bundlestore.BundleStore,
        others: peers.Peers,
    ) -> None:
        """Create; ``retention_s`` is the retention period of the log."""
        self._interval_s = retention_s / _RESTATEMENTS_PER_RETENTION
        self._follower = follower
        self._view = view
        self._store = store
        self._peers = others
        self._restated_at = clocks.read_monotonic()

    def begin(self, first: ids.Offset) -> None:
        """Do nothing; only the other observers keep state of the log."""

    def observe(
        self, offset: ids.Offset, envelope: records.Envelope, now: float
    ) -> None:
        """Record the time of each restatement."""
        if isinstance(envelope.body, records.OwnersRestated):
            self._restated_at = now

    async def run(self) -> None:
        """Append restatements when they are due, until cancelled."""
        while True:
            await anyio.sleep(self._interval_s / 10.0)
            if self.is_due(clocks.read_monotonic()):
                await self._restate()

    def is_due(self, now: float) -> bool:
        """Tell whether this daemon must append a restatement now."""
        if self._view.is_partial or self._store.record is None:
            return False
        order = peers.rank_hosts('restate', self._peers.list_live())
        rank = order.index(self._peers.host)
        delay_s = self._interval_s * (1.0 + rank * _RANK_DELAY_RATIO)
        return now >= self._restated_at + delay_s

    async def _restate(self) -> None:
        as_of = self._follower.next
        record = self._store.record
        assert record is not None
        await self._follower.append(records.BundleRestated(as_of, record))
        as_of = self._follower.next
        await self._follower.append(
            records.OwnersRestated(as_of, self._view.describe())
        )
