"""Each safeguard of ownership and claims: safe with it, broken without.

Every case is a scenario that can break the system. It runs twice: with the
safeguard in place no guarantee is broken; with it removed the same scenario
breaks one, which shows that the case can fail and that the safeguard is
needed.
"""

import collections.abc
import dataclasses
import typing as ty

import testtools

from apricotlanding import ids
from apricotlanding import records
from apricotlanding import wire
from apricotlandingd.configuration import logfollower
from apricotlandingd.ownership import claimtable
from apricotlandingd.ownership import leases
from apricotlandingd.ownership import shardview
import ownershipmodel as model

Scenario = collections.abc.Callable[[model.Simulation], None]
Removal = collections.abc.Callable[[testtools.TestCase], None]


@dataclasses.dataclass(frozen=True)
class Case:
    scenario: Scenario
    remove: Removal


_cases: dict[str, Case] = {}


def case(remove: Removal) -> collections.abc.Callable[[Scenario], Scenario]:
    def register_scenario(scenario: Scenario) -> Scenario:
        _cases[scenario.__name__] = Case(scenario, remove)
        return scenario

    return register_scenario


def renew_for(
    simulation: model.Simulation,
    owner: model.Node,
    promiser: model.Node,
    seconds: float,
) -> None:
    """Let a pair renew its promises while neither reaches the log."""
    end = simulation.now + seconds
    while simulation.now < end:
        simulation.now += 0.2
        model.exchange_promise(simulation, owner, promiser)
        simulation.check()


def take(
    simulation: model.Simulation,
    node: model.Node,
    successor: model.Node | None = None,
) -> None:
    """Let a node take a shard and read its own record."""
    append = simulation.take(node, successor)
    assert append is not None
    simulation.commit(append)
    simulation.read(node)


def take_and_serve(simulation: model.Simulation, node: model.Node) -> None:
    """Let a node take over and serve as soon as it may."""
    take(simulation, node)
    serve_when_allowed(simulation, node)


def serve_when_allowed(simulation: model.Simulation, node: model.Node) -> None:
    append = simulation.serve(node)
    if append is not None:
        simulation.commit(append)
        simulation.read(node)
    simulation.check()


# Removals.


def ignore_outage_limit(test: testtools.TestCase) -> None:
    find_expiry = leases.Lease.find_expiry

    def find_unlimited(lease: leases.Lease) -> float:
        lease.outage_limit_s = float('inf')
        return find_expiry(lease)

    test.patch(leases.Lease, 'find_expiry', find_unlimited)


def wait_short_as_outsider(test: testtools.TestCase) -> None:
    def find_short(
        shard: ty.Any,
        entry: ty.Any,
        taker: ty.Any,
        promises: leases.PromiseTable,
    ) -> float:
        ends = [item.replaced_at + model.LEASE_S for item in entry.unsettled]
        return float(max([entry.taken_at, *ends]))

    test.patch(leases, 'find_serve_time', find_short)


def need_only_new_successor(test: testtools.TestCase) -> None:
    def add_promiser(
        lease: leases.Lease, promiser: ty.Any, now: float
    ) -> None:
        # As if the change of successor were committed once it is sent.
        if not lease.promisers:
            lease.promisers.add(promiser)

    test.patch(leases.Lease, 'add_promiser', add_promiser)


def accept_late_records(test: testtools.TestCase) -> None:
    class NoSequences(dict[ty.Any, int]):
        def get(self, *_: ty.Any) -> int:
            return 0

    begin = logfollower.LogFollower.__init__

    def begin_without_order(
        follower: logfollower.LogFollower, *arguments: ty.Any
    ) -> None:
        begin(follower, *arguments)
        follower._highest = NoSequences()

    test.patch(logfollower.LogFollower, '__init__', begin_without_order)


def wait_for_last_taker_only(test: testtools.TestCase) -> None:
    apply_take = shardview.ShardView._apply_take

    def apply_last_taker_only(
        view: shardview.ShardView, *arguments: ty.Any
    ) -> None:
        entry = view.entries.get(model.SHARD)
        if entry is not None:
            entry.unsettled = []
            entry.is_serving = True
        apply_take(view, *arguments)

    test.patch(shardview.ShardView, '_apply_take', apply_last_taker_only)


