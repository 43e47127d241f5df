"""Command line that starts one stand-in process.

python -m apricotstandins platform --log 127.0.0.1:1 --hosts 127.0.0.1:2
python -m apricotstandins engine --name p1 --listen 127.0.0.1:3
python -m apricotstandins service --name m1 --listen 127.0.0.1:4
python -m apricotstandins relay --control 127.0.0.1:5 a=IP:PORT=IP:PORT
"""

import collections.abc
import typing as ty

import anyio
import click
import uvloop

from apricotlanding import addresses
from apricotlanding import asgi
from apricotstandins import engine
from apricotstandins import hostservice
from apricotstandins import logservice
from apricotstandins import plainservice
from apricotstandins import tcprelay

Job = collections.abc.Callable[
    [], collections.abc.Coroutine[ty.Any, ty.Any, None]
]


async def _run_all(jobs: list[Job]) -> None:
    async with anyio.create_task_group() as group:
        for job in jobs:
            group.start_soon(job)


def _run(*jobs: Job) -> None:
    anyio.run(
        _run_all,
        list(jobs),
        backend_options={'loop_factory': uvloop.new_event_loop},
    )


def _make_server(app: asgi.App, listen: str) -> Job:
    return asgi.Server(app, addresses.parse_address(listen)).serve


@click.group()
def main() -> None:
    """Start a stand-in for tests and the demo."""


@main.command()
@click.option('--log', required=True, help='Address of the log, IP:PORT.')
@click.option(
    '--hosts',
    required=True,
    multiple=True,
    help='Address of a host list; each one given is a list of its own.',
)
def platform(log: str, hosts: tuple[str, ...]) -> None:
    """Start the platform's log and host lists."""
    lists = [
        _make_server(hostservice.HostService(), listen) for listen in hosts
    ]
    _run(_make_server(logservice.LogService(), log), *lists)


@main.command()
@click.option('--control', required=True, help='Address for faults.')
@click.argument('routes', nargs=-1)
def relay(control: str, routes: tuple[str, ...]) -> None:
    """Start a TCP relay for ROUTES, each NAME=LISTEN=TARGET."""
    app = tcprelay.Relay([tcprelay.parse_route(text) for text in routes])
    _run(_make_server(app, control), app.run)


@main.command(name='engine')
@click.option('--name', required=True, help='Name of the runner.')
@click.option('--listen', required=True, help='Address, IP:PORT.')
@click.option('--factor', default=1.0, help='Generation factor.')
@click.option('--checks-fencing', is_flag=True, help='Refuse old orders.')
@click.option('--batch', default=16, help='Requests in the batch.')
@click.option('--cache-blocks', default=4096, help='Blocks in the cache.')
def run_engine(
    name: str,
    listen: str,
    factor: float,
    checks_fencing: bool,
    batch: int,
    cache_blocks: int,
) -> None:
    """Start a model engine."""
    speed = engine.Speed(
        generation_factor=factor,
        batch_requests=batch,
        cache_blocks=cache_blocks,
    )
    app = engine.Engine(name, speed, checks_fencing)
    _run(_make_server(app, listen), app.run_batches)


@main.command()
@click.option('--name', required=True, help='Name of the runner.')
@click.option('--listen', required=True, help='Address, IP:PORT.')
def service(name: str, listen: str) -> None:
    """Start a plain service."""
    _run(_make_server(plainservice.PlainService(name), listen))


if __name__ == '__main__':
    main()
