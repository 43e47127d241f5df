"""HTTP calls to one runner, on persistent connections.

Uses ``h11`` rather than ``httpcore``, because a scheduler has to know what
that library hides: whether bytes follow a complete answer (they belong to no
request and would be taken for the next answer), whether a connection was
closed while it was idle, and for how long it was idle.

* ``webclient.NotSent``: no connection could be made; the runner cannot have
  run the request.
* ``webclient.Broken``: the connection broke; the runner may have run the
  request. Its subclass ``webclient.Garbled`` means that the data received is
  not a valid answer.
"""

import collections.abc
import contextlib
import dataclasses
import math
import re
import select
import socket
import typing as ty

import anyio
import anyio.abc
import h11

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import dialing
from apricotlanding import taskgroups
from apricotlanding import webclient
from apricotlandingd.gateway import dialect

__all__ = ['READ_BYTES', 'Answer', 'Call', 'Reservation', 'RunnerClient']

# Runners are milliseconds away, and one that is down does not refuse the
# connection.
CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65536
# Receive buffer of a connection, of which fewer bytes are to be read at once;
# the kernel doubles it. The event loop takes up to 250 KB that have arrived
# off a connection, and keeps what is not read yet. With less, a sender on
# loopback, whose segments are 64 KiB, waits for timers.
LIMITED_BUFFER_BYTES = 24 * 1024
# A head and a body of this size fit into the socket buffers of both sides. A
# larger body is sent while the answer is read, because a runner may answer
# before it has read the whole body and then stop reading.
SMALL_BODY_BYTES = 4096
# Part of a larger body that is copied and sent at once. With a copy of all of
# it, the body would be held twice.
SEND_BYTES = 64 * 1024
# How long an idle connection is kept if the runner states no timeout, and the
# share of the timeout that it states: its clock starts before this host's.
DEFAULT_IDLE_TIMEOUT_S = 4.0
IDLE_TIMEOUT_SHARE = 0.7
# Longest idle time of a connection that is used for a request that may not be
# repeated. Runners occasionally drop idle connections; a request that is lost
# with one may have run and cannot be sent again.
MAX_UNREPEATABLE_IDLE_S = 1.0
# Most bytes of an answer without a length, and interim answers before it:
# bytes that are no answer may come without end.
MAX_UNSIZED_BYTES = 32 * 1024 * 1024
MAX_INTERIM_ANSWERS = 16
# Highest status code of the five classes (RFC 9110, 15).
MAX_STATUS = 599
# Control characters that a header value must not hold (RFC 9110, 5.5); the
# tab is allowed.
_CONTROL = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')

_BROKEN = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request to a runner."""

    method: str
    target: str
    headers: dialect.HeaderList
    body: bytes
    # The request may be run more than once.
    is_repeatable: bool
    # Monotonic time at which its caller stops waiting.
    deadline_at: float = math.inf
    # Most bytes of the answer that are read at once. While an answer waits for
    # its caller, several copies of the last ones are held.
    read_bytes: int = READ_BYTES


@ty.final
class Answer:
    """Status and headers of an answer whose body is still arriving."""

    def __init__(
        self, connection: '_Connection', response: h11.Response
    ) -> None:
        """Wrap what a connection has read so far."""
        self.status: int = response.status_code
        self.headers: dialect.HeaderList = [
            (bytes(name), bytes(value)) for name, value in response.headers
        ]
        self.is_complete = False
        # Seconds that the runner keeps an idle connection open; set by the
        # caller.
        self.idle_s: float | None = None
        self._connection = connection
        self._has_length = any(
            name == b'content-length' for name, _ in self.headers
        )

    async def iterate(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises Broken if it is cut, and Garbled if it seems to have no end.
        """
        size = 0
        while True:
            event = await self._connection.read_event()
            if isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_UNSIZED_BYTES and not self._has_length:
                    raise webclient.Garbled(f'a body of {size} bytes')
                yield bytes(event.data)


