"""HTTP client for the platform, backend servers and daemons.

A thin layer over ``httpcore``: one connection pool for each address, timeouts
on every step, and two kinds of error that a scheduler has to distinguish.
``NotSent`` means that no byte of the request has left this process, so the
server cannot have acted on it; ``Broken`` means that it may have.
"""

import collections.abc
import contextlib
import dataclasses
import json
import typing as ty

import httpcore

from apricotlanding import addresses
from apricotlanding import plainjson
from apricotlanding import sockets

__all__ = [
    'Broken',
    'Garbled',
    'NotSent',
    'Reply',
    'Response',
    'WebClient',
    'WebError',
]

Headers = list[tuple[bytes, bytes]]

# Hosts are milliseconds apart.
CONNECT_TIMEOUT_S = 1.0


class WebError(Exception):
    """The call failed."""


@ty.final
class NotSent(WebError):
    """No connection could be made; nothing was sent."""


class Broken(WebError):
    """The connection broke after the request may have been sent."""


@ty.final
class Garbled(Broken):
    """The response is malformed; the peer may be another program."""


@ty.final
@dataclasses.dataclass(slots=True)
class Response:
    """A status, headers, and a body that is streamed."""

    status: int
    headers: dict[bytes, bytes]
    _raw: httpcore.Response

    async def iterate(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raises Broken if it is truncated."""
        try:
            async for part in self._raw.aiter_stream():
                yield part
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise Broken(repr(error)) from error
        except httpcore.ProtocolError as error:
            raise Broken(repr(error)) from error

    async def read(self, limit: int) -> bytes:
        """Return the body; raises Broken if it is longer than ``limit``."""
        parts: list[bytes] = []
        size = 0
        async for part in self.iterate():
            size += len(part)
            if size > limit:
                raise Broken(f'the answer is longer than {limit} bytes')
            parts.append(part)
        return b''.join(parts)


class Reply(ty.NamedTuple):
    """A complete response; the names of headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@ty.final
class WebClient:
    """Client of the server at one address."""

    def __init__(
        self,
        address: addresses.Address,
        max_connections: int = 1000,
        read_timeout: float = 30.0,
        has_tcp_keepalive: bool = False,
    ) -> None:
        """Create a connection pool; connections are opened on demand.

        ``read_timeout`` limits the wait for each part of a response, in
        seconds. With TCP keepalive, dead connections are detected soon; see
        ``sockets``.
        """
        self.address = address
        self.has_tcp_keepalive = has_tcp_keepalive
        self._base = f'http://{address}'
        self._read_timeout = read_timeout
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            # Below the idle timeout of uvicorn: a request on a connection
            # that the server has just closed would fail as Broken although it
            # was never read.
            keepalive_expiry=2.0,
            socket_options=sockets.KEEPALIVE_OPTIONS
            if has_tcp_keepalive
            else None,
        )

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
        read_timeout: float | None = None,
    ) -> collections.abc.AsyncIterator[Response]:
        """Send a request and yield its response.

        Raises NotSent or Broken.
        """
        timeout = {
            'connect': CONNECT_TIMEOUT_S,
            'read': read_timeout or self._read_timeout,
            'write': 10.0,
            'pool': CONNECT_TIMEOUT_S,
        }
        try:
            context = self._pool.stream(
                method,
                self._base + path,
                headers=[(b'Host', str(self.address).encode())]
                + (headers or []),
                content=body,
                extensions={'timeout': timeout},
            )
            raw = await context.__aenter__()
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise NotSent(repr(error)) from error
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise Broken(repr(error)) from error
        try:
            response_headers = {
                name.lower(): value for name, value in raw.headers
            }
            yield Response(raw.status, response_headers, raw)
        finally:
            await context.__aexit__(None, None, None)

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
        read_timeout: float | None = None,
        limit: int = 64 * 1024 * 1024,
    ) -> tuple[int, bytes]:
        """Return status and body; raises NotSent or Broken."""
        reply = await self.request(
            method, path, headers, body, read_timeout, limit
        )
        return reply.status, reply.body

    async def request(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
        read_timeout: float | None = None,
        limit: int = 64 * 1024 * 1024,
    ) -> Reply:
        """Return a complete response; raises NotSent or Broken."""
        async with self.open(
            method, path, headers, body, read_timeout
        ) as response:
            return Reply(
                response.status, response.headers, await response.read(limit)
            )

    async def call_json(
        self,
        method: str,
        path: str,
        value: ty.Any = None,
        headers: Headers | None = None,
        read_timeout: float | None = None,
    ) -> tuple[int, ty.Any]:
        """Send and receive JSON; raises NotSent or Broken."""
        body = b'' if value is None else json.dumps(value).encode()
        status, data = await self.call(
            method, path, headers, body, read_timeout
        )
        try:
            return status, plainjson.parse(data) if data else None
        except ValueError as error:
            raise Broken(f'not JSON: {error}') from error

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
