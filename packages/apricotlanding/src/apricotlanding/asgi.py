"""What our HTTP applications share: bodies, answers, and a server to run.

``uvicorn`` parses HTTP and calls an ASGI application; the daemon's two
listeners and the stand-ins are such applications. ``Server`` runs one inside
an anyio task and leaves the signals to its owner.
"""

import collections.abc
import contextlib
import json
import math
import select
import socket
import typing as ty

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from apricotlanding import addresses
from apricotlanding import errors

__all__ = [
    'App',
    'BodyTooLarge',
    'Disconnected',
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
# Longest request line and headers, in bytes.
HEAD_LIMIT_BYTES = 64 * 1024
# Connections that may wait to be accepted.
BACKLOG = 2048

HeaderList = list[tuple[bytes, bytes]]


@ty.final
class BodyTooLarge(Exception):
    """The body is longer than allowed."""


@ty.final
class Disconnected(Exception):
    """The caller went away before its whole body had arrived."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return the whole body; raises BodyTooLarge or Disconnected."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise Disconnected
        part = message.get('body', b'')
        size += len(part)
        if size > limit:
            raise BodyTooLarge
        parts.append(part)
        if not message.get('more_body', False):
            return b''.join(parts)


def read_headers(scope: Scope) -> dict[str, str]:
    """Return the headers with names in lower case."""
    return {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in scope['headers']
    }


async def start_response(
    send: Send, status: int, headers: HeaderList | None = None
) -> None:
    """Send status and headers."""
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
    """Send a part of the body."""
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
    """Send a whole JSON answer."""
    found = [(b'content-type', b'application/json'), *(headers or [])]
    await start_response(send, status, found)
    await send_body_part(
        send, json.dumps(value).encode() + b'\n', is_last=True
    )


async def send_problem(
    send: Send,
    problem: errors.Problem,
    headers: HeaderList | None = None,
    **fields: ty.Any,
) -> None:
    """Answer with an error, its remedy, and when to come back."""
    found = list(headers or [])
    value = fields | {
        'outcome': problem.outcome.value,
        'code': problem.code,
        'error': problem.text,
        'remedy': problem.remedy,
    }
    if problem.retry_after_s is not None:
        seconds = math.ceil(problem.retry_after_s)
        found.append((b'retry-after', str(seconds).encode()))
        value['retry_after_s'] = problem.retry_after_s
    if problem.status == 401:
        found.append((b'www-authenticate', b'Bearer'))
    await send_json(send, problem.status, value, found)


@ty.final
class _BoundedProtocol(httptools_impl.HttpToolsProtocol):
    # The parser keeps every byte of a request's head until the head ends. A
    # caller that never ends it would fill the memory of the daemon, which
    # would be killed with all the requests that it carries.

    _is_head_open = False
    _head_bytes = 0
    # The server closes; what has come is still read and answered.
    _is_last = False

    def shutdown(self) -> None:
        # A connection that is idle for the program may hold a request: in
        # the socket, because the process did not run for a while, or as half
        # of a head. Closed now, its caller would get a reset and no word.
        # Anything that comes later meets a closed connection.
        is_idle = self.cycle is None or self.cycle.response_complete
        if is_idle and (self._is_head_open or self._has_unread()):
            self._is_last = True
            return
        super().shutdown()

    def _has_unread(self) -> bool:
        if self.transport.is_closing():
            return False
        poller = select.poll()
        raw = self.transport.get_extra_info('socket')
        poller.register(raw.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not self._is_head_open or self.transport.is_closing():
            return
        self._head_bytes += len(data)
        if self._head_bytes > HEAD_LIMIT_BYTES:
            self.send_400_response(
                f'The request line and headers are longer than {HEAD_LIMIT_BYTES}'
                ' bytes; send only the headers that the interface names.'
            )

    def on_message_begin(self) -> None:
        self._is_head_open = True
        self._head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._is_head_open = False
        super().on_headers_complete()
        if self._is_last:
            self.cycle.keep_alive = False


@ty.final
class _SignalFreeServer(uvicorn.Server):
    # The daemon decides what a signal means: uvicorn would cut the requests
    # that a graceful stop lets finish.
    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield


def bind_address(address: addresses.Address) -> socket.socket:
    """Return a listening socket; OSError if that cannot be."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    return socket.create_server(
        (address.host, address.port), family=family, backlog=BACKLOG
    )


@ty.final
class Server:
    """An HTTP listener."""

    def __init__(self, app: App, *places: addresses.Address) -> None:
        """Bind the addresses; OSError if that cannot be."""
        self._sockets = [bind_address(address) for address in places]
        self._config = config = uvicorn.Config(
            app,
            loop='none',
            http=_BoundedProtocol,
            ws='none',
            interface='asgi3',
            # Nothing stands between callers and us that rewrites addresses.
            proxy_headers=False,
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=10,
            # The owner bounds the wait, by ending the task of ``serve``.
            timeout_graceful_shutdown=None,
        )
        self._server = _SignalFreeServer(config)
        self._ended = anyio.Event()

    async def serve(self) -> None:
        """Serve until ``stop`` is called and no connection is left."""
        await self._server.serve(sockets=self._sockets)
        self._ended.set()

    def set_idle_timeout(self, seconds: float) -> None:
        """Set how long connections made from now on may stay unused."""
        self._config.timeout_keep_alive = math.ceil(seconds)

    def stop(self) -> None:
        """Close the listener and what is idle; answers under way go on."""
        self._server.should_exit = True

    async def wait_closed(self) -> None:
        """Wait until ``stop`` was called and no connection is left.

        A connection is gone when the socket has taken all that was sent.
        """
        await self._ended.wait()

    def count_connections(self) -> int:
        """Return the connections that are open, idle ones included."""
        return len(self._server.server_state.connections)

    def count_unsent(self) -> int:
        """Return the bytes of answers that no socket has taken yet."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self._server.server_state.connections
        )
