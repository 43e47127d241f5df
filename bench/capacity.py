"""Measures the unit costs from which docs/CAPACITY.md is calculated.

Some costs are measured in-process on the real classes; the others on real
daemons, whose CPU time and memory are read from /proc. Everything is bounded
and on loopback. Results depend on the machine: compare them within one run.

    .venv/bin/python bench/capacity.py
"""

import gc
import os
import pathlib
import statistics
import tempfile
import time
import tracemalloc
import typing as ty

import click
import yaml

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import wire
from apricotlandingd.ownership import claimtable
from apricotlandingd.pools import policies
from apricotlandingd.pools import poolqueue
from apricotstandins import callers
from apricotstandins import deployment

_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
SENDER = ids.Incarnation('entry-1/0123456789abcdef')


def make_pool(runners: int) -> bundle.PoolModel:
    """Return the configuration of a pool of engines."""
    return bundle.PoolModel.model_validate(
        {
            'name': 'planners',
            'queue_requests': 1_000_000,
            'queue_tokens': 10**12,
            'runners': [
                {
                    'name': f'r{number}',
                    'kind': 'engine',
                    'address': '10.0.0.1:80',
                    'generation': 'g1',
                    'domain': 'd1',
                }
                for number in range(runners)
            ],
        }
    )


def make_registration(number: int) -> wire.Registration:
    """Return the registration of a request at a scheduler."""
    return wire.Registration(
        ticket=f'{SENDER}/{number}',
        organisation=ids.Organisation(f'org-{number % 50}'),
        tier=ids.Tier(number % 5),
        weight=1.0,
        prompt_tokens=600,
        output_tokens=200,
        deadline_s=1000.0,
        prefix=[number * 40 + index for index in range(37)],
        avoid=[],
    )


def measure_decisions() -> None:
    """Print microseconds per decision, by runners and waiting requests.

    In each round one request finishes and the next is granted, as under
    steady overload.
    """
    click.echo('\nscheduler: microseconds for one end and one grant')
    click.echo('| runners | 100 waiting | 1,000 waiting | 10,000 waiting |')
    click.echo('| --- | --- | --- | --- |')
    for runners in (10, 100, 1000):
        cells = [
            f'{time_decisions(runners, waiting):.0f}'
            for waiting in (100, 1000, 10_000)
        ]
        click.echo(f'| {runners} | ' + ' | '.join(cells) + ' |')


def time_decisions(runners: int, waiting: int) -> float:
    """Return microseconds to finish one request and grant the next."""
    queue = poolqueue.PoolQueue(make_pool(runners))
    count = waiting + 8 * runners
    for number in range(count):
        queue.register(make_registration(number), SENDER, 0.0)
    running = [
        decision.waiting.entry.ticket
        for decision in queue.decide(0.0, True)
        if isinstance(decision, poolqueue.GrantDecision)
    ]
    rounds = 300
    started = time.perf_counter()
    for number in range(rounds):
        ticket = running.pop(0)
        queue.finish(
            wire.Finished(ids.Pool('planners'), ticket, True, 0.1, 1.0, 200),
            1.0,
        )
        queue.register(make_registration(count + number), SENDER, 1.0)
        for decision in queue.decide(1.0, True):
            running.append(decision.waiting.entry.ticket)
    return (time.perf_counter() - started) / rounds * 1e6


def measure_memory() -> None:
    """Print bytes per waiting request and claim, and time per claim."""
    count = 20_000
    queue = poolqueue.PoolQueue(make_pool(1))

    def register_all() -> None:
        for number in range(count):
            queue.register(make_registration(number), SENDER, 0.0)

    used = measure_allocated_bytes(register_all)
    click.echo(f'\nbytes a waiting request: {used / count:.0f}')
    table = claimtable.ClaimTable(ids.Epoch(1), bundle.Limits(), None)
    keys = [ids.Key(callers.make_key()) for _ in range(count)]
    wall = time.time() + 1.0

    def claim_all() -> None:
        for number, key in enumerate(keys):
            table.decide(
                wire.ClaimRequest(
                    ids.Shard('claims/0'),
                    ids.Organisation('festin'),
                    key,
                    bytes(32),
                    f'{SENDER}/{number}',
                ),
                SENDER,
                wall,
            )

    used = measure_allocated_bytes(claim_all)
    click.echo(f'bytes a claim: {used / count:.0f}')
    fresh = claimtable.ClaimTable(ids.Epoch(1), bundle.Limits(), None)
    table = fresh
    started = time.perf_counter()
    claim_all()
    micro = (time.perf_counter() - started) / count * 1e6
    click.echo(f'microseconds a claim: {micro:.1f}')


def measure_allocated_bytes(fill: ty.Callable[[], object]) -> int:
    """Return the bytes that are still allocated after a call."""
    gc.collect()
    tracemalloc.start()
    fill()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def measure_messages() -> None:
    """Print size and coding cost of the most frequent messages."""
    shards = [
        (ids.Shard(f'claims/{number}'), ids.Epoch(7)) for number in range(8)
    ]
    messages: list[ty.Any] = [
        wire.Ping(1.7e9, ids.Version(900), ids.Offset(10**7)),
        wire.PromiseRequest(shards, 1.0),
        wire.ClaimRequest(
            ids.Shard('claims/0'),
            ids.Organisation('festin'),
            ids.Key(callers.make_key()),
            bytes(32),
            f'{SENDER}/1',
        ),
        wire.Register(
            ids.Pool('planners'), ids.Epoch(7), [make_registration(10**6)]
        ),
        wire.Grant(
            ids.Pool('planners'),
            ids.Epoch(7),
            f'{SENDER}/1',
            ids.Runner('r1'),
            1.0,
        ),
    ]
    click.echo('\n| message | bytes | encode µs | decode µs |')
    click.echo('| --- | --- | --- | --- |')
    rounds = 3000
    for message in messages:
        data = wire.registry.encode(message)
        started = time.perf_counter()
        for _ in range(rounds):
            wire.registry.encode(message)
        encoded = time.perf_counter()
        for _ in range(rounds):
            wire.registry.decode(data)
        decoded = time.perf_counter()
        click.echo(
            f'| {type(message).__name__} | {len(data)}'
            f' | {(encoded - started) / rounds * 1e6:.1f}'
            f' | {(decoded - encoded) / rounds * 1e6:.1f} |'
        )


