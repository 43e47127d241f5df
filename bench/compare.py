"""Compares placement policies on models of the users' deployments.

Each run starts a new system of real processes, replays one generated trace
through three daemons and reads the engines' counters. Half way through a run,
one engine becomes a straggler, and a little later another leaves. Prints the
median over the seeds, with minimum and maximum.

    .venv/bin/python bench/compare.py --seeds 3 --loads 1.0,3.0
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import tempfile
import threading
import time
import typing as ty

import anyio
import click

from apricotctl import replaying
from apricotctl import traces
from apricotlanding import addresses
from apricotlanding import bundle
from apricotstandins import deployment

# Generation factors of the engines, of several generations.
FACTORS: ty.Final = {
    'festin': (1.0, 1.0, 1.5, 1.5, 2.0, 2.0),
    'ishami': (1.0, 1.0, 1.0, 1.5, 1.5, 1.5, 2.0, 2.0, 2.0),
}
STRAGGLE_FACTOR = 5.0
SLOTS_PER_ENGINE = 8


@dataclasses.dataclass(frozen=True)
class Run:
    """Parameters of one replay."""

    deployment: str
    policy: str
    load: float
    seed: int
    seconds: float
    is_calm: bool
    is_storming: bool
    # Replays only requests of these routes; empty for all routes.
    routes: tuple[str, ...]


def make_system(run: Run, directory: pathlib.Path) -> deployment.Deployment:
    """Return a system for one run, without starting it."""
    factors = FACTORS[run.deployment]
    plans = [
        deployment.RunnerPlan(
            f'planner-{number}',
            'planners',
            domain=f'd{number % 4 + 1}',
            factor=factor,
            slots=SLOTS_PER_ENGINE,
        )
        for number, factor in enumerate(factors, 1)
    ]
    system = deployment.Deployment(directory, plans)
    names = [name for name, _ in traces.DEPLOYMENTS['festin'].organisations]
    system.bundle_overrides['organisations'] = [
        {
            'name': name,
            'weight': 1.0,
            'token_sha256': [bundle.hash_token(f'token-{name}')],
        }
        for name in names
    ]
    system.pool_settings = {'policy': run.policy, 'queue_requests': 200}
    return system


def inject_faults(run: Run, system: deployment.Deployment) -> None:
    """Make one engine a straggler and another leave."""
    time.sleep(0.5 * run.seconds)
    system.set_faults(
        f'planner-{len(system.runners)}', straggle=STRAGGLE_FACTOR
    )
    time.sleep(0.1 * run.seconds)
    system.set_host_state(f'planner-{len(system.runners) - 1}', 'leaving')


def measure(run: Run) -> dict[str, ty.Any]:
    """Replay one trace; return its results and the engines' counters."""
    plan = traces.DEPLOYMENTS[run.deployment]
    lines = [
        line
        for line in traces.make_trace(plan, run.seed, run.seconds, run.load)
        if not run.routes or line.route in run.routes
    ]
    with tempfile.TemporaryDirectory() as name:
        system = make_system(run, pathlib.Path(name))
        try:
            system.start_all()
            daemons = [
                addresses.parse_address(entry_host.callers)
                for entry_host in system.daemons.values()
            ]
            tokens = {org: f'token-{org}' for org, _ in plan.organisations}
            replay = replaying.Replay(lines, daemons, tokens, run.is_storming)
            if not run.is_calm:
                threading.Thread(
                    target=inject_faults, args=[run, system], daemon=True
                ).start()
            found = anyio.run(replay.run).describe()
            found |= summarize_witnesses(system)
        finally:
            system.stop()
    return found


def summarize_witnesses(system: deployment.Deployment) -> dict[str, ty.Any]:
    """Return prefill and cache statistics over all engines."""
    witnesses = [system.read_witness(plan.name) for plan in system.runners]
    computed = sum(item['prefill_computed'] for item in witnesses)
    wasted = sum(item['prefill_wasted'] for item in witnesses)
    hits = sum(item['cache_hits'] for item in witnesses)
    twice = sum(
        count > 1
        for item in witnesses
        for count in item['executions'].values()
    )
    return {
        'wasted_prefill': round(wasted / max(computed, 1), 4),
        'cached_part': round(hits / max(hits + computed, 1), 4),
        'ran_twice_on_one_engine': twice,
    }


def summarize(results: list[dict[str, ty.Any]]) -> dict[str, str]:
    """Return median and range of each result, by column."""
    columns: dict[str, list[float]] = {}
    for found in results:
        for route, value in found['goodput'].items():
            columns.setdefault(route, []).append(100 * value)
        total = sum(found['good'].values()) / sum(found['sent'].values())
        columns.setdefault('all', []).append(100 * total)
        waste = 100 * found['wasted_prefill']
        columns.setdefault('wasted %', []).append(waste)
        columns.setdefault('cached %', []).append(100 * found['cached_part'])
        first = found['first_token_ms']['p95']
        columns.setdefault('first p95 ms', []).append(first)
        unknown = found['outcomes'].get('unknown', 0)
        columns.setdefault('unknown', []).append(unknown)
    return {
        name: f'{statistics.median(values):.1f}'
        f' ({min(values):.1f}-{max(values):.1f})'
        for name, values in columns.items()
    }


@click.command()
@click.option(
    '--deployment',
    'name',
    default='festin',
    type=click.Choice(sorted(FACTORS)),
)
@click.option(
    '--policies',
    default='prefix-aware,first-come,least-reported,round-robin,random',
)
@click.option('--loads', default='0.7,1.0,1.5,3.0')
@click.option('--seeds', default=5)
@click.option('--seconds', default=20.0)
@click.option('--lanes', default=2, help='Runs at a time.')
@click.option('--calm', is_flag=True, help='No straggler, nobody leaves.')
@click.option('--storm', is_flag=True, help='Refused callers ask at once.')
@click.option('--routes', default='', help='Replay only these routes.')
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(
    name: str,
    policies: str,
    loads: str,
    seeds: int,
    seconds: float,
    lanes: int,
    calm: bool,
    storm: bool,
    routes: str,
    output: pathlib.Path | None,
) -> None:
    """Compare policies and print a Markdown table."""
    route_names = tuple(filter(None, routes.split(',')))
    cells = [
        (policy, float(load))
        for load in loads.split(',')
        for policy in policies.split(',')
    ]
    with concurrent.futures.ThreadPoolExecutor(lanes) as pool:
        futures = {
            (policy, load): [
                pool.submit(
                    measure,
                    Run(
                        name,
                        policy,
                        load,
                        seed,
                        seconds,
                        calm,
                        storm,
                        route_names,
                    ),
                )
                for seed in range(1, seeds + 1)
            ]
            for policy, load in cells
        }
        raw: list[ty.Any] = []
        is_first = True
        for (policy, load), found in futures.items():
            results = [future.result() for future in found]
            raw.append({'policy': policy, 'load': load, 'runs': results})
            summary = summarize(results)
            if is_first:
                names = ['load', 'policy', *summary]
                click.echo('| ' + ' | '.join(names) + ' |')
                click.echo('| --- ' * len(names) + '|')
                is_first = False
            row = [str(load), policy, *summary.values()]
            click.echo('| ' + ' | '.join(row) + ' |')
    if output is not None:
        output.write_text(json.dumps(raw, indent=1))


if __name__ == '__main__':
    main()
