"""Measures the outcomes for callers when a claim owner is killed under load.

Callers post at-most-once requests at a steady rate through the remaining
daemons while one daemon that owns claims is killed. Prints the outcomes by
send time relative to the kill, and how many keys were executed twice or were
executed although the caller was told not-run.

    .venv/bin/python bench/takeover.py --seconds 12 --rate 60
"""

import collections
import concurrent.futures
import pathlib
import tempfile
import time

import click

from apricotstandins import callers
from apricotstandins import deployment

KILL_DELAY_S = 3.0


def post_manifest_change(
    system: deployment.Deployment, host: str, key: str
) -> callers.Reply:
    """Post one at-most-once request to the manifest service."""
    return callers.post_request(
        system.daemons[host].callers,
        'manifest',
        deployment.FESTIN_TOKEN,
        {'van': 1},
        key,
    )


def run_load(
    system: deployment.Deployment, victim: str, seconds: float, rate: float
) -> list[tuple[float, str, callers.Reply]]:
    """Return (seconds since the kill, key, reply) of each request."""
    hosts = [host for host in system.daemons if host != victim]
    sent: list[tuple[float, str, concurrent.futures.Future[callers.Reply]]]
    sent = []
    killed_at = time.monotonic() + KILL_DELAY_S
    is_killed = False
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        count = int(seconds * rate)
        started = time.monotonic()
        for number in range(count):
            time.sleep(max(0.0, started + number / rate - time.monotonic()))
            if not is_killed and time.monotonic() >= killed_at:
                process = system.find_process(victim)
                process.kill()
                is_killed = True
            key = callers.make_key()
            at = time.monotonic() - killed_at
            host = hosts[number % len(hosts)]
            sent.append(
                (at, key, pool.submit(post_manifest_change, system, host, key))
            )
        return [(at, key, future.result()) for at, key, future in sent]


def print_outcomes(
    system: deployment.Deployment,
    results: list[tuple[float, str, callers.Reply]],
) -> None:
    """Print outcomes per half second, and two counts that must be 0."""
    table: dict[float, collections.Counter[str]] = {}
    executions = system.read_witness('manifest-1')['executions']
    executed_twice = 0
    executed_after_not_run = 0
    slowest = 0.0
    for at, key, reply in results:
        bucket = (at // 0.5) * 0.5
        table.setdefault(bucket, collections.Counter())[reply.outcome] += 1
        ran = executions.get(key, 0)
        executed_twice += ran > 1
        executed_after_not_run += ran > 0 and reply.outcome == 'not-run'
        slowest = max(slowest, reply.total_s)
    total: collections.Counter[str] = collections.Counter()
    for bucket in sorted(table):
        total += table[bucket]
        if len(table[bucket]) > 1 or 'complete' not in table[bucket]:
            print(f'{bucket:6.1f} s  {dict(table[bucket])}')
    print(f'total     {dict(total)}')
    print(
        f'ran twice {executed_twice}, '
        f'ran although told not-run {executed_after_not_run}'
    )
    print(f'slowest answer {slowest:.2f} s')


@click.command()
@click.option('--seconds', default=12.0, help='Length of the load.')
@click.option('--rate', default=60.0, help='Requests a second.')
def main(seconds: float, rate: float) -> None:
    """Kill a claim owner under load and print the outcomes."""
    with tempfile.TemporaryDirectory() as name:
        system = deployment.Deployment(pathlib.Path(name))
        try:
            system.start_all()
            victim = system.find_owner('claims/0')
            results = run_load(system, victim, seconds, rate)
            print_outcomes(system, results)
        finally:
            system.stop()


if __name__ == '__main__':
    main()
