"""A burst of requests of mixed tiers, and a check for tier inversions.

Several times the capacity of one small engine is posted through all daemons.
``find_inversions`` then checks that no request was shed while one of a lower
tier waited and was kept.
"""

import collections.abc
import concurrent.futures
import dataclasses
import math
import time
import typing as ty

from apricotlanding import clocks
from apricotstandins import callers
from apricotstandins import deployment
import systems

# Route and tier, most important first.
ROUTE_TIERS: ty.Final = (
    ('rebuild', 0),
    ('briefing', 1),
    ('note', 3),
    ('report', 4),
)
# One engine with two slots handles a dozen requests a second.
RUNNERS: ty.Final = (
    deployment.RunnerPlan('planner-1', 'planners', slots=2),
    deployment.RunnerPlan('manifest-1', 'manifests', kind='service'),
)
POOL_SETTINGS: ty.Final = {'queue_requests': 12}
REQUEST_COUNT = 120
POST_INTERVAL_S = 0.02
DEADLINE_MS = 20_000
SHED_CODE = 'APL201'
# Upper limit of the time from post to registration at the scheduler.
REGISTRATION_DELAY_S = 0.5
# Apparent clock difference between one host's processes.
CLOCK_MARGIN_S = 0.1


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PostedRequest:
    """One request of a burst, with times on the monotonic clock."""

    key: str
    route: str
    tier: int
    host: str
    posted_at: float
    ended_at: float
    reply: callers.Reply


def post_burst(
    system: deployment.Deployment, hosts: collections.abc.Sequence[str]
) -> list[PostedRequest]:
    """Post a burst of a few seconds; return when all requests ended."""
    with concurrent.futures.ThreadPoolExecutor(REQUEST_COUNT) as pool:
        futures = []
        for number in range(REQUEST_COUNT):
            route, tier = ROUTE_TIERS[number * 7 % len(ROUTE_TIERS)]
            host = hosts[number % len(hosts)]
            future = pool.submit(_post_one, system, host, route, tier)
            futures.append(future)
            time.sleep(POST_INTERVAL_S)
        return [future.result() for future in futures]


def find_inversions(
    system: deployment.Deployment,
    posted: collections.abc.Iterable[PostedRequest],
    faulted_host: str = '',
    injected_at: float = math.inf,
) -> list[str]:
    """Return requests that were shed while one of a lower tier was kept.

    A request was certainly waiting at a time if it had been posted half a
    second before, succeeded, and reached the engine later than that time.
    Requests shed at ``faulted_host`` are ignored, since its replies are too
    late to compare, and so are requests posted there after the fault, which
    did not reach the scheduler. A host that is only partitioned from the
    scheduler's host is also a faulted host.
    """
    posted = list(posted)
    accepted_at = system.read_witness('planner-1')['accepted_at']
    found = []
    for item in posted:
        if item.reply.code != SHED_CODE or item.host == faulted_host:
            continue
        for other in posted:
            if other.tier <= item.tier or other.reply.status != 200:
                continue
            registered_at = other.posted_at + REGISTRATION_DELAY_S
            if other.host == faulted_host and registered_at > injected_at:
                continue
            start = accepted_at.get(other.key, 0.0)
            if registered_at < item.ended_at < start - CLOCK_MARGIN_S:
                found.append(f'tier {item.tier} before {other.tier}')
    return found


def _post_one(
    system: deployment.Deployment, host: str, route: str, tier: int
) -> PostedRequest:
    key = callers.make_key()
    posted_at = clocks.read_monotonic()
    reply = callers.post_request(
        system.daemons[host].callers,
        route,
        systems.FESTIN,
        {'prompt': systems.make_prompt(32), 'max_tokens': 20},
        key,
        deadline_ms=DEADLINE_MS,
    )
    ended_at = clocks.read_monotonic()
    return PostedRequest(key, route, tier, host, posted_at, ended_at, reply)