def count_from_receipt(test: testtools.TestCase) -> None:
    deliver = model.Simulation.deliver

    def deliver_late(
        simulation: model.Simulation, call: model.PromiseCall
    ) -> None:
        if call.given is not None:
            call.sent_at = simulation.now
        deliver(simulation, call)

    test.patch(model.Simulation, 'deliver', deliver_late)


def ignore_cutoff(test: testtools.TestCase) -> None:
    test.patch(
        claimtable.ClaimTable, '_is_before_cutoff', lambda *arguments: False
    )


def grant_early_keys(test: testtools.TestCase) -> None:
    decide = claimtable.ClaimTable.decide

    def decide_early(
        table: claimtable.ClaimTable,
        request: ty.Any,
        sender: ty.Any,
        wall: float,
    ) -> ty.Any:
        reply = decide(table, request, sender, wall)
        if isinstance(reply, claimtable.Deferral) and table.has_reports:
            return decide(table, request, sender, wall + reply.seconds)
        return reply

    test.patch(claimtable.ClaimTable, 'decide', decide_early)


def ignore_tickets(test: testtools.TestCase) -> None:
    def record_outcome(
        table: claimtable.ClaimTable, message: wire.ClaimEnd, sender: ty.Any
    ) -> None:
        claim = table.find(message.organisation, message.key)
        if claim is not None and claim.holder == sender:
            claim.state = message.state

    test.patch(claimtable.ClaimTable, 'record_outcome', record_outcome)


def accept_released_reports(test: testtools.TestCase) -> None:
    add_report = claimtable.ClaimTable.add_report

    def add_all(
        table: claimtable.ClaimTable, report: wire.ClaimReport, wall: float
    ) -> None:
        whole = dataclasses.replace(report, is_handover=True)
        add_report(table, whole, wall)

    test.patch(claimtable.ClaimTable, 'add_report', add_all)


def ignore_incarnation_order(test: testtools.TestCase) -> None:
    def has_ended(earlier: ids.Incarnation, later: ids.Incarnation) -> bool:
        same_host = ids.parse_host(earlier) == ids.parse_host(later)
        return same_host and earlier != later

    test.patch(ids, 'has_ended', has_ended)


# Scenarios.


@case(ignore_outage_limit)
def pair_cut_off_from_log(simulation: model.Simulation) -> None:
    """Owner and successor reach only each other; an outsider takes over.

    Neither reaches the log, so neither reads the outsider's Take. They go on
    renewing promises and must stop by themselves before the outsider serves.
    """
    owner, successor, outsider = simulation.nodes
    model.start_serving(simulation, owner, successor)
    take(simulation, outsider)
    renew_for(simulation, owner, successor, 1.02 * model.OUTAGE_LIMIT_S)
    serve_when_allowed(simulation, outsider)
    assert outsider.is_serving


@case(wait_short_as_outsider)
def outsider_is_early(simulation: model.Simulation) -> None:
    """An outsider that waits for one lease only overlaps the old owner."""
    owner, successor, outsider = simulation.nodes
    model.start_serving(simulation, owner, successor)
    take(simulation, outsider)
    renew_for(simulation, owner, successor, 2 * model.LEASE_S)
    serve_when_allowed(simulation, outsider)


@case(need_only_new_successor)
def successor_change_is_committed_unseen(simulation: model.Simulation) -> None:
    """The record that names another successor is committed, its reply lost.

    The new successor reads it and takes over at once, because it never
    promised anything. The owner and the old successor, both cut off from the
    log, go on renewing.
    """
    owner, old, new = simulation.nodes
    model.start_serving(simulation, owner, old)
    change = simulation.name_successor(owner, new)
    assert change is not None
    simulation.commit(change)
    simulation.read(new)
    renew_for(simulation, owner, old, 0.4)
    take_and_serve(simulation, new)
    simulation.now += 0.1
    model.exchange_promise(simulation, owner, old)
    serve_when_allowed(simulation, new)
    assert new.is_serving


