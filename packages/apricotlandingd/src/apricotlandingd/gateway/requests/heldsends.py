"""Sends an answer as fast as its caller reads, beside what produces it.

An answer is queued up to a bound, so that its runner is read from while the
caller is slow: runners abort answers that stay unread for some seconds, and
a slot is not held for a slow caller.
"""

import collections
import collections.abc
import typing as ty

import anyio

from apricotlanding import asgi
from apricotlanding import boundedprotocol
from apricotlanding import clocks
from apricotlanding import taskgroups
from apricotlandingd.gateway.requests import heldanswers

__all__ = ['Connection', 'HeldSend', 'wait_for_room']

# Interval between checks of an answer that waits for room.
ROOM_INTERVAL_S = 0.5
# Most bytes that are held of one answer; its runner is not read from beyond
# them. Answers that are no streams are buffered up to the same size.
MAX_ANSWER_BYTES = 256 * 1024
# An answer of which nothing was read for this time is cut after its deadline,
# also if it may not be repeated: its caller has stopped waiting, and it would
# be held for as long as the caller keeps its connection.
MAX_UNREAD_S = 10.0
# Interval between searches for such an answer.
END_INTERVAL_S = 1.0


class Connection(ty.Protocol):
    """What is needed of a caller's connection."""

    def limit_buffers(self) -> None:
        """Let ``drain`` wait for all that was sent."""

    async def drain(self) -> None:
        """Wait until all that was sent is with the operating system."""

    def count_unsent(self) -> int:
        """Return the bytes that are not with it."""

    def abort(self) -> None:
        """Close the connection without sending the rest."""


@ty.final
class HeldSend:
    """Queues the messages of one answer, and sends them in a task."""

    def __init__(
        self,
        answers: heldanswers.HeldAnswers,
        scope: asgi.Scope,
        send: asgi.Send,
    ) -> None:
        """Start without messages; the request is counted from here on."""
        self._answers = answers
        self._send = send
        self._connection: Connection = scope['extensions'][
            boundedprotocol.CONNECTION_KEY
        ]
        self._connection.limit_buffers()
        self._held = answers.open(heldanswers.Kind.ONCE)
        self._held.count_unsent = self._connection.count_unsent
        # For what answers the request, its caller has disconnected then.
        self._held.on_cut = self._connection.abort
        scope[heldanswers.SCOPE_KEY] = self._held
        self._queue: collections.deque[asgi.Message] = collections.deque()
        self._queued = 0
        self._is_finished = False
        self._changed = anyio.Event()

    async def __call__(self, message: asgi.Message) -> None:
        """Queue a message, as soon as there is room."""
        size = len(message.get('body', b''))
        if message.get('more_body'):
            # A complete answer was buffered before.
            await self._wait_for_room(size)
        self._queued += size
        self._held.hold(size)
        self._queue.append(message)
        self._notify()
        if self._answers.is_full():
            self._answers.relieve(clocks.read_monotonic())

    async def serve(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Run what answers the request until its caller has the answer."""
        try:
            async with taskgroups.open_group() as group:
                group.start_soon(self._produce, run)
                await self._write()
        finally:
            self._held.close()

    async def _produce(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        await run()
        self._is_finished = True
        self._notify()
        while True:
            await anyio.sleep(END_INTERVAL_S)
            now = clocks.read_monotonic()
            self._answers.end_unread(self._held, MAX_UNREAD_S, now)

    async def _write(self) -> None:
        while True:
            changed = self._changed
            if self._queue:
                await self._write_next()
            elif self._is_finished:
                return
            else:
                await changed.wait()

    async def _write_next(self) -> None:
        message = self._queue.popleft()
        size = len(message.get('body', b''))
        is_last = message.get('more_body') is False
        if size and is_last:
            # What follows the end is not waited for.
            self._queue.appendleft({**message, 'body': b''})
            message, is_last = {**message, 'more_body': True}, False
        await self._send(message)
        # The connection has a copy while the caller does not read.
        del message
        self._held.begin_part(clocks.read_monotonic())
        if not is_last:
            await self._connection.drain()
        self._held.end_part()
        self._held.drop(size)
        self._queued -= size
        self._notify()

    async def _wait_for_room(self, size: int) -> None:
        while self._queued >= MAX_ANSWER_BYTES:
            await self._changed.wait()
        await wait_for_room(self._answers, self._queued, size)

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


async def wait_for_room(
    answers: heldanswers.HeldAnswers, held: int, size: int
) -> None:
    """Wait until a part may be held beside ``held`` bytes of its answer."""
    while not answers.may_buffer(held, size):
        answers.relieve(clocks.read_monotonic())
        await anyio.sleep(ROOM_INTERVAL_S)
