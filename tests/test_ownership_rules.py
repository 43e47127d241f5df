"""Safety under any interleaving of takeovers, pauses, losses and outages."""

import os

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import testtools

from apricotlanding import ids
from apricotlanding import records
from apricotlanding import wire
import ownershipmodel as model

_NODE_INDEXES = strategies.integers(0, 2)
_INDEXES = strategies.integers(0, 7)
_DELAYS_S = strategies.sampled_from([0.05, 0.2, 0.6, 1.1, 2.5, 6.0, 11.0])
# Index of a successor, or 3 for none.
_SUCCESSORS = strategies.integers(0, 3)
_MOSTLY_TRUE = strategies.sampled_from([True, True, False])
_REPEAT_COUNTS = strategies.integers(1, 12)
_KEYS_AHEAD_S = strategies.sampled_from([-20.0, -1.0, 0.0, 0.2, 1.0, 2.5])
_SKEWS_S = strategies.sampled_from(
    [-model.CLOCK_SKEW_S, 0.0, model.CLOCK_SKEW_S]
)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Three daemons that may act at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = model.Simulation()
        self.keys: list[ids.Key] = []
        self.ends: list[tuple[model.GrantedClaim, wire.ClaimEnd]] = []

    @stateful.initialize(skews=strategies.tuples(_SKEWS_S, _SKEWS_S, _SKEWS_S))
    def begin(self, skews: tuple[float, float, float]) -> None:
        self.simulation = model.Simulation(3, skews)
        first, second, _ = self.simulation.nodes
        model.start_serving(self.simulation, first, second)

    # Time and the log. Most steps have a quick form, in which the record is
    # committed and read, and a slow one, in which it stays in flight.

    @stateful.rule(seconds=_DELAYS_S)
    def advance(self, seconds: float) -> None:
        self.simulation.now += seconds

    @stateful.rule(pick=_INDEXES)
    def commit(self, pick: int) -> None:
        if self.simulation.in_flight:
            in_flight = self.simulation.in_flight
            self.simulation.commit(in_flight[pick % len(in_flight)])

    @stateful.rule(node=_NODE_INDEXES)
    def read(self, node: int) -> None:
        self.simulation.read(self.simulation.nodes[node])

    @stateful.rule(node=_NODE_INDEXES)
    def confirm(self, node: int) -> None:
        mark = self.simulation.send(
            self.simulation.nodes[node], records.Mark()
        )
        self._finish(node, mark)

    # Owners.

    @stateful.rule(
        node=_NODE_INDEXES, successor=_SUCCESSORS, is_quick=_MOSTLY_TRUE
    )
    def take(self, node: int, successor: int, is_quick: bool) -> None:
        actor = self.simulation.nodes[node]
        append = self.simulation.take(actor, self._pick(node, successor))
        if is_quick:
            self._finish(node, append)
            self._finish(node, self.simulation.serve(actor))

    @stateful.rule(node=_NODE_INDEXES)
    def serve(self, node: int) -> None:
        self._finish(node, self.simulation.serve(self.simulation.nodes[node]))

    @stateful.rule(
        node=_NODE_INDEXES, successor=_SUCCESSORS, is_quick=_MOSTLY_TRUE
    )
    def name_successor(
        self, node: int, successor: int, is_quick: bool
    ) -> None:
        actor = self.simulation.nodes[node]
        append = self.simulation.name_successor(
            actor, self._pick(node, successor)
        )
        if is_quick:
            self._finish(node, append)

    @stateful.rule(
        owner=_NODE_INDEXES, promiser=_NODE_INDEXES, times=_REPEAT_COUNTS
    )
    def renew(self, owner: int, promiser: int, times: int) -> None:
        nodes = self.simulation.nodes
        for _ in range(times):
            self.simulation.now += 0.2
            model.exchange_promise(
                self.simulation, nodes[owner], nodes[promiser]
            )
            self.simulation.check()

    @stateful.rule(owner=_NODE_INDEXES, promiser=_NODE_INDEXES)
    def request_promise(self, owner: int, promiser: int) -> None:
        self.simulation.request_promise(
            self.simulation.nodes[owner], self.simulation.nodes[promiser]
        )

    @stateful.rule(pick=_INDEXES)
    def deliver(self, pick: int) -> None:
        if self.simulation.calls:
            calls = self.simulation.calls
            self.simulation.deliver(calls[pick % len(calls)])

    @stateful.rule(node=_NODE_INDEXES)
    def restart(self, node: int) -> None:
        self.simulation.restart(self.simulation.nodes[node])

    # Claims.

    @stateful.rule(asker=_NODE_INDEXES, ahead=_KEYS_AHEAD_S)
    def claim_new(self, asker: int, ahead: float) -> None:
        self.keys.append(self.simulation.make_key(ahead))
        self._claim_anywhere(asker, self.keys[-1])

    @stateful.rule(asker=_NODE_INDEXES, pick=_INDEXES)
    def claim_again(self, asker: int, pick: int) -> None:
        if self.keys:
            key = self.keys[-1 - pick % len(self.keys)]
            self._claim_anywhere(asker, key)

    @stateful.rule(senders=strategies.sets(_NODE_INDEXES))
    def report(self, senders: set[int]) -> None:
        for owner in self.simulation.nodes:
            for sender in senders:
                self.simulation.report(owner, self.simulation.nodes[sender])
            if owner.table is not None:
                owner.table.has_reports = True

    @stateful.rule(pick=_INDEXES)
    def release(self, pick: int) -> None:
        held = [
            item for item in self.simulation.granted if not item.is_released
        ]
        if held:
            item = held[pick % len(held)]
            self.ends.append((item, self.simulation.release(item)))
            self._record_outcome(*self.ends[-1])

    @stateful.rule(pick=_INDEXES)
    def repeat_outcome(self, pick: int) -> None:
        # A retry after the acknowledgement was lost.
        if self.ends:
            self._record_outcome(*self.ends[pick % len(self.ends)])

    @stateful.invariant()
    def check_guarantees(self) -> None:
        self.simulation.check()

    def _pick(self, node: int, successor: int) -> model.Node | None:
        if successor >= 3 or successor == node:
            return None
        return self.simulation.nodes[successor]

    def _finish(self, node: int, append: model.Append | None) -> None:
        if append is not None:
            self.simulation.commit(append)
            self.simulation.read(self.simulation.nodes[node])

    def _claim_anywhere(self, asker: int, key: ids.Key) -> None:
        for owner in self.simulation.nodes:
            self.simulation.claim(owner, self.simulation.nodes[asker], key)

    def _record_outcome(
        self, item: model.GrantedClaim, end: wire.ClaimEnd
    ) -> None:
        for owner in self.simulation.nodes:
            if owner.table is not None:
                owner.table.record_outcome(end, item.node.incarnation)


class TestOwnershipRules(testtools.TestCase):
    """No interleaving gives two valid leases or two grants of a key."""

    def test_any_interleaving(self) -> None:
        # The same examples in every run, so that the result is repeatable.
        # ``make explore`` draws new ones.
        count = int(os.environ.get('APRICOT_EXAMPLES', '300'))
        stateful.run_state_machine_as_test(
            OwnershipMachine,
            settings=settings(
                max_examples=count,
                stateful_step_count=80,
                derandomize='APRICOT_EXAMPLES' not in os.environ,
                deadline=None,
                database=None,
            ),
        )
