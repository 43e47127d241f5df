"""When callers that a full host refuses should return."""

import testtools

from apricotlandingd.gateway.decisions import roomschedule
from apricotlandingd.gateway.requests import heldanswers

MEMORY = 200_000_000
SIZE = 4_000_000
# Requests that end each second, and the time for which they are held.
ENDS_PER_S = 10
UPLOADERS = 80


class RoomScheduleTest(testtools.TestCase):
    """A host on which as many bytes are released each second."""

    def setUp(self) -> None:
        super().setUp()
        self.schedule = roomschedule.RoomSchedule()

    def release(self, rate: int, until: float) -> None:
        for step in range(1, int(until * 10) + 1):
            self.schedule.note_released(rate * step // 10, step / 10)

    def test_delay_is_the_time_until_there_is_room(self) -> None:
        """Guards against delays that do not follow the load."""
        self.release(10_000_000, 3.0)
        delay_s = self.schedule.promise(5_000_000, 1000, 3.0)
        self.assertAlmostEqual(0.5, delay_s, delta=0.05)

    def test_refused_callers_return_one_after_the_other(self) -> None:
        """Guards against callers that return together."""
        self.release(10_000_000, 3.0)
        delays = [
            self.schedule.promise(1_000_000, 2_000_000, 3.0) for _ in range(5)
        ]
        gaps = [
            after - before
            for before, after in zip(delays, delays[1:], strict=False)
        ]
        for gap in gaps:
            self.assertAlmostEqual(0.2, gap, delta=0.02)

    def test_delay_is_bounded(self) -> None:
        """Guards against a host that sends callers away for ever."""
        self.assertEqual(
            roomschedule.MAX_DELAY_S, self.schedule.promise(1, 1, 0.0)
        )
        self.release(1000, 3.0)
        for _ in range(100):
            delay_s = self.schedule.promise(10**9, 10**9, 3.0)
            self.assertEqual(roomschedule.MAX_DELAY_S, delay_s)
        # Nothing was promised that late.
        self.assertLess(
            self.schedule.promise(0, 10, 3.0), roomschedule.MIN_DELAY_S * 2
        )


class UploadLoadTest(testtools.TestCase):
    """More callers than fit, who return when they are told to."""

    def count_refusals(self, is_told: bool) -> tuple[int, int]:
        """Return the uploads that were served and refused in 20 s."""
        answers = heldanswers.HeldAnswers(MEMORY)
        size = heldanswers.OPEN_BYTES + heldanswers.weigh_body(SIZE)
        due = [0.001 * number for number in range(UPLOADERS)]
        held: list[tuple[float, int, heldanswers.HeldAnswer]] = []
        served = refused = 0
        for step in range(20_000):
            now = step / 1000
            while held and held[0][0] <= now:
                _, caller, answer = held.pop(0)
                answer.close()
                served += 1
                due[caller] = now + 0.1
            for caller, at in enumerate(due):
                if at > now:
                    continue
                if answers.may_admit(size, now):
                    answer = answers.open(heldanswers.Kind.ONCE)
                    answer.grow(size)
                    held.append((now + 1.0, caller, answer))
                    due[caller] = float('inf')
                    continue
                refused += 1
                told_s = answers.choose_return(size, now)
                due[caller] = now + (told_s if is_told else 2.0)
        return served, refused

    def test_callers_that_return_when_told_are_served(self) -> None:
        """Guards against room that stays empty while callers wait."""
        served, refused = self.count_refusals(is_told=True)
        served_before, _ = self.count_refusals(is_told=False)
        self.assertGreater(served, served_before)
        # Few are refused again: about one refusal for each that is served.
        self.assertLess(refused, 1.5 * served)
