"""Allowances when many hosts start at once, without a network."""

import dataclasses
import heapq
import itertools
import random

import testtools

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
import gatewayparts

HOSTS = 40
RATE = BURST = 2000.0
# The operators' slack: ten requests.
SLACK = 2000.0
COST = 200.0
# The operators' window, seconds, and what may run in it.
WINDOW_S = 8.0
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
ORGANISATION = gatewayparts.make_organisation(RATE)
# Seconds: all hosts start within the first; a host has read the list of those
# that were there, at the earliest and the latest, after the next two; a
# message is on its way for up to the last.
START_SPREAD = 0.3
LIST_TIMES = (0.05, 0.4)
LONGEST_WAY = 0.02
SECONDS = 12.0
# Seconds between two requests of the organisation at one host.
ASK_INTERVAL = 0.2


@dataclasses.dataclass
class Host:
    """One host: its mesh and its buckets, without the tasks around them."""

    name: ids.Host
    address: addresses.Address
    others: mesh.Mesh
    shared: allowances.Allowances
    number: int = 0
    # Far hosts that have not had their turn.
    turn: list[ids.Host] = dataclasses.field(default_factory=list)

    def make_state(self, now: float, scope: mesh.Scope) -> messages.HostState:
        self.number += 1
        asked = group_asked = quotas.Usage()
        hints: dict[ids.Host, str] = {}
        if scope is not mesh.Scope.CHANGES:
            asked = self.shared.buckets.list_asked(now)
            group_asked = self.shared.sum_group_asked(asked)
            known = list(self.others.peers.values())[-mesh.HINTS :]
            hints = {
                peer.state.host: peer.state.state_address for peer in known
            }
        return messages.HostState(
            host=self.name,
            incarnation=ids.Incarnation(f'{self.name}/1'),
            state_address=str(self.address),
            peers_address=str(self.address),
            number=self.number,
            is_stopping=False,
            reads_store=True,
            positions=[1, 1],
            running={},
            usage=dict(self.shared.buckets.usage),
            ranks={},
            hints=hints,
            asked=asked,
            group_asked=group_asked,
        )

    def choose_far(self) -> list[addresses.Address]:
        peers = self.others.peers
        if not self.turn:
            self.turn = [name for name in peers if not peers[name].is_near]
        if not self.turn or self.turn[-1] not in peers:
            return []
        return [peers[self.turn.pop()].address]

    def take(self, state: messages.HostState, now: float) -> None:
        self.others.take(state, now)
        self.shared.hear(state, now)


class Play:
    """Hosts that start together; events in the order of their time."""

    def __init__(self, count: int, seed: int) -> None:
        self.spread = random.Random(seed)
        self.count = count
        self.hosts: dict[addresses.Address, Host] = {}
        # When each request of the organisation ran.
        self.runs: list[float] = []
        self._events: list[tuple[float, int, str, addresses.Address, object]]
        self._events = []
        self._order = itertools.count()
        self._addresses = [
            addresses.Address('127.0.0.1', 1000 + place)
            for place in range(count)
        ]
        for address in self._addresses:
            self.plan(
                self.spread.uniform(0, START_SPREAD), 'start', address, None
            )

    def plan(
        self, at: float, kind: str, address: addresses.Address, item: object
    ) -> None:
        heapq.heappush(
            self._events, (at, next(self._order), kind, address, item)
        )

    def play(self) -> None:
        while self._events[0][0] < SECONDS:
            now, _, kind, address, item = heapq.heappop(self._events)
            if kind == 'start':
                self.start(address, now)
                continue
            host = self.hosts.get(address)
            if host is None:
                continue
            if kind == 'state':
                assert isinstance(item, messages.HostState)
                host.take(item, now)
            elif kind == 'ask':
                self.ask(host, now)
            elif kind == 'list':
                for known in self.hosts:
                    host.others.seek(known)
                host.shared.note_listed()
            else:
                self.tell(host, kind, now)

    def start(self, address: addresses.Address, now: float) -> None:
        others = mesh.Mesh(
            ids.Host(f'host-{address.port}'),
            address,
            tuple(self._addresses[:3]),
            self.spread,
        )
        shared = allowances.Allowances(quotas.Quotas(SLACK, now), others, now)
        name = ids.Host(f'host-{address.port}')
        self.hosts[address] = Host(name, address, others, shared)
        self.plan(
            now + self.spread.uniform(*LIST_TIMES), 'list', address, None
        )
        for kind in ('near', 'far', 'search'):
            self.plan(now, kind, address, None)
        self.plan(now + self.spread.random() * 0.1, 'ask', address, None)

    def ask(self, host: Host, now: float) -> None:
        shares = host.shared.find_shares(ORGANISATION, now)
        if host.shared.take(ORGANISATION, COST, shares, now) is None:
            self.runs.append(now)
        pause = self.spread.expovariate(1 / ASK_INTERVAL)
        self.plan(now + pause, 'ask', host.address, None)

    def tell(self, host: Host, kind: str, now: float) -> None:
        peers = list(host.others.peers.values())
        near = [peer.address for peer in peers if peer.is_near]
        if kind == 'near':
            scope = mesh.Scope.CHANGES
            if self.spread.random() < 0.1:
                scope = mesh.Scope.WHOLE
            pause = max(0.01, mesh.INTERVAL_A_SQUARE * len(near) ** 2)
            self.send(host, host.make_state(now, scope), near, now)
        elif kind == 'far':
            pause = mesh.FAR_INTERVAL
            state = host.make_state(now, mesh.Scope.FAR)
            self.send(host, state, host.choose_far(), now)
        else:
            pause = mesh.SEARCH_INTERVAL
            state = host.make_state(now, mesh.Scope.WHOLE)
            sought = [
                item
                for item in self._addresses
                if item in host.others.list_sought()
            ]
            self.send(host, state, sought, now)
        self.plan(now + pause, kind, host.address, None)

    def send(
        self,
        host: Host,
        state: messages.HostState,
        targets: list[addresses.Address],
        now: float,
    ) -> None:
        for target in targets:
            way = self.spread.uniform(0.0005, LONGEST_WAY)
            self.plan(now + way, 'state', target, state)

    def find_most(self) -> float:
        """Return the most units that ran within the operators' window."""
        return max(
            sum(COST for other in self.runs if at <= other <= at + WINDOW_S)
            for at in self.runs
        )


class TestColdStart(testtools.TestCase):
    """An organisation asks each of forty hosts for many times its part."""

    def test_burst_is_handed_out_once(self) -> None:
        # An organisation ran 41,400 units in 8 s where 21,800 are allowed.
        # All hosts were started together. Each knew nobody yet, took itself
        # for the only host and handed out half a burst; once they had heard
        # each other, the groups they formed began with another part each.
        for seed in (1, 2, 3):
            play = Play(HOSTS, seed)
            play.play()
            self.assertLessEqual(play.find_most(), ALLOWED)

    def test_whole_allowance_is_handed_out(self) -> None:
        # Callers that ask for more than the allowance get nine tenths of it
        # from the fourth second on, at seven hosts and at forty.
        for count in (7, HOSTS):
            play = Play(count, 4)
            play.play()
            late = sum(COST for at in play.runs if at > 4.0)
            self.assertGreaterEqual(late, 0.9 * RATE * (SECONDS - 4.0))
