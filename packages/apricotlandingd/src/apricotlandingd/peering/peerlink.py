"""The message protocol on a connection between two daemons.

Either side may *call* (one message, one reply), *stream* (one message, many
parts, one reply) or *push* (one message, no reply). A frame is the array
``[kind, number, message]``. Replies and parts are matched to their call by
the number, not by their order.

Handlers are looked up in a ``Router`` by the type of the message. Synchronous
handlers reply in the reading task. Asynchronous handlers run in tasks of
their own, so that they do not block the messages behind them.
"""

import collections.abc
import contextlib
import enum
import math
import typing as ty

import anyio
import anyio.abc
import anyio.streams.memory
import eliot

from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import handshake
from apricotlanding import ids
from apricotlanding import wire

__all__ = ['Connection', 'PeerLost', 'Router']

SyncHandler = collections.abc.Callable[[ty.Any, ids.Incarnation], object]
AsyncHandler = collections.abc.Callable[
    [ty.Any, ids.Incarnation], collections.abc.Awaitable[object]
]
Part = wire.Chunk | wire.AttachEnd
StreamHandler = collections.abc.Callable[
    [ty.Any, ids.Incarnation], collections.abc.AsyncIterator[Part]
]
PushHandler = collections.abc.Callable[[ty.Any, ids.Incarnation], None]


class _FrameKind(enum.IntEnum):
    PUSH = 0
    CALL = 1
    REPLY = 2
    PART = 3
    END = 4


_Sender = anyio.streams.memory.MemoryObjectSendStream[
    tuple[_FrameKind, ty.Any]
]
_Receiver = anyio.streams.memory.MemoryObjectReceiveStream[
    tuple[_FrameKind, ty.Any]
]


@ty.final
class PeerLost(Exception):
    """The connection broke, or the peer did not answer in time.

    A call that fails with this may have taken effect.
    """


@ty.final
class Router:
    """The message handlers, by message type."""

    def __init__(self) -> None:
        """Create a router without handlers."""
        self.sync_handlers: dict[type, SyncHandler] = {}
        self.async_handlers: dict[type, AsyncHandler] = {}
        self.stream_handlers: dict[type, StreamHandler] = {}
        self.push_handlers: dict[type, PushHandler] = {}


