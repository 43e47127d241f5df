"""From the store's acceptance of a change to the last use of the old state."""

import dataclasses

import testtools

from apricotlanding import ids
from apricotlandingd.gateway import dialect
import changesimulation
import gatewayparts

BOUND_S = 2.0
SEEDS = 4
Kind = changesimulation.Kind
Scene = changesimulation.Scene


class LateChangeTest(testtools.TestCase):
    """Each change takes effect in time, however late a host hears of it."""

    def assert_in_time(self, scene: changesimulation.Scene) -> None:
        for kind in Kind:
            played = dataclasses.replace(scene, kind=kind)
            for seed in range(SEEDS):
                late_s = changesimulation.play(played, seed)
                self.assertLess(late_s, played.bound_s, (played, seed))

    def test_calm(self) -> None:
        """Guards against a change that is not told at once."""
        self.assert_in_time(Scene(Kind.LEAVING, gap_s=0.0))

    def test_reads_are_cut_and_new_ones_hear_nothing(self) -> None:
        """Guards against a bound that counts from when a host hears."""
        for share in (0.05, 0.5, 0.95):
            self.assert_in_time(
                Scene(Kind.LEAVING, gap_s=1.0, accepted_share=share)
            )

    def test_gap_after_an_outage(self) -> None:
        """Guards against a change that is taken for a lapse."""
        for calm_s in (3.0, 3.7):
            self.assert_in_time(
                Scene(
                    Kind.LEAVING,
                    outage_s=4.0,
                    calm_s=calm_s,
                    gap_s=1.0,
                    accepted_share=0.05,
                )
            )

    def test_few_and_many_hosts(self) -> None:
        """Guards against a bound that holds for one number of readers."""
        for hosts in (1, 2, 12):
            self.assert_in_time(
                Scene(
                    Kind.LEAVING, hosts=hosts, gap_s=1.0, accepted_share=0.05
                )
            )

    def test_longer_bound(self) -> None:
        """Guards against times that do not follow the settings."""
        self.assert_in_time(
            Scene(Kind.LEAVING, bound_s=3.0, gap_s=1.0, accepted_share=0.05)
        )


class LapseTest(testtools.TestCase):
    """Registrations that lapse in an outage, in simulated time."""

    def test_lapsed_runner_is_used_until_it_may_be_back(self) -> None:
        """Guards against a service without runners after each outage."""
        for outage_s in (3.0, 4.0, 8.0):
            for seed in range(SEEDS):
                self.play(outage_s, seed)

    def play(self, outage_s: float, seed: int) -> None:
        system = changesimulation.System(Scene(Kind.REMOVED), seed)
        system.silence(outage_s)
        system.run_until(system.now + outage_s - 0.5)
        system.accept(Kind.REMOVED)
        back_at = system.now + 0.5 + 2.0
        while system.now < back_at:
            system.step()
            for host in system.hosts:
                self.assertTrue(
                    host.directory.list_open(gatewayparts.POOL),
                    (outage_s, seed, system.now),
                )
        system.store.write(dialect.RUNNERS, changesimulation.RUNNER, b'open')
        system.run_until(system.now + 3.0)
        for host in system.hosts:
            self.assertIsNotNone(
                host.directory.find(gatewayparts.make_start(ids.Runner('r1')))
            )
