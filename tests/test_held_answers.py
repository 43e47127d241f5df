"""Callers that read slowly, and the memory of their host."""

import unittest.mock

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies
import testtools

from apricotlanding import asgi
from apricotlanding import boundedprotocol
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import heldsends
import fuzzing

KB = 1024
MEMORY = 200_000_000
PART = bytes(8 * KB)


class FakeConnection:
    """A caller's connection that is read when the test says so."""

    def __init__(self) -> None:
        self.is_read = anyio.Event()
        self.unsent = 0

    def limit_buffers(self) -> None:
        pass

    async def drain(self) -> None:
        await self.is_read.wait()

    def count_unsent(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.is_read.set()


class TestHeldAnswers(testtools.TestCase):
    """Decisions of a full host."""

    def setUp(self) -> None:
        super().setUp()
        self.answers = heldanswers.HeldAnswers(MEMORY)

    def open(
        self,
        since: float,
        size: int = 0,
        kind: heldanswers.Kind = heldanswers.Kind.REPEATABLE,
    ) -> heldanswers.HeldAnswer:
        found = self.answers.open(kind)
        found.grow(size)
        found.begin_part(since)
        return found

    def test_host_with_little_memory_serves_a_request(self) -> None:
        """Guards against a host that refuses all requests for ever.

        Its bound was as large as one request, of which 90% may be admitted.
        """
        size = heldanswers.OPEN_BYTES + 16 * KB
        for memory in (1, heldanswers.PROCESS_BYTES):
            answers = heldanswers.HeldAnswers(memory)
            self.assertTrue(answers.may_admit(size, 0.0))
            for _ in range(16):
                answers.open(heldanswers.Kind.REPEATABLE).grow(size)
            self.assertFalse(answers.may_admit(size, 0.0))

    def test_requests_are_refused_before_answers_are_cut(self) -> None:
        """Guards against a host that admits what it must cut."""
        assert self.answers.limit is not None
        self.open(0.0, int(self.answers.limit * 0.91))
        self.assertFalse(self.answers.may_admit(0, 99.0))
        self.assertIsNone(self.answers.pick_to_cut(99.0))
        self.assertEqual(1, self.answers.refused)

    def test_large_body_is_refused_in_time(self) -> None:
        """Guards against bodies that each fit, but not together."""
        assert self.answers.limit is not None
        self.open(0.0, self.answers.limit // 2)
        self.assertTrue(self.answers.may_admit(1000, 1.0))
        self.assertFalse(self.answers.may_admit(self.answers.limit // 2, 1.0))

    def test_small_request_is_admitted_beside_large_ones(self) -> None:
        """Guards against uploads that shut out all other callers."""
        body = heldanswers.weigh_body(4_000_000)
        while self.answers.may_admit(heldanswers.OPEN_BYTES + body, 1.0):
            self.open(0.0, heldanswers.OPEN_BYTES + body)
        for _ in range(20):
            self.assertTrue(
                self.answers.may_admit(heldanswers.OPEN_BYTES, 1.0)
            )
            self.open(0.0, heldanswers.OPEN_BYTES)

    def test_bodies_that_fill_the_memory_are_admitted(self) -> None:
        """Guards against a bound that refuses half of what fits."""
        size = 4_000_000
        count = 0
        counted = heldanswers.OPEN_BYTES + heldanswers.weigh_body(size)
        while self.answers.may_admit(counted, 1.0):
            self.open(0.0, counted)
            count += 1
        taken = heldanswers.PROCESS_BYTES + count * size
        self.assertLess(taken, MEMORY)
        self.assertGreater(taken, 0.8 * MEMORY)

    def test_body_counts_more_the_larger_it_is(self) -> None:
        """Guards against a body that shrinks the sum as it arrives."""
        before = 0
        for size in range(0, 1_000_000, 1000):
            counted = heldanswers.weigh_body(size)
            self.assertGreaterEqual(counted, before)
            self.assertGreaterEqual(counted * heldanswers.GROWTH_RATIO, size)
            before = counted

    def test_longest_unread_answer_is_cut(self) -> None:
        """Guards against cuts of answers that are read."""
        late = self.open(2.0, 10 * KB)
        first = self.open(1.0, 10 * KB)
        read = self.open(0.5, 10 * KB)
        read.end_part()
        payment = self.open(0.0, MEMORY, heldanswers.Kind.ONCE)
        self.assertIs(first, self.answers.pick_to_cut(9.0))
        first.close()
        self.assertIs(late, self.answers.pick_to_cut(9.0))
        late.close()
        self.assertIsNone(self.answers.pick_to_cut(9.0))
        payment.close()
        self.assertTrue(self.answers.may_admit(0, 9.0))

    def test_slow_reader_is_not_cut(self) -> None:
        """Guards against cuts in the middle of a large part."""
        connection = FakeConnection()
        slow = self.answers.open(heldanswers.Kind.REPEATABLE)
        slow.count_unsent = connection.count_unsent
        slow.grow(MEMORY)
        connection.unsent = 100
        slow.begin_part(0.0)
        for second in range(1, 9):
            connection.unsent -= 1
            self.assertIsNone(self.answers.pick_to_cut(float(second)))
        self.assertIs(slow, self.answers.pick_to_cut(11.0))

    def test_cuts_end_when_there_is_room(self) -> None:
        """Guards against a host that cuts all unread answers at once."""
        assert self.answers.limit is not None
        size = self.answers.limit // 4 + 1
        connections = [FakeConnection() for _ in range(4)]
        for number, connection in enumerate(connections):
            self.open(float(number), size).on_cut = connection.abort
        self.answers.relieve(99.0)
        cut = [connection.is_read.is_set() for connection in connections]
        self.assertEqual([True, False, False, False], cut)

    def test_host_that_states_no_memory_has_no_bound(self) -> None:
        """Guards against a bound that nobody stated."""
        self.answers = heldanswers.HeldAnswers(None)
        self.open(0.0, 10**12)
        self.assertTrue(self.answers.may_admit(10**9, 9.0))
        self.assertIsNone(self.answers.pick_to_cut(9.0))

    @fuzzing.configure_examples()
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4), strategies.integers(-400, 400)
            )
        )
    )
    def test_sum_is_of_what_is_open(
        self, steps: list[tuple[int, int]]
    ) -> None:
        """Guards against a sum that drifts until all is refused."""
        answers = heldanswers.HeldAnswers(MEMORY)
        held = [answers.open(heldanswers.Kind.ONCE) for _ in range(5)]
        for number, size in steps:
            if size > 0:
                held[number].grow(size)
            elif size:
                held[number].shrink(-size)
            else:
                held[number].close()
        self.assertEqual(sum(item.bytes for item in held), answers.total)
        for item in held:
            item.close()
            item.close()
        self.assertEqual((0, 0), (answers.total, answers.count_open()))