@ty.final
class Connection:
    """A connection whose two sides have authenticated each other."""

    def __init__(
        self,
        stream: frames.FrameStream,
        greeting: handshake.Greeting,
        router: Router,
    ) -> None:
        """Wrap a stream after its handshake; ``run`` serves it."""
        self.host = greeting.host
        self.incarnation = greeting.incarnation
        self.domain = greeting.domain
        self.stream = stream
        self.is_open = True
        # As of the latest heartbeat.
        self.is_draining = False
        # The peer's wall clock minus the local one, estimated from the
        # latest heartbeat.
        self.clock_offset_s = 0.0
        self._router = router
        self._call_number = 0
        self._replies: dict[int, _Sender] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Read until the connection ends; raises the error that ended it."""
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                await self._read()
        finally:
            self.is_open = False
            for reply in self._replies.values():
                reply.close()
            with contextlib.suppress(*frames.CONNECTION_ERRORS):
                await self.stream.close()

    async def call(self, message: object, timeout: float) -> ty.Any:
        """Send a message and return its reply.

        Raises PeerLost, also after ``timeout`` seconds without a reply.
        """
        with self._open_call() as (number, parts):
            with anyio.fail_after(timeout):
                await self._send(_FrameKind.CALL, number, message)
                _, reply = await parts.receive()
        return reply

    async def iterate(
        self, message: object, timeout: float
    ) -> collections.abc.AsyncIterator[ty.Any]:
        """Yield the parts of a streamed answer and its end.

        ``timeout`` limits the wait for each part, in seconds. Raises
        PeerLost.
        """
        with self._open_call(math.inf) as (number, parts):
            await self._send(_FrameKind.CALL, number, message)
            while True:
                with anyio.fail_after(timeout):
                    kind, part = await parts.receive()
                yield part
                if kind is not _FrameKind.PART:
                    return

    def push(self, message: object) -> None:
        """Send a message without a reply; dropped on connection errors."""
        if self._group is None or not self.is_open:
            return
        self._group.start_soon(self._send_push, message)

    @contextlib.contextmanager
    def _open_call(
        self, buffer: float = 1
    ) -> collections.abc.Iterator[tuple[int, _Receiver]]:
        """Yield a call's number and the stream of its replies.

        Raises PeerLost for all connection errors.
        """
        if not self.is_open:
            raise PeerLost(f'{self.host}: the connection is closed')
        self._call_number += 1
        number = self._call_number
        sender, receiver = anyio.create_memory_object_stream[
            tuple[_FrameKind, ty.Any]
        ](buffer)
        self._replies[number] = sender
        try:
            yield number, receiver
        except frames.CONNECTION_ERRORS as error:
            raise PeerLost(f'{self.host}: {error!r}') from error
        finally:
            del self._replies[number]
            sender.close()
            receiver.close()

    async def _send(
        self, kind: _FrameKind, number: int, message: object
    ) -> None:
        packed = wire.registry.pack(message)
        await self.stream.send([int(kind), number, packed])

    async def _send_push(self, message: object) -> None:
        with contextlib.suppress(*frames.CONNECTION_ERRORS):
            await self._send(_FrameKind.PUSH, 0, message)

    async def _read(self) -> None:
        assert self._group is not None
        while True:
            frame = await self.stream.receive()
            kind, number, message = _read_frame(frame)
            if kind in (_FrameKind.REPLY, _FrameKind.PART, _FrameKind.END):
                self._deliver(kind, number, message)
                continue
            if kind is _FrameKind.PUSH:
                self._handle_push(message)
                continue
            sync_handler = self._router.sync_handlers.get(type(message))
            if sync_handler is not None:
                reply = sync_handler(message, self.incarnation)
                await self._send(_FrameKind.REPLY, number, reply)
                continue
            self._group.start_soon(self._answer, number, message)

    def _deliver(self, kind: _FrameKind, number: int, message: object) -> None:
        reply = self._replies.get(number)
        if reply is None:
            # The call has ended, for example by its timeout.
            return
        with contextlib.suppress(
            anyio.WouldBlock,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            reply.send_nowait((kind, message))

    def _handle_push(self, message: object) -> None:
        handler = self._router.push_handlers.get(type(message))
        if handler is None:
            raise codec.make_frame_error(
                f'unexpected {type(message).__name__}'
            )
        handler(message, self.incarnation)

    async def _answer(self, number: int, message: object) -> None:
        try:
            stream_handler = self._router.stream_handlers.get(type(message))
            if stream_handler is not None:
                await self._answer_stream(number, stream_handler, message)
                return
            async_handler = self._router.async_handlers.get(type(message))
            if async_handler is None:
                name = type(message).__name__
                raise codec.make_frame_error(f'unexpected {name}')
            reply = await async_handler(message, self.incarnation)
        except errors.Refused as error:
            reply = wire.Failed(error.problem.code, error.problem.text)
        except frames.CONNECTION_ERRORS:
            return
        except Exception as error:
            eliot.write_traceback()
            reply = wire.Failed('', repr(error))
        with contextlib.suppress(*frames.CONNECTION_ERRORS):
            await self._send(_FrameKind.REPLY, number, reply)

    async def _answer_stream(
        self, number: int, stream_handler: StreamHandler, message: object
    ) -> None:
        async for part in stream_handler(message, self.incarnation):
            is_end = isinstance(part, wire.AttachEnd)
            kind = _FrameKind.END if is_end else _FrameKind.PART
            await self._send(kind, number, part)


def _read_frame(frame: ty.Any) -> tuple[_FrameKind, int, object]:
    if not isinstance(frame, list) or len(frame) != 3:
        raise codec.make_frame_error('not [kind, number, message]')
    kind, number, packed = frame
    if not isinstance(number, int):
        raise codec.make_frame_error('the number is not a number')
    try:
        found = _FrameKind(kind)
    except ValueError:
        raise codec.make_frame_error(f'unknown kind {kind!r}') from None
    return found, number, wire.registry.unpack(packed)
