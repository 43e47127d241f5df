"""Simulation of a few daemons, one shard and a log, with simulated time.

The rules under test are the real ones: ``LogFollower.apply_batch``,
``ShardView``, ``PromiseTable``, ``Lease``, ``find_serve_time`` and
``ClaimTable``. The simulation only decides the order of events: which appends
are committed, late or never; who reads how far; which messages arrive, and
when.

After every step ``check`` looks for two owners with a valid lease at the
same time, and for a key with two grants that were not released.
"""

import dataclasses
import typing as ty

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import platformlog
from apricotlanding import records
from apricotlanding import wire
from apricotlandingd.configuration import logfollower
from apricotlandingd.ownership import claimtable
from apricotlandingd.ownership import leases
from apricotlandingd.ownership import shardview
from apricotstandins import callers

SHARD = ids.Shard('claims/0')
ORGANISATION = ids.Organisation('festin')
LEASE_S = 1.0
OUTAGE_LIMIT_S = 10.0
CLOCK_SKEW_S = 0.25
LIMITS = bundle.Limits(clock_skew_s=CLOCK_SKEW_S)
# Wall clock time at monotonic time 0.
WALL_START_S = 1_700_000_000.0


class Violation(AssertionError):
    """A guarantee of the system is broken."""


@dataclasses.dataclass(eq=False)
class Append:
    envelope: records.Envelope
    sent_at: float


@dataclasses.dataclass(eq=False)
class PromiseCall:
    """A request for a promise in flight, or its reply."""

    owner: 'Node'
    promiser: 'Node'
    request: wire.PromiseRequest
    sent_at: float
    given: wire.Promise | None = None


@dataclasses.dataclass(eq=False)
class GrantedClaim:
    key: ids.Key
    node: 'Node'
    ticket: str
    is_released: bool = False


class Node:
    """One incarnation of one daemon."""

    def __init__(self, host: str, run: int, wall_offset: float) -> None:
        self.incarnation = ids.Incarnation(f'{host}/{host}.{run:012x}.0')
        self.host = host
        self.follower = logfollower.LogFollower(
            ty.cast(platformlog.PlatformLog, None), self.incarnation
        )
        self.view = shardview.ShardView()
        self.follower.add_observer(self.view)
        self.promises = leases.PromiseTable()
        self.lease: leases.Lease | None = None
        self.table: claimtable.ClaimTable | None = None
        self.is_serving = False
        self.ended_at = 0.0
        self.wall_offset = wall_offset
        self.sequence = 0
        self.is_dead = False
        # Sequence number of an unconfirmed append, by kind.
        self.unconfirmed_appends: dict[str, int] = {}
        self.sent_at: dict[int, float] = {}
        self.pending_successor: ids.Incarnation | None = None

    def wall(self, now: float) -> float:
        return WALL_START_S + now + self.wall_offset


