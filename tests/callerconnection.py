"""A connection of the HTTP server without a network."""

import asyncio
import typing as ty

import uvicorn
from uvicorn import server as uvicornserver

from apricotlanding import asgi
from apricotlanding import connections

__all__ = ['CallerConnection', 'echo']

# Above this, a transport asks its protocol not to write.
HIGH_WATER_BYTES = 64 * 1024
# Passes of the event loop in which an application has answered a request.
PASSES = 12
# Most times that an answer is waited for so many passes.
MAX_WAITS = 100


async def echo(
    scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
) -> None:
    """Answer with the body, or at once if the path is not known."""
    status, body = 404, b''
    if scope['path'].startswith('/echo/'):
        try:
            body = await asgi.read_body(receive, 10**6)
        except asgi.Disconnected:
            return
        status = 200
    length = str(len(body)).encode()
    await asgi.start_response(send, status, [(b'content-length', length)])
    await asgi.send_body_part(send, body, is_last=True)


class _Transport(asyncio.Transport):
    def __init__(self, reads: bool) -> None:
        super().__init__()
        self._reads = reads
        self.protocol: asyncio.BufferedProtocol
        self.is_paused = False
        # What the caller has read, and what it has not.
        self.received = b''
        self.unread = 0
        self._is_closing = False

    def get_extra_info(self, name: str, default: ty.Any = None) -> ty.Any:
        return default

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._reads:
            self.received += data
            return
        self.unread += len(data)
        if self.unread > HIGH_WATER_BYTES:
            self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        return self.unread

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            asyncio.get_running_loop().call_soon(self._lose)

    abort = close

    def _lose(self) -> None:
        self.protocol.connection_lost(None)


class CallerConnection:
    """One caller's connection; use it within an event loop."""

    def __init__(
        self,
        shared: connections.Connections,
        app: ty.Any = echo,
        reads: bool = True,
    ) -> None:
        config = uvicorn.Config(
            app,
            loop='none',
            http=ty.cast(type[asyncio.Protocol], shared.make_protocol),
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
        )
        config.load()
        self._reader = shared.make_protocol(
            config=config,
            server_state=uvicornserver.ServerState(),
            app_state={},
            _loop=asyncio.get_running_loop(),
        )
        self.transport = _Transport(reads)
        self.transport.protocol = self._reader
        self._reader.connection_made(self.transport)
        # Bytes that the server took.
        self.taken = 0

    @property
    def received(self) -> bytes:
        """Return what the caller has read."""
        return self.transport.received

    def is_open(self) -> bool:
        return not self.transport.is_closing()

    async def send(self, data: bytes) -> bytes:
        """Send until the server reads no more; return the rest."""
        left = data
        while left and self.is_open():
            await self._settle()
            if self.transport.is_paused or not self.is_open():
                return left
            left = left[self._read(left) :]
        await self._settle()
        return left

    def offer(self, data: bytes) -> int:
        """Let the server read once; return how many bytes it took."""
        if not data or self.transport.is_paused or not self.is_open():
            return 0
        return self._read(data)

    async def _settle(self) -> None:
        for _ in range(PASSES):
            await asyncio.sleep(0)

    def _read(self, data: bytes) -> int:
        buffer = ty.cast(memoryview, self._reader.get_buffer(-1))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        self._reader.buffer_updated(size)
        self.taken += size
        return size

    async def wait_received(self, size: int) -> None:
        """Wait until the caller has read so many bytes, or is closed."""
        for _ in range(MAX_WAITS):
            if len(self.received) >= size or not self.is_open():
                return
            await self._settle()

    async def close(self) -> None:
        self.transport.close()
        await self._settle()