class TestHeldSends(testtools.TestCase):
    """Answers that are sent beside what produces them."""

    def setUp(self) -> None:
        super().setUp()
        self.answers = heldanswers.HeldAnswers(MEMORY)
        self.connections: list[FakeConnection] = []
        self.sent: list[asgi.Message] = []
        # Set when runners begin to answer.
        self.begins = anyio.Event()
        self.begins.set()
        # Parts that were read from runners.
        self.read = 0

    async def send(self, message: asgi.Message) -> None:
        self.sent.append(message)

    async def answer(
        self,
        parts: int,
        kind: heldanswers.Kind = heldanswers.Kind.REPEATABLE,
    ) -> None:
        connection = FakeConnection()
        self.connections.append(connection)
        scope: asgi.Scope = {
            'extensions': {boundedprotocol.CONNECTION_KEY: connection}
        }
        held = heldsends.HeldSend(self.answers, scope, self.send)
        scope[heldanswers.SCOPE_KEY].kind = kind
        scope[heldanswers.SCOPE_KEY].grow(heldanswers.OPEN_BYTES)

        async def produce() -> None:
            await asgi.start_response(held, 200)
            await self.begins.wait()
            for _ in range(parts):
                await asgi.send_body_part(held, PART)
                self.read += 1
            await asgi.send_body_part(held, b'', is_last=True)

        await held.serve(produce)

    def test_runner_is_read_while_the_caller_is_not(self) -> None:
        """Guards against runners that abort answers that stay unread."""

        async def run_scenario() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.answer, 100)
                await anyio.wait_all_tasks_blocked()
                # Up to the bound, and no further.
                bound = heldsends.MAX_ANSWER_BYTES // len(PART)
                self.assertEqual(bound, self.read)
                self.connections[0].is_read.set()
            self.assertEqual(100, self.read)
            self.assertEqual(0, self.answers.total)
            body = b''.join(item.get('body', b'') for item in self.sent)
            self.assertEqual(PART * 100, body)
            self.assertIs(False, self.sent[-1]['more_body'])

        anyio.run(run_scenario)

    def test_many_slow_callers_keep_within_the_memory(self) -> None:
        """Guards against a host that is killed for its memory."""
        limit = self.answers.limit
        assert limit is not None

        async def run_scenario() -> None:
            self.begins = anyio.Event()
            async with anyio.create_task_group() as group:
                for number in range(2000):
                    kind = list(heldanswers.Kind)[number % 2]
                    if self.answers.may_admit(heldanswers.OPEN_BYTES, 0.0):
                        group.start_soon(self.answer, 40, kind)
                    await anyio.lowlevel.checkpoint()
                room = limit * heldanswers.ADMIT_SHARE
                admitted = self.answers.count_open()
                self.assertEqual(int(room // heldanswers.OPEN_BYTES), admitted)
                self.assertEqual(2000 - admitted, self.answers.refused)
                self.begins.set()
                for _ in range(20):
                    await anyio.sleep(0.1)
                    self.assertLess(self.answers.total, 1.01 * limit)
                self.assertFalse(self.answers.may_admit(1, 0.0))
                # Those that may not be repeated are not cut.
                cut = [found.is_read.is_set() for found in self.connections]
                self.assertEqual(0, sum(cut[1::2]))
                self.assertEqual(self.answers.cut, sum(cut[::2]))
                self.assertGreater(self.answers.cut, 10)
                for connection in self.connections:
                    connection.is_read.set()

        with unittest.mock.patch.object(heldanswers, 'MIN_UNREAD_S', 0.1):
            anyio.run(run_scenario)
        self.assertEqual(0, self.answers.total)
