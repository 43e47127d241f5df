"""Messages between gateway hosts.

``HostState`` goes to every peer by datagram, several times a second. Each is
complete, so a lost one does no harm. In between, near peers get ``HostChange``
after each change. It states the fields that change from one moment to the
next, in a quarter of the bytes: names that both sides know are replaced by
digests. ``RecordQuery`` and ``RecordPage`` are a request and its reply over
one connection, for records that a peer lacks, which may be larger than a
datagram.

Anyone who reaches a host's ports can send these, so types alone are not
enough: a negative count would grant places that a runner does not have, NaN in
a total would disable an allowance, and an invalid address would be found only
after half of the message has been applied. The fields declare their bounds,
and a message is accepted as a whole or not at all.
"""

import dataclasses
import functools
import math
import typing as ty

import pydantic
import xxhash

from apricotlanding import addresses
from apricotlanding import codec
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing

__all__ = [
    'HostChange',
    'HostState',
    'RecordPage',
    'RecordQuery',
    'RecordRow',
    'digest_process',
    'digest_start',
    'digest_starts',
    'read_address',
    'registry',
]

registry = codec.Registry('gateway message')

# Largest integer: the platform's store counts no further.
MAX_INT: ty.Final = 2**63 - 1
# Largest number of units; with it, sums over all hosts and seconds are finite.
MAX_UNITS: ty.Final = 1e15
# Longest text of an address: an IPv6 address in brackets with its port.
MAX_ADDRESS_CHARS: ty.Final = 64
# Most other hosts that one message names; this project's hosts name three.
MAX_HINTS: ty.Final = 16


@functools.lru_cache(maxsize=8192)
def digest_start(start: ids.RunnerStart) -> int:
    """Return the 32-bit digest of a runner's start.

    Two runners whose digests collide appear to hold each other's requests.
    """
    return xxhash.xxh32_intdigest(start.encode())


def digest_starts(counts: dict[ids.RunnerStart, int]) -> dict[int, int]:
    """Return counts by runner, with digests as keys instead of the starts."""
    return {digest_start(start): count for start, count in counts.items()}


def digest_process(process: ids.Incarnation) -> int:
    """Return the 64-bit digest of a host's process."""
    return xxhash.xxh3_64_intdigest(process.encode())


@functools.lru_cache(maxsize=4096)
def read_address(text: str) -> addresses.Address:
    """Return the address in a message; ValueError if it is invalid.

    Cached, as each message names its sender's address and hosts are few.
    """
    address = addresses.parse_address(text)
    if address.port == 0:
        raise ValueError('write a port above 0')
    return address


def _check_address(text: str) -> str:
    read_address(text)
    return text


def _check_rank(rank: queueing.Rank) -> queueing.Rank:
    if not math.isfinite(rank.on_time_by):
        # Ranks cannot be sorted by it.
        raise ValueError('the time of a rank is no number')
    return rank


Count = ty.Annotated[int, pydantic.Field(ge=0, le=MAX_INT)]
Digest = ty.Annotated[int, pydantic.Field(ge=0, lt=2**64)]
Offset = Count
# Milliseconds; ``freshness`` treats a negative age as none.
Age = ty.Annotated[int, pydantic.Field(ge=-MAX_INT, le=MAX_INT)]
# Total of units; units that are given back may leave it slightly below 0.
Units = ty.Annotated[float, pydantic.Field(ge=-1.0, le=MAX_UNITS)]
# Units left in a bucket; negative after an overrun.
Level = ty.Annotated[float, pydantic.Field(ge=-MAX_UNITS, le=MAX_UNITS)]
# Units per second.
Rate = ty.Annotated[float, pydantic.Field(ge=0.0, le=MAX_UNITS)]
AddressText = ty.Annotated[
    str,
    pydantic.Field(max_length=MAX_ADDRESS_CHARS),
    pydantic.AfterValidator(_check_address),
]
CheckedRank = ty.Annotated[queueing.Rank, pydantic.AfterValidator(_check_rank)]
Hints = ty.Annotated[
    dict[ids.Host, AddressText], pydantic.Field(max_length=MAX_HINTS)
]


@registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """Resources that a host uses, and requests that wait there."""

    host: ids.Host
    incarnation: ids.Incarnation
    # Addresses at which the host takes these messages, and serves records.
    state_address: AddressText
    peers_address: AddressText
    # Sequence number of the message within this incarnation.
    number: Count
    is_stopping: bool
    # The store answered this host a short time ago.
    reads_store: bool
    # Next offset of each topic; see ``records.TOPICS``.
    positions: list[Offset]
    # Running requests by runner.
    running: dict[ids.RunnerStart, Count]
    # Units granted since the start, by organisation.
    usage: dict[ids.Organisation, Units]
    # Ranks of the first waiting requests, by service; their times are relative
    # to the message's sending.
    ranks: dict[ids.Pool, list[CheckedRank]]
    # Some other hosts, and the addresses at which they take these messages.
    hints: Hints
    # Units asked for per second at this host, and at all hosts of its group,
    # by organisation; empty while there is one group.
    asked: dict[ids.Organisation, Rate] = dataclasses.field(
        default_factory=dict
    )
    group_asked: dict[ids.Organisation, Rate] = dataclasses.field(
        default_factory=dict
    )
    # Milliseconds since the store's newest answer on each topic; empty if
    # nothing changed. ``freshness`` defines whose answers count.
    answer_ages: list[Age] = dataclasses.field(default_factory=list)
    # Units granted per second at all hosts of the group, by organisation; not
    # in states for near hosts.
    group_used: dict[ids.Organisation, Rate] = dataclasses.field(
        default_factory=dict
    )
    # Number of hosts that this one knows, itself included; 0 from one that has
    # just started and may not know all of them.
    hosts: Count = 0
    # Units left in each organisation's bucket; only while a near peer is new,
    # and does not know what was granted before it started.
    levels: dict[ids.Organisation, Level] = dataclasses.field(
        default_factory=dict
    )


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RecordQuery:
    """Asks for the records at or after these offsets."""

    positions: list[Offset]


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RecordRow:
    """One record."""

    key: str
    offset: Offset
    value: bytes | None


@registry.register(4)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """The records of each topic, and the offsets to continue from."""

    positions: list[Offset]
    topics: list[list[RecordRow]]


@registry.register(5)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HostChange:
    """What has changed at a host since it sent a ``HostState``."""

    # Digest of the sender's incarnation, which its ``HostState`` names.
    process: Digest
    # Next sequence number of the incarnation's messages.
    number: Count
    is_stopping: bool
    reads_store: bool
    positions: list[Offset]
    # All running requests, by the digest of the runner's start.
    running: dict[Digest, Count]
    # Totals of the organisations that were granted units since.
    usage: dict[ids.Organisation, Units]
    # As in ``HostState``.
    ranks: dict[ids.Pool, list[CheckedRank]]
    answer_ages: list[Age]
