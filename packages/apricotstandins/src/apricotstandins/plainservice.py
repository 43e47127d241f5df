"""Stand-in for a plain service, such as the manifest store.

``POST /ROUTE`` takes a JSON object and returns one that contains the
idempotency key. Like an engine, the service reports executions by key at
``/standin/witness``.
"""

import collections
import dataclasses
import json
import typing as ty

import anyio

from apricotlanding import asgi

__all__ = ['PlainService']

_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in effect."""

    delay_s: float = 0.0
    # Accept calls, but answer none while this is set.
    is_frozen: bool = False
    # Reject calls and report that they were not accepted.
    is_refusing: bool = False
    # Execute this many calls, but close the connection instead of answering.
    cut_answers: int = 0


@ty.final
class PlainService:
    """ASGI application that emulates the service."""

    def __init__(self, name: str) -> None:
        """Create a service without faults."""
        self.name = name
        self.faults = Faults()
        self.executions: collections.Counter[str] = collections.Counter()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        body = await asgi.read_body(receive, 16 * 1024 * 1024)
        path = scope['path']
        if path == '/standin/faults':
            if body:
                self.faults = dataclasses.replace(
                    self.faults, **json.loads(body)
                )
            await asgi.send_json(send, 200, dataclasses.asdict(self.faults))
            return
        if path == '/standin/witness':
            found = {'executions': dict(self.executions)}
            await asgi.send_json(send, 200, found)
            return
        if self.faults.is_refusing:
            await asgi.send_json(
                send,
                503,
                {'error': 'not taken'},
                [(b'apricot-not-taken', b'1')],
            )
            return
        key = asgi.read_headers(scope).get('idempotency-key', '')
        self.executions[key] += 1
        await anyio.sleep(self.faults.delay_s)
        while self.faults.is_frozen:
            await anyio.sleep(_POLL_INTERVAL_S)
        if self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            raise ConnectionAbortedError('cut by the stand-in')
        reply = {'key': key, 'service': self.name, 'path': path}
        await asgi.send_json(send, 200, reply)
