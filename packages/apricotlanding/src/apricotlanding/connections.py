"""The connections of an HTTP server, and what they hold of requests.

``uvicorn`` parses HTTP. What its connections hold before the application has
admitted a request is bounded here: the bytes that are read, incomplete heads,
and the requests that begin at the same moment.
"""

import asyncio
import collections
import select
import typing as ty

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

__all__ = ['CONNECTION_KEY', 'MAX_UNREAD_BYTES', 'Connection', 'Connections']

# Limit on the size of the request line and headers.
HEAD_LIMIT_BYTES = 64 * 1024
# Most bytes of incomplete heads of all connections together, where a head is
# longer than the parser gets at once.
LONG_HEADS_BYTES = 4 * 1024 * 1024
# Most requests that begin in one pass of the event loop. What they take is not
# counted until they are admitted or refused, a few passes later.
REQUESTS_PER_PASS = 64
# Time for a head to arrive, unless the server sets another.
HEAD_TIMEOUT_S = 10.0
# When the caller of a long head that finds no room should return.
LONG_HEAD_RETRY_AFTER_S = 2
# Where a scope's extensions have the ``Connection``.
CONNECTION_KEY = 'apricotlanding.connection'
# Most bytes that the parser gets at once. It makes a request of each head in
# them, which takes several times its size, and reads no further while one
# waits for the answer to another on its connection.
PARSE_BYTES = 8 * 1024
# Most bytes that are read at once of a body that the application receives.
# Nothing else is read in larger parts than the parser gets: all connections
# may be read before the application learns of a request.
READ_BYTES = 64 * 1024
# Most bytes of a body that the server has read and the application has not.
MAX_UNREAD_BYTES = flow_control.HIGH_WATER_LIMIT + READ_BYTES
# How long the rest of a body is read, and dropped, after its request was
# answered and the connection is to be closed. Closing it with unread data
# would reset it, and the caller might lose the answer.
LINGER_S = 2.0


