"""Reads the platform's log in order, and appends records to it reliably.

Every observer receives every valid record once, in the order of the offsets.

``append`` returns only when the result is certain: the offset of the record,
or None if the record is void. An append whose reply was lost may take effect
at any later time, so the sender appends a ``Mark`` with the next sequence
number and reads on. Once any of its records with a higher number has been
read, the uncertain record either was read before or is void for all readers.

A daemon that reads back its own record also knows that it has read the log up
to its end as of the time when the record was *sent*: ``confirmed_at``. A read
alone does not show this, because reads are not guaranteed to be fresh.
"""

import collections.abc
import dataclasses
import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import platformlog
from apricotlanding import records

__all__ = ['LogFollower', 'Observer']

# Delay before a mark is appended to settle an uncertain append.
SETTLE_INTERVAL_S = 0.5
_INITIAL_DELAY_S = 0.05
_MAX_DELAY_S = 1.0


class Observer(ty.Protocol):
    """A receiver of the records of the log."""

    def begin(self, first: ids.Offset) -> None:
        """Restart: the records before ``first`` are not available."""

    def observe(
        self, offset: ids.Offset, envelope: records.Envelope, now: float
    ) -> None:
        """Process the next record."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingAppend:
    sequence: int
    sent_at: float
    is_settled: anyio.Event
    offset: ids.Offset | None = None


@ty.final
class LogFollower:
    """The reader and writer of the log in a daemon."""

    def __init__(
        self, log: platformlog.PlatformLog, incarnation: ids.Incarnation
    ) -> None:
        """Create a follower that reads from offset 0."""
        self._log = log
        self._incarnation = incarnation
        self._observers: list[Observer] = []
        self._highest: dict[ids.Incarnation, int] = {}
        self._sequence = 0
        self._lock = anyio.Lock()
        self._pending: list[_PendingAppend] = []
        self.next = ids.Offset(0)
        # Time at which the latest own record that was read back was sent.
        self.confirmed_at: float | None = None
        # Time of the latest answer to a read.
        self.read_at: float | None = None
        # Set once the log has been read to its end.
        self.has_caught_up = anyio.Event()
        self.changed = anyio.Event()

    def add_observer(self, observer: Observer) -> None:
        """Pass all further records to an observer."""
        self._observers.append(observer)

    async def follow(self) -> None:
        """Read the log until cancelled."""
        delay = _INITIAL_DELAY_S
        while True:
            try:
                batch = await self._log.read(self.next)
            except platformlog.LogUnreachable:
                await anyio.sleep(delay)
                delay = min(2 * delay, _MAX_DELAY_S)
                continue
            delay = _INITIAL_DELAY_S
            self.apply_batch(batch, clocks.read_monotonic())

    async def append(self, body: object) -> ids.Offset | None:
        """Append a record; return its offset, or None if it is void.

        Waits until the result is certain; during an outage of the log this
        is until the outage ends.
        """
        async with self._lock:
            pending = await self._send(body)
            while True:
                with anyio.move_on_after(SETTLE_INTERVAL_S):
                    await pending.is_settled.wait()
                if pending.is_settled.is_set():
                    return pending.offset
                await self._send(records.Mark())

    async def confirm(self) -> None:
        """Confirm with a mark that the log has been read to its end."""
        await self.append(records.Mark())

    async def _send(self, body: object) -> _PendingAppend:
        self._sequence += 1
        envelope = records.Envelope(self._incarnation, self._sequence, body)
        pending = _PendingAppend(
            self._sequence, clocks.read_monotonic(), anyio.Event()
        )
        self._pending.append(pending)
        try:
            await self._log.append(envelope.encode())
        except platformlog.LogUnreachable:
            # Nothing was sent, but the sequence number is used: only reading
            # a later one settles the append, at no extra cost.
            await anyio.sleep(SETTLE_INTERVAL_S)
        except platformlog.LogDoubt:
            eliot.log_message('log:doubt', sequence=pending.sequence)
            await anyio.sleep(_INITIAL_DELAY_S)
        return pending

    def apply_batch(self, batch: platformlog.LogBatch, now: float) -> None:
        """Pass a batch of records to the observers."""
        self.read_at = now
        if batch.first > self.next:
            # Retention removed records before they were read: the known
            # owners may be outdated, so the observers restart.
            eliot.log_message('log:gap', next=self.next, first=batch.first)
            for observer in self._observers:
                observer.begin(batch.first)
        for offset, data in batch.records:
            self._apply_record(offset, data, now)
        self.next = max(self.next, batch.next)
        if batch.is_end:
            self.has_caught_up.set()
        if batch.records:
            changed, self.changed = self.changed, anyio.Event()
            changed.set()

    def _apply_record(
        self, offset: ids.Offset, data: bytes, now: float
    ) -> None:
        try:
            envelope = records.decode_envelope(data)
        except errors.Refused as error:
            # A malformed record must not stop all daemons permanently.
            eliot.log_message(
                'log:unreadable', offset=offset, problem=str(error)
            )
            return
        highest = self._highest.get(envelope.sender, 0)
        if envelope.sequence <= highest:
            # A record of this sender with a higher number came before, so
            # this one is void.
            return
        self._highest[envelope.sender] = envelope.sequence
        for observer in self._observers:
            observer.observe(offset, envelope, now)
        if envelope.sender == self._incarnation:
            self._settle(offset, envelope.sequence)

    def _settle(self, offset: ids.Offset, sequence: int) -> None:
        still_pending: list[_PendingAppend] = []
        for pending in self._pending:
            if pending.sequence > sequence:
                still_pending.append(pending)
                continue
            if pending.sequence == sequence:
                pending.offset = offset
                self.confirmed_at = pending.sent_at
            pending.is_settled.set()
        self._pending = still_pending


async def wait_for_change(follower: LogFollower, seconds: float) -> None:
    """Wait until a record is read from the log, with a timeout."""
    with anyio.move_on_after(seconds):
        await follower.changed.wait()


Appender = collections.abc.Callable[
    [object], collections.abc.Awaitable[ids.Offset | None]
]
