"""Configuration in force: routes, services, organisations and limits.

An adapter decodes a platform's configuration into a ``Catalogue``; the
exchange asks it which route a request takes and whose key it carries. A
catalogue is immutable: a request keeps the one it was admitted under.
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
]


class Repeat(enum.Enum):
    """What a route allows to be sent again."""

    # May run any number of times.
    IDEMPOTENT = 'idempotent'
    # May run once for each attempt of a caller.
    AT_MOST_ONCE = 'at-most-once'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to."""

    service: ids.Pool
    # Share of the route's requests, relative to the other targets.
    weight: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host name and path prefix go, and how."""

    name: ids.Route
    hostname: str
    path_prefix: str
    repeat: Repeat
    # The answer is a stream of events.
    is_stream: bool
    # A stream may go on at another runner after its last event.
    is_resumable: bool
    # Longest time that a caller is kept, in seconds.
    timeout_s: float
    # Time to the answer, or to the first event, that callers want; seconds.
    objective_s: float
    # Longest pause between events that callers want; seconds, 0 if none.
    gap_objective_s: float
    tier: ids.Tier
    targets: tuple[Target, ...]
    # Most runners that one request may be sent to.
    max_sends: int
    # No key is asked for.
    is_public: bool

    def is_repeatable(self) -> bool:
        """Tell whether a second run of a request does no harm."""
        return self.repeat is Repeat.IDEMPOTENT or self.is_resumable

    def find_service(self, attempt: str) -> ids.Pool:
        """Return the service for an attempt, by weight and by its id."""
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
    # Most connections that one runner takes from all hosts together.
    max_connections: int
    # Tokens in one event of a stream.
    event_tokens: float = 1.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Whose requests these are, and how much it may ask for."""

    name: ids.Organisation
    keys: frozenset[str]
    # Goes before the route's tier; None leaves the route's.
    tier: ids.Tier | None
    # Allowance in units a second, and its burst in units; 0 is no limit.
    units_per_s: float
    burst_units: float
    # Units are tokens; else each request is one unit.
    counts_tokens: bool
    # Units of a request that does not say its tokens.
    default_tokens: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send."""

    max_body_bytes: int = 4 * 1024 * 1024
    # Seconds that an unused connection stays open.
    idle_s: float = 15.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the configuration."""

    version: ids.Version
    # Routes by host name, longest prefix first.
    routes: dict[str, tuple[Route, ...]]
    services: dict[ids.Pool, Service]
    organisations: dict[ids.Organisation, Organisation]
    # Organisations by key.
    organisations_by_key: dict[str, Organisation]
    limits: CallerLimits

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
