"""The relay host: makes calls to runners for hosts that have lost their links.

It makes them on its own connections and relays them no further, so a request
goes through one other host at most. A call ends at the runner when the host
that sent it closes its connection.
"""

import collections.abc
import dataclasses
import select
import typing as ty

import anyio
import anyio.abc
import eliot
import h11

from apricotlanding import clocks
from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import ids
from apricotlanding import openconnections
from apricotlanding import sockets
from apricotlanding import taskgroups
from apricotlanding import webclient
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.relays import relayframes
from apricotlandingd.gateway.relays import relayhandshake
from apricotlandingd.gateway.requests import crashguard
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import runnerclient
from apricotlandingd.gateway.runners import observations
from apricotlandingd.gateway.runners import ownlinks
from apricotlandingd.gateway.runners import rests
from apricotlandingd.gateway.runners import startindex

__all__ = ['RelayServer', 'Tools']

_Frame = ty.TypeVar('_Frame')

# Calls that are carried for others at once.
MAX_CALLS = 128
# Time for which a connection to a runner is held for a call, and for which an
# idle connection of another host is kept, seconds.
RESERVATION_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 10.0
MS_PER_S = 1000


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What the relay host uses of its gateway."""

    http_dialect: dialect.Dialect
    starts: startindex.StartIndex
    find_client: collections.abc.Callable[
        [dialect.RunnerEntry], runnerclient.RunnerClient
    ]
    links: ownlinks.OwnLinks
    rests: rests.Rests
    crash_guard: crashguard.CrashGuard
    is_stopping: collections.abc.Callable[[], bool]
    # Applies what this host observes of a runner.
    note: collections.abc.Callable[
        [dialect.RunnerEntry, observations.Kind], None
    ]
    # Called with the other host's address, the reason and the time for each
    # invalid frame.
    on_unreadable: collections.abc.Callable[[str, str, float], None]


class _Decline(Exception):
    """The call is not taken; nothing was sent to the runner."""

    def __init__(
        self, reason: relayframes.DeclineReason, detail: str = ''
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail[: relayframes.MAX_DETAIL_CHARS]


@ty.final
class RelayServer:
    """Serves the connections of other hosts."""

    def __init__(
        self,
        identity: relayhandshake.Identity,
        tools: Tools,
        held_answers: heldanswers.HeldAnswers | None = None,
        most_connections: int = openconnections.MAX_HOST_CONNECTIONS,
    ) -> None:
        """Start without calls; nothing is counted without ``held_answers``.

        Each connection of another host carries one call at a time.
        """
        self._identity = identity
        self._tools = tools
        self._held_answers = held_answers
        self._most_connections = most_connections
        self._connections = 0
        # Calls that are carried now, and all since the start.
        self.active = 0
        self.calls = 0

    async def serve(
        self,
        stream: anyio.abc.SocketStream,
        on_known: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Serve one connection; ``on_known`` is called once it is a host's."""
        remote = str(stream.extra(anyio.abc.SocketAttribute.remote_address)[0])
        link = frames.FrameStream(stream)
        self._connections += 1
        try:
            if self._connections > self._most_connections:
                return
            sockets.enable_keepalive(
                stream.extra(anyio.abc.SocketAttribute.raw_socket)
            )
            greeting = await relayhandshake.accept_host(link, self._identity)
            on_known()
            connection = _Connection(
                self,
                self._tools,
                link,
                stream,
                greeting.host,
                self._held_answers,
            )
            await connection.serve()
        except errors.Refused as error:
            self._tools.on_unreadable(
                remote, str(error), clocks.read_monotonic()
            )
        except frames.CONNECTION_ERRORS:
            # The other host has closed it, or is gone.
            return
        finally:
            self._connections -= 1
            with anyio.CancelScope(shield=True):
                await link.close()

    async def wait_idle(self, seconds: float) -> bool:
        """Wait until no call is carried; return whether that is so."""
        with anyio.move_on_after(max(0.0, seconds)):
            while self.active:
                await anyio.sleep(0.02)
        return not self.active


@ty.final
class _DroppedCall:
    """In place of a call for which the host has no room."""


