"""Compares what large bodies cost at a host, by two commits in turns.

Starts a host of each commit in a process of its own, with a store and runners
of this tree, and plays rows of callers at it: uploads, answers that are read
late or at once, small requests and streams. Prints the whole answers, the
host's processor time and its most memory, a line a play. With ``--profile``,
the functions that took the processor time instead, for one play of each row.

    python bench/bodies.py HEAD~1 HEAD --rounds 2

Nothing else should run on the machine.
"""

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import pstats
import subprocess
import sys
import tempfile
import typing as ty
from unittest import mock

import anyio
import anyio.abc
import click
import uvloop

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / 'platform' / 'tests'), str(ROOT / 'tests')]

import platformrunner  # noqa: E402
import platformsystem  # noqa: E402
import uploadscenes  # noqa: E402

MB = uploadscenes.MB
MEMORY_MB = 300
MAX_BODY_BYTES = 4_500_000
LARGE_BYTES = 4 * MB
PART_BYTES = uploadscenes.PART_BYTES
READ_BYTES = 256 * 1024
PLAY_S = 8.0
# Seconds after its request at which a late caller begins to read.
LATE_S = 1.5
THINK_S = 0.1
RUNNERS = 6
SLOTS = 12
WORK_S = 0.3
EVENTS = 40
EVENT_INTERVAL_S = 0.02
SHOWN_FUNCTIONS = 25
SOURCES = (
    'packages/apricotlanding/src',
    'packages/apricotlandingd/src',
    'platform/src',
)

Row = collections.abc.Callable[['Play', str], collections.abc.Awaitable[bool]]
_rows: dict[str, tuple[int, Row]] = {}


def register(name: str, callers: int) -> collections.abc.Callable[[Row], Row]:
    """Return a decorator that registers a caller's request under a row."""

    def add_row(row: Row) -> Row:
        _rows[name] = (callers, row)
        return row

    return add_row


@dataclasses.dataclass
class Play:
    """One play of a row at one host."""

    system: platformsystem.System
    answers: int = 0
    other: int = 0

    async def connect(self) -> anyio.abc.SocketStream:
        """Return a new connection to the host."""
        address = self.system.get_caller_address(0)
        return await anyio.connect_tcp(address.host, address.port)

    async def read_answer(
        self, stream: anyio.abc.SocketStream, end: bytes = b''
    ) -> bool:
        """Read an answer with a length, or up to an end; tell if it is 200."""
        data = b''
        while b'\r\n\r\n' not in data:
            data += await stream.receive(READ_BYTES)
        head, _, body = data.partition(b'\r\n\r\n')
        is_good = head.startswith(b'HTTP/1.1 200')
        length = read_length(head)
        size, tail = len(body), body[-len(end) :] if end else b''
        while size < length if length is not None else not tail.endswith(end):
            data = await stream.receive(READ_BYTES)
            size += len(data)
            tail = (tail + data)[-len(end) :] if end else b''
        return is_good


def read_length(head: bytes) -> int | None:
    """Return the length that a head states."""
    for line in head.lower().split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name == b'content-length':
            return int(value)
    return None


async def send_parts(stream: anyio.abc.SocketStream, data: bytes) -> None:
    """Send data as a caller does that has it at hand."""
    for start in range(0, len(data), PART_BYTES):
        await stream.send(data[start : start + PART_BYTES])


# Rows.


@register('96 uploads of 1 MB, stated length', 96)
async def upload_with_length(play: Play, attempt: str) -> bool:
    """Upload a body whose length is stated."""
    head = uploadscenes.make_head('slow', attempt, f'Content-Length: {MB}')
    async with await play.connect() as stream:
        await send_parts(stream, head + b'x' * MB)
        return await play.read_answer(stream)


