"""HTTP calls to one runner, on connections that are kept.

Written on ``h11`` rather than ``httpcore``, because a scheduler has to know
what that library hides: whether bytes stand behind a complete answer (they
belong to no request and would be taken for the next answer), whether a
connection was closed while it was idle, and for how long it was idle.

* ``webclient.NotSent``: no connection could be made; the runner cannot have
  run the request.
* ``webclient.Broken``: the connection broke; the runner may have run the
  request. ``webclient.Garbled`` is the kind of it in which something came that
  is no answer.
"""

import collections.abc
import contextlib
import dataclasses
import re
import select
import typing as ty

import anyio
import anyio.abc
import h11

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import sockets
from apricotlanding import taskgroups
from apricotlanding import webclient
from apricotlandingd.gateway import dialect

__all__ = ['Answer', 'Call', 'RunnerClient']

# Seconds to connect; runners are milliseconds away, and a dark one does not
# refuse.
CONNECT_TIMEOUT = 0.5
READ_SIZE = 65536
# Bytes of head and body that surely fit into the buffers of both sides. A
# larger body is sent while the answer is read, because a runner may answer
# before it has read the whole body and then stop reading.
SMALL_BODY = 4096
# Seconds that an idle connection is kept if the runner names no time, and
# the part of the time it names: its clock starts before ours.
DEFAULT_IDLE = 4.0
IDLE_PART = 0.7
# Seconds of idleness up to which a connection serves a request that may not
# be repeated. Runners drop idle connections now and then; a request that is
# then lost may have run, and cannot be sent again.
FRESH_IDLE = 1.0
# Statuses have five classes (RFC 9110, 15).
LAST_STATUS = 599
# Not allowed in the value of a header (RFC 9110, 5.5), but for the tab.
_CONTROL = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')

_BROKEN = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What is sent to a runner."""

    method: str
    target: str
    headers: dialect.HeaderList
    body: bytes
    # A second run does no harm.
    is_repeatable: bool


@ty.final
class Answer:
    """A status, headers, and a body that is still on its way."""

    def __init__(
        self, connection: '_Connection', response: h11.Response
    ) -> None:
        """Wrap what a connection has read so far."""
        self.status: int = response.status_code
        self.headers: dialect.HeaderList = [
            (bytes(name), bytes(value)) for name, value in response.headers
        ]
        self.is_complete = False
        # Seconds that the runner keeps the connection; set by the caller.
        self.idle_s: float | None = None
        self._connection = connection

    async def iterate(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; Broken if it is cut."""
        while True:
            event = await self._connection.read_event()
            if isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)