@ty.final
class _Connection:
    """A connection of another host, with one call at a time."""

    def __init__(
        self,
        server: RelayServer,
        tools: Tools,
        link: frames.FrameStream,
        stream: anyio.abc.SocketStream,
        host: ids.Host,
        held_answers: heldanswers.HeldAnswers | None,
    ) -> None:
        self._server = server
        self._tools = tools
        self._link = link
        self._stream = stream
        self._host = host
        self._held_answers = held_answers
        # What is held for the call; nothing is counted between calls.
        self._held = heldanswers.HeldAnswer(None, heldanswers.Kind.ONCE)
        self._received: anyio.abc.ObjectReceiveStream[object]
        self._is_calling = False
        # Most bytes that are read from a runner at once.
        self._read_bytes = runnerclient.READ_BYTES
        if held_answers is not None:
            # Part of ``OPEN_BYTES``, so that parts need no count of their own.
            self._read_bytes = heldanswers.FREE_ANSWER_BYTES

    async def serve(self) -> None:
        sender, self._received = anyio.create_memory_object_stream[object](1)
        async with taskgroups.open_group() as group:
            group.start_soon(self._read_frames, sender)
            while True:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    reserve = await self._receive(relayframes.Reserve)
                await self._serve_one(reserve)

    async def _read_frames(
        self, sender: anyio.abc.ObjectSendStream[object]
    ) -> None:
        # The end of the connection ends this task, and with it the call that
        # is in progress.
        while True:
            frame: object
            try:
                data = await self._link.receive(self._admit_frame)
                frame = relayframes.registry.unpack(data)
                del data
            except frames.Dropped:
                frame = _DroppedCall()
            if self._is_calling:
                raise codec.make_frame_error('a frame during a call')
            await sender.send(frame)
            # A body would be held until the next frame arrives.
            del frame

    async def _receive(self, frame_type: type[_Frame]) -> _Frame:
        frame = await self._received.receive()
        return relayhandshake.check_frame(frame, frame_type)

    async def _serve_one(self, reserve: relayframes.Reserve) -> None:
        self._server.active += 1
        # Never cut here: the host that the caller reached decides that, and a
        # relayed call does not grow after its body has arrived.
        if self._held_answers is not None:
            self._held = self._held_answers.open(heldanswers.Kind.ONCE)
        try:
            await self._serve_reserve(reserve)
        except _Decline as error:
            self._is_calling = False
            await self._send(relayframes.Declined(error.reason, error.detail))
        finally:
            self._held.close()
            self._server.active -= 1

    async def _serve_reserve(self, reserve: relayframes.Reserve) -> None:
        entry = self._check(reserve)
        if not self._hold(heldanswers.OPEN_BYTES):
            raise _make_full_decline()
        client = self._tools.find_client(entry)
        try:
            async with client.reserve(
                reserve.is_repeatable, reserve.is_new
            ) as reservation:
                load = self._server.active - 1
                await self._send(relayframes.Reserved(load))
                call = await self._receive_call()
                if call is not None:
                    # It may have left before the call arrived.
                    self._find_open(reserve)
                    await self._make_call(entry, reservation, call)
        except webclient.NotSent as error:
            self._tools.note(entry, observations.Kind.UNREACHABLE)
            raise _Decline(
                relayframes.DeclineReason.UNREACHABLE, str(error)
            ) from error

    def _check(self, reserve: relayframes.Reserve) -> dialect.RunnerEntry:
        reasons = relayframes.DeclineReason
        tools = self._tools
        now = clocks.read_monotonic()
        if tools.is_stopping():
            raise _Decline(reasons.STOPPING)
        if self._server.active > MAX_CALLS:
            raise _Decline(reasons.BUSY)
        entry = self._find_open(reserve)
        if tools.rests.find(entry.start, now) is not None:
            raise _Decline(reasons.CLOSED, 'resting')
        state = tools.links.find_state(entry.service)
        if state is not ownlinks.State.DIRECT:
            raise _Decline(reasons.CUT)
        return entry

    def _find_open(self, reserve: relayframes.Reserve) -> dialect.RunnerEntry:
        entry = self._tools.starts.find_entry(reserve.runner)
        if entry is None or entry.is_draining:
            raise _Decline(
                relayframes.DeclineReason.CLOSED, 'unknown or leaving'
            )
        return entry

    def _admit_frame(self, length: int) -> bool:
        # The body of a call is counted before it is read. Other frames are
        # part of ``OPEN_BYTES``.
        if length <= heldanswers.FREE_ANSWER_BYTES:
            return True
        return self._hold(heldanswers.weigh_body(length))

    def _hold(self, size: int) -> bool:
        # Counts what is held for the call if this host has room for it.
        answers = self._held_answers
        if answers is None:
            return True
        if not answers.may_admit(size, clocks.read_monotonic()):
            return False
        self._held.grow(size)
        return True

    async def _receive_call(self) -> relayframes.Call | None:
        # None if the connection to the runner is not needed.
        with anyio.fail_after(RESERVATION_TIMEOUT_S):
            frame = await self._received.receive()
        if isinstance(frame, relayframes.Release):
            return None
        if isinstance(frame, _DroppedCall):
            raise _make_full_decline()
        return relayhandshake.check_frame(frame, relayframes.Call)

    async def _make_call(
        self,
        entry: dialect.RunnerEntry,
        reservation: runnerclient.Reservation,
        call: relayframes.Call,
    ) -> None:
        received_at = clocks.read_monotonic()
        self._server.calls += 1
        eliot.log_message(
            'gateway:relayed_call',
            attempt=call.attempt,
            runner=ids.parse_runner(entry.start),
            sent_by=self._host,
            left_ms=call.left_ms,
        )
        self._is_calling = True
        left_s = call.left_ms / MS_PER_S
        left_s -= clocks.read_monotonic() - received_at
        if left_s <= 0 or self._is_abandoned():
            # This host may have been suspended since it took the call.
            raise _Decline(
                relayframes.DeclineReason.UNSENDABLE, 'no time is left'
            )
        try:
            await self._forward(entry, reservation, call, left_s)
        except (webclient.Broken, h11.LocalProtocolError) as error:
            await self._report_failure(entry, call, error)

    async def _forward(
        self,
        entry: dialect.RunnerEntry,
        reservation: runnerclient.Reservation,
        call: relayframes.Call,
        left_s: float,
    ) -> None:
        tools = self._tools
        runner_call = runnerclient.Call(
            method=call.method,
            target=call.target,
            headers=tools.http_dialect.limit_time(call.headers, left_s),
            body=call.body,
            is_repeatable=call.is_repeatable,
            read_bytes=self._read_bytes,
        )
        async with reservation.send(runner_call) as answer:
            head = tools.http_dialect.read_answer(
                answer.status, answer.headers
            )
            answer.idle_s = head.idle_s
            if head.rest_s is not None:
                # Asked of the host that the runner sees, which is this one.
                now = clocks.read_monotonic()
                tools.rests.note(entry.start, head.rest_s, now)
            await self._send(relayframes.Head(answer.status, answer.headers))
            async for part in answer.iterate():
                await self._send(relayframes.Part(part))
            self._is_calling = False
            await self._send(relayframes.End())

    async def _report_failure(
        self,
        entry: dialect.RunnerEntry,
        call: relayframes.Call,
        error: Exception,
    ) -> None:
        if isinstance(error, webclient.Broken):
            await self._tools.crash_guard.report_cut(
                entry,
                ids.ContentKey(call.content),
                is_awaited=True,
                part_keys=self._tools.http_dialect.read_part_keys(
                    call.headers
                ),
            )
        self._is_calling = False
        detail = repr(error)[: relayframes.MAX_DETAIL_CHARS]
        is_garbled = isinstance(error, webclient.Garbled)
        await self._send(relayframes.Failed(detail, is_garbled))

    def _is_abandoned(self) -> bool:
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poller.poll(0))

    async def _send(self, frame: object) -> None:
        await self._link.send(relayframes.registry.pack(frame))


def _make_full_decline() -> _Decline:
    return _Decline(
        relayframes.DeclineReason.BUSY, 'the memory of the host is full'
    )
