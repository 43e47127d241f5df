"""The life of a gateway process: what is decided without a network."""

import testtools

from apricotlandingd.gateway import stalls


class TestStallWatch(testtools.TestCase):
    """Timers that come late."""

    def setUp(self) -> None:
        super().setUp()
        self.watch = stalls.StallWatch()

    def test_usual_lateness_is_no_stall(self) -> None:
        self.assertFalse(self.watch.note(0.02, now=1.0))
        self.assertEqual(0, self.watch.count)

    def test_stall_is_reported_and_counted(self) -> None:
        self.assertTrue(self.watch.note(0.08, now=1.0))
        self.assertEqual(1, self.watch.count)
        self.assertEqual(0.08, self.watch.seconds)

    def test_series_is_reported_once_a_second(self) -> None:
        reported = [
            self.watch.note(0.1, now=0.25 * number) for number in range(9)
        ]
        self.assertEqual(3, sum(reported))
        self.assertEqual(9, self.watch.count)
