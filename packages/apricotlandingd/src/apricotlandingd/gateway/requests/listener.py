"""HTTP from outside: callers, the readiness check, and metrics.

One server listens on three addresses; the port that a connection came to
says which of them a request is for.
"""

import collections.abc
import logging
import typing as ty

import eliot

from apricotlanding import addresses
from apricotlanding import asgi
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.requests import exchange
from apricotlandingd.gateway.requests import parts

__all__ = ['Listener']


@ty.final
class Listener:
    """The ASGI application of a gateway."""

    def __init__(
        self,
        shared: parts.Parts,
        readiness: addresses.Address,
        metrics: addresses.Address,
        is_ready: collections.abc.Callable[[], bool],
        found: telemetry.MetricRegistry,
    ) -> None:
        """Serve callers on every address that is not one of these two."""
        self._parts = shared
        self._readiness_port = readiness.port
        self._metrics_port = metrics.port
        self._is_ready = is_ready
        self._telemetry = found
        # The server reports each answer that we cut on purpose as an error.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        # Requests of callers that are not answered yet.
        self._open: set[exchange.Exchange] = set()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        port = scope['server'][1]
        if port == self._readiness_port:
            status = 200 if self._is_ready() else 503
            await _send_text(send, status, '')
            return
        if port == self._metrics_port:
            await _send_text(send, 200, self._telemetry.render())
            return
        found = exchange.Exchange(self._parts, scope, receive, send)
        self._open.add(found)
        try:
            await found.run()
        except Exception:
            # The server closes the connection, which promises nothing.
            eliot.write_traceback()
            raise
        finally:
            self._open.remove(found)

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._open)

    def end_requests(self) -> None:
        """Give up all requests, each with the answer that is true of it."""
        for found in list(self._open):
            found.end()


async def _send_text(send: asgi.Send, status: int, text: str) -> None:
    body = text.encode()
    headers = [
        (b'content-type', b'text/plain; charset=utf-8'),
        (b'content-length', str(len(body)).encode()),
    ]
    await asgi.start_response(send, status, headers)
    await asgi.send_body_part(send, body, is_last=True)
