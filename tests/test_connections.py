"""What one connection holds, whatever its caller sends; no network."""

import asyncio
import tracemalloc
import unittest.mock

import hypothesis
from hypothesis import strategies
import testtools

from apricotlanding import boundedprotocol
from apricotlanding import connectionlimits
from apricotlanding import connections
from apricotlanding import framing
import callerconnection
import fuzzing

# What one connection may hold, with the objects of its request: of the body
# as much as is read ahead of the application, and the same of an answer.
MAX_HELD_BYTES = 400_000
# Most bytes of a body in chunks that are no content.
MAX_FRAMING_BYTES = 100_000
# What each flood sends.
FLOOD_BYTES = 2_000_000
# Passes of the event loop in which all that is sent is answered.
MAX_PASSES = 20_000
HOST = b'Host: api.example\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
GONE = b'POST /gone/ HTTP/1.1\r\n' + HOST
ECHO = b'POST /echo/ HTTP/1.1\r\n' + HOST
# What comes first, and what is sent again and again then.
FLOODS = {
    'trailers': (ECHO + CHUNKED + b'1\r\nx\r\n0\r\n', b'a: b\r\n'),
    'refused trailers': (GONE + CHUNKED + b'1\r\nx\r\n0\r\n', b'a: b\r\n'),
    'one trailer': (ECHO + CHUNKED + b'0\r\na: ', b'b'),
    'requests': (b'', b'GET /gone/ HTTP/1.1\r\n' + HOST + b'\r\n'),
    'uploads': (b'', ECHO + b'Content-Length: 4\r\n\r\nbody'),
    'size lines': (ECHO + CHUNKED, b'1;' + b'a' * 1000 + b'\r\nx\r\n'),
    'refused size lines': (GONE + CHUNKED, b'1;' + b'a' * 90 + b'\r\nx\r\n'),
    'one size line': (ECHO + CHUNKED + b'1;', b'a'),
    'zeros': (ECHO + CHUNKED, b'0'),
    'small chunks': (ECHO + CHUNKED, b'1\r\nx\r\n'),
    'refused small chunks': (GONE + CHUNKED, b'1\r\nx\r\n'),
    'blank lines': (b'', b'\r\n'),
    'bare line feeds': (b'', b'\n'),
    'headers': (b'GET /gone/ HTTP/1.1\r\n', b'a:\r\n'),
    'one header': (b'GET /gone/ HTTP/1.1\r\na: ', b'b'),
    'request line': (b'GET /', b'a'),
    'unwanted body': (GONE + b'Content-Length: 9999999\r\n\r\n', b'x'),
    'expectations': (b'', GONE + b'Expect: 100-continue\r\n\r\n'),
    'read expectations': (b'', ECHO + b'Expect: 100-continue\r\n\r\n'),
}
# Floods of which no end comes: the server has to close them.
ENDLESS = set(FLOODS) - {
    'requests',
    'uploads',
    'expectations',
    'read expectations',
    'unwanted body',
}


class FloodTest(testtools.TestCase):
    """A connection that sends without end and reads nothing."""

    def check_flood(self, name: str, reads: bool) -> bool:
        first, filler = FLOODS[name]
        repeated = filler * (FLOOD_BYTES // len(filler))

        async def scenario() -> bool:
            shared = connections.Connections()
            shared.set_limits(10.0, MAX_FRAMING_BYTES)
            caller = callerconnection.CallerConnection(shared, reads=reads)
            await caller.send(b'GET /gone/ HTTP/1.1\r\n' + HOST + b'\r\n')
            tracemalloc.start()
            try:
                before, _ = tracemalloc.get_traced_memory()
                await caller.send(first + repeated)
                after, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            held = after - before - len(caller.received)
            self.assertLessEqual(held, MAX_HELD_BYTES, name)
            is_open = caller.is_open()
            await caller.close()
            return is_open

        return asyncio.run(scenario())

    def test_unread_floods(self) -> None:
        """Guards against bytes that no sum counts."""
        for name in FLOODS:
            with self.subTest(name):
                self.check_flood(name, reads=False)

    def test_read_floods(self) -> None:
        """Guards against bytes without content that never end."""
        for name in FLOODS:
            with self.subTest(name):
                is_open = self.check_flood(name, reads=True)
                if name in ENDLESS:
                    self.assertFalse(is_open, name)

    def test_answers_let_no_more_be_read_than_they_take_off(self) -> None:
        """Guards against a whole read for each short request."""

        async def scenario() -> None:
            caller = callerconnection.CallerConnection(
                connections.Connections(), reads=False
            )
            first, filler = FLOODS['requests']
            left = filler * 20_000
            for _ in range(100):
                left = await caller.send(left)
            answered = caller.transport.unread // len(
                b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n'
            )
            self.assertLessEqual(
                caller.taken - answered * len(filler),
                boundedprotocol.PARSE_BYTES + len(filler),
            )
            await caller.close()

        asyncio.run(scenario())


class OfferedUpgradeTest(testtools.TestCase):
    """A request that offers another protocol, which is not taken."""

    def test_body_of_an_offered_upgrade(self) -> None:
        """Guards against a body that is taken for further requests."""
        quoted = ECHO + b'Content-Length: 0\r\n\r\n'
        head = (
            ECHO
            + b'Connection: upgrade\r\nUpgrade: other\r\n'
            + b'Content-Length: %d\r\n\r\n' % len(quoted)
        )

        async def scenario() -> None:
            caller = callerconnection.CallerConnection(
                connections.Connections()
            )
            await caller.send(head + quoted)
            await caller.wait_received(1)
            self.assertEqual(answer_all([(b'', quoted)]), caller.received)
            await caller.close()

        asyncio.run(scenario())


