"""Memory that a host's process holds and that no sum counts."""

import testtools

from apricotlandingd.gateway.decisions import uncountedmemory
from apricotlandingd.gateway.requests import heldanswers

MB = 1_000_000
MEMORY = 200 * MB
BODY = heldanswers.OPEN_BYTES + heldanswers.weigh_body(4 * MB)


class FakeMemory:
    """A process of which a test says what it holds."""

    def __init__(self) -> None:
        self.held = heldanswers.PROCESS_BYTES
        # What of it returns to the system.
        self.free = 0

    def measure(self) -> int:
        return self.held

    def trim(self) -> None:
        self.held -= self.free
        self.free = 0


class UncountedMemoryTest(testtools.TestCase):
    """What a host admits."""

    def setUp(self) -> None:
        super().setUp()
        self.answers = heldanswers.HeldAnswers(MEMORY)
        self.answers.memory = self.memory = FakeMemory()
        self.now = 0.0

    def admit_all(self) -> int:
        """Admit uploads whose bodies are still to come; return how many."""
        count = 0
        while self.answers.may_admit(BODY, self.now):
            self.answers.count(BODY)
            count += 1
        return count

    def release_all(self) -> None:
        self.answers.count(-self.answers.total)

    def wait(self, seconds: float) -> None:
        self.now += seconds

    def test_memory_that_is_kept_leaves_less_room(self) -> None:
        """Guards against bodies that are admitted beside what is kept."""
        usual = self.admit_all()
        self.release_all()
        self.wait(1.0)
        self.memory.held += 40 * MB
        count = self.admit_all()
        self.assertLess(count, usual)
        self.assertLess(self.memory.held + count * 4 * MB, MEMORY)
        self.assertGreater(self.memory.held + count * 4 * MB, 0.8 * MEMORY)

    def test_bodies_that_are_to_come_hide_nothing(self) -> None:
        """Guards against room that seems to be there until they arrive."""
        self.memory.held += 40 * MB
        count = self.admit_all()
        for _ in range(20):
            self.wait(0.2)
            self.assertFalse(self.answers.may_admit(BODY, self.now))
        self.memory.held += count * 4 * MB
        self.wait(0.2)
        self.assertFalse(self.answers.may_admit(BODY, self.now))

    def test_memory_that_returns_is_room(self) -> None:
        """Guards against a host that stays smaller after a burst."""
        usual = self.admit_all()
        self.release_all()
        self.memory.held += 40 * MB
        self.memory.free = 40 * MB
        self.wait(1.0)
        self.assertEqual(usual, self.admit_all())

    def test_old_measurement_expires(self) -> None:
        """Guards against room that never comes back under steady load."""
        usual = self.admit_all()
        self.release_all()
        self.wait(1.0)
        self.memory.held += 40 * MB
        self.admit_all()
        self.memory.held -= 40 * MB
        self.wait(uncountedmemory.KEEP_S + 1.0)
        self.admit_all()
        self.release_all()
        self.assertEqual(usual, self.admit_all())

    def test_some_requests_are_always_admitted(self) -> None:
        """Guards against a host that refuses all requests for ever."""
        self.memory.held += MEMORY
        self.assertTrue(
            self.answers.may_admit(heldanswers.OPEN_BYTES, self.now)
        )
