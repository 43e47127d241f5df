"""Stand-in for the platform's append-only log.

Records are stored in memory. The faults are those that the users name: an
outage, slow replies, a reply that is lost after the append took effect, an
append that takes effect late, and retention of a limited number of records.
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

# Maximum number of records in the reply to one read.
_MAX_READ_RECORDS = 500


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in effect."""

    is_out: bool = False
    # Added to each reply, in seconds.
    delay_s: float = 0.0
    # Number of coming appends that take effect, but whose reply is lost.
    lost_replies: int = 0
    # Number of coming appends that return an error and take effect later.
    late_appends: int = 0
    late_s: float = 0.0
    # Appends of fewer bytes are exempt from the two faults above: daemons
    # append small records of their own at any time, which would consume a
    # fault that is meant for a bundle.
    spared_bytes: int = 0
    # Maximum number of records retained; 0 retains all.
    retention: int = 0


@ty.final
class LogService:
    """ASGI application that serves the log."""

    def __init__(self) -> None:
        """Create an empty log without faults."""
        self.faults = Faults()
        self.appends = 0
        self._first = 0
        self._records: list[bytes] = []
        self._arrived = anyio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
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
            # The connection's task continues after the reply: the record is
            # stored long after its sender has stopped waiting.
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