@register('24 uploads of 4 MB in chunks', 24)
async def upload_in_chunks(play: Play, attempt: str) -> bool:
    """Upload a body in chunks of 64 KB."""
    head = uploadscenes.make_head(
        'slow', attempt, 'Transfer-Encoding: chunked'
    )
    async with await play.connect() as stream:
        await stream.send(head)
        for _ in range(LARGE_BYTES // PART_BYTES):
            await stream.send(platformrunner.frame(b'x' * PART_BYTES))
        await stream.send(b'0\r\n\r\n')
        return await play.read_answer(stream)


@register('24 answers of 4 MB, read after 1.5 s', 24)
async def read_late(play: Play, attempt: str) -> bool:
    """Ask for a large answer, and begin to read late."""
    async with await play.connect() as stream:
        await stream.send(
            uploadscenes.make_head('large', attempt, 'Content-Length: 0')
        )
        await anyio.sleep(LATE_S)
        return await play.read_answer(stream)


@register('24 answers of 4 MB, read at once', 24)
async def read_at_once(play: Play, attempt: str) -> bool:
    """Ask for a large answer, and read it as it comes."""
    async with await play.connect() as stream:
        await stream.send(
            uploadscenes.make_head('large', attempt, 'Content-Length: 0')
        )
        return await play.read_answer(stream)


@register('24 small requests', 24)
async def call_shortly(play: Play, attempt: str) -> bool:
    """Send a small request."""
    async with await play.connect() as stream:
        await stream.send(
            uploadscenes.make_head('read', attempt, 'Content-Length: 5')
            + b'short'
        )
        return await play.read_answer(stream)


@register('24 streams of 40 events', 24)
async def follow_stream(play: Play, attempt: str) -> bool:
    """Read a stream of events."""
    async with await play.connect() as stream:
        await stream.send(
            uploadscenes.make_head('stream', attempt, 'Content-Length: 0')
        )
        return await play.read_answer(stream, b'0\r\n\r\n')


# Runners.


async def answer(
    arrival: platformrunner.Arrival, stream: platformrunner.Stream
) -> None:
    """Answer as the route says."""
    if arrival.target.startswith('/large/'):
        length = f'Content-Length: {LARGE_BYTES}'.encode()
        head = platformrunner.make_head(arrival, '200 OK', length)
        await send_parts(stream, head + b'x' * LARGE_BYTES)
    elif arrival.target.startswith('/stream/'):
        await platformrunner.start_stream(arrival, stream)
        for number in range(1, EVENTS + 1):
            await anyio.sleep(EVENT_INTERVAL_S)
            events = platformrunner.make_events(number, number)
            await stream.send(platformrunner.frame(events))
        await stream.send(b'0\r\n\r\n')
    else:
        if arrival.target.startswith('/slow/'):
            await anyio.sleep(WORK_S)
        await platformrunner.answer_plain(arrival, stream)


# Hosts.


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def start_host(
    system: platformsystem.System, tree: pathlib.Path, profile: str
) -> uploadscenes.Host:
    """Start a host of a tree."""
    program = [uploadscenes.PROGRAM]
    if profile:
        program = ['cProfile', '-o', profile, '-m', *program]
    paths = [str(tree / source) for source in SOURCES]
    environment = {'PYTHONPATH': os.pathsep.join(paths)}
    with mock.patch.dict(os.environ, environment):
        return uploadscenes.Host(system, 0, *program)


async def call_until(play: Play, row: Row, name: str, ends_at: float) -> None:
    """Send one request after another until a time."""
    number = 0
    while anyio.current_time() < ends_at:
        number += 1
        try:
            if await row(play, f'{name}-{number}'):
                play.answers += 1
            else:
                play.other += 1
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            play.other += 1
        await anyio.sleep(THINK_S)


async def play_row(
    tree: pathlib.Path, name: str, profile: str
) -> dict[str, float]:
    """Play a row at a host of a tree; return what was measured."""
    callers, row = _rows[name]
    async with platformsystem.System(0, memory_mb=MEMORY_MB) as system:
        config = platformsystem.make_config(1)
        config['limits']['maxBodyBytes'] = MAX_BODY_BYTES
        config['routes'] += [
            uploadscenes.ROUTE,
            platformsystem.make_route(
                'large', 'non_idempotent', timeoutMs=15_000
            ),
        ]
        system.store.write_config(config)
        for number in range(RUNNERS):
            await system.add_runner(f'i-{number}', answer, slots=SLOTS)
        host = start_host(system, tree, profile)
        await system.wait_ready()
        play = Play(system)
        pid = host.process.pid
        began_s = read_cpu_s(pid)
        ends_at = anyio.current_time() + PLAY_S
        async with anyio.create_task_group() as watchers:
            watchers.start_soon(host.watch_memory)
            async with anyio.create_task_group() as group:
                for number in range(callers):
                    group.start_soon(
                        call_until, play, row, f'caller-{number}', ends_at
                    )
            watchers.cancel_scope.cancel()
        cpu_s = read_cpu_s(pid) - began_s
        await anyio.to_thread.run_sync(host.process.terminate)
        return {
            'answers': play.answers,
            'other': play.other,
            'cpu_s': cpu_s,
            'cpu_ms_an_answer': 1000 * cpu_s / max(1, play.answers),
            'most_mb': host.most_bytes / MB,
        }


@contextlib.contextmanager
def check_out(commit: str) -> collections.abc.Iterator[pathlib.Path]:
    """Yield a folder with a commit's files."""
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder) / 'tree'
        git = ['git', '-C', str(ROOT), 'worktree']
        subprocess.run(
            [*git, 'add', '--quiet', '--detach', str(tree), commit], check=True
        )
        try:
            yield tree
        finally:
            subprocess.run([*git, 'remove', '--force', str(tree)], check=True)


def run_play(tree: pathlib.Path, name: str, profile: str) -> dict[str, float]:
    """Run a play in an event loop of its own."""
    return anyio.run(
        play_row,
        tree,
        name,
        profile,
        backend_options={'loop_factory': uvloop.new_event_loop},
    )


@click.command()
@click.argument('commits', nargs=-1, required=True)
@click.option('--rounds', default=2, help='Plays of each row and commit.')
@click.option('--row', 'only', default='', help='Rows that contain this.')
@click.option('--profile', is_flag=True, help='Show functions, not figures.')
def main(
    commits: tuple[str, ...], rounds: int, only: str, profile: bool
) -> None:
    """Play all rows at hosts of these commits, in turns."""
    with contextlib.ExitStack() as stack:
        trees = {
            commit: stack.enter_context(check_out(commit))
            for commit in commits
        }
        for name in _rows:
            if only not in name:
                continue
            if profile:
                for commit, tree in trees.items():
                    click.echo(f'{name}, {commit}')
                    show_profile(tree, name)
                continue
            for _ in range(rounds):
                for commit, tree in trees.items():
                    found = run_play(tree, name, '')
                    text = ' '.join(
                        f'{key}={value:.2f}' for key, value in found.items()
                    )
                    click.echo(f'{name} | {commit} | {text}')


def show_profile(tree: pathlib.Path, name: str) -> None:
    """Play a row at a host that is profiled, and print its functions."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(pathlib.Path(folder) / 'profile')
        found = run_play(tree, name, path)
        click.echo(f'{found["answers"]:.0f} answers')
        stats: ty.Any = pstats.Stats(path)
        stats.sort_stats('tottime').print_stats(SHOWN_FUNCTIONS)


if __name__ == '__main__':
    main()
