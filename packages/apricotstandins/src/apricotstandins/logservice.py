"""Stand-in for the platform's append-only log.

Records live in memory. The faults are those that the users name: an outage,
slow replies, a reply that is lost after the append took effect, an append
that takes effect late, and records that are kept for a limited count.
"""

import base64
import dataclasses
import json
import typing as ty
import urllib.parse

import anyio
import anyio.abc

from apricotlanding import asgi

__all__ = ['LogService']

# Most records in one answer to a read.
_MAX_READ_RECORDS = 500


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong now."""

    is_out: bool = False
    # Added to each reply, in seconds.
    delay_s: float = 0.0
    # Appends still to come that take effect while their reply is lost.
    lost_replies: int = 0
    # Appends still to come that fail now and take effect later.
    late_appends: int = 0
    late_s: float = 0.0
    # Appends of fewer bytes are spared by the two faults above. Daemons
    # append small records of their own at any time, and one of them would
    # take a fault that was meant for a bundle.
    spared_bytes: int = 0
    # Most records kept; 0 keeps all.
    retention: int = 0


@ty.final
class LogService:
    """The log, as an ASGI application."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.appends = 0
        self._first = 0
        self._records: list[bytes] = []
        self._arrived = anyio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        path = scope['path']
        body = await asgi.read_body(receive, 64 * 1024 * 1024)
        if path == '/standin/faults':
            await self._set_faults(body, send)
        elif self.faults.is_out:
            await asgi.send_json(send, 503, {'error': 'out'})
        elif path == '/append':
            await anyio.sleep(self.faults.delay_s)
            await self._append(body, send)
        elif path == '/records':
            await anyio.sleep(self.faults.delay_s)
            await self._read(scope, send)
        else:
            await asgi.send_json(send, 404, {'error': 'no such path'})

    async def _set_faults(self, body: bytes, send: asgi.Send) -> None:
        if body:
            self.faults = dataclasses.replace(
                self.faults, **_read_fields(body)
            )
            self._trim()
        state = dataclasses.asdict(self.faults)
        state['appends'] = self.appends
        state['next'] = self._first + len(self._records)
        await asgi.send_json(send, 200, state)

    async def _append(self, body: bytes, send: asgi.Send) -> None:
        is_exempt = len(body) < self.faults.spared_bytes
        if self.faults.late_appends > 0 and not is_exempt:
            self.faults.late_appends -= 1
            await asgi.send_json(send, 503, {'error': 'try again'})
            # The connection's task lives on after the answer: the record
            # lands when its sender has long given up.
            await anyio.sleep(self.faults.late_s)
            self._store(body)
            return
        offset = self._store(body)
        if self.faults.lost_replies > 0 and not is_exempt:
            self.faults.lost_replies -= 1
            await asgi.send_json(send, 503, {'error': 'reply lost'})
            return
        await asgi.send_json(send, 200, {'offset': offset})

    def _store(self, body: bytes) -> int:
        self.appends += 1
        self._records.append(body)
        self._trim()
        arrived, self._arrived = self._arrived, anyio.Event()
        arrived.set()
        return self._first + len(self._records) - 1

    def _trim(self) -> None:
        if self.faults.retention == 0:
            return
        excess = len(self._records) - self.faults.retention
        if excess <= 0:
            return
        del self._records[:excess]
        self._first += excess

    async def _read(self, scope: asgi.Scope, send: asgi.Send) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        start = int(query['from'][0])
        wait_s = int(query.get('wait_ms', ['0'])[0]) / 1000.0
        end = self._first + len(self._records)
        if start >= end:
            arrived = self._arrived
            with anyio.move_on_after(wait_s):
                await arrived.wait()
        if self.faults.is_out:
            await asgi.send_json(send, 503, {'error': 'out'})
            return
        begin = max(start, self._first)
        found = self._records[begin - self._first :][:_MAX_READ_RECORDS]
        records = [
            {
                'offset': begin + index,
                'data': base64.b64encode(data).decode(),
            }
            for index, data in enumerate(found)
        ]
        reply = {
            'first': self._first,
            'next': begin + len(found),
            'is_end': begin + len(found) == self._first + len(self._records),
            'records': records,
        }
        await asgi.send_json(send, 200, reply)


def _read_fields(body: bytes) -> dict[str, ty.Any]:
    return ty.cast('dict[str, ty.Any]', json.loads(body))
