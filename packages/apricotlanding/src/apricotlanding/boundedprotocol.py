"""One connection of an HTTP server, and what it holds of requests.

``framing`` finds where requests end, and ``uvicorn`` calls the application
with each. What a connection holds before, beside and after its request is
bounded: the bytes that are read, an incomplete head, and an answer that nobody
reads. A connection that holds all that it may is not read.
"""

import asyncio
import contextlib
import select
import typing as ty

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from apricotlanding import connectionlimits
from apricotlanding import framing
from apricotlanding import openconnections
from apricotlanding import refusals

__all__ = [
    'CONNECTION_KEY',
    'MAX_UNREAD_BYTES',
    'PARSE_BYTES',
    'READ_BYTES',
    'BoundedProtocol',
    'Connection',
    'Limits',
]

# A request with more headers takes several times as much as others, and waits
# for a turn of its own.
MANY_HEADERS = 64
# When a caller should return whose long head finds no room, or who found all
# connections with requests.
RETRY_AFTER_S = 2
# Where a scope's extensions have the ``Connection``.
CONNECTION_KEY = 'apricotlanding.connection'
# Most bytes that a connection holds beside a request, or of an incomplete head
# that has claimed no more.
PARSE_BYTES = 8 * 1024
# Most bytes of other requests that it holds before it is read again. Less than
# above, so that not each answer leads to a read.
AHEAD_BYTES = PARSE_BYTES // 2
# Most bytes that are read at once of a body that has little content.
SPARSE_READ_BYTES = 1024
# Most bytes that are read at once of a body that the application receives.
# Nothing else is read in parts as large: all connections may be read before
# the application learns of a request.
READ_BYTES = 64 * 1024
# Most bytes of a body that the server has read and the application has not.
MAX_UNREAD_BYTES = flow_control.HIGH_WATER_LIMIT + READ_BYTES
# How long the rest of a body is read, and dropped, after its request was
# answered and the connection is to be closed. Closing it with unread data
# would reset it, and the caller might lose the answer.
LINGER_S = 2.0
# How long a connection that was closed waits for its caller to read the rest.
# At listeners for operators and other systems, also how long an answer does.
UNREAD_S = 10.0


@ty.final
class Connection:
    """A request's connection, for what has to know how it is read."""

    def __init__(self, protocol: 'BoundedProtocol') -> None:
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

    def __init__(self, protocol: 'BoundedProtocol') -> None:
        super().__init__()
        self._protocol = protocol

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self._protocol.transport.write(data)

    def is_closing(self) -> bool:
        return self._protocol.transport.is_closing()

    def close(self) -> None:
        self._protocol.close_after_body()


@ty.final
class _Flow(flow_control.FlowControl):
    # Does not read a connection that holds all that it may.

    def __init__(self, protocol: 'BoundedProtocol') -> None:
        super().__init__(protocol.transport)
        self._protocol = protocol

    def resume_reading(self) -> None:
        if not self._protocol.is_full():
            super().resume_reading()


