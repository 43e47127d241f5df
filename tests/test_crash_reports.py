"""Crashes that hosts report to each other, without a network."""

import random

import testtools

from apricotlanding import crashreports
from apricotlanding import ids
from apricotlanding import quarantine
from apricotlandingd.gateway.hosts import candidates

POISON = ids.ContentKey(1)
POPULAR = ids.ContentKey(2)
STEP_S = 0.02
# Seconds between copies of the poison, over all hosts, and from a send to the
# crash.
POISON_INTERVAL_S = 0.04
RUN_S = 0.1
LOSS = 0.1
# Sends that are tolerated once the crashes are known, and seconds until then.
MAX_LATE_SENDS = 3
CONTACT_S = 3.0


class SimulatedHost:
    """One host's reports, and what it sends to others."""

    def __init__(self, system: 'SimulatedSystem', number: int) -> None:
        self._system = system
        self.number = number
        self.name = ids.Host(f'host-{number}')
        self.is_cut = False
        self.started_at = system.now
        self.reports = crashreports.CrashReports(
            quarantine.Quarantine(self.name),
            self,
            lambda name, count: candidates.rank_hosts(name, system.names)[
                :count
            ],
            self.name,
            system.rng,
        )

    def list_hosts(self) -> list[ids.Host]:
        return [name for name in self._system.names if name != self.name]

    def send_blames(
        self, blames: list[quarantine.Blame], hosts: list[ids.Host]
    ) -> None:
        for host in hosts:
            self._system.messages += 1
            if self.is_cut or self._system.rng.random() < LOSS:
                continue
            self._system.in_flight.append((host, blames))

    def is_in_touch(self, now: float) -> bool:
        return not self.is_cut and now - self.started_at > CONTACT_S


