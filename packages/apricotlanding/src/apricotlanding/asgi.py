"""Helpers for ASGI applications: request bodies, responses and a server.

``uvicorn`` parses HTTP and calls an ASGI application; the daemon's two
listeners and the stand-ins are such applications. ``Server`` runs one in an
anyio task and leaves signal handling to its owner.
"""

import asyncio
import collections.abc
import contextlib
import io
import json
import math
import socket
import typing as ty

import anyio
import uvicorn

from apricotlanding import addresses
from apricotlanding import connectionlimits
from apricotlanding import connections
from apricotlanding import errors

__all__ = [
    'App',
    'BodyTooLarge',
    'Disconnected',
    'Limits',
    'Receive',
    'Scope',
    'Send',
    'Server',
    'bind_address',
    'read_body',
    'read_headers',
    'send_json',
    'send_problem',
]

Scope = dict[str, ty.Any]
Message = dict[str, ty.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
App = collections.abc.Callable[
    [Scope, Receive, Send], collections.abc.Awaitable[None]
]
# Added to what callers are granted: what they send last is still on its way.
TIMEOUT_MARGIN_S = 1.0
# Connections that may wait to be accepted.
BACKLOG = 2048

HeaderList = list[tuple[bytes, bytes]]


@ty.final
class BodyTooLarge(Exception):
    """The request body exceeds the limit."""


@ty.final
class Disconnected(Exception):
    """The caller disconnected before its whole body had arrived."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return the request body; raises BodyTooLarge or Disconnected."""
    # Parts in a list would be held a second time while they are joined; what
    # ``getvalue`` returns shares the memory of the buffer.
    body = io.BytesIO()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise Disconnected
        body.write(message.get('body', b''))
        if body.tell() > limit:
            raise BodyTooLarge
        if not message.get('more_body', False):
            return body.getvalue()


def read_headers(scope: Scope) -> dict[str, str]:
    """Return the request headers with names in lower case."""
    return {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in scope['headers']
    }


async def start_response(
    send: Send, status: int, headers: HeaderList | None = None
) -> None:
    """Send the status and the headers."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers or [],
        }
    )


async def send_body_part(
    send: Send, data: bytes, is_last: bool = False
) -> None:
    """Send a part of the response body."""
    await send(
        {
            'type': 'http.response.body',
            'body': data,
            'more_body': not is_last,
        }
    )


async def send_json(
    send: Send,
    status: int,
    value: ty.Any,
    headers: HeaderList | None = None,
) -> None:
    """Send a complete JSON response."""
    all_headers = [(b'content-type', b'application/json'), *(headers or [])]
    await start_response(send, status, all_headers)
    await send_body_part(
        send, json.dumps(value).encode() + b'\n', is_last=True
    )


async def send_problem(
    send: Send,
    problem: errors.Problem,
    headers: HeaderList | None = None,
    **fields: ty.Any,
) -> None:
    """Send an error with its remedy and retry delay as the response."""
    all_headers = list(headers or [])
    value = fields | {
        'outcome': problem.outcome.value,
        'code': problem.code,
        'error': problem.text,
        'remedy': problem.remedy,
    }
    if problem.retry_after_s is not None:
        seconds = math.ceil(problem.retry_after_s)
        all_headers.append((b'retry-after', str(seconds).encode()))
        value['retry_after_s'] = problem.retry_after_s
    if problem.status == 401:
        all_headers.append((b'www-authenticate', b'Bearer'))
    await send_json(send, problem.status, value, all_headers)


@ty.final
class _SignalFreeServer(uvicorn.Server):
    # The daemon handles signals itself: uvicorn would abort requests that a
    # graceful stop lets finish.
    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield


class Limits(ty.Protocol):
    """Limits for callers that a configuration sets."""

    @property
    def idle_s(self) -> float:
        """Return how long a connection may have no request."""

    @property
    def head_s(self) -> float:
        """Return how long a head may take to arrive."""

    @property
    def max_body_bytes(self) -> int:
        """Return the most bytes of a body."""


def bind_address(address: addresses.Address) -> socket.socket:
    """Return a listening socket; raises OSError if it cannot be bound."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    return socket.create_server(
        (address.host, address.port), family=family, backlog=BACKLOG
    )


@ty.final
class Server:
    """An HTTP listener."""

    def __init__(
        self,
        app: App,
        *listen_addresses: addresses.Address,
        internal: collections.abc.Sequence[addresses.Address] = (),
        descriptors: int | None = None,
        on_refusal: connectionlimits.OnRefusal = connectionlimits.ignore,
    ) -> None:
        """Bind the addresses; raises OSError if one cannot be bound.

        Those that are ``internal`` are for operators and other systems; they
        have few connections. ``descriptors`` are the most that the process
        may open, if they are fewer than the system's limit. ``on_refusal``
        is called with what connections are refused for.
        """
        self._sockets = [
            bind_address(address) for address in (*listen_addresses, *internal)
        ]
        self._connections = connections.Connections(
            descriptors, {address.port for address in internal}, on_refusal
        )
        self._config = config = uvicorn.Config(
            app,
            loop='none',
            # The server only calls it.
            http=ty.cast(
                type[asyncio.Protocol], self._connections.make_protocol
            ),
            ws='none',
            interface='asgi3',
            # There is no proxy in front that rewrites client addresses.
            proxy_headers=False,
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=10,
            # The owner limits the wait by cancelling the task of ``serve``.
            timeout_graceful_shutdown=None,
        )
        self._server = _SignalFreeServer(config)
        self._closed = anyio.Event()

    async def serve(self) -> None:
        """Serve until ``stop`` is called and all connections are closed."""
        await self._server.serve(sockets=self._sockets)
        self._closed.set()

    def set_limits(self, limits: Limits) -> None:
        """Set what callers may do; the idle time holds for new connections.

        A body that comes in chunks may have as many bytes without content as
        a body may have in all.
        """
        self._config.timeout_keep_alive = math.ceil(
            limits.idle_s + TIMEOUT_MARGIN_S
        )
        self._connections.set_limits(
            limits.head_s + TIMEOUT_MARGIN_S, limits.max_body_bytes
        )

    def stop(self) -> None:
        """Close the listener and idle connections; others are completed."""
        self._server.should_exit = True

    async def wait_closed(self) -> None:
        """Wait until ``stop`` was called and all connections are closed.

        A connection is closed once the socket has accepted all data sent.
        """
        await self._closed.wait()

    def count_connections(self) -> int:
        """Return the number of open connections, including idle ones."""
        return len(self._server.server_state.connections)

    def count_unsent_bytes(self) -> int:
        """Return the bytes that are not yet written to the sockets."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self._server.server_state.connections
        )
