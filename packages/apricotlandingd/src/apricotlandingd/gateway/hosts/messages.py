"""Messages between gateway hosts.

``HostState`` goes to every peer by datagram, several times a second; it is
whole each time, so a lost one does no harm. Between two of them near peers get
``HostChange`` after each change, which says the same of what changes from one
moment to the next, in a quarter of the bytes: names that both sides know are
digests. The rest are a request and its reply over one connection, for records
that a peer lacks, which may be larger than a datagram.

Whoever reaches a host's ports can send these, so types alone are not enough:
a count below zero would give out places that a runner does not have, NaN in a
total would end an allowance, and an address that is none would be found out
when half of the message has been used. The fields state their bounds, and a
message is taken as a whole or not at all.
"""

import dataclasses
import functools
import math
import typing as ty

import pydantic
import xxhash

from apricotlanding import addresses, codec, ids
from apricotlandingd.gateway.decisions import waiting

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

# Largest whole number: what the platform's store can count to.
MAX_INT: ty.Final = 2**63 - 1
# Largest number of units; sums over all hosts and seconds stay finite.
MAX_UNITS: ty.Final = 1e15
# Longest text of an address: an IPv6 number in brackets with its port.
MAX_ADDRESS_CHARS: ty.Final = 64
# Most other hosts that one message names; this project's hosts name three.
MAX_HINTS: ty.Final = 16


@functools.lru_cache(maxsize=8192)
def digest_start(start: ids.RunnerStart) -> int:
    """Return the 32 bits that stand for a runner's start in a message.

    Two runners with the same digest seem to hold each other's requests.
    """
    return xxhash.xxh32_intdigest(start.encode())


def digest_starts(counts: dict[ids.RunnerStart, int]) -> dict[int, int]:
    """Return counts by runner with the digests in place of the starts."""
    return {digest_start(start): count for start, count in counts.items()}


def digest_process(process: ids.Incarnation) -> int:
    """Return the 64 bits that stand for a host's process in a message."""
    return xxhash.xxh3_64_intdigest(process.encode())


@functools.lru_cache(maxsize=4096)
def read_address(text: str) -> addresses.Address:
    """Return the address in a message; ValueError if it is none.

    Each message names its sender's address, and there are few hosts.
    """
    address = addresses.parse_address(text)
    if address.port == 0:
        raise ValueError('write a port above 0')
    return address


def _check_address(text: str) -> str:
    read_address(text)
    return text


def _check_rank(rank: waiting.Rank) -> waiting.Rank:
    if not math.isfinite(rank.on_time_by):
        # Nothing can be sorted by it.
        raise ValueError('the time of a rank is no number')
    return rank


Count = ty.Annotated[int, pydantic.Field(ge=0, le=MAX_INT)]
Digest = ty.Annotated[int, pydantic.Field(ge=0, lt=2**64)]
Offset = Count
# Milliseconds; ``freshness`` takes one below zero for none.
Age = ty.Annotated[int, pydantic.Field(ge=-MAX_INT, le=MAX_INT)]
# Total of units; a request that is given back may leave it a hair below 0.
Units = ty.Annotated[float, pydantic.Field(ge=-1.0, le=MAX_UNITS)]
# Units left in a bucket; below zero after an overrun.
Level = ty.Annotated[float, pydantic.Field(ge=-MAX_UNITS, le=MAX_UNITS)]
# Units a second.
Rate = ty.Annotated[float, pydantic.Field(ge=0.0, le=MAX_UNITS)]
AddressText = ty.Annotated[
    str,
    pydantic.Field(max_length=MAX_ADDRESS_CHARS),
    pydantic.AfterValidator(_check_address),
]
CheckedRank = ty.Annotated[waiting.Rank, pydantic.AfterValidator(_check_rank)]
Hints = ty.Annotated[
    dict[ids.Host, AddressText], pydantic.Field(max_length=MAX_HINTS)
]


@registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """What a host uses and wants."""

    host: ids.Host
    incarnation: ids.Incarnation
    # Where the host takes these messages, and where it serves records.
    state_address: AddressText
    peers_address: AddressText
    # Counts the messages of this incarnation.
    number: Count
    is_stopping: bool
    # The store answered this host a short time ago.
    reads_store: bool
    # Next offset of each topic; see ``records.TOPICS``.
    positions: list[Offset]
    # Requests at runners.
    running: dict[ids.RunnerStart, Count]
    # Units handed out since the start, by organisation.
    usage: dict[ids.Organisation, Units]
    # The first of those that wait, by service; their times count from the
    # sending of this.
    ranks: dict[ids.Pool, list[CheckedRank]]
    # Some other hosts, and where they take these messages.
    hints: Hints
    # Units asked for a second at this host, and at all hosts of its group, by
    # organisation; empty while there is one group.
    asked: dict[ids.Organisation, Rate] = dataclasses.field(
        default_factory=dict
    )
    group_asked: dict[ids.Organisation, Rate] = dataclasses.field(
        default_factory=dict
    )
    # Milliseconds since the store's newest answer on each topic; empty if
    # nothing changed. Whose answer that is, ``freshness`` tells.
    answer_ages: list[Age] = dataclasses.field(default_factory=list)
    # Units handed out a second at all hosts of the group, by organisation;
    # not in states for near hosts.
    group_used: dict[ids.Organisation, Rate] = dataclasses.field(
        default_factory=dict
    )
    # Hosts that this one counts on, itself included; 0 from one that has
    # started a moment ago and may not know all of them.
    hosts: Count = 0
    # Units left in each organisation's bucket; only while a near peer is new,
    # which knows nothing of what was handed out before it started.
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
    """The records of each topic, and the offsets to go on at."""

    positions: list[Offset]
    topics: list[list[RecordRow]]


@registry.register(5)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HostChange:
    """What has changed at a host since it sent a ``HostState``."""

    # Of the sender's incarnation, which its ``HostState`` names.
    process: Digest
    # Counts on with the messages of the incarnation.
    number: Count
    is_stopping: bool
    reads_store: bool
    positions: list[Offset]
    # All requests at runners, by the digest of the runner's start.
    running: dict[Digest, Count]
    # Totals of the organisations that were handed out units since.
    usage: dict[ids.Organisation, Units]
    # As in ``HostState``.
    ranks: dict[ids.Pool, list[CheckedRank]]
    answer_ages: list[Age]