class SimulatedSystem:
    """Hosts that get copies of a request which crashes runners."""

    def __init__(self, hosts: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = [ids.Host(f'host-{number}') for number in range(hosts)]
        self.hosts: list[SimulatedHost] = []
        self.hosts = [SimulatedHost(self, number) for number in range(hosts)]
        self.in_flight: list[tuple[ids.Host, list[quarantine.Blame]]] = []
        self.messages = 0
        self.crashes: list[float] = []
        self.late_sends = 0
        # Copies of the popular request that were sent, and refused.
        self.popular = {True: 0, False: 0}
        self._running: list[tuple[float, SimulatedHost]] = []

    def restart(self, number: int) -> None:
        self.hosts[number] = SimulatedHost(self, number)
        for host in self.hosts:
            if host is not self.hosts[number] and not host.is_cut:
                host.reports.greet(self.names[number], self.now)

    def run(self, seconds: float, is_popular_beside: bool = False) -> None:
        ends_at = self.now + seconds
        poison_at = self.now
        while self.now < ends_at:
            self.now += STEP_S
            self._deliver()
            for host in self.hosts:
                host.reports.tick(self.now)
            self._crash(is_popular_beside)
            if self.now >= poison_at:
                poison_at += POISON_INTERVAL_S
                self._send_poison(self.rng.choice(self.hosts))
                self._send_popular(self.rng.choice(self.hosts))

    def exchange(self, seconds: float) -> None:
        """Let messages arrive; no request is sent."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += STEP_S
            self._deliver()
            for host in self.hosts:
                host.reports.tick(self.now)

    def _deliver(self) -> None:
        arrived, self.in_flight = self.in_flight, []
        for target, blames in arrived:
            host = self.hosts[self.names.index(target)]
            if not host.is_cut:
                host.reports.handle_blames(blames, self.now)

    def _send_poison(self, host: SimulatedHost) -> None:
        if host.reports.take_send(POISON, self.now) is not None:
            return
        self._running.append((self.now + RUN_S, host))
        if len(self.crashes) >= 3 and host.is_in_touch(self.now):
            self.late_sends += self.now > self.crashes[2] + CONTACT_S

    def _send_popular(self, host: SimulatedHost) -> None:
        is_sent = host.reports.take_send(POPULAR, self.now) is None
        self.popular[is_sent] += 1
        if is_sent:
            host.reports.record_completion(POPULAR, self.now)

    def _crash(self, is_popular_beside: bool) -> None:
        due = [item for item in self._running if item[0] <= self.now]
        self._running = [item for item in self._running if item[0] > self.now]
        for _, host in due:
            self.crashes.append(self.now)
            crash = ids.identify_crash(
                ids.RunnerStart(f'i-{len(self.crashes)}'), 0
            )
            host.reports.record_crash(crash, {POISON}, self.now)
            if is_popular_beside:
                other = self.rng.choice(self.hosts)
                other.reports.record_crash(crash, {POPULAR}, self.now)


class CrashReportsTest(testtools.TestCase):
    def check_bound(self, system: SimulatedSystem) -> None:
        self.assertGreaterEqual(len(system.crashes), 3)
        self.assertLessEqual(system.late_sends, MAX_LATE_SENDS)

    def test_seven_hosts_keep_the_bound(self) -> None:
        """Guards against hosts that each let the request crash runners."""
        for seed in range(20):
            system = SimulatedSystem(7, seed)
            system.run(8.0)
            self.check_bound(system)

    def test_hundreds_of_hosts_keep_the_bound(self) -> None:
        """Guards against crashes that are unknown in other groups."""
        system = SimulatedSystem(195, 1)
        system.run(8.0)
        self.check_bound(system)

    def test_thousand_hosts_keep_the_bound(self) -> None:
        """Guards against crashes that spread too slowly among many hosts."""
        system = SimulatedSystem(770, 1)
        system.run(4.0)
        self.check_bound(system)

    def test_hosts_that_restart_learn_of_the_quarantine(self) -> None:
        """Guards against crashes that are forgotten by restarts in turn."""
        for seed in range(10):
            system = SimulatedSystem(7, seed)
            system.run(4.0)
            for number in range(7):
                system.restart(number)
                system.run(1.0)
            system.run(CONTACT_S + 1.0)
            self.check_bound(system)

    def test_host_that_was_cut_off_learns_of_the_quarantine(self) -> None:
        """Guards against crashes by a host that heard no report."""
        for hosts in (7, 60):
            system = SimulatedSystem(hosts, 3)
            system.hosts[0].is_cut = True
            system.run(5.0)
            system.hosts[0].is_cut = False
            system.hosts[0].started_at = system.now
            system.run(CONTACT_S + 2.0)
            self.check_bound(system)
            verdict = system.hosts[0].reports.find_verdict(POISON, system.now)
            self.assertIsNotNone(verdict)

    def test_popular_request_beside_crashes_is_served(self) -> None:
        """Guards against the refusal of a harmless request sent often."""
        for seed in range(10):
            system = SimulatedSystem(7, seed)
            system.run(6.0, is_popular_beside=True)
            self.check_bound(system)
            system.popular = {True: 0, False: 0}
            system.run(2.0)
            self.assertEqual(0, system.popular[False])

    def test_bystander_is_served_after_its_trial(self) -> None:
        """Guards against a bystander that is refused until the blame ends."""
        system = SimulatedSystem(7, 1)
        for number in range(3):
            crash = ids.identify_crash(ids.RunnerStart(f'i-{number}'), 0)
            system.hosts[number].reports.record_crash(
                crash, {ids.ContentKey(8), POPULAR}, system.now
            )
        system.exchange(2.0)
        admitting = [
            host
            for host in system.hosts
            if host.reports.find_verdict(POPULAR, system.now) is None
        ]
        self.assertEqual(crashreports.TRIAL_HOSTS, len(admitting))
        admitting[0].reports.record_completion(POPULAR, system.now)
        system.exchange(2.0)
        for host in system.hosts:
            self.assertIsNone(host.reports.find_verdict(POPULAR, system.now))

    def test_trial_that_crashes_a_runner_is_the_last(self) -> None:
        """Guards against a host that tries a contested request repeatedly."""
        system = SimulatedSystem(7, 1)
        for number in range(3):
            crash = ids.identify_crash(ids.RunnerStart(f'i-{number}'), 0)
            system.hosts[number].reports.record_crash(
                crash, {POISON, POPULAR}, system.now
            )
        system.exchange(2.0)
        system.run(8.0)
        self.assertLessEqual(len(system.crashes), crashreports.TRIAL_HOSTS)

    def test_quiet_hosts_send_nothing(self) -> None:
        """Guards against messages where no runner crashes."""
        system = SimulatedSystem(7, 1)
        for host in system.hosts:
            host.reports.tick(5.0)
        self.assertEqual(0, system.messages)