@ty.final
class Connection:
    """A request's connection, for what has to know how it is read."""

    def __init__(self, protocol: '_BoundedProtocol') -> None:
        """Wrap the connection of a protocol."""
        self._transport = protocol.transport
        self._flow = protocol.flow

    def limit_buffers(self) -> None:
        """Let ``drain`` wait for all data."""
        self._transport.set_write_buffer_limits(high=0)

    async def drain(self) -> None:
        """Wait until the system has all data, or the caller has gone."""
        await self._flow.drain()

    def count_unsent(self) -> int:
        """Return the bytes that the system does not have yet."""
        return self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection without sending the rest."""
        self._transport.abort()


@ty.final
class _LingeringTransport(asyncio.Transport):
    # What a request writes to; closing waits for the rest of its body.

    def __init__(self, protocol: '_BoundedProtocol') -> None:
        super().__init__()
        self._protocol = protocol

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self._protocol.transport.write(data)

    def is_closing(self) -> bool:
        return self._protocol.transport.is_closing()

    def close(self) -> None:
        self._protocol.close_after_body()


@ty.final
class _HeadLimits:
    # What holds for the incomplete heads of all connections.

    def __init__(self) -> None:
        self.timeout_s = HEAD_TIMEOUT_S
        # Bytes of the long ones.
        self._bytes = 0

    def claim(self, size: int) -> bool:
        if self._bytes + size > LONG_HEADS_BYTES:
            return False
        self._bytes += size
        return True

    def release(self, size: int) -> None:
        self._bytes -= size


@ty.final
class _RequestGate:
    # Lets so many requests begin in each pass of the event loop. Connections
    # beyond that wait in order of arrival, and are not read meanwhile.

    def __init__(self) -> None:
        self._begun = 0
        self._waiting: collections.deque[_BoundedProtocol] = (
            collections.deque()
        )
        self._is_scheduled = False

    def is_closed(self) -> bool:
        return bool(self._waiting) or self._begun >= REQUESTS_PER_PASS

    def note_begun(self, loop: asyncio.AbstractEventLoop) -> None:
        self._begun += 1
        self._schedule(loop)

    def wait(
        self, protocol: '_BoundedProtocol', loop: asyncio.AbstractEventLoop
    ) -> None:
        self._waiting.append(protocol)
        self._schedule(loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._begin_pass, loop)

    def _begin_pass(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._begun = 0
        while self._waiting and self._begun < REQUESTS_PER_PASS:
            self._begun += 1
            self._waiting.popleft().parse_waiting()
        if self._waiting:
            self._schedule(loop)


@ty.final
class _BoundedProtocol(httptools_impl.HttpToolsProtocol):
    # The parser buffers the request line and headers until they are complete.
    # Without a limit, a caller that never completes them would exhaust the
    # memory of the daemon, which would be killed with all its requests.

    _is_reading_head = False
    _head_bytes = 0
    # The head of a request is complete; the application knows nothing of it.
    _has_new_request = False
    # The server is closing; data that has already arrived is still read and
    # the request is answered.
    _is_closing = False
    # The last request is answered; the rest of its body is dropped.
    _is_lingering = False
    _connection: Connection | None = None

    def __init__(
        self, limits: _HeadLimits, gate: _RequestGate, **options: ty.Any
    ) -> None:
        super().__init__(**options)
        self._head_limits = limits
        self._gate = gate
        # The gate will call parse_waiting.
        self._is_waiting = False
        # The gate has called it; the head of the request is not complete yet.
        self._has_turn = False
        # Bytes of the head that are claimed.
        self._claimed = 0
        self._head_timer: asyncio.TimerHandle | None = None
        # What has arrived and waits: for the gate, or behind a request that
        # waits for the answer to another.
        self._unparsed = bytearray()

    def shutdown(self) -> None:
        # A connection without a request in progress may still hold one: unread
        # in the socket, because the process was not scheduled for a while, or
        # with incomplete headers. If it were closed now, the caller would get
        # a reset and no response. Data that arrives later finds the connection
        # closed.
        if not self._is_answering() and (
            self._is_reading_head or self._has_unread()
        ):
            self._is_closing = True
            return
        super().shutdown()

    def _has_unread(self) -> bool:
        if self.transport.is_closing():
            return False
        if self._unparsed:
            return True
        poller = select.poll()
        raw_socket = self.transport.get_extra_info('socket')
        poller.register(raw_socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def data_received(self, data: bytes) -> None:
        if self._is_waiting or self._has_to_wait():
            self._wait_for_turn(data)
            return
        if not self._unparsed and len(data) <= PARSE_BYTES:
            self._parse(data)
            return
        self._unparsed += data
        self._parse_unparsed()

    def _wait_for_turn(self, data: bytes) -> None:
        self._unset_keepalive_if_required()
        self._unparsed += data
        if not self._is_waiting:
            self._is_waiting = True
            self.flow.pause_reading()
            self._gate.wait(self, self.loop)

    def parse_waiting(self) -> None:
        """Parse what has arrived before the turn of this connection."""
        self._is_waiting = False
        self._has_turn = True
        if self.transport.is_closing():
            return
        self.flow.resume_reading()
        self._parse_unparsed()

    def _has_to_wait(self) -> bool:
        if self._is_reading_head or self._has_turn or self._is_answering():
            return False
        is_dropping_body = self.cycle is not None and self.cycle.more_body
        return not is_dropping_body and self._gate.is_closed()

    def _parse_unparsed(self) -> None:
        while self._unparsed and not self.transport.is_closing():
            if self.pipeline or self._is_waiting:
                self.flow.pause_reading()
                return
            data = bytes(self._unparsed[:PARSE_BYTES])
            del self._unparsed[:PARSE_BYTES]
            self._parse(data)

    def choose_read_size(self) -> int:
        """Return the most bytes to read at once."""
        cycle = self.cycle
        if self._has_to_wait():
            # Shows that there is a request, which is read at its turn.
            return 1
        if cycle is None or self._is_reading_head or not cycle.more_body:
            return PARSE_BYTES
        return READ_BYTES

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        if self._has_new_request:
            self._has_new_request = False
            self._await_application()
        if not self._is_reading_head or self.transport.is_closing():
            return
        self._head_bytes += len(data)
        if self._head_timer is None:
            self._start_head_timer()
        if self._head_bytes > HEAD_LIMIT_BYTES:
            self._end_head(
                400,
                'The request line and headers are longer than'
                f' {HEAD_LIMIT_BYTES} bytes; send only the headers that the'
                ' interface names.',
            )
        elif self._head_bytes > PARSE_BYTES:
            self._claim_long_head()

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self._head_limits.timeout_s, self._end_late_head
        )

    def _end_late_head(self) -> None:
        if self._is_answering():
            self._start_head_timer()
            return
        self._end_head(408, 'The request line and headers came too late.')

    def _claim_long_head(self) -> None:
        growth = self._head_bytes - self._claimed
        if self._head_limits.claim(growth):
            self._claimed = self._head_bytes
            return
        if self._is_answering():
            # The rest is read when the request before it is answered.
            self.flow.pause_reading()
            return
        self._end_head(
            503,
            'Too many long heads arrive at a time; send fewer headers, or'
            ' return later.',
            f'retry-after: {LONG_HEAD_RETRY_AFTER_S}\r\n',
        )

    def _end_head(self, status: int, text: str, header: str = '') -> None:
        # Refuses a request whose head is incomplete.
        if self.transport.is_closing():
            return
        line = httptools_impl.STATUS_LINE[status].decode()
        head = (
            f'{line}content-type: text/plain; charset=utf-8\r\n'
            f'content-length: {len(text)}\r\n{header}connection: close\r\n\r\n'
        )
        self.transport.write((head + text).encode())
        self.transport.close()

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _forget_head(self) -> None:
        self._is_reading_head = False
        self._head_limits.release(self._claimed)
        self._claimed = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._forget_head()
        super().connection_lost(exc)

    def _await_application(self) -> None:
        # The rest of a body is read once the application asks for it.
        if self.cycle.more_body and not self.cycle.response_complete:
            self.flow.pause_reading()

    def on_message_begin(self) -> None:
        self._is_reading_head = True
        self._head_bytes = 0
        super().on_message_begin()
        if self._connection is None:
            self._connection = Connection(self)
        extensions = {CONNECTION_KEY: self._connection}
        self.scope['extensions'] = extensions  # type: ignore[typeddict-item]

    def on_headers_complete(self) -> None:
        self._forget_head()
        if not self._has_turn:
            self._gate.note_begun(self.loop)
        self._has_turn = False
        self._has_new_request = True
        super().on_headers_complete()
        self.cycle.transport = _LingeringTransport(self)
        if self._is_closing:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if self._is_lingering:
            self.transport.close()

    def on_response_complete(self) -> None:
        if self.cycle.response_complete:
            # What has arrived of a body that nobody reads any more.
            self.cycle.body = bytearray()
        super().on_response_complete()
        if self._unparsed and not self.pipeline:
            self.loop.call_soon(self._parse_unparsed)

    def close_after_body(self) -> None:
        """Close the connection once the request has arrived."""
        cycle = self.cycle
        is_answered = cycle.response_complete and not cycle.disconnected
        if not is_answered or not cycle.more_body:
            self.transport.close()
            return
        self._is_lingering = True
        self.loop.call_later(LINGER_S, self.transport.close)


@ty.final
class _BoundedReader(asyncio.BufferedProtocol):
    # Reads a connection in parts as large as its protocol chooses; the event
    # loop would read several times as much.

    def __init__(self, protocol: _BoundedProtocol, buffer: memoryview) -> None:
        self._protocol = protocol
        # Shared by all connections: what is read is taken at once.
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._protocol.connection_made(ty.cast(asyncio.Transport, transport))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer[: self._protocol.choose_read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        self._protocol.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> None:
        self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()


@ty.final
class Connections:
    """Makes the connections of a server, and what they share."""

    def __init__(self) -> None:
        """Start without connections."""
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._head_limits = _HeadLimits()
        self._gate = _RequestGate()

    def make_protocol(self, **options: ty.Any) -> asyncio.BufferedProtocol:
        """Return what reads a new connection."""
        protocol = _BoundedProtocol(self._head_limits, self._gate, **options)
        return _BoundedReader(protocol, self._buffer)

    def set_head_timeout(self, seconds: float) -> None:
        """Set the time that callers may take to send a head."""
        self._head_limits.timeout_s = seconds