class Simulation:
    """State that a step may change."""

    def __init__(self, hosts: int = 3, skews: ty.Sequence[float] = ()) -> None:
        self.now = 0.0
        self.log: list[tuple[ids.Offset, bytes]] = []
        self.in_flight: list[Append] = []
        self.calls: list[PromiseCall] = []
        self.granted: list[GrantedClaim] = []
        self.tickets = 0
        self.runs = 0
        offsets = [*skews, *[0.0] * hosts]
        self.nodes = [
            Node(f'h{number}', self._count_run(), offsets[number])
            for number in range(hosts)
        ]

    # The log.

    def send(self, node: Node, body: object, append_kind: str = '') -> Append:
        node.sequence += 1
        node.sent_at[node.sequence] = self.now
        if append_kind:
            node.unconfirmed_appends[append_kind] = node.sequence
        envelope = records.Envelope(node.incarnation, node.sequence, body)
        append = Append(envelope, self.now)
        self.in_flight.append(append)
        return append

    def commit(self, append: Append) -> None:
        self.in_flight.remove(append)
        offset = ids.Offset(len(self.log))
        self.log.append((offset, append.envelope.encode()))

    def read(self, node: Node, count: int = 1_000_000) -> None:
        """Let a node read records and act as ``OwnershipManager`` would."""
        for offset, data in self.log[node.follower.next :][:count]:
            batch = platformlog.LogBatch(
                ids.Offset(0), ids.Offset(offset + 1), False, [(offset, data)]
            )
            node.follower.apply_batch(batch, self.now)
            envelope = records.decode_envelope(data)
            if envelope.sender == node.incarnation:
                self._read_back(node, envelope.sequence)
            self._update_ownership(node)

    def _read_back(self, node: Node, sequence: int) -> None:
        node.follower.confirmed_at = node.sent_at[sequence]
        for append_kind, number in list(node.unconfirmed_appends.items()):
            if number <= sequence:
                del node.unconfirmed_appends[append_kind]
        if 'name' not in node.unconfirmed_appends and node.lease is not None:
            entry = node.view.get(SHARD)
            if entry is not None and entry.owner == node.incarnation:
                node.lease.remove_other_promisers(entry.successor)

    def _update_ownership(self, node: Node) -> None:
        entry = node.view.get(SHARD)
        assert entry is not None or not self.log or node.lease is None
        if entry is None:
            return
        is_mine = entry.owner == node.incarnation and not entry.is_released
        if node.lease is not None:
            if is_mine and entry.epoch == node.lease.epoch:
                if entry.is_serving and not node.is_serving:
                    self._begin(node, node.lease)
                return
            was_serving = node.is_serving
            epoch = node.lease.epoch
            node.lease = None
            node.table = None
            node.is_serving = False
            if was_serving and entry.owner != node.incarnation:
                self.send(node, records.Release(SHARD, epoch))
        if is_mine:
            node.lease = leases.Lease(
                entry.epoch, entry.lease_s, entry.outage_limit_s
            )
            if entry.successor is not None:
                node.lease.add_promiser(entry.successor, self.now)

    def _begin(self, node: Node, lease: leases.Lease) -> None:
        node.is_serving = True
        cutoff_at = None
        if lease.epoch > 1:
            ended = node.wall(self.now) - (self.now - node.ended_at)
            cutoff_at = ended + 2 * CLOCK_SKEW_S
        node.table = claimtable.ClaimTable(lease.epoch, LIMITS, cutoff_at)

    # What a daemon may do at any time.

    def take(self, node: Node, successor: Node | None) -> Append | None:
        entry = node.view.get(SHARD)
        if 'take' in node.unconfirmed_appends or node.lease is not None:
            return None
        epoch = ids.Epoch(1 if entry is None else entry.epoch + 1)
        name = None if successor is None else successor.incarnation
        take = records.Take(SHARD, epoch, name, LEASE_S, OUTAGE_LIMIT_S)
        return self.send(node, take, 'take')

    def serve(self, node: Node) -> Append | None:
        entry = node.view.get(SHARD)
        if node.lease is None or entry is None or node.is_serving:
            return None
        at = leases.find_serve_time(
            SHARD, entry, node.incarnation, node.promises
        )
        if self.now < at:
            return None
        node.ended_at = at
        return self.send(node, records.Serving(SHARD, node.lease.epoch))

    def name_successor(
        self, node: Node, successor: Node | None
    ) -> Append | None:
        if node.lease is None or not node.is_serving:
            return None
        if 'name' in node.unconfirmed_appends:
            return None
        name = None if successor is None else successor.incarnation
        if name is not None:
            node.lease.add_promiser(name, self.now)
        change = records.NameSuccessor(SHARD, node.lease.epoch, name)
        return self.send(node, change, 'name')

    def request_promise(
        self, owner: Node, promiser: Node
    ) -> PromiseCall | None:
        if owner.lease is None or owner is promiser:
            return None
        shard_epoch = (SHARD, owner.lease.epoch)
        call = PromiseCall(
            owner,
            promiser,
            wire.PromiseRequest([shard_epoch], LEASE_S),
            self.now,
        )
        self.calls.append(call)
        return call

    def deliver(self, call: PromiseCall) -> None:
        """Deliver the request of a call, or its reply."""
        promiser = call.promiser
        if call.given is None:
            if promiser.is_dead:
                self.calls.remove(call)
                return
            given = promiser.promises.give(
                call.request, promiser.view, self.now
            )
            confirmed = promiser.follower.confirmed_at
            age = None if confirmed is None else self.now - confirmed
            call.given = wire.Promise(given, age)
            return
        self.calls.remove(call)
        lease = call.owner.lease
        for _, epoch in call.given.shards:
            if lease is None or lease.epoch != epoch:
                continue
            lease.record_promise(
                promiser.incarnation,
                call.sent_at,
                LEASE_S,
                call.given.confirmed_age_s,
            )

    def claim(
        self, owner: Node, asker: Node, key: ids.Key
    ) -> wire.ClaimVerdict | None:
        """Ask an owner for a key; None if it does not answer."""
        if owner.table is None or not self.has_right(owner):
            return None
        self.tickets += 1
        request = wire.ClaimRequest(
            SHARD, ORGANISATION, key, b'd', f't{self.tickets}'
        )
        wall = owner.wall(self.now)
        reply = owner.table.decide(request, asker.incarnation, wall)
        if isinstance(reply, claimtable.Deferral):
            return None
        if reply.verdict is wire.ClaimVerdict.GRANTED:
            self.granted.append(GrantedClaim(key, asker, request.ticket))
        return reply.verdict

    def report(self, owner: Node, sender: Node) -> None:
        """Let a daemon report its claims to a new owner."""
        if owner.table is None or sender.is_dead:
            return
        held = [
            wire.HeldClaim(
                ORGANISATION,
                item.key,
                b'd',
                wire.ClaimState.RELEASED
                if item.is_released
                else wire.ClaimState.HELD,
                sender.incarnation,
                item.ticket,
            )
            for item in self.granted
            if item.node is sender
        ]
        owner.table.add_report(
            wire.ClaimReport(SHARD, owner.table.epoch, held, True),
            owner.wall(self.now),
        )

    def release(self, item: GrantedClaim) -> wire.ClaimEnd:
        """Let a holder release a key that it did not run."""
        item.is_released = True
        return wire.ClaimEnd(
            SHARD,
            ORGANISATION,
            item.key,
            wire.ClaimState.RELEASED,
            item.ticket,
        )

    def restart(self, node: Node) -> Node:
        """Kill a daemon and start another on its host."""
        node.is_dead = True
        node.lease = None
        node.table = None
        fresh = Node(node.host, self._count_run(), node.wall_offset)
        self.nodes[self.nodes.index(node)] = fresh
        return fresh

    def has_right(self, node: Node) -> bool:
        if node.lease is None or not node.is_serving:
            return False
        if node.follower.confirmed_at is not None:
            node.lease.record_confirmation(node.follower.confirmed_at)
        return node.lease.is_valid(self.now)

    def check(self) -> None:
        """Raise Violation if a guarantee is broken."""
        valid = [node for node in self.nodes if self.has_right(node)]
        if len(valid) > 1:
            names = [node.incarnation for node in valid]
            raise Violation(f'two valid leases at {self.now}: {names}')
        open_keys = [item.key for item in self.granted if not item.is_released]
        if len(set(open_keys)) < len(open_keys):
            raise Violation(f'a key was granted twice: {open_keys}')

    def make_key(self, ahead_s: float = 0.0) -> ids.Key:
        """Issue a key by a caller whose clock is off."""
        return ids.Key(callers.make_key(WALL_START_S + self.now + ahead_s))

    def _count_run(self) -> int:
        self.runs += 1
        return self.runs


def start_serving(
    simulation: Simulation, owner: Node, successor: Node | None
) -> None:
    """Let an owner serve, after all nodes have read the log."""
    append = simulation.take(owner, successor)
    assert append is not None
    settle(simulation, append)
    append = simulation.serve(owner)
    assert append is not None
    settle(simulation, append)
    if successor is not None:
        exchange_promise(simulation, owner, successor)


def settle(simulation: Simulation, append: Append) -> None:
    """Commit a record and let all nodes read it."""
    simulation.commit(append)
    for node in simulation.nodes:
        simulation.read(node)


def exchange_promise(
    simulation: Simulation, owner: Node, promiser: Node
) -> None:
    """Request a promise and receive it at once."""
    call = simulation.request_promise(owner, promiser)
    if call is not None:
        simulation.deliver(call)
        if call in simulation.calls:
            simulation.deliver(call)
