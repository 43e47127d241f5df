"""Allowances while hosts restart one after another, without a network."""

import dataclasses

import testtools

from apricotlanding import ids
from apricotlandingd.gateway.decisions import quotas
import gatewayparts

ORGANISATION = gatewayparts.make_organisation(2000.0)
COST_UNITS = 200.0
SLACK_UNITS = 2000.0
HOSTS = 7
# The operators' window, seconds, and what may run in it.
WINDOW_S = 8.0
MAX_UNITS = (2000.0 * WINDOW_S + 2000.0) * 1.1 + SLACK_UNITS
STEP_S = 0.01
# Seconds between two messages of a host.
REPORT_INTERVAL_S = 0.05
# When the first host stops, until the next one does, and how long each is
# away; seconds.
FIRST_STOP_S = 3.0
STOP_INTERVAL_S = 1.0
DOWNTIME_S = 0.45
# Seconds between two stops of a host that stops again and again.
STOP_PERIOD_S = 4.65


@dataclasses.dataclass
class Host:
    number: int
    # Full buckets: these hosts have run for a while.
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
        # What a host that has run for a while tells a new one.
        if self.is_new(now):
            return {}
        return self.buckets.list_levels(now)

    def find_incarnation(self) -> ids.Incarnation:
        return ids.Incarnation(f'{self.number}/{self.started_at}')

    def is_down(self, now: float) -> bool:
        stopped_at = FIRST_STOP_S + STOP_INTERVAL_S * self.number
        return stopped_at <= now < stopped_at + DOWNTIME_S


class RepeatedlyStoppedHost(Host):
    """A host that stops again and again."""

    def is_down(self, now: float) -> bool:
        first = FIRST_STOP_S + STOP_PERIOD_S / HOSTS * self.number
        return now >= first and (now - first) % STOP_PERIOD_S < DOWNTIME_S


class TestRollingRestart(testtools.TestCase):
    """An organisation asks every host for many times its allowance."""

    def test_allowance_is_handed_out_once(self) -> None:
        # An organisation ran more than its allowance and all slack. Each host
        # in turn was stopped and came back with half a bucket, which its
        # peers had handed out already; and the peers, whose buckets were
        # empty, did not count what it handed out before they heard it first.
        self.assertLessEqual(self.find_peak_units(Host), MAX_UNITS)

    def test_hosts_that_stop_again_and_again(self) -> None:
        # The same, with 23,800 units in 8 s where 21,800 are allowed: hosts
        # that had just started took what other new ones had handed out for
        # something of the past, and knew nothing of their peers' debts.
        self.assertLessEqual(
            self.find_peak_units(RepeatedlyStoppedHost), MAX_UNITS
        )

    def find_peak_units(self, kind: type[Host]) -> float:
        """Return the most units that ran within a window."""
        runs = self.play([kind(number) for number in range(HOSTS)])
        return max(
            sum(COST_UNITS for other in runs if at <= other <= at + WINDOW_S)
            for at in runs
        )

    def play(self, hosts: list[Host]) -> list[float]:
        """Return when the requests ran."""
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
        """Let each host hear the totals of all others."""
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
