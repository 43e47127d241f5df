"""Connections of this host to one relay host.

A connection carries one call at a time and is kept for the next. Each error
says whether the call may have run:

* ``Declined``: the relay host has sent nothing to the runner.
* ``HostUnreachable``: no reservation was made; nothing was sent either.
* ``HostLost``: the connection broke after the call was sent.
* ``RunnerLost``, ``webclient.Garbled``: the relay host says that the call
  failed at the runner.
"""

import collections.abc
import contextlib
import select
import typing as ty

import anyio
import anyio.abc

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import ids
from apricotlanding import sockets
from apricotlanding import webclient
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.relays import relayframes
from apricotlandingd.gateway.relays import relayhandshake
from apricotlandingd.gateway.requests import runnerclient

__all__ = [
    'Declined',
    'HostLost',
    'HostUnreachable',
    'RelayAnswer',
    'RelayClient',
    'RelayReservation',
    'RunnerLost',
]

# Hosts are milliseconds apart.
CONNECT_TIMEOUT_S = 0.25
# Time for a reservation: the relay host may have to connect to the runner.
RESERVE_TIMEOUT_S = 0.6
# Longest idle time of a connection that is used again, below the time after
# which the relay host closes it.
MAX_IDLE_S = 5.0
MS_PER_S = 1000

_FAILURES = (*frames.CONNECTION_ERRORS, errors.Refused)


class Declined(Exception):
    """The relay host takes no call for the runner, and has sent nothing."""

    def __init__(self, reason: relayframes.DeclineReason, detail: str) -> None:
        """Keep the reason that it gave."""
        super().__init__(f'{reason.value} {detail}'.strip())
        self.reason = reason


class HostUnreachable(Exception):
    """The relay host gave no reservation; nothing was sent."""


class HostLost(webclient.Broken):
    """The relay host, or the way to it, was lost during a call."""


class RunnerLost(webclient.Broken):
    """The runner cut the call, by the relay host's word."""