def frame_chunks(body: bytes, size: int) -> bytes:
    """Return a body in chunks of a size, with an extension and a trailer."""
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = [b'%x;q=1\r\n%b\r\n' % (len(part), part) for part in parts]
    return b''.join(chunks) + b'0\r\nchecked: no\r\n\r\n'


@strategies.composite
def draw_request(draw: strategies.DrawFn) -> tuple[bytes, bytes]:
    """Return a sound request, and its body."""
    body = draw(strategies.binary(max_size=40)) * draw(
        strategies.sampled_from([1, 10, 500])
    )
    blank = draw(strategies.sampled_from([b'', b'\r\n']))
    headers = draw(
        strategies.sampled_from(
            [b'', b'a: b\r\n' * 100, b'a: ' + b'b' * 9000 + b'\r\n']
        )
    )
    if draw(strategies.booleans()):
        size = draw(strategies.integers(1, 300))
        coded = b'Transfer-Encoding: chunked\r\n\r\n' + frame_chunks(
            body, size
        )
    else:
        coded = b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    return blank + ECHO + headers + coded, body


def answer_all(requests: list[tuple[bytes, bytes]]) -> bytes:
    """Return what the caller of these requests gets."""
    return b''.join(
        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (len(body), body)
        for _, body in requests
    )


GARBAGE = strategies.one_of(
    strategies.binary(max_size=200),
    strategies.sampled_from(
        [first + filler for first, filler in FLOODS.values()]
    ),
    draw_request().flatmap(lambda pair: fuzzing.corrupt_bytes(pair[0])),
)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    """Return data in parts of these sizes, again and again."""
    parts: list[bytes] = []
    while data:
        size = sizes[len(parts) % len(sizes)]
        parts.append(data[:size])
        data = data[size:]
    return parts


SIZES = strategies.lists(strategies.integers(1, 3000), max_size=4).map(
    lambda sizes: [*sizes, 1000]
)


class AnyBytesTest(testtools.TestCase):
    """Any bytes, split anywhere."""

    @fuzzing.configure_examples()
    @hypothesis.given(
        strategies.lists(draw_request(), max_size=8), GARBAGE, SIZES
    )
    def test_sound_requests_are_served(
        self,
        requests: list[tuple[bytes, bytes]],
        garbage: bytes,
        sizes: list[int],
    ) -> None:
        """Guards against requests that suffer from what surrounds them."""
        data = b''.join(request for request, _ in requests) + garbage
        answers = answer_all(requests)

        async def scenario() -> None:
            caller = callerconnection.CallerConnection(
                connections.Connections()
            )
            waiting = b''
            for part in split(data, sizes):
                waiting = await caller.send(waiting + part)
            for _ in range(len(data)):
                if not waiting or not caller.is_open():
                    break
                waiting = await caller.send(waiting)
            await caller.wait_received(len(answers))
            self.assertEqual(answers, caller.received[: len(answers)])
            await caller.close()

        asyncio.run(scenario())

    @fuzzing.configure_examples()
    @hypothesis.given(
        strategies.lists(draw_request(), min_size=1, max_size=8),
        strategies.integers(1, 9),
    )
    def test_requests_that_wait_for_their_turn_are_served(
        self, requests: list[tuple[bytes, bytes]], connections_count: int
    ) -> None:
        """Guards against connections that are not read after their turn."""
        data = b''.join(request for request, _ in requests)
        answers = answer_all(requests)

        async def scenario() -> None:
            shared = connections.Connections()
            callers = [
                callerconnection.CallerConnection(shared)
                for _ in range(connections_count)
            ]
            left = dict.fromkeys(callers, data)
            for _ in range(MAX_PASSES):
                for caller in callers:
                    left[caller] = left[caller][caller.offer(left[caller]) :]
                await asyncio.sleep(0)
                if all(item.received == answers for item in callers):
                    break
            for caller in callers:
                self.assertEqual(answers, caller.received)
                await caller.close()

        with unittest.mock.patch.object(
            connectionlimits, 'REQUESTS_PER_PASS', 1
        ):
            asyncio.run(scenario())

    @fuzzing.configure_examples()
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                draw_request().map(lambda pair: pair[0]), GARBAGE
            ),
            max_size=8,
        ),
        SIZES,
    )
    def test_parts_do_not_matter(
        self, pieces: list[bytes], sizes: list[int]
    ) -> None:
        """Guards against requests that depend on how they are split."""
        data = b''.join(pieces)
        self.assertEqual(
            read_requests([data]), read_requests(split(data, sizes))
        )


def read_requests(parts: list[bytes]) -> list[bytes]:
    """Return what a framer finds: heads, bodies, and why it refused."""
    framer = framing.Framer()
    found: list[bytes] = []
    for part in parts:
        framer.receive(part)
        try:
            take_all(framer, found)
        except framing.Violation:
            # What had come of the body of a refused request is dropped.
            whole = found if framer.is_at_head() else found[:-1]
            return [*whole, b'refused']
    return found


def take_all(framer: framing.Framer, found: list[bytes]) -> None:
    """Take all that a framer holds."""
    while True:
        if not framer.is_at_head():
            found[-1] += framer.take_content()
            if not framer.is_at_head():
                return
        head = framer.take_head()
        if head is None:
            return
        found += [head, b'']
        is_chunked = head.lower().find(b'\r\ntransfer-encoding: chunked') >= 0
        framer.begin_body(None if is_chunked else 5)
