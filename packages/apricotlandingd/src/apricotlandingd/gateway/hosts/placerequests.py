"""Conversion between queued requests and what coordinators are told of them.

Times in messages are relative to their sending, as hosts do not share a clock.
"""

import collections.abc
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import queueorder
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.runners import observations

__all__ = [
    'Sender',
    'list_seen',
    'make_detail',
    'make_held_detail',
    'make_request',
    'make_load',
    'make_wanted',
    'name_place',
    'read_load',
    'read_subset',
    'read_ticket',
]


def name_place(host: ids.Host, number: int) -> str:
    """Return the name of a host's place in the log of a coordinator."""
    return f'{host}/{number}'


class Sender(ty.NamedTuple):
    """The host and process that sends requests."""

    host: ids.Host
    # Where the replies go.
    address: str
    # Digest of the process.
    process: int


def make_request(
    sender: Sender, number: int, subset: subsets.Subset, wants_reply: bool
) -> placemessages.PlaceRequest:
    """Return a request that wants and holds no place yet."""
    return placemessages.PlaceRequest(
        host=sender.host,
        address=sender.address,
        process=sender.process,
        number=number,
        service=subset.service,
        place=subset.number,
        total=subset.total,
        wanted={},
        held={},
        seen=[],
        wants_reply=wants_reply,
        is_by_hash=subset.is_by_hash,
    )


def list_seen(
    unsent: collections.abc.Iterable[
        tuple[float, placemessages.RunnerObservation]
    ],
    now: float,
) -> list[placemessages.RunnerObservation]:
    """Return what a coordinator is told of observations made at times.

    The slowness of a machine is used for less than half a second, and a
    message may be sent up to 0.3 s after the runner stated it. So it is told
    with its age; other observations are used for longer.
    """
    found: list[placemessages.RunnerObservation] = []
    for at, observation in unsent:
        if observation.kind is observations.Kind.SLOWNESS:
            age_s = min(max(0.0, now - at), placemessages.MAX_SECONDS)
            observation = observation._replace(seconds=age_s)
        found.append(observation)
    return found


def make_wanted(
    ticket: queueing.QueuedRequest,
    coordinators: int,
    excluded: collections.abc.Iterable[int],
    now: float,
) -> placemessages.Wanted:
    """Return what a coordinator is told of a request.

    ``coordinators`` are asked for it; ``excluded`` are the digests of runners
    that must not be granted.
    """
    return placemessages.Wanted(
        tier=ticket.tier,
        route_tier=ticket.route_tier,
        on_time_in=ticket.on_time_by - now,
        useful_in=ticket.useful_until - now,
        ends_in=ticket.ends_at - now,
        prompt_tokens=ticket.prompt_tokens,
        events=ticket.events,
        last_part=ticket.last_part[: placemessages.MAX_PART_CHARS],
        coordinators=coordinators,
        excluded=sorted(excluded),
    )


def read_subset(
    message: placemessages.PlaceRequest | placemessages.PlaceReply,
) -> subsets.Subset:
    """Return the subset that a message is about."""
    return subsets.Subset(
        message.service, message.place, message.total, message.is_by_hash
    )


def make_detail(
    ticket: queueing.QueuedRequest, now: float
) -> placemessages.PlaceDetail:
    """Return what contended capacity is divided by."""
    # A route may state up to a year, and a message with a time that is too
    # long would be rejected with all places in it.
    limit = placemessages.MAX_SECONDS
    return placemessages.PlaceDetail(
        ticket.organisation or '',
        ticket.memory_tokens,
        max(-limit, min(limit, ticket.first_due_at - now)),
        min(limit, ticket.max_gap_s),
    )


def make_load(ticket: queueing.QueuedRequest, now: float) -> queueing.Load:
    """Return what a request takes of the runner that it is granted now."""
    return queueing.Load(
        ticket.organisation, ticket.memory_tokens, granted_at=now
    )


def make_held_detail(load: queueing.Load) -> placemessages.PlaceDetail:
    """Return what a held place takes of its runner."""
    return placemessages.PlaceDetail(
        load.organisation or '', load.memory_tokens, 0.0, 0.0
    )


def read_ticket(
    request: placemessages.PlaceRequest,
    number: int,
    tried: set[ids.RunnerStart],
    now: float,
) -> queueing.QueuedRequest:
    """Return the queue entry of a wanted place.

    ``tried`` are the runners that must not be granted.
    """
    wanted = request.wanted[number]
    ticket = queueing.QueuedRequest(
        attempt=name_place(request.host, number),
        service=request.service,
        tier=ids.Tier(wanted.tier),
        route_tier=ids.Tier(wanted.route_tier),
        arrived_at=now,
        on_time_by=now + wanted.on_time_in,
        useful_until=now + wanted.useful_in,
        ends_at=now + wanted.ends_in,
        prompt_tokens=wanted.prompt_tokens,
        events=wanted.events,
        last_part=wanted.last_part,
        tried=tried,
        queue_weight=1 / wanted.coordinators,
        advance_s=queueorder.find_advance(wanted.prompt_tokens),
    )
    detail = request.details.get(number)
    if detail is not None:
        ticket.organisation = _read_organisation(detail)
        ticket.memory_tokens = detail.memory_tokens
        ticket.first_due_at = now + detail.first_due_in
        ticket.max_gap_s = detail.max_gap_s
    return ticket


def read_load(
    detail: placemessages.PlaceDetail | None, now: float
) -> queueing.Load:
    """Return what a held place takes of its runner."""
    if detail is None:
        return queueing.NO_LOAD
    return queueing.Load(
        _read_organisation(detail), detail.memory_tokens, 0.0, now
    )


def _read_organisation(
    detail: placemessages.PlaceDetail,
) -> ids.Organisation | None:
    if not detail.organisation:
        return None
    return ids.Organisation(detail.organisation)
