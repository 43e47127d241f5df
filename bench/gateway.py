"""Measures the unit costs of the gateway for docs/CAPACITY.md.

Measures the scheduler's time per request (enter, grant, release) by number of
runners and of waiting requests, and the time to encode, decode and apply a
host's state by the number of runners in it. Nothing else should run on the
machine. Prints a table; each value is the median of several rounds.
"""

import collections.abc
import functools
import itertools
import random
import statistics
import time

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency

POOL = ids.Pool('pool')
ROUNDS = 5
CALLS_PER_ROUND = 200
SLOTS_PER_RUNNER = 8
RUNNER_START_MS = 1_764_726_589_123


def make_start(number: int) -> ids.RunnerStart:
    """Return a runner's identity, with an id as long as the platform's."""
    return ids.make_runner_start(
        ids.Runner(f'i-{number:010}'), RUNNER_START_MS
    )


def make_mesh(peers: int, runners: int) -> mesh.Mesh:
    """Return a mesh that has received the states of its peers."""
    found = mesh.Mesh(
        ids.Host('host-x'),
        addresses.Address('10.0.0.1', 1),
        (),
        random.Random(1),
    )
    for number in range(peers):
        found.handle_state(make_state(number, 1, runners), 0.0)
    return found


def make_state(number: int, counter: int, runners: int) -> messages.HostState:
    """Return the state of a host that uses a number of runners."""
    return messages.HostState(
        host=ids.Host(f'host-{number}'),
        incarnation=ids.Incarnation(f'host-{number}/0123456789abcdef.1.2'),
        state_address=f'10.1.{number % 250}.{number // 250}:7600',
        peers_address=f'10.1.{number % 250}.{number // 250}:8229',
        number=counter,
        is_stopping=False,
        reads_store=True,
        positions=[40, 400],
        running={make_start(item): 1 for item in range(runners)},
        usage={ids.Organisation(f'org{item}'): 1e6 for item in range(5)},
        ranks={POOL: [queueing.Rank(0, 0, False, 0.3)] * 2},
        hints={},
    )


def make_scheduler(runners: int, others: mesh.Mesh) -> scheduler.Scheduler:
    """Return a scheduler for a number of runners."""
    known = directory.Directory(2.0)
    for number in range(runners):
        known.update(
            dialect.RunnerEntry(
                start=make_start(number),
                service=POOL,
                address=addresses.Address('10.2.0.1', 1),
                domain=ids.Domain('d'),
                slots=SLOTS_PER_RUNNER,
                is_draining=False,
            )
        )
    return scheduler.Scheduler(
        known,
        latency.LatencyEstimates(),
        health.Health(),
        others,
        random.Random(1),
    )


def make_ticket(number: int) -> queueing.QueuedRequest:
    """Return a waiting request that does not time out."""
    return queueing.QueuedRequest(
        attempt=f'a-{number}',
        service=POOL,
        tier=ids.Tier(number % 3),
        route_tier=ids.Tier(number % 3),
        arrived_at=0.0,
        on_time_by=1e6,
        useful_until=1e9,
        ends_at=1e9,
        prompt_tokens=1000,
        events=50,
        last_part=f'{number:x}',
    )


def time_call(call: collections.abc.Callable[[], object]) -> float:
    """Return the median duration of a call in microseconds."""
    rounds: list[float] = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            call()
        rounds.append((time.perf_counter() - began) / CALLS_PER_ROUND)
    return statistics.median(rounds) * 1e6


def time_scheduler(runners: int, waiting_count: int, peers: int) -> float:
    """Return microseconds for one release and the next grant."""
    found = make_scheduler(runners, make_mesh(peers, 0))
    granted: list[ids.RunnerStart] = []
    numbers = itertools.count()
    remaining = waiting_count + 1
    # A group of hosts has only some of the runners; they are full when a
    # request waits.
    while remaining > 0:
        ticket = make_ticket(next(numbers))
        found.enter(ticket, 0.0)
        if isinstance(ticket.decision, queueing.Grant):
            granted.append(ticket.decision.runner)
        else:
            remaining -= 1

    def step() -> None:
        runner = granted[next(numbers) % len(granted)]
        if found.held_slots.running[runner] == 0:
            return
        found.release(POOL, runner, 0.0)
        found.enter(make_ticket(next(numbers)), 0.0)

    return time_call(step)


def main() -> None:
    """Print the table."""
    print('| what | microseconds |')
    print('| --- | --- |')
    for runners, count, peers in (
        (10, 0, 6),
        (10, 100, 6),
        (56, 20, 60),
        (100, 100, 60),
    ):
        figure = time_scheduler(runners, count, peers)
        print(
            f'| one end and one grant: {runners} runners, {count} waiting,'
            f' {peers} peers | {figure:.0f} |'
        )
    for runners in (2, 10, 56):
        state = make_state(1, 1, runners)
        data = messages.registry.encode(state)
        write = time_call(functools.partial(messages.registry.encode, state))
        read = time_call(functools.partial(messages.registry.decode, data))
        print(
            f'| state of {len(data)} bytes, {runners} runners: written /'
            f' read | {write:.0f} / {read:.0f} |'
        )
    found = make_mesh(60, 10)
    numbers = itertools.count(2)
    take = time_call(
        lambda: found.handle_state(make_state(1, next(numbers), 10), 0.0)
    )
    print(f'| state taken, 60 peers | {take:.0f} |')


if __name__ == '__main__':
    main()
