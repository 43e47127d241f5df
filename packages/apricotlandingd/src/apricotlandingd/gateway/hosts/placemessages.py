"""Messages between a host and the coordinators of subsets of runners.

``PlaceRequest`` states all places that a host wants and holds in one subset,
and ``PlaceReply`` all decisions in force for that host. Each is complete, so a
lost one is replaced by the next, and a repeated one changes nothing. A granted
place is released by a later request that no longer names it.
"""

import dataclasses
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import observations

__all__ = [
    'PlaceDetail',
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
# Longest name of an organisation.
MAX_NAME_CHARS: ty.Final = 256

Count = messages.Count
Digest = messages.Digest
Tier = ty.Annotated[int, pydantic.Field(ge=-1, le=messages.MAX_INT)]
Time = ty.Annotated[float, pydantic.Field(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Duration = ty.Annotated[float, pydantic.Field(ge=0.0, le=MAX_SECONDS)]
Events = ty.Annotated[float, pydantic.Field(ge=0.0, le=1e12)]
Name = ty.Annotated[str, pydantic.Field(max_length=MAX_NAME_CHARS)]
Part = ty.Annotated[str, pydantic.Field(max_length=MAX_PART_CHARS)]


class RunnerObservation(ty.NamedTuple):
    """One observation of a runner by a host; see ``observations``."""

    # Digest of the runner's start.
    runner: Digest
    kind: observations.Kind
    amount: Count
    # For a machine's slowness, how long ago the runner stated it.
    seconds: Duration
    part: Part


class Wanted(ty.NamedTuple):
    """A waiting request; its times are relative to the message's sending."""

    tier: Tier
    route_tier: Tier
    on_time_in: Time
    useful_in: Time
    ends_in: Time
    prompt_tokens: Count
    events: Events
    last_part: Part
    # Number of coordinators that are asked for it.
    coordinators: ty.Annotated[int, pydantic.Field(ge=1, le=16)]
    # Runners that must not be granted, by the digest of their start.
    excluded: list[Digest]


class Refused(ty.NamedTuple):
    """A request that will get no place in useful time."""

    # Seconds after which its caller should retry.
    return_s: Duration
    # Predicted seconds until a place is free, and requests ahead of it.
    wait_s: Duration
    ahead: Count


class PlaceDetail(ty.NamedTuple):
    """What contended capacity is divided by; see ``docs/CONTENTION.md``."""

    # '' if the request names no organisation.
    organisation: Name
    # Tokens that the request takes in its runner's memory; 0 if not counted.
    memory_tokens: Count
    # Seconds until its first event is due, from the message's sending.
    first_due_in: Time
    # Longest pause between two events, seconds; 0 if any.
    max_gap_s: Duration


Bounded = pydantic.Field(max_length=MAX_ENTRIES)


@messages.registry.register(6, omits_defaults=True)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """All places that a host wants and holds in a subset of runners."""

    host: ids.Host
    # Where the reply goes.
    address: messages.AddressText
    process: Digest
    # Sequence number of the message within the process.
    number: Count
    service: ids.Pool
    # Index of the subset, and the number of subsets.
    place: Count
    total: Count
    # By the sender's number of the place.
    wanted: ty.Annotated[dict[Count, Wanted], Bounded]
    # Digest of the runner's start, by the number of the place.
    held: ty.Annotated[dict[Count, Digest], Bounded]
    seen: ty.Annotated[list[RunnerObservation], Bounded]
    # A reply is expected even if nothing was decided.
    wants_reply: bool
    # Details of wanted and held places, by number; empty where capacity is
    # not contended.
    details: ty.Annotated[
        dict[Count, PlaceDetail], pydantic.Field(max_length=2 * MAX_ENTRIES)
    ] = dataclasses.field(default_factory=dict)
    # How the runners are divided; see ``decisions.subsets``.
    is_by_hash: bool = False


@messages.registry.register(7, omits_defaults=True)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReply:
    """All decisions of a coordinator in force for a host."""

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
    # Free places in the subset.
    free: Count
    is_stopping: bool
    is_by_hash: bool = False
    # Predicted seconds to the first event, by the number of a granted place;
    # empty where capacity is not contended.
    predicted: ty.Annotated[dict[Count, Duration], Bounded] = (
        dataclasses.field(default_factory=dict)
    )
