"""Connections that send without end, at a daemon with the native API."""

import anyio
import pytest

from apricotlanding import addresses
from apricotlandingd.gateway.process import processmemory
from apricotstandins import callers
import crowds
import systems

# By how much the daemon may grow for 40 connections: each with a body and an
# answer of 64 KB and 32 KB of objects, heads of 4 MB together, and 1.6 times
# that in the process.
MAX_GROWTH_BYTES = 18_000_000
HOST = 'Host: entry\r\n'
REQUEST = f'GET /gone HTTP/1.1\r\n{HOST}\r\n'.encode()
CHUNKED = f'POST /gone HTTP/1.1\r\n{HOST}Transfer-Encoding: chunked\r\n\r\n'
TRAILERS = CHUNKED.encode() + b'1\r\nx\r\n0\r\n'
pytestmark = [pytest.mark.alone, pytest.mark.processes]


class TestDaemonCrowds(systems.SystemTestCase):
    """A daemon stays within bounds, and serves an ordinary request."""

    hosts = 3

    def check_crowd(self, listener: str, head: bytes, filler: bytes) -> None:
        place = self.system.daemons['entry-1']
        pid = self.system.find_process('entry-1').pid
        before = processmemory.read_process_bytes(pid)
        most = before
        crowd = crowds.Crowd(addresses.parse_address(getattr(place, listener)))

        def is_over() -> bool:
            nonlocal most
            most = max(most, processmemory.read_process_bytes(pid))
            return most - before > MAX_GROWTH_BYTES

        async def send() -> None:
            await crowd.connect(crowds.CONNECTIONS)
            await crowd.send_all(head, filler, is_over)

        try:
            anyio.run(send)
            is_over()
            self.assertLessEqual(most - before, MAX_GROWTH_BYTES)
            self.assertIn(b'"outcome": "complete"', self.call())
        finally:
            crowd.close()
        self.assertTrue(self.system.find_process('entry-1').is_running())

    def call(self) -> bytes:
        """Return the answer to an ordinary request."""
        reply = callers.post_request(
            self.system.daemons['entry-1'].callers,
            'rebuild',
            systems.FESTIN,
            {'prompt': systems.make_prompt(5), 'max_tokens': 3},
            callers.make_key(),
        )
        return reply.body

    def test_trailers(self) -> None:
        """Guards against trailers that are kept."""
        self.check_crowd('callers', TRAILERS, b'a: b\r\n')

    def test_requests_sent_ahead(self) -> None:
        """Guards against requests that are parsed before their turn."""
        self.check_crowd('callers', b'', REQUEST)

    def test_operators_trailers(self) -> None:
        """Guards against trailers that are kept for operators."""
        self.check_crowd('operators', TRAILERS, b'a: b\r\n')

    def test_operators_requests_sent_ahead(self) -> None:
        """Guards against calls of operators parsed before their turn."""
        self.check_crowd('operators', b'', REQUEST)

    def test_frames_of_strangers(self) -> None:
        """Guards against frames that are read before a proof."""
        self.check_crowd('peers', b'\0\0\x0f\xff', b'x' * 1000)
