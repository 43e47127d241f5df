"""HTTP interface for callers, the readiness check, and metrics.

One server listens on three addresses; the port of a connection tells which
of them a request is for.
"""

import collections.abc
import logging
import typing as ty

import eliot

from apricotlanding import addresses
from apricotlanding import asgi
from apricotlanding import refusals
from apricotlandingd.gateway.explanations import page
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.requests import exchange
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import heldsends
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['Listener']


@ty.final
class Listener:
    """The ASGI application of a gateway."""

    def __init__(
        self,
        shared: sharedstate.SharedState,
        readiness: addresses.Address,
        metrics: addresses.Address,
        is_ready: collections.abc.Callable[[], bool],
        gateway_measures: telemetry.MetricRegistry,
        placement_page: asgi.App,
    ) -> None:
        """Serve callers on every port except those of these two addresses.

        ``placement_page`` answers operators at the address for metrics.
        """
        self._shared = shared
        self._readiness_port = readiness.port
        self._metrics_port = metrics.port
        self._is_ready = is_ready
        self._telemetry = gateway_measures
        self._placement_page = placement_page
        # The server logs each answer that is cut on purpose as an error.
        logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
        # Requests that are not answered yet.
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
            if scope['path'] == page.PATH:
                await self._placement_page(scope, receive, send)
                return
            await _send_text(send, 200, self._telemetry.render())
            return
        held = None
        if self._shared.held_answers.is_counting:
            held = heldsends.HeldSend(self._shared.held_answers, scope, send)
        current = exchange.Exchange(self._shared, scope, receive, held or send)
        self._open.add(current)
        try:
            if held is None:
                await current.run()
            else:
                await held.serve(current.run)
        except Exception:
            # The server closes the connection, which does not say whether the
            # request was run.
            eliot.write_traceback()
            raise
        finally:
            self._open.remove(current)

    def count_refusal(self, refusal: refusals.Refusal) -> None:
        """Count what a connection was refused for."""
        self._telemetry.count(
            'connection_refusals_total', reason=refusal.value
        )

    @property
    def held_answers(self) -> heldanswers.HeldAnswers:
        """Return what is held for all callers."""
        return self._shared.held_answers

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._open)

    def end_requests(self) -> None:
        """End all requests, and answer each with whether it may have run."""
        for current in list(self._open):
            current.end()


async def _send_text(send: asgi.Send, status: int, text: str) -> None:
    body = text.encode()
    headers = [
        (b'content-type', b'text/plain; charset=utf-8'),
        (b'content-length', str(len(body)).encode()),
    ]
    await asgi.start_response(send, status, headers)
    await asgi.send_body_part(send, body, is_last=True)
