"""Bodies of the daemon's open requests."""

import json
import socket
import time
from unittest import mock
import weakref

import testtools

from apricotlandingd.requests import openbodies
from apricotlandingd.requests import runs
from apricotstandins import callers
from apricotstandins import deployment
import systems

LIMIT_BYTES = 100_000
BODY_BYTES = 60_000


class OpenBodiesTest(systems.SystemTestCase):
    """A daemon whose settings allow fewer bodies than callers send."""

    hosts = 1

    def configure(self) -> None:
        self.system.extra_settings['open_body_bytes'] = LIMIT_BYTES
        self.system.bundle_overrides['limits'] = {'body_bytes': LIMIT_BYTES}

    def open_stalled(self, *lines: str) -> socket.socket:
        """Send a request whose body does not come."""
        host, _, port = self.system.daemons['entry-1'].callers.rpartition(':')
        connection = socket.create_connection((host, int(port)), 5.0)
        self.addCleanup(connection.close)
        head = (
            'POST /v1/routes/rebuild HTTP/1.1',
            'Host: x',
            f'Authorization: Bearer {deployment.FESTIN_TOKEN}',
            f'Idempotency-Key: {callers.make_key()}',
            *lines,
        )
        connection.sendall('\r\n'.join(head).encode() + b'\r\n\r\n')
        time.sleep(0.3)
        return connection

    def post_large(self) -> callers.Reply:
        prompt = 'word ' * (BODY_BYTES // 5)
        body = {'prompt': prompt, 'max_tokens': 2}
        self.assertGreater(len(json.dumps(body)), BODY_BYTES)
        return self.post('entry-1', 'rebuild', body, callers.make_key())

    def check_stalled(self, *lines: str) -> None:
        self.assertEqual(200, self.post_large().status)
        connection = self.open_stalled(*lines)
        reply = self.post_large()
        self.assertEqual(503, reply.status)
        self.assertEqual('1', reply.headers['retry-after'])
        connection.close()
        time.sleep(0.3)
        self.assertEqual(200, self.post_large().status)

    def test_many_bodies_after_each_other_have_room(self) -> None:
        """Guards against bodies that count after their requests ended."""
        for _ in range(5):
            self.assertEqual(200, self.post_large().status)

    def test_body_that_is_announced_takes_room(self) -> None:
        """Guards against a daemon that is killed for its memory."""
        self.check_stalled(f'Content-Length: {BODY_BYTES}')

    def test_body_without_a_length_takes_the_most(self) -> None:
        """Guards against bodies without a length that no sum counts."""
        self.check_stalled('Transfer-Encoding: chunked')


class DroppedBodiesTest(testtools.TestCase):
    """The sum without a daemon."""

    def test_ended_requests_are_not_kept(self) -> None:
        """Guards against a list that grows with each request."""
        bodies = openbodies.OpenBodies(10**9)
        for _ in range(1000):
            run = mock.Mock(state=runs.RunState.ENDED)
            bodies.hold(run, 100)
        self.assertLessEqual(len(bodies._held), openbodies.MIN_DROP_COUNT)
        last = weakref.ref(run)
        del run
        self.assertIsNone(last())
