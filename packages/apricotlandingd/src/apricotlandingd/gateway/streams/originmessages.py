"""Datagrams between hosts about the origins of streams."""

import dataclasses
import typing as ty

import pydantic

from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.streams import origins

__all__ = ['MAX_ROWS', 'OriginQuery', 'OriginReply', 'OriginReport']

# Most rows of one message: a datagram with them is not fragmented.
MAX_ROWS: ty.Final = 16
# Longest name of a host, a service or a version.
MAX_NAME_CHARS: ty.Final = 128

Name = ty.Annotated[str, pydantic.Field(max_length=MAX_NAME_CHARS)]
Seconds = ty.Annotated[
    float, pydantic.Field(ge=0.0, le=origins.MAX_RETENTION_S)
]


class OriginRow(ty.NamedTuple):
    """One row of ``origins.Row``."""

    stream: messages.Digest
    service: Name
    release: Name
    # Seconds until the row ends.
    left_s: Seconds


@messages.registry.register(18)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginReport:
    """Streams that have begun."""

    rows: ty.Annotated[list[OriginRow], pydantic.Field(max_length=MAX_ROWS)]


@messages.registry.register(19)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuery:
    """Asks where a stream began."""

    # Where the reply goes, and the asking process.
    address: messages.AddressText
    process: messages.Digest
    number: messages.Count
    stream: messages.Digest


@messages.registry.register(20)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginReply:
    """Where a stream began; no rows if it is not known."""

    host: Name
    # The process and the number of the query.
    process: messages.Digest
    number: messages.Count
    rows: ty.Annotated[list[OriginRow], pydantic.Field(max_length=1)]