@ty.final
class RunnerClient:
    """Connections to one start of a runner."""

    def __init__(self, address: addresses.Address) -> None:
        """Start without connections."""
        self._address = address
        self._idle: list[_Connection] = []
        # Those with a request on them.
        self._used: set[_Connection] = set()
        # Takes no requests any more, and keeps no connections: nobody looks
        # at those of a runner that is gone, and each would hold a descriptor
        # for as long as the process runs.
        self._is_stopped = False
        # Connections made since the start, for the metrics.
        self.connects = 0

    @contextlib.asynccontextmanager
    async def open(self, call: Call) -> collections.abc.AsyncIterator[Answer]:
        """Send a call and yield its answer; NotSent or Broken.

        Leaving the context before the answer is complete closes the
        connection, which tells the runner to stop.
        """
        connection = await self._take_connection(call.is_repeatable)
        self._used.add(connection)
        answer: Answer | None = None
        try:
            async with taskgroups.open_group() as group:
                await connection.send(call, group)
                answer = Answer(connection, await connection.read_head())
                yield answer
        finally:
            self._used.discard(connection)
            self._put_back(connection, answer)
            if not connection.is_kept:
                with anyio.CancelScope(shield=True):
                    await connection.close()

    def is_used(self) -> bool:
        """Tell whether a request is on its way."""
        return bool(self._used)

    def stop(self) -> None:
        """Take no more requests."""
        self._is_stopped = True

    def count_made_since(self, wall_s: float) -> int:
        """Count requests on connections made at or after this Unix time."""
        return sum(item.made_at >= wall_s for item in self._used)

    async def close_made_before(self, wall_s: float) -> int:
        """Break off what is on connections made before this Unix time.

        Returns how many requests that were. A clock of this host that is
        ahead leaves connections alone that could be closed, and their
        requests end by their silence or their time limit.
        """
        early = [item for item in self._used if item.made_at < wall_s]
        for connection in early:
            await connection.close()
        return len(early)

    async def close(self) -> None:
        """Take no more requests, and close the idle connections."""
        self.stop()
        while self._idle:
            await self._idle.pop().close()

    async def close_expired(self, now: float) -> None:
        """Close connections before the runner does."""
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
            if connection.is_usable(now):
                return connection
            await connection.close()

    def _pop_idle(
        self, is_repeatable: bool, now: float
    ) -> '_Connection | None':
        # The newest first: it is the least likely to be closed by now.
        for place in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[place]
            if not is_repeatable and now - connection.idle_at > FRESH_IDLE:
                continue
            del self._idle[place]
            connection.is_kept = False
            return connection
        return None

    async def _connect(self) -> '_Connection':
        self.connects += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                stream = await anyio.connect_tcp(
                    self._address.host, self._address.port
                )
            sockets.enable_keepalive(
                stream.extra(anyio.abc.SocketAttribute.raw_socket)
            )
        except (OSError, TimeoutError) as error:
            raise webclient.NotSent(repr(error)) from error
        if self._is_stopped:
            await stream.aclose()
            raise webclient.NotSent('the runner has left')
        return _Connection(stream, clocks.read_wall())

    def _put_back(
        self, connection: '_Connection', answer: Answer | None
    ) -> None:
        if answer is None or not answer.is_complete or self._is_stopped:
            return
        if not connection.start_next():
            return
        idle = DEFAULT_IDLE if answer.idle_s is None else answer.idle_s
        connection.idle_at = clocks.read_monotonic()
        connection.expires_at = connection.idle_at + idle * IDLE_PART
        connection.is_kept = True
        self._idle.append(connection)


@ty.final
class _Connection:
    """One connection; one call at a time."""

    def __init__(self, stream: anyio.abc.SocketStream, made_at: float) -> None:
        self._stream = stream
        # Unix time in seconds.
        self.made_at = made_at
        self._http = h11.Connection(h11.CLIENT)
        self._is_sent = False
        # The runner has closed its side.
        self._is_ended = False
        self.is_kept = False
        self.idle_at = 0.0
        self.expires_at = 0.0

    def is_expired(self, now: float) -> bool:
        return now >= self.expires_at

    def is_usable(self, now: float) -> bool:
        # Readable while idle: closed by the runner, or bytes of a late
        # answer, which would be taken for that of the next request.
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
        parts = [self._http.send(request)]
        if call.body:
            parts.append(self._http.send(h11.Data(data=call.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        data = b''.join(part for part in parts if part)
        self._is_sent = False
        if len(call.body) <= SMALL_BODY:
            await self._send_bytes(data)
            return
        group.start_soon(self._send_bytes, data)

    async def _send_bytes(self, data: bytes) -> None:
        try:
            await self._stream.send(data)
        except _BROKEN:
            # The reader meets the same break, or finds the answer that the
            # runner sent before it closed.
            return
        self._is_sent = True

    async def read_head(self) -> h11.Response:
        while True:
            event = await self.read_event()
            if isinstance(event, h11.Response):
                _check_head(event)
                return event

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
                # What is missing is the rest of an answer.
                raise webclient.Broken(repr(error)) from error
            raise webclient.Garbled(repr(error)) from error

    async def _read_bytes(self) -> bytes:
        try:
            return await self._stream.receive(READ_SIZE)
        except anyio.EndOfStream:
            self._is_ended = True
            return b''

    def start_next(self) -> bool:
        # Bytes behind the answer belong to no request.
        if not self._is_sent or self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # One side asked to close.
            return False
        return True

    async def close(self) -> None:
        try:
            await self._stream.aclose()
        except _BROKEN:
            # Broken already: nothing is left to close.
            return


def _check_head(response: h11.Response) -> None:
    # The parser is lenient where the server that writes the answer to the
    # caller is not. Found out there, it would be too late to ask another
    # runner, or to say anything.
    if response.status_code > LAST_STATUS:
        raise webclient.Garbled(f'status {response.status_code}')
    for name, value in response.headers:
        if _CONTROL.search(value):
            raise webclient.Garbled(f'control characters in {name!r}')