@ty.final
class RelayAnswer:
    """Status and headers of an answer whose body is still arriving."""

    def __init__(self, link: '_Link', head: relayframes.Head) -> None:
        """Wrap what a connection has received so far."""
        self.status = head.status
        self.headers: dialect.HeaderList = head.headers
        self.is_complete = False
        # Kept for the relay host's connection to the runner; unused here.
        self.idle_s: float | None = None
        self._link = link

    async def iterate(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raises Broken if it is cut."""
        while True:
            frame = await self._link.receive_answer()
            if isinstance(frame, relayframes.End):
                self.is_complete = True
                return
            if not isinstance(frame, relayframes.Part):
                raise HostLost('a frame that is no part of an answer')
            yield frame.data


@ty.final
class RelayClient:
    """Connections to one relay host."""

    def __init__(
        self,
        host: ids.Host,
        own_ip: str,
        identity: relayhandshake.Identity,
    ) -> None:
        """Start without connections; ``own_ip`` is this host's address."""
        self.host = host
        self._own_ip = own_ip
        self._identity = identity
        self._idle: list[_Link] = []
        # Calls and reservations in progress.
        self.active = 0
        # Calls that it carried for all hosts, by its last reservation.
        self.load = 0
        # Where it is; known after the first connection.
        self.domain: ids.Domain | None = None

    @contextlib.asynccontextmanager
    async def reserve(
        self,
        address: addresses.Address,
        reserve: relayframes.Reserve,
    ) -> collections.abc.AsyncIterator['RelayReservation']:
        """Yield a reservation; raises Declined or HostUnreachable.

        Leaving the context in the middle of a call ends it.
        """
        self.active += 1
        link: _Link | None = None
        try:
            link = await self._reserve(address, reserve)
            reservation = RelayReservation(link)
            yield reservation
            if reservation.is_finished():
                self._keep(link)
                link = None
        finally:
            self.active -= 1
            if link is not None:
                with anyio.CancelScope(shield=True):
                    await link.close()

    async def close_expired(self, now: float) -> None:
        """Close connections that were idle for too long."""
        expired = [link for link in self._idle if link.is_expired(now)]
        self._idle = [link for link in self._idle if link not in expired]
        for link in expired:
            await link.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _reserve(
        self,
        address: addresses.Address,
        reserve: relayframes.Reserve,
    ) -> '_Link':
        link = await self._pop_idle(clocks.read_monotonic())
        try:
            if link is None:
                link = await self._connect(address)
            with anyio.fail_after(RESERVE_TIMEOUT_S):
                reply = await link.ask(reserve)
        except _FAILURES as error:
            if link is not None:
                await link.close()
            raise HostUnreachable(repr(error)) from error
        except BaseException:
            # The caller has left, or another host was faster.
            if link is not None:
                with anyio.CancelScope(shield=True):
                    await link.close()
            raise
        if isinstance(reply, relayframes.Declined):
            self._keep(link)
            raise Declined(reply.reason, reply.detail)
        if not isinstance(reply, relayframes.Reserved):
            await link.close()
            raise HostUnreachable('no reply to a reservation')
        self.load = reply.load
        return link

    async def _connect(self, address: addresses.Address) -> '_Link':
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            # From this host's own address, which the others know.
            stream = await anyio.connect_tcp(
                address.host, address.port, local_host=self._own_ip
            )
        sockets.enable_keepalive(
            stream.extra(anyio.abc.SocketAttribute.raw_socket)
        )
        link = _Link(stream)
        try:
            greeting = await relayhandshake.dial_host(
                link.frames, self._identity
            )
        except BaseException:
            with anyio.CancelScope(shield=True):
                await link.close()
            raise
        self.domain = greeting.domain
        return link

    async def _pop_idle(self, now: float) -> '_Link | None':
        while self._idle:
            link = self._idle.pop()
            if not link.is_expired(now) and not link.is_readable():
                return link
            await link.close()
        return None

    def _keep(self, link: '_Link') -> None:
        link.idle_at = clocks.read_monotonic()
        self._idle.append(link)


@ty.final
class RelayReservation:
    """A connection to a runner that a relay host holds for one call."""

    def __init__(self, link: '_Link') -> None:
        """Hold a connection to the relay host."""
        self._link = link
        self._answer: RelayAnswer | None = None
        self._is_released = False

    def is_finished(self) -> bool:
        """Tell whether another reservation may follow on the connection."""
        if self._is_released:
            return True
        return self._answer is not None and self._answer.is_complete

    async def release(self) -> None:
        """Give the connection to the runner back without a call."""
        try:
            await self._link.send(relayframes.Release())
        except frames.CONNECTION_ERRORS:
            # It ends with the connection.
            return
        self._is_released = True

    async def call(
        self,
        call: runnerclient.Call,
        attempt: str,
        content: ids.ContentKey,
    ) -> RelayAnswer:
        """Send the call; return its answer.

        Raises Declined, HostLost or Broken.
        """
        if (
            len(call.body) > relayframes.MAX_BODY_BYTES
            or len(call.headers) > relayframes.MAX_HEADERS
        ):
            raise Declined(
                relayframes.DeclineReason.UNSENDABLE, 'too large for a frame'
            )
        left_s = max(0.0, call.deadline_at - clocks.read_monotonic())
        frame = relayframes.Call(
            attempt=attempt[: relayframes.MAX_ATTEMPT_CHARS],
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            is_repeatable=call.is_repeatable,
            left_ms=round(left_s * MS_PER_S),
            content=content,
        )
        try:
            await self._link.send(frame)
        except frames.CONNECTION_ERRORS as error:
            raise HostLost(repr(error)) from error
        reply = await self._link.receive_answer()
        if isinstance(reply, relayframes.Declined):
            raise Declined(reply.reason, reply.detail)
        if not isinstance(reply, relayframes.Head):
            raise HostLost('no head of an answer')
        self._answer = RelayAnswer(self._link, reply)
        return self._answer


@ty.final
class _Link:
    """One connection to a relay host."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.frames = frames.FrameStream(stream)
        self._stream = stream
        self.idle_at = 0.0

    def is_expired(self, now: float) -> bool:
        return now - self.idle_at > MAX_IDLE_S

    def is_readable(self) -> bool:
        # Closed, or out of step.
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLIN | select.POLLHUP)
        return bool(poller.poll(0))

    async def send(self, frame: object) -> None:
        await self.frames.send(relayframes.registry.pack(frame))

    async def ask(self, frame: object) -> object:
        await self.send(frame)
        return self._unpack(await self.frames.receive())

    async def receive_answer(self) -> object:
        """Receive a frame of an answer; raises HostLost or Broken."""
        try:
            frame = self._unpack(await self.frames.receive())
        except _FAILURES as error:
            raise HostLost(repr(error)) from error
        if isinstance(frame, relayframes.Failed):
            if frame.is_garbled:
                raise webclient.Garbled(frame.detail)
            raise RunnerLost(frame.detail)
        return frame

    def _unpack(self, data: ty.Any) -> object:
        return relayframes.registry.unpack(data)

    async def close(self) -> None:
        await self.frames.close()