@ty.final
class RunnerClient:
    """Connections to one start of a runner."""

    def __init__(
        self,
        address: addresses.Address,
        dial: dialing.Dial = dialing.dial_address,
        on_dialed: collections.abc.Callable[[bool], None] = lambda ok: None,
    ) -> None:
        """Start without connections.

        ``on_dialed`` is called with the success of each connection attempt.
        """
        self._address = address
        self._dial = dial
        self._on_dialed = on_dialed
        self._idle: list[_Connection] = []
        # Connections with a request in progress.
        self._busy: set[_Connection] = set()
        # Accepts no more requests and keeps no connections: those of a runner
        # that is gone are not checked any more, and each would hold a file
        # descriptor for as long as the process runs.
        self._is_stopped = False
        # Connections opened since the start, for the metrics.
        self.connects = 0

    @contextlib.asynccontextmanager
    async def open(self, call: Call) -> collections.abc.AsyncIterator[Answer]:
        """Send a call and yield its answer; raises NotSent or Broken.

        Leaving the context before the answer is complete closes the
        connection, which makes the runner stop.
        """
        async with self.reserve(call.is_repeatable) as reservation:
            async with reservation.send(call) as answer:
                yield answer

    @contextlib.asynccontextmanager
    async def reserve(
        self, is_repeatable: bool, is_new: bool = False
    ) -> collections.abc.AsyncIterator['Reservation']:
        """Yield a connection for one call, or a new one; raises NotSent.

        Nothing is sent yet. If no call is sent, the connection is kept.
        """
        if is_new:
            connection = await self._connect()
        else:
            connection = await self._take_connection(is_repeatable)
        self._busy.add(connection)
        reservation = Reservation(connection)
        try:
            yield reservation
        finally:
            self._busy.discard(connection)
            self._return_to_pool(connection, reservation)
            if not connection.is_idle:
                with anyio.CancelScope(shield=True):
                    await connection.close()

    def is_busy(self) -> bool:
        """Tell whether a request is in progress."""
        return bool(self._busy)

    def stop(self) -> None:
        """Accept no more requests."""
        self._is_stopped = True

    def count_made_since(self, wall_s: float) -> int:
        """Count requests on connections made at or after this Unix time."""
        return sum(item.made_at >= wall_s for item in self._busy)

    async def close_made_before(self, wall_s: float) -> int:
        """Cut the requests on connections made before this Unix time.

        Returns the number of requests. If this host's clock is ahead,
        connections stay open that could be closed; their requests end by
        inactivity timeout or deadline.
        """
        early = [item for item in self._busy if item.made_at < wall_s]
        for connection in early:
            await connection.close()
        return len(early)

    async def close(self) -> None:
        """Accept no more requests, and close the idle connections."""
        self.stop()
        while self._idle:
            await self._idle.pop().close()

    async def close_expired(self, now: float) -> None:
        """Close idle connections before the runner does."""
        expired = [item for item in self._idle if item.is_expired(now)]
        self._idle = [item for item in self._idle if item not in expired]
        for connection in expired:
            await connection.close()

    async def _take_connection(self, is_repeatable: bool) -> '_Connection':
        now = clocks.read_monotonic()
        while True:
            if self._is_stopped:
                raise webclient.NotSent('the runner has left')
            connection = self._pop_idle(is_repeatable, now)
            if connection is None:
                return await self._connect()
            if connection.is_reusable(now):
                return connection
            await connection.close()

    def _pop_idle(
        self, is_repeatable: bool, now: float
    ) -> '_Connection | None':
        # The newest first: it is the least likely to have been closed.
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if (
                not is_repeatable
                and now - connection.idle_at > MAX_UNREPEATABLE_IDLE_S
            ):
                continue
            del self._idle[index]
            connection.is_idle = False
            return connection
        return None

    async def _connect(self) -> '_Connection':
        self.connects += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._dial(self._address)
        except (OSError, TimeoutError) as error:
            if not self._is_stopped:
                self._on_dialed(False)
            raise webclient.NotSent(repr(error)) from error
        self._on_dialed(True)
        if self._is_stopped:
            await stream.aclose()
            raise webclient.NotSent('the runner has left')
        return _Connection(stream, clocks.read_wall())

    def _return_to_pool(
        self, connection: '_Connection', reservation: 'Reservation'
    ) -> None:
        if self._is_stopped:
            return
        if reservation.is_used:
            answer = reservation.answer
            if answer is None or not answer.is_complete:
                return
            if not connection.prepare_next():
                return
            connection.start_idle_time(answer.idle_s, clocks.read_monotonic())
        elif not connection.expires_at:
            # A new one, of which nothing was needed.
            connection.start_idle_time(None, clocks.read_monotonic())
        connection.is_idle = True
        self._idle.append(connection)


@ty.final
class Reservation:
    """A connection that is held for one call."""

    def __init__(self, connection: '_Connection') -> None:
        """Hold a connection."""
        self._connection = connection
        self.is_used = False
        # Set when its head has arrived.
        self.answer: Answer | None = None

    @contextlib.asynccontextmanager
    async def send(self, call: Call) -> collections.abc.AsyncIterator[Answer]:
        """Send the call and yield its answer; raises Broken."""
        self.is_used = True
        async with taskgroups.open_group() as group:
            await self._connection.send(call, group)
            head = await self._connection.read_head()
            self.answer = Answer(self._connection, head)
            yield self.answer


