"""Identifiers that the processes exchange.

Every identifier is a ``NewType``, so that a type checker finds a host passed
in place of a runner. Values are plain strings and integers on the wire; see
``wire`` and ``records`` for the messages that contain them.

One *host* runs one daemon process at a time. An *incarnation* is one run of
one daemon process: a restarted daemon has the same host and a new
incarnation, and is not bound by promises of an earlier incarnation.

A *runner start* is one run of a runner's process, which may restart under the
same registered id. State about a runner belongs to one start of it; the
registered id alone is used on the wire, in logs, and for decisions that must
not change when a runner restarts.

The name of an incarnation shows which earlier ones have ended. It contains a
digest of the kernel's boot id and of the address that the daemon listens on,
and the start time on the kernel's monotonic clock. Two processes cannot
listen on the same address of one running kernel, so the later of two names
with the same digest proves that the earlier process has ended.
"""

import secrets
import typing as ty
import uuid

import xxhash

__all__ = [
    'ContentKey',
    'Crash',
    'Domain',
    'Epoch',
    'Host',
    'Incarnation',
    'Key',
    'Offset',
    'Organisation',
    'Pool',
    'Release',
    'Route',
    'Runner',
    'RunnerStart',
    'Shard',
    'Stream',
    'Tier',
    'Version',
    'parse_runner',
    'has_ended',
    'identify_crash',
    'is_earlier_start',
    'make_incarnation',
    'make_pool',
    'make_runner_start',
    'parse_host',
    'parse_service',
    'parse_start_time',
    'read_issue_time',
]

Organisation = ty.NewType('Organisation', str)
Route = ty.NewType('Route', str)
Pool = ty.NewType('Pool', str)
# Version of the software that a runner runs.
Release = ty.NewType('Release', str)
Runner = ty.NewType('Runner', str)
# ``TIME@RUNNER``; see ``make_runner_start``.
RunnerStart = ty.NewType('RunnerStart', str)
Host = ty.NewType('Host', str)
Domain = ty.NewType('Domain', str)
# ``host/PLACE.START.RANDOM``; see ``make_incarnation``.
Incarnation = ty.NewType('Incarnation', str)
# An idempotency key as the caller sent it, in canonical UUID form.
Key = ty.NewType('Key', str)
# 64-bit digest of a request's content; see ``contentkeys``.
ContentKey = ty.NewType('ContentKey', int)
# 64-bit digest of a stream, over all attempts of its caller.
Stream = ty.NewType('Stream', int)
# 64-bit digest that identifies one crash of a runner on all hosts.
Crash = ty.NewType('Crash', int)
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


def make_incarnation(
    host: Host, endpoint: str, started_at: float
) -> Incarnation:
    """Return the incarnation of a daemon process.

    ``endpoint`` identifies the kernel boot and the listening address;
    ``started_at`` is the monotonic time in seconds after the address was
    bound.
    """
    digest = xxhash.xxh3_64_hexdigest(endpoint.encode())
    start = int(started_at * 1000)
    return Incarnation(f'{host}/{digest}.{start:012x}.{secrets.token_hex(4)}')


def has_ended(earlier: Incarnation, later: Incarnation) -> bool:
    """Return whether ``later`` proves that ``earlier`` has ended."""
    endpoint, start = _split_incarnation(earlier)
    other_endpoint, other_start = _split_incarnation(later)
    return endpoint == other_endpoint and start < other_start


def _split_incarnation(incarnation: Incarnation) -> tuple[str, str]:
    endpoint, _, rest = incarnation.partition('.')
    return endpoint, rest.partition('.')[0]


def parse_host(incarnation: Incarnation) -> Host:
    """Return the host of an incarnation."""
    return Host(incarnation.rpartition('/')[0])


def make_runner_start(runner: Runner, start_ms: int | None) -> RunnerStart:
    """Return the identifier of one start of a runner.

    ``start_ms`` is the Unix time of the start in milliseconds; None if the
    runner does not report it, in which case all its starts have the same
    identifier. The time comes first, because a runner's id may contain any
    character.
    """
    return RunnerStart(f'{"" if start_ms is None else start_ms}@{runner}')


def make_pool(service: Pool, release: Release) -> Pool:
    """Return the name of a service's runners of one release.

    Without a release it is the service itself, which has one pool.
    """
    return Pool(f'{service}@{release}') if release else service


def parse_service(pool: Pool) -> Pool:
    """Return the service of a pool."""
    return Pool(pool.partition('@')[0])


def parse_runner(start: RunnerStart) -> Runner:
    """Return the registered id of the runner."""
    return Runner(start.partition('@')[2])


def parse_start_time(start: RunnerStart) -> int | None:
    """Return the Unix time of a start in milliseconds; None if unknown."""
    start_ms = start.partition('@')[0]
    return int(start_ms) if start_ms else None


def is_earlier_start(start: RunnerStart, later: RunnerStart) -> bool:
    """Return whether ``start`` is an earlier start of the same runner.

    A start whose time is not known counts as earlier than any other.
    """
    start_ms, later_start_ms = parse_start_time(start), parse_start_time(later)
    if parse_runner(start) != parse_runner(later) or later_start_ms is None:
        return False
    return start_ms is None or start_ms < later_start_ms


def read_issue_time(key: Key) -> float | None:
    """Return the issue time of a key as Unix time in seconds.

    Only a UUIDv7 (RFC 9562) contains its issue time, in milliseconds in the
    first 48 bits. Returns None for any other UUID.
    """
    value = uuid.UUID(key)
    if value.version != _UUIDV7:
        return None
    return (value.int >> 80) / 1000.0


def identify_crash(start: RunnerStart, number: int) -> Crash:
    """Return the identifier of a crash.

    ``number`` counts the crashes of a start that its runner survived; 0 for
    the first one.
    """
    return Crash(xxhash.xxh3_64_intdigest(f'{number}/{start}'.encode()))
