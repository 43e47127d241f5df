"""Messages between a host and the coordinators of subsets of runners.

``PlaceRequest`` states all that a host wants and holds in one subset, and
``PlaceReply`` all decisions that stand for it. Each is whole, so a lost one is
made good by the next and a repeated one changes nothing. A place that was
granted is given back by a later request that no longer names it.
"""

import dataclasses
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import observations

__all__ = [
    'PlaceReply',
    'PlaceRequest',
    'Refused',
    'RunnerObservation',
    'Wanted',
]

# Most entries of one kind in a message.
MAX_ENTRIES: ty.Final = 1024
# Longest time in a message, seconds.
MAX_SECONDS: ty.Final = 1e6
# Longest id of a part of a prompt.
MAX_PART_CHARS: ty.Final = 256

Count = messages.Count
Digest = messages.Digest
Tier = ty.Annotated[int, pydantic.Field(ge=-1, le=messages.MAX_INT)]
Time = ty.Annotated[float, pydantic.Field(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Duration = ty.Annotated[float, pydantic.Field(ge=0.0, le=MAX_SECONDS)]
Events = ty.Annotated[float, pydantic.Field(ge=0.0, le=1e12)]
Part = ty.Annotated[str, pydantic.Field(max_length=MAX_PART_CHARS)]


class RunnerObservation(ty.NamedTuple):
    """One thing that a host has seen of a runner; see ``observations``."""

    # Digest of the runner's start.
    runner: Digest
    kind: observations.Kind
    amount: Count
    seconds: Duration
    part: Part


class Wanted(ty.NamedTuple):
    """A request that waits; times count from the sending of the message."""

    tier: Tier
    route_tier: Tier
    on_time_in: Time
    useful_in: Time
    ends_in: Time
    prompt_tokens: Count
    events: Events
    last_part: Part
    # Coordinators that are asked for it.
    coordinators: ty.Annotated[int, pydantic.Field(ge=1, le=16)]
    # Runners that are no use to it, by the digest of their start.
    excluded: list[Digest]


class Refused(ty.NamedTuple):
    """A request that will get no place in useful time."""

    # Seconds after which its caller should come back.
    return_s: Duration
    # Predicted seconds until a place, and requests that would go before.
    wait_s: Duration
    ahead: Count


Bounded = pydantic.Field(max_length=MAX_ENTRIES)


@messages.registry.register(6)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """All that a host wants and holds in a subset of runners."""

    host: ids.Host
    # Where the reply goes.
    address: messages.AddressText
    process: Digest
    # Counts the messages of the process.
    number: Count
    service: ids.Pool
    # Place of the subset, and how many there are.
    place: Count
    total: Count
    # By the sender's number of the place.
    wanted: ty.Annotated[dict[Count, Wanted], Bounded]
    # Digest of the runner's start, by the number of the place.
    held: ty.Annotated[dict[Count, Digest], Bounded]
    seen: ty.Annotated[list[RunnerObservation], Bounded]
    # An answer is expected, also without a decision.
    wants_reply: bool


@messages.registry.register(7)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReply:
    """All decisions of a coordinator that stand for a host."""

    host: ids.Host
    # The process that is answered, and the number of its newest request.
    process: Digest
    answers: Count
    service: ids.Pool
    place: Count
    total: Count
    # Digest of the runner's start, by the number of the place.
    granted: ty.Annotated[dict[Count, Digest], Bounded]
    refused: ty.Annotated[dict[Count, Refused], Bounded]
    # Places that are free in the subset.
    free: Count
    is_stopping: bool
