"""Messages between gateway hosts.

``HostState`` goes to every peer by datagram, several times a second and
after changes; it is whole each time, so a lost one does no harm. The rest
are a request and its reply over one connection, for records that a peer
lacks, which may be larger than a datagram.
"""

import dataclasses
import typing as ty

from apricotlanding import codec
from apricotlanding import ids
from apricotlandingd.gateway.decisions import waiting

__all__ = [
    'HostState',
    'RecordPage',
    'RecordQuery',
    'RecordRow',
    'registry',
]

registry = codec.Registry('gateway message')


@registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """What a host uses and wants."""

    host: ids.Host
    incarnation: ids.Incarnation
    # Where the host takes these messages, and where it serves records.
    state_address: str
    peers_address: str
    # Counts the messages of this incarnation.
    number: int
    is_stopping: bool
    # The store answered this host a short time ago.
    reads_store: bool
    # Next offset of each topic; see ``records.TOPICS``.
    positions: list[int]
    # Requests at runners.
    running: dict[ids.RunnerStart, int]
    # Units handed out since the start, by organisation.
    usage: dict[ids.Organisation, float]
    # The first of those that wait, by service; their times count from the
    # sending of this.
    ranks: dict[ids.Pool, list[waiting.Rank]]
    # Some other hosts, and where they take these messages.
    hints: dict[ids.Host, str]
    # Units asked for a second at this host, and at all hosts of its group, by
    # organisation; empty while there is one group.
    asked: dict[ids.Organisation, float] = dataclasses.field(
        default_factory=dict
    )
    group_asked: dict[ids.Organisation, float] = dataclasses.field(
        default_factory=dict
    )
    # Free places at runners of this host's group for which nothing waits
    # there; only in states for hosts of other groups.
    spare: dict[ids.RunnerStart, int] = dataclasses.field(default_factory=dict)
    # Milliseconds since the store's newest answer on each topic; empty if
    # nothing changed. Whose answer that is, ``freshness`` tells.
    answer_ages: list[int] = dataclasses.field(default_factory=list)


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RecordQuery:
    """Asks for the records at or after these offsets."""

    positions: list[int]


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RecordRow:
    """One record."""

    key: str
    offset: int
    value: bytes | None


@registry.register(4)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """The records of each topic, and the offsets to go on at."""

    positions: list[int]
    topics: list[list[RecordRow]]
