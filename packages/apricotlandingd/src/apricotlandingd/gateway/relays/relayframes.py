"""Frames between the host that dials and the relay host.

They come from hosts that have proved the shared key, and are validated like
all other messages.
"""

import dataclasses
import enum
import typing as ty

import pydantic

from apricotlanding import codec
from apricotlandingd.gateway.hosts import messages

__all__ = [
    'Call',
    'DeclineReason',
    'Declined',
    'End',
    'Failed',
    'Head',
    'KeyChoice',
    'KeyOffer',
    'Part',
    'Release',
    'Reserve',
    'Reserved',
    'registry',
]

registry = codec.Registry('relay frame')

# Keys that a host offers, and bytes of the id of one.
MAX_KEYS: ty.Final = 8
KEY_ID_BYTES: ty.Final = 8
# Headers of a request or an answer.
MAX_HEADERS: ty.Final = 256
# Largest body of a request, which is one frame with its headers.
MAX_BODY_BYTES: ty.Final = 3 * 1024 * 1024
# Longest id of an attempt, and method, characters.
MAX_ATTEMPT_CHARS: ty.Final = 256
MAX_METHOD_CHARS: ty.Final = 32
# Longest detail of an error, characters.
MAX_DETAIL_CHARS: ty.Final = 300

KeyId = ty.Annotated[
    bytes,
    pydantic.Field(min_length=KEY_ID_BYTES, max_length=KEY_ID_BYTES),
]
Headers = ty.Annotated[
    list[tuple[bytes, bytes]], pydantic.Field(max_length=MAX_HEADERS)
]
Detail = ty.Annotated[str, pydantic.Field(max_length=MAX_DETAIL_CHARS)]
Attempt = ty.Annotated[str, pydantic.Field(max_length=MAX_ATTEMPT_CHARS)]
Status = ty.Annotated[int, pydantic.Field(ge=100, le=599)]


class DeclineReason(enum.Enum):
    """Why a relay host takes no call for a runner; it has sent nothing."""

    # It could not connect to the runner.
    UNREACHABLE = 'unreachable'
    # It does not reach the runner's service itself.
    CUT = 'cut'
    # It is stopping.
    STOPPING = 'stopping'
    # It carries as many calls of others as it can.
    BUSY = 'busy'
    # It does not know the runner, or knows that it leaves or rests.
    CLOSED = 'closed'
    # No time is left for the call, or it cannot be sent.
    UNSENDABLE = 'unsendable'


@registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class KeyOffer:
    """The keys that the dialer has, newest first."""

    ids: ty.Annotated[list[KeyId], pydantic.Field(max_length=MAX_KEYS)]


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class KeyChoice:
    """The key of the handshake that follows; None if none is common."""

    id: KeyId | None


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Asks for a connection to a runner."""

    # Digest of the runner's start.
    runner: messages.Digest
    is_repeatable: bool
    # Wants a connection made now, which shows that the runner is reached.
    is_new: bool


@registry.register(4)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """The connection is there; the call may be sent."""

    # Calls of other hosts that this one carries now.
    load: messages.Count


@registry.register(5)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The relay host has sent nothing to the runner, and will not."""

    reason: DeclineReason
    detail: Detail


@registry.register(6)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """The request for the reserved runner."""

    attempt: Attempt
    method: ty.Annotated[str, pydantic.Field(max_length=MAX_METHOD_CHARS)]
    target: str
    headers: Headers
    body: bytes
    is_repeatable: bool
    # Milliseconds until its caller stops waiting.
    left_ms: messages.Count
    content: messages.Digest


@registry.register(7)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of the runner's answer."""

    status: Status
    headers: Headers


@registry.register(8)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The next part of the answer's body."""

    data: bytes


@registry.register(9)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The answer is complete."""


@registry.register(10)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call failed at the runner, which may have run it."""

    detail: Detail
    # What the runner sent is not a valid answer.
    is_garbled: bool


@registry.register(11)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Gives a reserved connection back without a call."""
