"""What engines report of themselves: their load and their prefix cache.

Another program may answer at an engine's address. A report that cannot be read
is a ``ValueError``, and counts as none.
"""

import dataclasses
import enum
import typing as ty

import pydantic

from apricotlanding import plainjson

__all__ = [
    'CacheEvent',
    'CacheEvents',
    'EventKind',
    'read_events',
    'read_load',
]

# Blocks are identified by hashes of 64 bits.
MAX_BLOCK: ty.Final = 2**64 - 1


class EventKind(enum.Enum):
    """What happened to a block of an engine's prefix cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache."""

    kind: EventKind
    block: ty.Annotated[int, pydantic.Field(ge=0, le=MAX_BLOCK)]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Changes in order, and where the next ones begin."""

    next: int
    events: list[CacheEvent]


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    running: plainjson.Count
    queued: plainjson.Count


@dataclasses.dataclass(frozen=True, slots=True)
class _EventPage:
    next: plainjson.Position
    events: list[ty.Any]


_loads: ty.Final = pydantic.TypeAdapter(_Load)
_pages: ty.Final = pydantic.TypeAdapter(_EventPage)
_events: ty.Final = pydantic.TypeAdapter(CacheEvent)


def read_load(report: object) -> int:
    """Return the requests that an engine has; raises ValueError."""
    load = _loads.validate_python(report)
    return load.running + load.queued


def read_events(reply: object) -> CacheEvents:
    """Return a page of cache events; raises ValueError.

    An event that cannot be read is left out: it costs cache hits only.
    """
    page = _pages.validate_python(reply)
    found: list[CacheEvent] = []
    for item in page.events:
        try:
            found.append(_events.validate_python(item))
        except pydantic.ValidationError:
            continue
    return CacheEvents(page.next, found)
