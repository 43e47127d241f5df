"""Factories for the tests of the gateway's decisions."""

import dataclasses
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway import dialect

__all__ = [
    'POOL',
    'make_entry',
    'make_organisation',
    'make_queued_request',
    'make_start',
    'take_units',
]

POOL = ids.Pool('pool')


def make_start(name: str, birth: int | None = None) -> ids.RunnerStart:
    """Return a start of a runner; without ``birth``, its only one."""
    return ids.make_runner_start(ids.Runner(name), birth)


def make_entry(
    name: str,
    slots: int = 2,
    is_draining: bool = False,
    birth: int | None = None,
) -> dialect.RunnerEntry:
    """Return the entry of a runner of the pool."""
    return dialect.RunnerEntry(
        start=make_start(name, birth),
        service=POOL,
        address=addresses.Address('127.0.0.1', 1),
        domain=ids.Domain('d1'),
        slots=slots,
        is_draining=is_draining,
    )


def make_organisation(units: float) -> catalogue.Organisation:
    """Return an organisation with ``units`` as its rate and its burst."""
    return catalogue.Organisation(
        name=ids.Organisation('festin'),
        keys=frozenset(),
        tier=None,
        units_per_s=units,
        burst_units=units,
        counts_tokens=True,
        default_tokens=10.0,
    )


def make_queued_request(
    attempt: str, now: float, **changes: ty.Any
) -> queueing.QueuedRequest:
    """Return a request of the highest tier that is on time for 1 s."""
    request = queueing.QueuedRequest(
        attempt=attempt,
        service=POOL,
        tier=ids.Tier(0),
        route_tier=ids.Tier(0),
        arrived_at=now,
        on_time_by=now + 1.0,
        useful_until=now + 1.0,
        ends_at=now + 10.0,
        prompt_tokens=100,
        events=10,
        last_part='',
    )
    return dataclasses.replace(request, **changes)


def take_units(
    buckets: quotas.Quotas,
    organisation: catalogue.Organisation,
    cost: float,
    silent_share: float,
    now: float,
    group_share: float = 1.0,
) -> float | None:
    """Hand out units, or return seconds until enough are available."""
    share = quotas.AllowanceShare(silent_share, group_share)
    wait = buckets.find_wait(organisation, cost, share, now)
    if wait is None:
        buckets.charge(organisation, cost)
    return wait