def measure_bundle(directory: pathlib.Path) -> None:
    """Print size and check time of a bundle as expected in two years."""
    plans = [
        deployment.RunnerPlan(f'r{number}', f'pool-{number % 11}')
        for number in range(2100)
    ]
    system = deployment.Deployment(directory, plans[:3])
    value = system.make_bundle(1, 0)
    value['organisations'] = [
        {
            'name': f'org-{number}',
            'token_sha256': [bundle.hash_token(f'{number}')],
        }
        for number in range(2100)
    ]
    pools: dict[str, list[ty.Any]] = {}
    for plan in plans:
        pools.setdefault(plan.pool, []).append(
            {
                'name': plan.name,
                'kind': 'engine',
                'address': '10.0.0.1:80',
                'generation': 'g1',
                'domain': 'd1',
            }
        )
    value['pools'] = [
        {'name': name, 'runners': runners} for name, runners in pools.items()
    ]
    value['routes'] = [
        {
            'name': f'route-{name}',
            'pool': name,
            'tier': 'note',
            'repeat': 'idempotent',
            'deadline_ms': 1000,
        }
        for name in pools
    ]
    text = yaml.safe_dump(value)
    started = time.perf_counter()
    checked = bundle.check_bundle(text, policies.list_names())
    seconds = time.perf_counter() - started
    assert checked.is_ok()
    click.echo(
        f'\nbundle of 2,100 organisations and 2,100 runners:'
        f' {len(text):,} bytes, checked in {seconds:.2f} s'
    )


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _CLOCK_TICKS_PER_S


def read_memory_mb(pid: int) -> int:
    """Return the resident memory of a process in MB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) // 1024
    return 0


def measure_daemon(directory: pathlib.Path) -> None:
    """Print the cost of idle daemons, of a request and of a token."""
    system = deployment.Deployment(directory)
    try:
        system.start_all()
        pids = [system.find_process(host).pid for host in system.daemons]
        before = [read_cpu_s(pid) for pid in pids]
        time.sleep(10.0)
        spent = [
            read_cpu_s(pid) - was
            for pid, was in zip(pids, before, strict=True)
        ]
        click.echo(
            f'\ndaemon at rest, 3 daemons: {max(spent) * 10:.2f}% of a core,'
            f' {max(read_memory_mb(pid) for pid in pids)} MB'
        )
        for name in ('planner-1', 'planner-2'):
            system.set_faults(name, straggle=0.02)
        measure_request_path(system, pids)
    finally:
        system.stop()


def measure_request_path(
    system: deployment.Deployment, pids: list[int]
) -> None:
    """Print added latency, and CPU time per request and per token."""
    entry_host = system.daemons['entry-1']
    direct = [post_direct(system, number) for number in range(200)]
    through = []
    for _ in range(200):
        reply = callers.post_request(
            entry_host.callers,
            'note',
            deployment.FESTIN_TOKEN,
            {'prompt': 'a b c', 'max_tokens': 1},
            callers.make_key(),
        )
        through.append(reply.first_byte_s)
    for name, values in (('direct', direct), ('through', through)):
        percentiles = statistics.quantiles(values, n=100)
        click.echo(
            f'first token {name}: p50 {percentiles[49] * 1000:.2f} ms,'
            f' p99 {percentiles[98] * 1000:.2f} ms'
        )
    costs = {
        tokens: time_requests(system, pids, tokens, 60) for tokens in (1, 400)
    }
    token_cost_s = (costs[400] - costs[1]) / 399
    click.echo(
        f'processor time of all daemons a request: {costs[1] * 1e3:.2f} ms;'
        f' a token relayed: {token_cost_s * 1e6:.1f} µs'
    )


def post_direct(system: deployment.Deployment, number: int) -> float:
    """Return seconds to the first token, directly from the engine."""
    body = b'{"request": "%d", "prompt": "a b c", "max_tokens": 1}' % number
    reply = callers.call_http(
        system.runner_addresses['planner-1'], 'POST', '/v1/generate', body
    )
    return reply.first_byte_s


def time_requests(
    system: deployment.Deployment, pids: list[int], tokens: int, count: int
) -> float:
    """Return CPU seconds of all daemons per request."""
    before = sum(read_cpu_s(pid) for pid in pids)
    started = time.monotonic()
    for _ in range(count):
        callers.post_request(
            system.daemons['entry-1'].callers,
            'note',
            deployment.FESTIN_TOKEN,
            {'prompt': 'a b c', 'max_tokens': tokens},
            callers.make_key(),
        )
    seconds = time.monotonic() - started
    spent = sum(read_cpu_s(pid) for pid in pids) - before
    # Subtracts the cost of the idle daemons in that time.
    return (spent - 0.01 * seconds * len(pids)) / count


@click.command()
def main() -> None:
    """Print all unit costs."""
    measure_decisions()
    measure_memory()
    measure_messages()
    with tempfile.TemporaryDirectory() as name:
        measure_bundle(pathlib.Path(name))
    with tempfile.TemporaryDirectory() as name:
        measure_daemon(pathlib.Path(name))


if __name__ == '__main__':
    main()