@case(accept_late_records)
def record_is_committed_after_a_later_one(
    simulation: model.Simulation,
) -> None:
    """A change of successor is committed after its sender's next record.

    The owner has read its next record back and relies on its old successor
    again. If the late record were valid, the other host could take over at
    once.
    """
    owner, old, other = simulation.nodes
    model.start_serving(simulation, owner, old)
    late = simulation.name_successor(owner, other)
    assert late is not None
    model.settle(simulation, simulation.send(owner, records.Mark()))
    simulation.commit(late)
    simulation.read(other)
    renew_for(simulation, owner, old, 0.4)
    take_and_serve(simulation, other)
    simulation.now += 0.1
    model.exchange_promise(simulation, owner, old)
    serve_when_allowed(simulation, other)


@case(wait_for_last_taker_only)
def taker_dies_while_waiting(simulation: model.Simulation) -> None:
    """An outsider dies while waiting; its successor must wait as long.

    The outsider never served, so its successor is not the successor of the
    owner before, which is cut off together with its own successor.
    """
    owner, successor, outsider, second_successor = simulation.nodes
    model.start_serving(simulation, owner, successor)
    take(simulation, outsider, second_successor)
    simulation.read(second_successor)
    simulation.restart(outsider)
    renew_for(simulation, owner, successor, 2 * model.LEASE_S)
    take_and_serve(simulation, second_successor)
    renew_for(simulation, owner, successor, 2 * model.LEASE_S)
    serve_when_allowed(simulation, second_successor)


@case(count_from_receipt)
def promise_arrives_late(simulation: model.Simulation) -> None:
    """A promise is delayed for nearly its whole length.

    Counted from its arrival it would last longer than was promised.
    """
    owner, successor, _ = simulation.nodes
    model.start_serving(simulation, owner, successor)
    call = simulation.request_promise(owner, successor)
    assert call is not None
    simulation.deliver(call)
    simulation.now += 0.9
    simulation.deliver(call)
    simulation.now += 0.2
    take_and_serve(simulation, successor)
    assert successor.is_serving


@case(ignore_cutoff)
def holder_dies_with_owner(simulation: model.Simulation) -> None:
    """A key is granted, then owner and holder die; its caller retries.

    No daemon is left to report the grant. The key may have run: the new
    owner must not grant it again.
    """
    owner, successor, holder = simulation.nodes
    model.start_serving(simulation, owner, successor)
    key = simulation.make_key()
    assert simulation.claim(owner, holder, key) is wire.ClaimVerdict.GRANTED
    simulation.restart(owner)
    simulation.restart(holder)
    simulation.now += 2.0
    take_and_serve(simulation, successor)
    assert successor.table is not None
    successor.table.has_reports = True
    verdict = simulation.claim(successor, simulation.nodes[2], key)
    simulation.check()
    assert verdict is wire.ClaimVerdict.UNKNOWN


@case(grant_early_keys)
def clock_of_caller_is_ahead(simulation: model.Simulation) -> None:
    """A caller's clock runs two seconds ahead, and its key with it.

    If the key were granted at once, it would seem to have been issued after
    the owner died, and would be granted again.
    """
    owner, successor, holder = simulation.nodes
    model.start_serving(simulation, owner, successor)
    key = simulation.make_key(ahead_s=2.5)
    simulation.claim(owner, holder, key)
    simulation.restart(owner)
    simulation.restart(holder)
    simulation.now += 1.2
    take_and_serve(simulation, successor)
    assert successor.table is not None
    successor.table.has_reports = True
    simulation.now += 2.0
    assert simulation.has_right(successor)
    simulation.claim(successor, simulation.nodes[2], key)
    simulation.check()


