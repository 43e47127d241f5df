"""Length-prefixed msgpack frames over a byte stream.

A frame consists of its length in four bytes, big-endian, and that many bytes
of msgpack. The length is checked before the body is read, so that an untrusted
peer cannot make a daemon allocate memory.
"""

import struct
import typing as ty

import anyio.abc
import anyio.streams.buffered

from apricotlanding import codec

__all__ = ['CONNECTION_ERRORS', 'FrameStream']

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
        data = codec.pack_data(value)
        async with self._send_lock:
            await self._stream.send(_HEADER.pack(len(data)) + data)

    async def receive(self) -> ty.Any:
        """Receive a frame and return its value.

        Raises anyio.EndOfStream or anyio.IncompleteRead at the end of the
        stream and Refused (BAD_FRAME) for a frame that is too long or not
        msgpack.
        """
        header = await self._buffered.receive_exactly(_HEADER.size)
        (length,) = _HEADER.unpack(header)
        if length > self.limit_bytes:
            raise codec.make_frame_error(
                f'{length} bytes, {self.limit_bytes} are allowed'
            )
        data = await self._buffered.receive_exactly(length)
        return codec.unpack_data(data)

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
