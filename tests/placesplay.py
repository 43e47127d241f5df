"""Plays how many hosts share the places of their runners, without a network.

Each host has its real dispatcher, coordinator and scheduler; runners, callers
and the ways of messages are played in simulated time, so the outcome depends
on the seed alone.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import dispatch
from apricotlandingd.gateway.hosts import groups
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import observations
import gatewayparts

__all__ = ['Load', 'Outcome', 'Play']

# Seconds between two ticks of a host.
TICK = 0.02
# Seconds that a message is on its way, at least and at most.
WAYS = (0.0005, 0.004)
# Groups that schedulers on their own share places with; only their share of
# each runner counts here.
PARTITION_HOSTS = 12


@dataclasses.dataclass
class Load:
    """What callers ask for, and who serves them."""

    hosts: int = 40
    runners: int = 20
    slots: int = 7
    # Part of what the runners can do.
    part: float = 0.8
    # Seconds for which a request holds its place at a fast and a slow runner,
    # and each how manieth runner is slow.
    fast_hold: float = 0.6
    slow_hold: float = 1.8
    slow_step: int = 3
    # Seconds that callers wait for a place.
    patience: float = 0.6
    seconds: float = 20.0
    # Part of the messages that are lost.
    loss: float = 0.0
    # Tiers of requests, drawn with equal chance.
    tiers: int = 1
    # The first hosts get so many times the callers of the others.
    busy_hosts: int = 0
    busy_part: float = 4.0


@dataclasses.dataclass
class Outcome:
    """What callers got, and what it took."""

    asked: int = 0
    refused: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    granted: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    waited_s: float = 0.0
    longest_s: float = 0.0
    # Requests that queued at a runner.
    queued: int = 0
    # Requests that were sent to a runner that had crashed.
    missed: int = 0
    messages: int = 0

    def find_refused(self) -> float:
        """Return the refused part of what was asked."""
        return sum(self.refused.values()) / max(1, self.asked)

    def find_queued(self) -> float:
        """Return the part of the granted that queued at a runner."""
        return self.queued / max(1, sum(self.granted.values()))

    def find_wait(self) -> float:
        """Return the mean seconds until a place."""
        return self.waited_s / max(1, sum(self.granted.values()))


@ty.final
class _Alone:
    """The other hosts, as one that shares no places hears them."""

    def __init__(self, count: int) -> None:
        self.partition = groups.Partition(count)

    def count_running(self, runner: ids.RunnerStart) -> int:
        return 0

    def list_waiting(self, service: ids.Pool) -> list[waiting.Rank]:
        return []

    def find_silent_share(self) -> float:
        return 0.0


@ty.final
class _Known:
    """The hosts that one host knows."""

    def __init__(self, play: 'Play', host: ids.Host) -> None:
        self._play = play
        self._host = host
        self.changes = 0

    def is_divided(self) -> bool:
        return True

    def list_coordinators(self) -> list[ids.Host]:
        return list(self._play.hosts)

    def find_address(self, host: ids.Host) -> addresses.Address | None:
        known = self._play.hosts.get(host)
        return None if known is None else known.address

    def send(self, message: object, address: addresses.Address) -> None:
        self._play.send(self._host, message, address)


@dataclasses.dataclass
class Host:
    """One host, without the tasks around its parts."""

    name: ids.Host
    address: addresses.Address
    dispatcher: dispatch.Dispatcher
    own: coordinator.Coordinator
    # What it decides by when it reaches no coordinator.
    local: scheduler.Scheduler
    is_up: bool = True
    # Hosts that it cannot reach, nor they it.
    cut_from: set[ids.Host] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Runner:
    """One runner: takes requests in order of arrival."""

    hold: float
    # Takes no connection.
    is_lost: bool = False
    running: int = 0
    queue: collections.deque[tuple[Host, waiting.Grant, float]] = (
        dataclasses.field(default_factory=collections.deque)
    )


class Play:
    """Hosts before runners; events in the order of their time."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.spread = random.Random(seed)
        self.outcome = Outcome()
        self.now = 0.0
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._order = itertools.count()
        self.known = directory.Directory(2.0)
        self.runners: dict[ids.RunnerStart, Runner] = {}
        for number in range(load.runners):
            entry = gatewayparts.make_entry(f'i-{number}', load.slots)
            self.known.update(entry)
            is_slow = number % load.slow_step == 0
            hold = load.slow_hold if is_slow else load.fast_hold
            self.runners[entry.start] = Runner(hold)
        self.hosts: dict[ids.Host, Host] = {}
        for number in range(load.hosts):
            self.hosts[ids.Host(f'host-{number}')] = self.make_host(number)
        self._by_address = {host.address: host for host in self.hosts.values()}
        capacity = sum(
            load.slots / runner.hold for runner in self.runners.values()
        )
        self.interval = 1 / (load.part * capacity)
        self.plan(0.0, self.come)
        for host in self.hosts.values():
            self.plan_tick(host, self.spread.uniform(0, TICK))

    def make_host(self, number: int) -> Host:
        name = ids.Host(f'host-{number}')
        address = addresses.Address('127.0.0.1', 1000 + number)
        process = ids.Incarnation(f'{name}/1')
        latencies, fitness = latency.LatencyEstimates(), health.Health()
        local = self.make_scheduler(latencies, fitness)
        own = coordinator.Coordinator(
            name,
            self.known,
            latencies,
            fitness,
            self.spread,
            lambda: False,
            lambda: True,
            local.find_hold,
        )
        hosts = _Known(self, name)
        found = dispatch.Dispatcher(
            name,
            address,
            process,
            local,
            own,
            self.known,
            latencies,
            fitness,
            hosts,
            candidates.Candidates(name, hosts),
            self.spread,
        )
        return Host(name, address, found, own, local)

    def make_scheduler(
        self,
        latencies: latency.LatencyEstimates | None = None,
        fitness: health.Health | None = None,
    ) -> scheduler.Scheduler:
        """Return what a host decides by that reaches no coordinator."""
        count = max(1, round(self.load.hosts / PARTITION_HOSTS))
        return scheduler.Scheduler(
            self.known,
            latencies or latency.LatencyEstimates(),
            fitness or health.Health(),
            _Alone(count),
            self.spread,
        )

    # Events.

    def plan(
        self, after: float, event: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(
            self._events, (self.now + after, next(self._order), event)
        )

    def play(self) -> Outcome:
        """Play to the end; return what callers got."""
        while self._events and self._events[0][0] < self.load.seconds:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def plan_tick(self, host: Host, after: float) -> None:
        def tick() -> None:
            if host.is_up:
                host.dispatcher.tick(self.now)
            self.plan_tick(host, TICK)

        self.plan(after, tick)

    def send(
        self, sender: ids.Host, message: object, address: addresses.Address
    ) -> None:
        self.outcome.messages += 1
        # As on the wire: what is changed later must not change it.
        data = messages.registry.encode(message)
        target = self._by_address[address]
        if self.spread.random() < self.load.loss:
            return
        if sender in target.cut_from:
            return

        def arrive() -> None:
            if not target.is_up:
                return
            found = messages.registry.decode(data)
            if isinstance(found, placemessages.PlaceRequest):
                target.dispatcher.take(found, self.now)
            else:
                target.dispatcher.take_reply(found, self.now)

        self.plan(self.spread.uniform(*WAYS), arrive)

    # Callers.

    def come(self) -> None:
        self.plan(self.spread.expovariate(1 / self.interval), self.come)
        host = self.choose_host()
        self.outcome.asked += 1
        tier = self.spread.randrange(self.load.tiers)
        ticket = gatewayparts.make_ticket(
            f'a{self.outcome.asked}',
            self.now,
            tier=ids.Tier(tier),
            on_time_by=self.now + self.load.patience,
            useful_until=self.now + self.load.patience,
            prompt_tokens=0,
        )
        host.dispatcher.enter(ticket, self.now)
        self.watch(host, ticket)

    def choose_host(self) -> Host:
        up = [host for host in self.hosts.values() if host.is_up]
        load = self.load
        weights = [
            load.busy_part if number < load.busy_hosts else 1.0
            for number in range(len(up))
        ]
        return self.spread.choices(up, weights)[0]

    def watch(self, host: Host, ticket: waiting.Ticket) -> None:
        """Look for the decision a little later, as a waiting task does."""
        if ticket.decision is None and host.is_up:
            self.plan(0.001, lambda: self.watch(host, ticket))
            return
        host.dispatcher.leave(ticket, self.now)
        decision = ticket.decision
        tier = int(ticket.tier)
        if isinstance(decision, waiting.Grant):
            self.outcome.granted[tier] += 1
            waited = self.now - ticket.arrived_at
            self.outcome.waited_s += waited
            self.outcome.longest_s = max(self.outcome.longest_s, waited)
            self.arrive(host, decision, ticket)
        else:
            self.outcome.refused[tier] += 1

    # Runners.

    def arrive(
        self, host: Host, grant: waiting.Grant, ticket: waiting.Ticket
    ) -> None:
        runner = self.runners[grant.runner]
        if runner.is_lost:
            self.miss(host, grant, ticket)
            return
        if runner.running >= self.load.slots:
            self.outcome.queued += 1
            runner.queue.append((host, grant, self.now))
            return
        self.run(runner, host, grant, self.now)

    def miss(
        self, host: Host, grant: waiting.Grant, ticket: waiting.Ticket
    ) -> None:
        """Ask for another runner than the one that takes no connection."""
        self.outcome.missed += 1
        seen = observations.Observation(observations.Kind.UNREACHABLE)
        host.dispatcher.note(gatewayparts.POOL, grant.runner, seen, self.now)
        host.dispatcher.release(gatewayparts.POOL, grant, self.now)
        again = gatewayparts.make_ticket(
            ticket.attempt,
            ticket.arrived_at,
            tier=ticket.tier,
            on_time_by=ticket.on_time_by,
            useful_until=ticket.useful_until,
            prompt_tokens=0,
            tried={*ticket.tried, grant.runner},
        )
        host.dispatcher.enter(again, self.now)
        self.watch(host, again)

    def run(
        self,
        runner: Runner,
        host: Host,
        grant: waiting.Grant,
        sent_at: float,
    ) -> None:
        runner.running += 1
        hold = runner.hold * self.spread.uniform(0.5, 1.5)

        def end() -> None:
            runner.running -= 1
            if runner.queue:
                self.run(runner, *runner.queue.popleft())
            if not host.is_up:
                return
            took = self.now - sent_at
            kinds = observations.Kind
            for seen in (
                observations.Observation(kinds.SUCCESS),
                observations.Observation(kinds.FIRST, 0, took),
                observations.Observation(kinds.HOLD, 0, took),
            ):
                host.dispatcher.note(
                    gatewayparts.POOL, grant.runner, seen, self.now
                )
            host.dispatcher.release(gatewayparts.POOL, grant, self.now)

        self.plan(hold, end)
