"""The connections of an HTTP server."""

import asyncio
import collections.abc
import typing as ty

from apricotlanding import boundedprotocol
from apricotlanding import connectionlimits

__all__ = ['Connections']


@ty.final
class _BoundedReader(asyncio.BufferedProtocol):
    # Reads a connection in parts as large as its protocol chooses; the event
    # loop would read several times as much.

    def __init__(
        self, protocol: boundedprotocol.BoundedProtocol, buffer: memoryview
    ) -> None:
        self._protocol = protocol
        # Shared by all connections: what is read is taken at once.
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._protocol.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer[: self._protocol.choose_read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        self._protocol.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> None:
        self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()


@ty.final
class Connections:
    """Makes the connections of a server, and what they share."""

    def __init__(
        self,
        descriptors: int | None = None,
        internal_ports: collections.abc.Set[int] = frozenset(),
        on_refusal: connectionlimits.OnRefusal = connectionlimits.ignore,
    ) -> None:
        """Start without connections.

        ``descriptors`` are those that the process may open; by default as
        many as the system lets it. ``internal_ports`` are those of listeners
        for operators and other systems, which have few connections.
        ``on_refusal`` is called with what connections are refused for.
        """
        self._buffer = memoryview(bytearray(boundedprotocol.READ_BYTES))
        self._shared = boundedprotocol.Limits(
            descriptors, internal_ports, on_refusal
        )

    def make_protocol(self, **options: ty.Any) -> asyncio.BufferedProtocol:
        """Return what reads a new connection."""
        protocol = boundedprotocol.BoundedProtocol(self._shared, **options)
        return _BoundedReader(protocol, self._buffer)

    def set_limits(self, head_timeout_s: float, framing_bytes: int) -> None:
        """Set the time that a head may take, and what chunks may add.

        ``framing_bytes`` are those of a chunked body that are no content.
        """
        self._shared.head_timeout_s = head_timeout_s
        self._shared.framing_bytes = framing_bytes
