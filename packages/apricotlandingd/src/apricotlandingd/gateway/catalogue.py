"""Configuration in force: routes, services, organisations and limits.

An adapter decodes a platform's configuration into a ``Catalogue``, which is
used to find the route of a request and the organisation of its key. A
catalogue is immutable: a request keeps the one under which it was admitted.
"""

import dataclasses
import enum
import typing as ty

import xxhash

from apricotlanding import ids

__all__ = [
    'CallerLimits',
    'Catalogue',
    'Organisation',
    'Repeat',
    'Route',
    'Service',
    'Target',
    'find_organisation',
]


class Repeat(enum.Enum):
    """Whether requests of a route may run more than once."""

    # A request may run any number of times.
    IDEMPOTENT = 'idempotent'
    # A request may run once per attempt of a caller.
    AT_MOST_ONCE = 'at-most-once'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service to which a route sends requests."""

    service: ids.Pool
    # Weight of the service, relative to the other targets.
    weight: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests with one host name and path prefix."""

    name: ids.Route
    hostname: str
    path_prefix: str
    repeat: Repeat
    # The answer is a stream of events.
    is_stream: bool
    # Another runner may resume a stream after its last event.
    is_resumable: bool
    # Longest time that a caller waits, in seconds.
    timeout_s: float
    # Objective for the time to the answer or its first event, in seconds.
    objective_s: float
    # Objective for the longest pause between events, in seconds; 0 if none.
    gap_objective_s: float
    tier: ids.Tier
    targets: tuple[Target, ...]
    # Largest number of runners to which a request may be sent.
    max_sends: int
    # Requests need no key.
    is_public: bool

    def is_repeatable(self) -> bool:
        """Tell whether a request may safely run a second time."""
        return self.repeat is Repeat.IDEMPOTENT or self.is_resumable

    def find_service(self, attempt: str) -> ids.Pool:
        """Choose an attempt's service by weight and a hash of its id."""
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh3_64_intdigest(attempt.encode()) / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of runners that serve the same requests."""

    name: ids.Pool
    # Limit of connections to one runner, from all hosts together.
    max_connections: int
    # Tokens per event of a stream.
    event_tokens: float = 1.0
    # Tokens in the memory of each runner; None if not stated.
    memory_tokens: int | None = None


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that sends requests, and its allowance."""

    name: ids.Organisation
    keys: frozenset[str]
    # Overrides the route's tier; None keeps it.
    tier: ids.Tier | None
    # Rate of the allowance and its burst; 0 is unlimited.
    units_per_s: float
    burst_units: float
    # Units are tokens; otherwise each request is one unit.
    counts_tokens: bool
    # Units of a request that does not state its tokens.
    default_tokens: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers' requests and connections."""

    max_body_bytes: int = 4 * 1024 * 1024
    # Seconds after which an idle connection is closed.
    idle_s: float = 15.0
    # How long a caller may take to send a head.
    head_s: float = 10.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """A version of the configuration."""

    version: ids.Version
    # Routes by host name, longest prefix first.
    routes: dict[str, tuple[Route, ...]]
    services: dict[ids.Pool, Service]
    organisations: dict[ids.Organisation, Organisation]
    organisations_by_key: dict[str, Organisation]
    limits: CallerLimits
    # Figures that are treated as not stated, and why.
    ignored: tuple[str, ...] = ()

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def find_organisation(
    config: Catalogue | None, name: ids.Organisation
) -> Organisation | None:
    """Return an organisation; None if a configuration does not have it."""
    return None if config is None else config.organisations.get(name)
