"""A graceful stop of the daemon with the native API."""

import json
import signal
import socket
import time

import pytest

from apricotstandins import callers
import systems

# How long the daemons under test accept new requests after SIGTERM.
DRAIN_GRACE_S = 0.3


@pytest.mark.processes
class TestStop(systems.SystemTestCase):
    """SIGTERM while a request is being received."""

    hosts = 3

    def test_request_whose_body_ends_after_the_grace_is_not_run(self) -> None:
        # Guards against an uninformative error for an at-most-once request
        # that has run. The head arrives within the grace period of a stop and
        # the body after it. The daemon accepted the request but did not count
        # it as open, and exited half a second later while a runner worked.
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, straggle=200.0)
        daemon = self.system.find_process('entry-1')
        key = callers.make_key()
        body = json.dumps(
            {'prompt': systems.make_prompt(20), 'max_tokens': 12}
        ).encode()
        with self._connect() as caller:
            caller.sendall(self._make_head(key, len(body)) + body[:20])
            time.sleep(0.3)
            daemon.send(signal.SIGTERM)
            time.sleep(DRAIN_GRACE_S + 0.5)
            caller.sendall(body[20:])
            answer = systems.read_all(caller)
        daemon.wait()
        self.assertEqual(0, self.system.count_executions(key))
        self.assertIn(b'"code": "APL205"', answer)

    def _connect(self) -> socket.socket:
        place = self.system.daemons['entry-1']
        host, _, port = place.callers.rpartition(':')
        found = socket.create_connection((host, int(port)))
        found.settimeout(30.0)
        return found

    def _make_head(self, key: str, length: int) -> bytes:
        lines = (
            'POST /v1/routes/rebuild HTTP/1.1',
            'Host: entry',
            f'Authorization: Bearer {systems.FESTIN}',
            'Content-Type: application/json',
            f'Idempotency-Key: {key}',
            f'Content-Length: {length}',
        )
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'
