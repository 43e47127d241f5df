"""Following one topic at the platform's store.

Reads wait at the store until a record comes (a long poll). What shows that
such a read is lost, and what is done then, is told in ``timing``: when no host
of the group was answered for too long, this host in its turn gives up its
read and asks without a wait (a probe), again and again, until the store
answers it or a peer. Probes overlap: one that was swallowed does not keep the
next one waiting, and a slow store has time to answer each of them.
"""

import collections.abc
import random
import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import timing

__all__ = ['StoreReader']

# Seconds before the next try after a failed read, and their limit.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Seconds between looks of a host that does not read whether it is to.
IDLE_POLL_INTERVAL_S = 0.1
# Least seconds between looks whether the store must be asked anew.
MIN_DUE_CHECK_INTERVAL_S = 0.02
# Seconds between two reads of which the first brought records. Records come in
# series (a storm of versions, a release of runners): in this time one call
# gathers several, and it is short against the bounds for both topics, 2 s and
# more.
BATCH_PAUSE_S = 0.1


@ty.final
class StoreReader:
    """Follows one topic at the platform's store."""

    def __init__(
        self,
        topic: dialect.Topic,
        store: dialect.Store,
        replica: records.Replica,
        fresh: freshness.Freshness,
        find_readers: collections.abc.Callable[[], freshness.Readers],
        on_outage: collections.abc.Callable[[float], None],
        on_return: collections.abc.Callable[[float], None],
        on_answer: collections.abc.Callable[[], None],
        probe_lock: anyio.Lock,
        rng: random.Random,
    ) -> None:
        """Prepare.

        ``on_outage`` is called when the store does not serve this host, and
        when it does again; ``on_return`` when it had served no host;
        ``on_answer`` when it has answered. The topics of one host share
        ``probe_lock``.
        """
        self._topic = topic
        self._store = store
        self._replica = replica
        self._fresh = fresh
        self._find_readers = find_readers
        self._on_outage = on_outage
        self._on_return = on_return
        self._on_answer = on_answer
        self._probe_lock = probe_lock
        self._rng = rng
        # When the store answered last; None before the first answer.
        self.last_answer_at: float | None = None
        self._is_lost = False
        # A probe failed: the store serves no host of the group.
        self._is_outage = False
        # The store has no record of the topic.
        self._is_empty = False
        # The last answer had records, and ended the reads of other hosts too.
        self._had_records = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def run(self) -> None:
        """Read for as long as the daemon runs."""
        while True:
            readers = self._find_readers()
            if self._is_due(readers):
                await self._probe()
            elif readers.is_reading:
                await self._follow(readers)
            else:
                await anyio.sleep(IDLE_POLL_INTERVAL_S)

    # Waiting for records.

    async def _follow(self, readers: freshness.Readers) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_due, group.cancel_scope)
            await self._long_poll(self._find_wait(readers))
            group.cancel_scope.cancel()

    async def _long_poll(self, wait_s: float) -> None:
        started_at = clocks.read_monotonic()
        position = self._replica.positions[self._topic]
        try:
            await self._read(wait_s)
        except dialect.StoreUnavailable as error:
            self._handle_failure(str(error), clocks.read_monotonic())
            await anyio.sleep(
                self._retry_delay_s * self._rng.uniform(0.7, 1.3)
            )
            self._retry_delay_s = min(
                MAX_RETRY_DELAY_S, self._retry_delay_s * 2
            )
            return
        self._handle_answer(clocks.read_monotonic())
        if self._had_records:
            await anyio.sleep(BATCH_PAUSE_S)
            return
        if self._replica.positions[self._topic] != position:
            return
        # A read that brings nothing has waited at the store. If it has not,
        # the offsets there make no sense to us (the end lies before what was
        # read, or the newest records before the first that is kept), and
        # asking again at once would use up the calls of all hosts.
        passed = clocks.read_monotonic() - started_at
        await anyio.sleep(max(0.0, BATCH_PAUSE_S - passed))

    def _find_wait(self, readers: freshness.Readers) -> float:
        limits = self._fresh.timing[self._topic]
        if self._had_records:
            return timing.find_staggered_wait(
                limits, readers.index, readers.count
            )
        return timing.find_read_wait(limits, readers.count)

    async def _watch_due(self, scope: anyio.CancelScope) -> None:
        while True:
            now = clocks.read_monotonic()
            due = self._fresh.find_due(self._topic, now, self._find_readers())
            if due <= now:
                scope.cancel()
                return
            await anyio.sleep(max(MIN_DUE_CHECK_INTERVAL_S, due - now))

    # Asking anew.

    def _is_due(self, readers: freshness.Readers) -> bool:
        now = clocks.read_monotonic()
        return self._fresh.find_due(self._topic, now, readers) <= now

    async def _probe(self) -> None:
        self._is_outage = False
        async with anyio.create_task_group() as group:
            while True:
                # A store that is out answers on no topic: they take turns,
                # with half the calls, and the second one follows at once
                # when the first is answered.
                async with self._probe_lock:
                    if not self._is_due(self._find_readers()):
                        break
                    group.start_soon(self._send_probe, group.cancel_scope)
                    await anyio.sleep(self._find_probe_interval())
            # The store answered a peer.
            group.cancel_scope.cancel()
        if self._is_outage:
            # Registrations that lapsed in the outage come back from now on.
            self._on_return(clocks.read_monotonic())

    def _find_probe_interval(self) -> float:
        limits = self._fresh.timing[self._topic]
        gap = timing.find_probe_interval(
            limits, self._fresh.count_group_hosts()
        )
        return gap * self._rng.uniform(0.8, 1.2)

    async def _send_probe(self, scope: anyio.CancelScope) -> None:
        try:
            await self._read(0.0)
        except dialect.StoreUnavailable as error:
            self._is_outage = True
            self._handle_failure(str(error), clocks.read_monotonic())
            return
        self._handle_answer(clocks.read_monotonic())
        scope.cancel()

    # One read.

    async def _read(self, wait_s: float) -> None:
        position = self._replica.positions[self._topic]
        if position == 0 and not self._is_empty:
            await self._read_snapshot()
            return
        started_at = clocks.read_monotonic()
        try:
            batch = await self._store.read_from(self._topic, position, wait_s)
        except dialect.HistoryGone:
            eliot.log_message(
                'gateway:history_gone', topic=self._topic, offset=position
            )
            await self._read_snapshot()
            return
        self._had_records = bool(batch.records or batch.corrupt_records)
        self._replica.apply(self._topic, batch, is_snapshot=False)
        answered_at = clocks.read_monotonic()
        if not self._had_records:
            # The answer may have been under way for a while.
            answered_at = min(answered_at, started_at + wait_s)
        self._fresh.record_answer(self._topic, answered_at)

    async def _read_snapshot(self) -> None:
        started_at = clocks.read_monotonic()
        batch = await self._store.read_snapshot(self._topic)
        self._had_records = bool(batch.records or batch.corrupt_records)
        self._replica.apply(self._topic, batch, is_snapshot=True)
        # A topic without any record is waited on from its start. Hosts that
        # asked for all of it ten times a second made nearly a third of a
        # quiet day's calls.
        self._is_empty = batch.next_offset == 0
        self._fresh.record_answer(self._topic, started_at)

    # Outages.

    def _handle_failure(self, detail: str, now: float) -> None:
        self._on_outage(now)
        if self._is_lost:
            return
        self._is_lost = True
        eliot.log_message(
            'gateway:store_lost', topic=self._topic, detail=detail
        )

    def _handle_answer(self, now: float) -> None:
        self.last_answer_at = now
        self._on_answer()
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        if not self._is_lost:
            return
        self._is_lost = False
        self._on_outage(now)
        eliot.log_message('gateway:store_regained', topic=self._topic)
