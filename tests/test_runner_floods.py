"""What is held of answers that runners send without end; no network."""

import tracemalloc
import typing as ty

import anyio
import anyio.abc
import anyio.lowlevel
import testtools

from apricotlanding import addresses
from apricotlanding import webclient
from apricotlandingd.gateway.requests import runnerclient

MAX_HELD_BYTES = 400_000
FLOOD_BYTES = 4_000_000
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
# What comes first, and what is sent again and again then.
FLOODS = {
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'headers': (OK, b'a:\r\n'),
    'one header': (OK + b'a: ', b'b'),
    'trailers': (CHUNKED + b'1\r\nx\r\n0\r\n', b'a: b\r\n'),
    'one trailer': (CHUNKED + b'0\r\na: ', b'b'),
    'size lines': (CHUNKED, b'1;' + b'a' * 1000 + b'\r\nx\r\n'),
    'one size line': (CHUNKED + b'1;', b'a'),
    'small chunks': (CHUNKED, b'1\r\nx\r\n'),
    'blank lines': (b'', b'\r\n'),
    'answers': (b'', OK + b'Content-Length: 0\r\n\r\n'),
}


class _Flood(anyio.abc.ByteStream):
    # Sends without end.

    def __init__(self, first: bytes, filler: bytes) -> None:
        self._first = first
        self._part = filler * (runnerclient.READ_BYTES // len(filler))
        self.sent = 0

    async def receive(self, max_bytes: int = 65536) -> bytes:
        await anyio.lowlevel.checkpoint()
        data, self._first = self._first, b''
        data = (data or self._part)[:max_bytes]
        self.sent += len(data)
        return data

    async def send(self, item: bytes) -> None:
        return

    async def send_eof(self) -> None:
        return

    async def aclose(self) -> None:
        return


class RunnerFloodTest(testtools.TestCase):
    def check_flood(self, name: str) -> None:
        flood = _Flood(*FLOODS[name])

        async def dial(_address: addresses.Address) -> anyio.abc.ByteStream:
            return flood

        async def scenario() -> None:
            client = runnerclient.RunnerClient(
                addresses.Address('127.0.0.1', 1), ty.cast(ty.Any, dial)
            )
            call = runnerclient.Call('GET', '/', [(b'host', b'a')], b'', True)
            tracemalloc.start()
            try:
                before, _ = tracemalloc.get_traced_memory()
                async with client.open(call) as answer:
                    async for _part in answer.iterate():
                        if flood.sent > FLOOD_BYTES:
                            break
                    after, _ = tracemalloc.get_traced_memory()
                    self.assertLessEqual(after - before, MAX_HELD_BYTES, name)
            except webclient.Broken:
                self.assertLessEqual(flood.sent, MAX_HELD_BYTES, name)
            finally:
                _, most = tracemalloc.get_traced_memory()
                tracemalloc.stop()
            self.assertLessEqual(most - before, 10 * MAX_HELD_BYTES, name)

        anyio.run(scenario)

    def test_floods(self) -> None:
        """Guards against bytes of runners that no sum counts."""
        for name in FLOODS:
            with self.subTest(name):
                self.check_flood(name)