@case(ignore_tickets)
def release_is_repeated(simulation: model.Simulation) -> None:
    """A release is repeated because its acknowledgement was lost.

    In between the same daemon has claimed the key again, for the caller's
    retry. The repeated release must not release the new claim.
    """
    owner, successor, holder = simulation.nodes
    model.start_serving(simulation, owner, successor)
    key = simulation.make_key()
    simulation.claim(owner, holder, key)
    end = simulation.release(simulation.granted[-1])
    assert owner.table is not None
    owner.table.record_outcome(end, holder.incarnation)
    assert simulation.claim(owner, holder, key) is wire.ClaimVerdict.GRANTED
    owner.table.record_outcome(end, holder.incarnation)
    simulation.claim(owner, successor, key)
    simulation.check()


@case(accept_released_reports)
def key_granted_elsewhere_before_owner_died(
    simulation: model.Simulation,
) -> None:
    """One daemon released a key, another claimed it; then the owner died.

    The first reports "released" to the new owner, the second is cut off.
    """
    owner, successor, first = simulation.nodes
    model.start_serving(simulation, owner, successor)
    key = simulation.make_key()
    simulation.claim(owner, first, key)
    end = simulation.release(simulation.granted[-1])
    assert owner.table is not None
    owner.table.record_outcome(end, first.incarnation)
    assert simulation.claim(owner, owner, key) is wire.ClaimVerdict.GRANTED
    simulation.restart(owner)
    simulation.now += 2.0
    take_and_serve(simulation, successor)
    simulation.report(successor, first)
    assert successor.table is not None
    successor.table.has_reports = True
    simulation.claim(successor, first, key)
    simulation.check()


@case(ignore_tickets)
def release_arrives_after_the_end(simulation: model.Simulation) -> None:
    """A finished key is later released, and must stay finished.

    The holder has dropped the kept answer by then and does not know that the
    key was run.
    """
    owner, successor, holder = simulation.nodes
    model.start_serving(simulation, owner, successor)
    key = simulation.make_key()
    simulation.claim(owner, holder, key)
    item = simulation.granted[-1]
    release = simulation.release(item)
    item.is_released = False
    finished = dataclasses.replace(release, state=wire.ClaimState.FINISHED)
    assert owner.table is not None
    owner.table.record_outcome(finished, holder.incarnation)
    owner.table.record_outcome(release, holder.incarnation)
    simulation.claim(owner, successor, key)
    simulation.check()


@case(ignore_incarnation_order)
def record_of_ended_process_is_committed_late(
    simulation: model.Simulation,
) -> None:
    """A record of an ended process is committed after the next process's.

    The restarted daemon owns the shard by then, and is cut off from the log
    with its successor. The late record must not make it count as ended.
    """
    first, successor, outsider = simulation.nodes
    late = simulation.send(first, records.Mark())
    owner = simulation.restart(first)
    model.start_serving(simulation, owner, successor)
    append = simulation.take(outsider, None)
    assert append is not None
    simulation.commit(append)
    simulation.commit(late)
    simulation.read(outsider)
    renew_for(simulation, owner, successor, 2 * model.LEASE_S)
    serve_when_allowed(simulation, outsider)


class TestSafeguards(testtools.TestCase):
    """Each scenario is safe, and broken without its safeguard."""


def _make_safe_test(item: Case) -> ty.Callable[[testtools.TestCase], None]:
    def test(self: testtools.TestCase) -> None:
        item.scenario(_make_simulation(item))

    return test


def _make_unguarded_test(
    item: Case,
) -> ty.Callable[[testtools.TestCase], None]:
    def test(self: testtools.TestCase) -> None:
        item.remove(self)
        self.assertRaises(
            model.Violation, item.scenario, _make_simulation(item)
        )

    return test


def _make_simulation(item: Case) -> model.Simulation:
    needs_fourth = item.scenario is taker_dies_while_waiting
    return model.Simulation(hosts=4 if needs_fourth else 3)


for _name, _item in _cases.items():
    setattr(TestSafeguards, f'test_{_name}', _make_safe_test(_item))
    setattr(TestSafeguards, f'test_{_name}_bare', _make_unguarded_test(_item))
