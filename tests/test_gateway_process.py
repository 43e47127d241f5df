"""Shutdown plan and stall detection, without a network."""

import anyio
import testtools

from apricotlanding import shutdown
from apricotlandingd.gateway.process import stalls


class FakeIntake:
    """Listeners whose last connection is closed by the test."""

    def __init__(self) -> None:
        self.is_stopped = False
        self.ended = anyio.Event()

    def stop(self) -> None:
        self.is_stopped = True

    async def wait_closed(self) -> None:
        await self.ended.wait()


class TestShutdown(testtools.TestCase):
    """Steps of a graceful shutdown and their times."""

    def test_listener_stays_open_until_load_balancer_notices(self) -> None:
        # The load balancer checks readiness once a second and acts on the
        # second answer, so a connection 2.4 s after the signal must still be
        # accepted.
        plan = shutdown.make_plan(grace_s=8.0, now=100.0)
        self.assertEqual(102.5, plan.close_at)

    def test_process_ends_before_it_is_killed(self) -> None:
        # SIGKILL in the middle of an answer leaves no log line.
        for grace_s in (0.5, 1.0, 2.0, 4.0, 8.0, 60.0):
            plan = shutdown.make_plan(grace_s, now=100.0)
            self.assertTrue(plan.exit_at < 100.0 + grace_s)

    def test_answers_have_time_to_leave_when_requests_are_given_up(
        self,
    ) -> None:
        for grace_s in (0.5, 1.0, 2.0, 4.0, 8.0, 60.0):
            plan = shutdown.make_plan(grace_s, now=100.0)
            left_s = plan.exit_at - plan.abort_at
            self.assertTrue(left_s >= grace_s / 25, left_s)

    def test_short_grace_leaves_time_for_what_is_in_progress(self) -> None:
        # The notice alone would exceed the grace period: the process was
        # killed with its listener open and requests in progress.
        for grace_s in (0.5, 1.0, 2.0):
            plan = shutdown.make_plan(grace_s, now=100.0)
            left_s = plan.abort_at - plan.close_at
            self.assertTrue(left_s >= grace_s / 5, left_s)

    def test_end_waits_for_the_last_connection(self) -> None:
        async def run_scenario() -> None:
            intake = FakeIntake()
            async with anyio.create_task_group() as group:
                group.start_soon(end_later, intake)
                self.assertTrue(
                    await shutdown.close_listener(intake, timeout_s=5.0)
                )
            self.assertTrue(intake.is_stopped)

        async def end_later(intake: FakeIntake) -> None:
            await anyio.sleep(0.05)
            intake.ended.set()

        anyio.run(run_scenario)

    def test_shutdown_ends_although_a_caller_never_reads(self) -> None:
        async def run_scenario() -> None:
            with anyio.fail_after(2.0):
                self.assertFalse(
                    await shutdown.close_listener(FakeIntake(), 0.05)
                )

        anyio.run(run_scenario)

    def test_exceeded_grace_period_ends_at_once(self) -> None:
        # The host was frozen until after the end of the grace period.
        async def run_scenario() -> None:
            intake = FakeIntake()
            with anyio.fail_after(2.0):
                self.assertFalse(await shutdown.close_listener(intake, -1.0))
            self.assertTrue(intake.is_stopped)

        anyio.run(run_scenario)


class TestStallWatch(testtools.TestCase):
    """Detection of delayed timers."""

    def setUp(self) -> None:
        super().setUp()
        self.watch = stalls.StallDetector()

    def test_usual_lateness_is_no_stall(self) -> None:
        self.assertFalse(self.watch.record_delay(0.02, now=1.0))
        self.assertEqual(0, self.watch.count)

    def test_stall_is_reported_and_counted(self) -> None:
        self.assertTrue(self.watch.record_delay(0.08, now=1.0))
        self.assertEqual(1, self.watch.count)
        self.assertEqual(0.08, self.watch.seconds)

    def test_series_is_reported_once_a_second(self) -> None:
        reported = [
            self.watch.record_delay(0.1, now=0.25 * number)
            for number in range(9)
        ]
        self.assertEqual(3, sum(reported))
        self.assertEqual(9, self.watch.count)
