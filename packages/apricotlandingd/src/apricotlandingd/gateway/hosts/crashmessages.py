"""Messages between hosts about requests that crash runners."""

import dataclasses
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages

__all__ = ['MAX_ROWS', 'BlameRow', 'CrashReport']

# Most rows of one message: the datagram is not fragmented.
MAX_ROWS: ty.Final = 24
# Longest host name, characters.
MAX_HOST_CHARS: ty.Final = 64


class BlameRow(ty.NamedTuple):
    """One row of ``quarantine.Blame``."""

    key: messages.Digest
    crash: messages.Digest
    host: ty.Annotated[ids.Host, pydantic.Field(max_length=MAX_HOST_CHARS)]
    is_cleared: bool
    age_s: messages.Count


@messages.registry.register(11)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Some of the rows that a host knows."""

    rows: ty.Annotated[list[BlameRow], pydantic.Field(max_length=MAX_ROWS)]
