"""Stand-in for a plain service, such as the manifest store.

``POST /ROUTE`` takes a JSON object and answers with one that names the key.
The witness counts executions by key, as the engines' does.
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
    """What goes wrong now."""

    delay_s: float = 0.0
    # Take calls and answer none until this is over.
    is_frozen: bool = False
    # Refuse calls, saying that they were not taken.
    is_refusing: bool = False
    # Run this many calls and cut the connection in place of an answer.
    cut_answers: int = 0


@ty.final
class PlainService:
    """The service, as an ASGI application."""

    def __init__(self, name: str) -> None:
        """Start without faults."""
        self.name = name
        self.faults = Faults()
        self.executions: collections.Counter[str] = collections.Counter()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
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
