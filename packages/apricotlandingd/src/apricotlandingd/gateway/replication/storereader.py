"""Following one topic at the platform's store, by a long poll."""

import collections.abc
import random
import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import records

__all__ = ['StoreReader']

# Seconds before the next try after a failed read, and their limit.
FIRST_RETRY = 0.1
LAST_RETRY = 1.0
# Seconds between two reads of which the first brought records. Records come in
# series (a storm of versions, a release of runners): in this time one call
# gathers several, and it is short against the bounds for both topics, 2 s and
# more.
BATCH_PAUSE = 0.1


@ty.final
class StoreReader:
    """Follows one topic at the platform's store."""

    def __init__(
        self,
        topic: dialect.Topic,
        store: dialect.Store,
        board: records.Board,
        may_read: collections.abc.Callable[[], bool],
        on_outage: collections.abc.Callable[[float], None],
        spread: random.Random,
    ) -> None:
        """Prepare; ``may_read`` says whether this host reads the store."""
        self._topic = topic
        self._store = store
        self._board = board
        self._may_read = may_read
        self._on_outage = on_outage
        self._spread = spread
        # When the store answered last; None before the first answer.
        self.heard_at: float | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Read for as long as the daemon runs."""
        delay = FIRST_RETRY
        while True:
            if not self._may_read():
                await anyio.sleep(FIRST_RETRY)
                continue
            try:
                await self._read()
            except dialect.StoreUnavailable as error:
                now = clocks.read_monotonic()
                self._note_lost(str(error), now)
                await anyio.sleep(delay * self._spread.uniform(0.7, 1.3))
                delay = min(LAST_RETRY, delay * 2)
                continue
            delay = FIRST_RETRY
            self._note_heard(clocks.read_monotonic())

    async def _read(self) -> None:
        position = self._board.positions[self._topic]
        if position == 0:
            await self._read_whole()
            return
        try:
            batch = await self._store.read_from(self._topic, position)
        except dialect.HistoryGone:
            eliot.log_message(
                'gateway:history_gone', topic=self._topic, offset=position
            )
            await self._read_whole()
            return
        await self._take(batch)

    async def _read_whole(self) -> None:
        batch = await self._store.read_newest(self._topic)
        self._board.apply(self._topic, batch, is_whole=True)
        if batch.next_offset == 0:
            # Nothing was ever written: wait for the first record. Hosts that
            # asked ten times a second made nearly a third of a quiet day's
            # calls.
            await self._take(await self._store.read_from(self._topic, 0))

    async def _take(self, batch: dialect.Batch) -> None:
        self._board.apply(self._topic, batch, is_whole=False)
        if batch.records:
            await anyio.sleep(BATCH_PAUSE)

    def _note_lost(self, detail: str, now: float) -> None:
        self._on_outage(now)
        if self._is_lost:
            return
        self._is_lost = True
        eliot.log_message(
            'gateway:store_lost', topic=self._topic, detail=detail
        )

    def _note_heard(self, now: float) -> None:
        self.heard_at = now
        if not self._is_lost:
            return
        self._is_lost = False
        self._on_outage(now)
        eliot.log_message('gateway:store_regained', topic=self._topic)
