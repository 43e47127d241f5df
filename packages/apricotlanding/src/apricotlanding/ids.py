"""Identifiers that the processes exchange.

Every identifier is a ``NewType``, so that a checker finds a host given
where a runner is expected. Values are plain strings and integers on the
wire; see ``wire`` and ``records`` for the messages that carry them.

One *host* runs one daemon process at a time. An *incarnation* is one run of
one daemon process: a restarted daemon has the same host and a new
incarnation, and nothing that an earlier incarnation promised binds it.

A *runner start* is one run of a runner's process, which may start again under
its registered id. What is held for a runner is held for one start of it; the
registered id alone is for the wire, for logs, and for choices that must not
change when a runner starts again.

An incarnation's name tells which earlier ones are dead. It contains a digest
of the kernel's boot and of the address that the daemon listens on, and the
time of its start on that kernel's clock. Two processes cannot listen on one
address of one running kernel, so the later of two such names proves that the
earlier process has ended.
"""

import secrets
import typing as ty
import uuid

import xxhash

__all__ = [
    'Domain',
    'Epoch',
    'Host',
    'Incarnation',
    'Key',
    'Offset',
    'Organisation',
    'Pool',
    'Route',
    'Runner',
    'RunnerStart',
    'Shard',
    'Tier',
    'Version',
    'parse_runner',
    'has_ended',
    'has_run_before',
    'make_incarnation',
    'make_runner_start',
    'parse_host',
    'parse_start_time',
    'read_issue_time',
]

Organisation = ty.NewType('Organisation', str)
Route = ty.NewType('Route', str)
Pool = ty.NewType('Pool', str)
Runner = ty.NewType('Runner', str)
# One run of a runner's process: ``BIRTH@RUNNER``; see ``make_runner_start``.
RunnerStart = ty.NewType('RunnerStart', str)
Host = ty.NewType('Host', str)
Domain = ty.NewType('Domain', str)
# ``host/PLACE.START.RANDOM``; see ``make_incarnation``.
Incarnation = ty.NewType('Incarnation', str)
# An idempotency key as the caller sent it, in canonical UUID form.
Key = ty.NewType('Key', str)
# ``claims/N`` or ``pool/NAME``.
Shard = ty.NewType('Shard', str)
# Counts the owners of a shard, from 1; also the fencing number.
Epoch = ty.NewType('Epoch', int)
# A position in the platform's log.
Offset = ty.NewType('Offset', int)
# Version of a configuration bundle, from 1.
Version = ty.NewType('Version', int)
# Rank of a priority tier: 0 is the most important.
Tier = ty.NewType('Tier', int)

_UUIDV7 = 7


def make_incarnation(host: Host, place: str, started_at: float) -> Incarnation:
    """Return a name for this run of this process.

    ``place`` names kernel boot and listening address, ``started_at`` is the
    monotonic time in seconds after the address was bound.
    """
    digest = xxhash.xxh3_64_hexdigest(place.encode())
    start = int(started_at * 1000)
    return Incarnation(f'{host}/{digest}.{start:012x}.{secrets.token_hex(4)}')


def has_ended(earlier: Incarnation, later: Incarnation) -> bool:
    """Tell whether ``later`` proves that ``earlier`` has ended."""
    place, start = _split_incarnation(earlier)
    other_place, other_start = _split_incarnation(later)
    return place == other_place and start < other_start


def _split_incarnation(incarnation: Incarnation) -> tuple[str, str]:
    place, _, rest = incarnation.partition('.')
    return place, rest.partition('.')[0]


def parse_host(incarnation: Incarnation) -> Host:
    """Return the host that runs this incarnation."""
    return Host(incarnation.rpartition('/')[0])


def make_runner_start(runner: Runner, birth: int | None) -> RunnerStart:
    """Return the identity of one start of a runner.

    ``birth`` is the Unix millisecond of the start; None if the runner does
    not state it, and all its starts are then taken for one. The birth goes
    first, because a runner's id may contain any character.
    """
    return RunnerStart(f'{"" if birth is None else birth}@{runner}')


def parse_runner(start: RunnerStart) -> Runner:
    """Return the id under which a start is registered."""
    return Runner(start.partition('@')[2])


def parse_start_time(start: RunnerStart) -> int | None:
    """Return the Unix millisecond of a start; None if it is not known."""
    birth = start.partition('@')[0]
    return int(birth) if birth else None


def has_run_before(start: RunnerStart, later: RunnerStart) -> bool:
    """Tell whether two starts are of one runner, and which was first.

    A start whose birth is not known is taken to be the first.
    """
    birth, later_birth = parse_start_time(start), parse_start_time(later)
    if parse_runner(start) != parse_runner(later) or later_birth is None:
        return False
    return birth is None or birth < later_birth


def read_issue_time(key: Key) -> float | None:
    """Return when a key was issued, in Unix seconds.

    Only a UUIDv7 (RFC 9562) carries its time: the first 48 bits count
    milliseconds. Returns None for any other UUID.
    """
    value = uuid.UUID(key)
    if value.version != _UUIDV7:
        return None
    return (value.int >> 80) / 1000.0
