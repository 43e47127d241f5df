"""Accepts connections of peers, few at a time until they are known.

What a connection sends before its peer is known takes memory and a descriptor.
Further connections wait unaccepted in the listener's queue, so that nothing
is held for them.
"""

import collections.abc
import functools
import socket
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import supervisor

__all__ = [
    'MAX_STRANGERS',
    'Handler',
    'Listener',
    'PeerListener',
    'serve_socket',
]

# Most connections whose peer is not known.
MAX_STRANGERS = 64
# Pause after a connection that could not be accepted, for want of descriptors.
RETRY_S = 0.1

# Serves a connection; called with what it calls once the peer is known.
Handler = collections.abc.Callable[
    [anyio.abc.SocketStream, collections.abc.Callable[[], None]],
    collections.abc.Awaitable[None],
]


class Listener(ty.Protocol):
    """What is needed of a listener."""

    async def accept(self) -> anyio.abc.SocketStream:
        """Return the next connection; raises OSError."""


@ty.final
class PeerListener:
    """Serves the connections of a listener."""

    def __init__(
        self, listener: Listener, most_strangers: int = MAX_STRANGERS
    ) -> None:
        """Accept connections once ``serve`` is called."""
        self._listener = listener
        self._slots = anyio.Semaphore(most_strangers)

    async def serve(self, handler: Handler) -> None:
        """Serve connections until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._slots.acquire()
                try:
                    stream = await self._listener.accept()
                except OSError as error:
                    self._slots.release()
                    eliot.log_message('peers:accept_failed', error=repr(error))
                    await anyio.sleep(RETRY_S)
                    continue
                group.start_soon(self._run, handler, stream)

    async def _run(
        self, handler: Handler, stream: anyio.abc.SocketStream
    ) -> None:
        slot = _Slot(self._slots)
        try:
            await supervisor.run_guarded(
                functools.partial(handler, stream, slot.release)
            )
        finally:
            slot.release()


async def serve_socket(listening: socket.socket, handler: Handler) -> None:
    """Serve the connections of a bound socket until cancelled."""
    listening.setblocking(False)
    listener = await anyio.abc.SocketListener.from_socket(listening)
    async with listener:
        await PeerListener(listener).serve(handler)


@ty.final
class _Slot:
    # A slot that is released once.

    def __init__(self, slots: anyio.Semaphore) -> None:
        self._slots: anyio.Semaphore | None = slots

    def release(self) -> None:
        slots, self._slots = self._slots, None
        if slots is not None:
            slots.release()
