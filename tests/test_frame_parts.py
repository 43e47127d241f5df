"""Frames with large byte strings."""

import tracemalloc
import typing as ty

import anyio
import anyio.abc
import hypothesis
from hypothesis import strategies
import testtools

from apricotlanding import codec
from apricotlanding import frames
import fuzzing

BODY = bytes(3_000_000)


class FakeStream(anyio.abc.ByteStream):
    """A connection that keeps what is sent and returns it."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.is_closed = False
        # Sends before the next one does not end.
        self.left = 10**9

    async def send(self, item: bytes) -> None:
        if not self.left:
            await anyio.sleep_forever()
        self.left -= 1
        self.sent.append(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self.sent:
            raise anyio.EndOfStream
        item = self.sent.pop(0)
        if len(item) > max_bytes:
            self.sent.insert(0, item[max_bytes:])
        return item[:max_bytes]

    async def send_eof(self) -> None:
        pass

    async def aclose(self) -> None:
        self.is_closed = True


class FramePartsTest(testtools.TestCase):
    """What a frame takes while it is sent and received."""

    @fuzzing.configure_examples()
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.integers(0, 2**40),
                strategies.binary(max_size=40),
                strategies.text(max_size=9),
                strategies.sampled_from([BODY, BODY[: codec.LARGE_BYTES]]),
            ),
            max_size=20,
        )
    )
    def test_parts_are_the_same_bytes(self, value: list[ty.Any]) -> None:
        """Guards against frames that other builds cannot read."""
        self.assertEqual(
            codec.pack_data(value), b''.join(codec.pack_parts(value))
        )

    def test_large_bytes_are_not_copied(self) -> None:
        """Guards against bodies that are held twice while they are sent."""

        async def scenario() -> None:
            stream = frames.FrameStream(FakeStream())
            tracemalloc.start()
            try:
                await stream.send([6, 'a', BODY])
                _, most = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            # The fake keeps all parts.
            self.assertLess(most, 1.1 * len(BODY))

        anyio.run(scenario)

    def test_dropped_frame_is_not_held(self) -> None:
        """Guards against a full host that reads what it refuses."""

        async def scenario() -> None:
            raw = FakeStream()
            stream = frames.FrameStream(raw)
            stream.limit_bytes = frames.FRAME_LIMIT_BYTES
            await stream.send([6, BODY])
            await stream.send([7])
            sizes: list[int] = []

            def refuse(size: int) -> bool:
                sizes.append(size)
                return False

            tracemalloc.start()
            try:
                with testtools.ExpectedException(frames.Dropped):
                    await stream.receive(refuse)
                _, most = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            self.assertGreater(sizes[0], len(BODY))
            self.assertLess(most, len(BODY) / 2)
            self.assertEqual([7], await stream.receive())

        anyio.run(scenario)

    def test_cut_frame_ends_the_connection(self) -> None:
        """Guards against a frame that is read as the rest of another."""

        async def scenario() -> None:
            raw = FakeStream()
            raw.left = 3
            stream = frames.FrameStream(raw)
            with anyio.move_on_after(0.05):
                await stream.send([6, BODY])
            self.assertTrue(raw.is_closed)

        anyio.run(scenario)