@ty.final
class _Connection:
    """A connection for one call at a time."""

    def __init__(self, stream: anyio.abc.ByteStream, made_at: float) -> None:
        self._stream = stream
        # Unix time in seconds.
        self.made_at = made_at
        self._http = h11.Connection(h11.CLIENT)
        self._is_sent = False
        self._most_bytes = READ_BYTES
        # The runner has closed its sending side.
        self._is_ended = False
        self.is_idle = False
        self.idle_at = 0.0
        self.expires_at = 0.0

    def start_idle_time(self, idle_s: float | None, now: float) -> None:
        if idle_s is None:
            idle_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_at = now
        self.expires_at = now + idle_s * IDLE_TIMEOUT_SHARE

    def is_expired(self, now: float) -> bool:
        return now >= self.expires_at

    def is_reusable(self, now: float) -> bool:
        # Readable while idle: the runner has closed it, or has sent bytes of
        # a late answer, which would be taken for that of the next request.
        if self.is_expired(now):
            return False
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLIN | select.POLLHUP)
        return not poller.poll(0)

    async def send(self, call: Call, group: anyio.abc.TaskGroup) -> None:
        headers = list(call.headers)
        if call.body or call.method not in ('GET', 'HEAD', 'DELETE'):
            length = str(len(call.body)).encode()
            headers.append((b'content-length', length))
        request = h11.Request(
            method=call.method, target=call.target, headers=headers
        )
        head = self._http.send(request) or b''
        if call.body:
            # Returns the body itself, as its length is stated.
            self._http.send(h11.Data(data=call.body))
        self._http.send(h11.EndOfMessage())
        self._is_sent = False
        if call.read_bytes < self._most_bytes:
            self._stream.extra(
                anyio.abc.SocketAttribute.raw_socket
            ).setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, LIMITED_BUFFER_BYTES
            )
        self._most_bytes = call.read_bytes
        if len(call.body) <= SMALL_BODY_BYTES:
            await self._send_bytes(head, call.body)
            return
        group.start_soon(self._send_bytes, head, call.body)

    async def _send_bytes(self, head: bytes, body: bytes) -> None:
        try:
            await self._stream.send(head + body[:SMALL_BODY_BYTES])
            for start in range(SMALL_BODY_BYTES, len(body), SEND_BYTES):
                await self._stream.send(body[start : start + SEND_BYTES])
        except _BROKEN:
            # The reader gets the same error, or the answer that the runner
            # sent before it closed the connection.
            return
        self._is_sent = True

    async def read_head(self) -> h11.Response:
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self.read_event()
            if isinstance(event, h11.Response):
                _check_head(event)
                return event
        raise webclient.Garbled('interim answers without end')

    async def read_event(self) -> h11.Event:
        try:
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self._read_bytes())
                    continue
                if isinstance(event, h11.ConnectionClosed):
                    raise webclient.Broken('closed without an answer')
                if event is h11.PAUSED:
                    raise webclient.Garbled('bytes behind the answer')
                return ty.cast(h11.Event, event)
        except _BROKEN as error:
            raise webclient.Broken(repr(error)) from error
        except h11.RemoteProtocolError as error:
            if self._is_ended:
                # The answer was cut short.
                raise webclient.Broken(repr(error)) from error
            raise webclient.Garbled(repr(error)) from error

    async def _read_bytes(self) -> bytes:
        try:
            return await self._stream.receive(self._most_bytes)
        except anyio.EndOfStream:
            self._is_ended = True
            return b''

    def prepare_next(self) -> bool:
        # Bytes after the answer belong to no request.
        if not self._is_sent or self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # One side requested that the connection be closed.
            return False
        return True

    async def close(self) -> None:
        try:
            await self._stream.aclose()
        except _BROKEN:
            # Already broken: there is nothing left to close.
            return


def _check_head(response: h11.Response) -> None:
    # The parser accepts what the server that writes the answer to the caller
    # rejects. There it would be too late to ask another runner, or to send an
    # error.
    if response.status_code > MAX_STATUS:
        raise webclient.Garbled(f'status {response.status_code}')
    for name, value in response.headers:
        if _CONTROL.search(value):
            raise webclient.Garbled(f'control characters in {name!r}')
