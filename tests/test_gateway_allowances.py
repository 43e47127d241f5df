"""Allowances during rolling restarts, without a network."""

import dataclasses

import testtools

from apricotlanding import ids
from apricotlandingd.gateway.decisions import quotas
import gatewayparts

ORGANISATION = gatewayparts.make_organisation(2000.0)
COST_UNITS = 200.0
SLACK_UNITS = 2000.0
HOSTS = 7
# The operators' window, and the most units that may run in it.
WINDOW_S = 8.0
MAX_UNITS = (2000.0 * WINDOW_S + 2000.0) * 1.1 + SLACK_UNITS
STEP_S = 0.01
REPORT_INTERVAL_S = 0.05
# When the first host stops, the time until the next one does, and how long
# each is down.
FIRST_STOP_S = 3.0
STOP_INTERVAL_S = 1.0
DOWNTIME_S = 0.45
# Time between two stops of a host that is restarted repeatedly.
STOP_PERIOD_S = 4.65


@dataclasses.dataclass
class Host:
    number: int
    # Full buckets: these hosts have been running for a while.
    buckets: quotas.Quotas = dataclasses.field(
        default_factory=lambda: quotas.Quotas(SLACK_UNITS, -100.0)
    )
    started_at: float = -100.0

    def start(self, now: float) -> None:
        self.buckets = quotas.Quotas(SLACK_UNITS, now)
        self.started_at = now

    def is_new(self, now: float) -> bool:
        return now - self.started_at < 3.0

    def tell_levels(self, now: float) -> quotas.Usage:
        # Only hosts that have been running for a while report levels.
        if self.is_new(now):
            return {}
        return self.buckets.list_levels(now)

    def find_incarnation(self) -> ids.Incarnation:
        return ids.Incarnation(f'{self.number}/{self.started_at}')

    def is_down(self, now: float) -> bool:
        stopped_at = FIRST_STOP_S + STOP_INTERVAL_S * self.number
        return stopped_at <= now < stopped_at + DOWNTIME_S


class RepeatedlyStoppedHost(Host):
    """A host that is restarted repeatedly."""

    def is_down(self, now: float) -> bool:
        first = FIRST_STOP_S + STOP_PERIOD_S / HOSTS * self.number
        return now >= first and (now - first) % STOP_PERIOD_S < DOWNTIME_S


class TestRollingRestart(testtools.TestCase):
    """An organisation requests many times its allowance at every host."""

    def test_allowance_is_handed_out_once(self) -> None:
        # Guards against an organisation that runs more than its allowance and
        # the whole slack. A restarted host has half a bucket that its peers
        # have already handed out, and peers with empty buckets may fail to
        # deduct what it hands out before its first report.
        self.assertLessEqual(self.find_peak_units(Host), MAX_UNITS)

    def test_repeated_restarts(self) -> None:
        # The same fault, with 23,800 units in 8 s where 21,800 are allowed:
        # new hosts treat the use of other new hosts as older than themselves,
        # and do not know that the buckets of their peers are overdrawn.
        self.assertLessEqual(
            self.find_peak_units(RepeatedlyStoppedHost), MAX_UNITS
        )

    def find_peak_units(self, kind: type[Host]) -> float:
        """Return the largest number of units that ran within a window."""
        runs = self.simulate([kind(number) for number in range(HOSTS)])
        return max(
            sum(COST_UNITS for other in runs if at <= other <= at + WINDOW_S)
            for at in runs
        )

    def simulate(self, hosts: list[Host]) -> list[float]:
        """Return the times at which requests ran."""
        stopped: set[int] = set()
        runs: list[float] = []
        for step in range(1500):
            now = step * STEP_S
            running = [host for host in hosts if not host.is_down(now)]
            for host in hosts:
                if host.is_down(now):
                    stopped.add(host.number)
                elif host.number in stopped:
                    stopped.remove(host.number)
                    host.start(now)
            for host in running:
                if (
                    gatewayparts.take_units(
                        host.buckets, ORGANISATION, COST_UNITS, 0.0, now
                    )
                    is None
                ):
                    runs.append(now)
            if step % round(REPORT_INTERVAL_S / STEP_S) == 0:
                self.exchange_totals(running, now)
        return runs

    def exchange_totals(self, hosts: list[Host], now: float) -> None:
        """Send the totals of each host to all others."""
        for host in hosts:
            for peer in hosts:
                if peer is not host:
                    host.buckets.adopt(peer.tell_levels(now), now)
                    host.buckets.apply_totals(
                        peer.find_incarnation(),
                        dict(peer.buckets.usage),
                        now,
                        peer.is_new(now),
                    )
