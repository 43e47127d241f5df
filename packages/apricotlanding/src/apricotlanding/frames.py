"""Length-prefixed msgpack frames over a byte stream.

A frame is four bytes of length, most significant first, and that many bytes
of msgpack. The limit on the length is checked before anything is read, so a
peer that is not one of ours cannot make a daemon set memory aside.
"""

import struct
import typing as ty

import anyio.abc
import anyio.streams.buffered

from apricotlanding import codec

__all__ = ['CONNECTION_ERRORS', 'FrameStream']

# What using a connection raises when it has broken or was closed.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)

_HEADER = struct.Struct('>I')
# Longest frame that a peer may send, in bytes. The longest that we send is
# a report of claims, which is cut into parts well below this.
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
# Longest frame before a peer has proved who it is.
HANDSHAKE_LIMIT_BYTES = 4 * 1024


@ty.final
class FrameStream:
    """Frames over one connection; one reader, any number of writers."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._buffered = anyio.streams.buffered.BufferedByteReceiveStream(
            stream
        )
        self._send_lock = anyio.Lock()
        self.limit = HANDSHAKE_LIMIT_BYTES

    async def send(self, value: ty.Any) -> None:
        """Send one frame; anyio.BrokenResourceError if the peer is gone."""
        data = codec.pack_data(value)
        async with self._send_lock:
            await self._stream.send(_HEADER.pack(len(data)) + data)

    async def receive(self) -> ty.Any:
        """Return the next frame's value.

        Raises anyio.EndOfStream or anyio.IncompleteRead at the end of the
        stream and Refused (BAD_FRAME) for a frame that is too long or not
        msgpack.
        """
        header = await self._buffered.receive_exactly(_HEADER.size)
        (length,) = _HEADER.unpack(header)
        if length > self.limit:
            raise codec.make_frame_error(
                f'{length} bytes, {self.limit} are allowed'
            )
        data = await self._buffered.receive_exactly(length)
        return codec.unpack_data(data)

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