@ty.final
class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Reads the requests of a connection, each in its turn.

    What arrives stays bytes in the framer until then: the parser gets one
    complete head at a time, and only when the request before it has arrived
    and is answered.
    """

    # The parser has read a head; the application knows nothing of it.
    _has_new_head = False
    # The caller may send another request after this one.
    _is_persistent = False
    # The server is closing; data that has already arrived is still read and
    # the request is answered.
    _is_closing = False
    # The last request is answered; the rest of its body is dropped.
    _is_lingering = False
    # All connections have requests: the one that comes here is refused.
    _is_surplus = False
    _connection: Connection | None = None
    _open: openconnections.OpenConnections['BoundedProtocol']

    def __init__(self, shared: 'Limits', **options: ty.Any) -> None:
        """Take part in limits; ``options`` are those of ``uvicorn``."""
        super().__init__(**options)
        # Made for each head.
        self.parser = None  # type: ignore[assignment]
        self._framer = framing.Framer()
        self._shared = shared
        # It waits for its turn.
        self._is_waiting = False
        # It has a turn to begin a request whose head is not complete yet.
        self._has_turn = False
        # What is held is the beginning of a head.
        self._needs_more = False
        # A complete head that waits for its turn.
        self._long_head: bytes | None = None
        # Bytes of the head that are claimed.
        self._claimed = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._abort_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, or refuse, if there are too many."""
        super().connection_made(ty.cast(asyncio.Transport, transport))
        self.flow = _Flow(self)
        self._start_idle_timer()
        self._open = self._shared.find_open(self._get_port())
        verdict, replaced = self._open.add(self, self.loop.time())
        if replaced is not None:
            self._shared.on_refusal(refusals.Refusal.CONNECTION_REPLACED)
            replaced.close()
        if verdict is openconnections.Verdict.REFUSED:
            self._is_surplus = True
        elif verdict is openconnections.Verdict.DROPPED:
            self._shared.on_refusal(refusals.Refusal.CONNECTION_DROPPED)
            self.transport.abort()

    def _get_port(self) -> int | None:
        return None if self.server is None else self.server[1]

    def connection_lost(self, exc: Exception | None) -> None:
        """Return what the connection has taken of the limits."""
        self._open.remove(self)
        self._forget_head()
        self._unset_keepalive_if_required()
        self._stop_abort_timer()
        super().connection_lost(exc)

    def shutdown(self) -> None:
        """Close the connection, if no request has arrived on it."""
        # A connection without a request in progress may still hold one: unread
        # in the socket, because the process was not scheduled for a while, or
        # with incomplete headers. If it were closed now, the caller would get
        # a reset and no response. Data that arrives later finds the connection
        # closed.
        if not self._is_answering() and (
            self._is_reading_head() or self._has_unread()
        ):
            self._is_closing = True
            return
        super().shutdown()

    def _has_unread(self) -> bool:
        if self.transport.is_closing():
            return False
        poller = select.poll()
        raw_socket = self.transport.get_extra_info('socket')
        poller.register(raw_socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    # Reading.

    def choose_read_size(self) -> int:
        """Return the most bytes to read at once."""
        framer = self._framer
        if framer.is_at_head():
            if self._has_to_wait():
                # Shows that there is a request, which is read at its turn.
                return 1
            if framer.held < PARSE_BYTES:
                return PARSE_BYTES - framer.held
            return PARSE_BYTES
        if framer.is_mostly_framing():
            return SPARSE_READ_BYTES
        # What is read beyond the body waits for its turn.
        return min(READ_BYTES, max(PARSE_BYTES, framer.left))

    def is_full(self) -> bool:
        """Tell whether the connection holds all that it may."""
        if self._is_waiting:
            return True
        if not self._framer.is_at_head():
            return len(self.cycle.body) > flow_control.HIGH_WATER_LIMIT
        if self._needs_more:
            return self._framer.held >= max(PARSE_BYTES, self._claimed + 1)
        return self._framer.held >= AHEAD_BYTES

    def data_received(self, data: bytes) -> None:
        """Hold what arrived, and take of it what has its turn."""
        self._framer.receive(data)
        self._advance()

    def _advance(self) -> None:
        # Takes what is held, as far as the connection has a turn.
        try:
            while not self.transport.is_closing():
                if not self._take_next():
                    break
        except framing.Violation as violation:
            self._refuse(violation)
        if self.transport.is_closing():
            return
        if self._framer.is_mostly_framing():
            self._await_sparse_read()
        if self.is_full():
            self.flow.pause_reading()
        elif not self._is_busy():
            self.flow.resume_reading()

    def _take_next(self) -> bool:
        # Takes a head, or a part of a body, from what has arrived; False if
        # none can be taken.
        framer = self._framer
        if not framer.is_at_head():
            data = framer.take_content()
            self._receive_content(data)
            if framer.is_at_head():
                self._end_message()
                return True
            return False
        if self._long_head is not None and not self._is_waiting:
            head, self._long_head = self._long_head, None
            self._begin_request(head)
            return True
        if self._is_busy() or not framer.held:
            return False
        if self._has_to_wait():
            self._wait_for_turn()
            return False
        found = framer.take_head()
        self._needs_more = found is None
        if found is None:
            # Blank lines are no part of a head.
            if framer.held:
                self._await_head()
                self._claim_long_head()
            return False
        if framing.count_headers(found) > MANY_HEADERS:
            self._await_long_request(found)
            return False
        self._begin_request(found)
        return True

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _is_busy(self) -> bool:
        # A request has not begun, has not arrived wholly, or is not answered.
        if self._long_head is not None or self._is_answering():
            return True
        return not self._framer.is_at_head()

    def _is_reading_head(self) -> bool:
        if self._head_timer is not None or self._long_head is not None:
            return True
        return self._framer.held > 0

    # Turns.

    def _has_to_wait(self) -> bool:
        if self._has_turn or self._is_busy():
            return False
        return self._is_waiting or self._shared.requests.are_used()

    def _wait_for_turn(self) -> None:
        if self._is_waiting:
            return
        self._is_waiting = True
        self._await_head()
        self._shared.requests.wait(self._begin_turn, self.loop)

    def _begin_turn(self) -> None:
        # Takes what has arrived before.
        self._is_waiting = False
        self._has_turn = True
        self._advance()

    def _await_long_request(self, head: bytes) -> None:
        self._long_head = head
        self._is_waiting = True
        self._shared.long_requests.wait(self._begin_long_request, self.loop)

    def _begin_long_request(self) -> None:
        self._is_waiting = False
        self._advance()

    def _await_sparse_read(self) -> None:
        turns = self._shared.sparse_reads
        if self._is_waiting:
            return
        if not turns.are_used():
            turns.use(self.loop)
            return
        self._is_waiting = True
        turns.wait(self._read_sparse, self.loop)

    def _read_sparse(self) -> None:
        self._is_waiting = False
        if not self.transport.is_closing():
            self.flow.resume_reading()

    # Heads.

    def _start_idle_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that was idle for too long."""
        self.close()

    def _await_head(self) -> None:
        # A head has begun; it has to come in time.
        self._unset_keepalive_if_required()
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._shared.head_timeout_s, self._end_late_head
            )

    def _end_late_head(self) -> None:
        self._refuse(
            framing.Violation(
                refusals.Refusal.HEAD_TIME,
                'The request line and headers came too late.',
                status=408,
            )
        )

    def _claim_long_head(self) -> None:
        held = self._framer.held
        if held < PARSE_BYTES:
            return
        if self._shared.claim_head(held - self._claimed):
            self._claimed = held
            return
        raise framing.Violation(
            refusals.Refusal.LONG_HEADS,
            'Too many long heads arrive at a time; send fewer headers, or'
            ' return later.',
            status=503,
            retry_after_s=RETRY_AFTER_S,
        )

    def _forget_head(self) -> None:
        self._shared.release_head(self._claimed)
        self._claimed = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _begin_request(self, head: bytes) -> None:
        self._forget_head()
        self._unset_keepalive_if_required()
        if self._is_surplus:
            raise framing.Violation(
                refusals.Refusal.CONNECTIONS,
                'All connections of this host have requests; return later.',
                status=503,
                retry_after_s=RETRY_AFTER_S,
            )
        self._open.begin_request(self)
        self._has_new_head = False
        self.parser = httptools.HttpRequestParser(self)
        try:
            with contextlib.suppress(httptools.HttpParserUpgrade):
                # An upgrade that is offered is not taken.
                self.parser.feed_data(head)
            if not self._has_new_head:
                raise httptools.HttpParserError
            length = framing.find_length(self.headers)
            # It has a complete head and no request yet.
            super().on_headers_complete()
        except (httptools.HttpParserError, AttributeError, ValueError):
            raise framing.make_malformed('the head') from None
        finally:
            self.parser = None  # type: ignore[assignment]
        if not self._has_turn:
            self._shared.requests.use(self.loop)
        self._has_turn = False
        self._framer.begin_body(length, self._shared.framing_bytes)
        self.cycle.transport = _LingeringTransport(self)
        if self._is_closing or not self._is_persistent:
            self.cycle.keep_alive = False
        if self._framer.is_at_head():
            self._end_message()
            # Shows when the caller disconnects.
            self.flow.resume_reading()
        else:
            # The body is read once the application asks for it.
            self.flow.pause_reading()

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        super().on_message_begin()
        if self._connection is None:
            self._connection = Connection(self)
        extensions = {CONNECTION_KEY: self._connection}
        self.scope['extensions'] = extensions  # type: ignore[typeddict-item]

    def on_headers_complete(self) -> None:
        """Note that a head is complete; called by the parser."""
        # The application is called once the parser has accepted the head.
        self._has_new_head = True
        # The parser does not know it once the message is complete.
        self._is_persistent = self.parser.should_keep_alive()

    def on_message_complete(self) -> None:
        """Do nothing: the framer tells where a request ends."""

    # Bodies.

    def _receive_content(self, data: bytes) -> None:
        cycle = self.cycle
        if not data or cycle.response_complete:
            return
        cycle.body += data
        cycle.message_event.set()

    def _end_message(self) -> None:
        self.cycle.more_body = False
        self.cycle.message_event.set()
        if self._is_lingering:
            self.close()
        self._note_idle()

    def on_response_complete(self) -> None:
        """Go on to the next request; called with the end of an answer."""
        if self.cycle.response_complete:
            self._forget_request()
        super().on_response_complete()
        self._note_idle()
        if self._framer.held:
            # Others that were sent ahead.
            self.loop.call_soon(self._advance)

    def _note_idle(self) -> None:
        if not self._is_busy() and not self.transport.is_closing():
            self._open.end_request(self, self.loop.time())

    def _forget_request(self) -> None:
        # The connection may be idle for long: it keeps neither the headers
        # nor what has arrived of a body that nobody reads any more.
        self.cycle.body = bytearray()
        self.cycle.scope = {}  # type: ignore[typeddict-item]
        self.headers = []
        self.scope = {}  # type: ignore[typeddict-item]

    # Closing.

    def close_after_body(self) -> None:
        """Close the connection once the request has arrived."""
        cycle = self.cycle
        is_answered = cycle.response_complete and not cycle.disconnected
        if not is_answered or not cycle.more_body:
            self.close()
            return
        self._is_lingering = True
        self.loop.call_later(LINGER_S, self.close)

    def _refuse(self, violation: framing.Violation) -> None:
        if self.transport.is_closing():
            return
        self._shared.on_refusal(violation.refusal)
        cycle = self.cycle
        if cycle is None or not cycle.more_body or not cycle.response_started:
            self.transport.write(_write_refusal(violation))
        # Else an answer that is not complete must not look like that.
        self.close()

    def pause_writing(self) -> None:
        """Note that the caller does not read."""
        super().pause_writing()
        if self._shared.is_internal(self._get_port()):
            self._start_abort_timer()

    def resume_writing(self) -> None:
        """Note that the caller reads on."""
        super().resume_writing()
        if not self.transport.is_closing():
            self._stop_abort_timer()

    def _start_abort_timer(self) -> None:
        # A caller that does not read would keep the connection open.
        if self._abort_timer is None:
            self._abort_timer = self.loop.call_later(
                UNREAD_S, self._abort_unread
            )

    def _abort_unread(self) -> None:
        self._shared.on_refusal(refusals.Refusal.UNREAD)
        self.transport.abort()

    def _stop_abort_timer(self) -> None:
        if self._abort_timer is not None:
            self._abort_timer.cancel()
            self._abort_timer = None

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        if self.transport.is_closing():
            return
        self._open.begin_request(self)
        if self._is_answering():
            # For the application, the caller has disconnected.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self._start_abort_timer()


def _write_refusal(violation: framing.Violation) -> bytes:
    lines = [
        httptools_impl.STATUS_LINE[violation.status].decode().rstrip(),
        'content-type: text/plain; charset=utf-8',
        f'content-length: {len(violation.text)}',
        'connection: close',
    ]
    if violation.retry_after_s is not None:
        lines.append(f'retry-after: {violation.retry_after_s}')
    return '\r\n'.join([*lines, '', violation.text]).encode()


Limits = connectionlimits.SharedLimits[BoundedProtocol]
