"""Length-prefixed msgpack frames over a byte stream.

A frame consists of its length in four bytes, big-endian, and that many bytes
of msgpack. The length is checked before the body is read, so that an untrusted
peer cannot make a daemon allocate memory. Its content is held once while it is
sent, and while it arrives.
"""

import collections.abc
import io
import struct
import typing as ty

import anyio.abc
import anyio.streams.buffered

from apricotlanding import codec

__all__ = ['CONNECTION_ERRORS', 'Dropped', 'FrameStream']

# Raised by operations on a connection that is broken or closed.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)

_HEADER = struct.Struct('>I')
# Largest frame that a peer may send. The largest frames of a daemon are claim
# reports, which are split into messages well below this limit.
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
# Largest frame before the peer is authenticated.
HANDSHAKE_LIMIT_BYTES = 4 * 1024
# Most bytes that a connection gets, or is asked for, at once.
PART_BYTES = 64 * 1024


@ty.final
class Dropped(Exception):
    """A frame was read and dropped, as there was no room for it."""


@ty.final
class FrameStream:
    """Frames over a connection, for one reader and any number of writers."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._buffered = anyio.streams.buffered.BufferedByteReceiveStream(
            stream
        )
        self._send_lock = anyio.Lock()
        self.limit_bytes = HANDSHAKE_LIMIT_BYTES

    async def send(self, value: ty.Any) -> None:
        """Send a frame; anyio.BrokenResourceError if the peer is gone."""
        first, *rest = codec.pack_parts(value)
        header = _HEADER.pack(len(first) + sum(map(len, rest)))
        async with self._send_lock:
            await self._stream.send(header + first)
            if rest:
                await self._send_rest(rest)

    async def _send_rest(self, parts: list[bytes]) -> None:
        try:
            for part in parts:
                for start in range(0, len(part), PART_BYTES):
                    await self._stream.send(part[start : start + PART_BYTES])
        except BaseException:
            # What follows half a frame could not be read.
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()
            raise

    async def receive(
        self, admit: collections.abc.Callable[[int], bool] = lambda size: True
    ) -> ty.Any:
        """Receive a frame and return its value.

        ``admit`` is called with its length before it is read; if it returns
        False, the frame is dropped and Dropped is raised. Raises
        anyio.EndOfStream or anyio.IncompleteRead at the end of the stream and
        Refused (BAD_FRAME) for a frame that is too long or not msgpack.
        """
        header = await self._buffered.receive_exactly(_HEADER.size)
        (length,) = _HEADER.unpack(header)
        if length > self.limit_bytes:
            raise codec.make_frame_error(
                f'{length} bytes, {self.limit_bytes} are allowed'
            )
        if not admit(length):
            await self._drop(length)
            raise Dropped
        return codec.unpack_data(await self._receive_exactly(length))

    async def _receive_exactly(self, length: int) -> bytes:
        # Its content is not copied, unlike that of the buffered stream.
        data = io.BytesIO()
        while data.tell() < length:
            data.write(await self._receive_part(length - data.tell()))
        return data.getvalue()

    async def _drop(self, length: int) -> None:
        while length:
            length -= len(await self._receive_part(length))

    async def _receive_part(self, length: int) -> bytes:
        try:
            return await self._buffered.receive(min(length, PART_BYTES))
        except anyio.EndOfStream as error:
            raise anyio.IncompleteRead from error

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
