"""A burst of requests of mixed tiers, and the check that tiers held.

One small engine gets several times what it can take, through every daemon.
``find_inversions`` then looks for the one thing that may not happen: that a
request was shed while one of a lower tier waited and was kept.
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
# One engine with two slots: a dozen requests a second.
RUNNERS: ty.Final = (
    deployment.RunnerPlan('planner-1', 'planners', slots=2),
    deployment.RunnerPlan('manifest-1', 'manifests', kind='service'),
)
POOL_SETTINGS: ty.Final = {'queue_requests': 12}
REQUEST_COUNT = 120
POST_INTERVAL_S = 0.02
DEADLINE_MS = 20_000
SHED_CODE = 'APL201'
# By when a request has surely reached its scheduler, in seconds.
REGISTRATION_DELAY_S = 0.5
# By how much the clocks of one host's processes may seem to differ.
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
    """Post a burst of a few seconds; return when all have ended."""
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

    A request waited for certain at a time if it had been posted half a
    second before, ended well, and reached the engine later than that. What
    a host that was ``faulted_host`` told its callers was told too late to compare,
    and what was posted there afterwards had not reached its scheduler. Struck
    is also one that has lost nothing but the scheduler's host.
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
