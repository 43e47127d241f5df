"""The versioned configuration bundle.

A bundle is one YAML file that defines who may send which requests and where
they run: *tiers* in order of importance, *organisations* with credentials and
weights, *routes* that callers post to, and *pools* of runners. Operators
always replace the whole file; ``signatures`` verifies who wrote and approved
it, and ``bundlestore`` (in the daemon) decides which version is in force.

``check_bundle`` reports all errors of a text in one run. ``Bundle`` is the
form that the rest of the system uses: the same data with lookup tables.

    version: 2
    base: 1
    tiers: [rebuild, briefing, note]
    organisations:
      - {name: festin, weight: 4, token_sha256: ["9f86..."]}
    routes:
      - {name: rebuild, pool: planners, tier: rebuild,
         repeat: at-most-once, deadline_ms: 60000}
    pools:
      - name: planners
        runners:
          - {name: p1, kind: engine, address: 10.0.0.9:9000,
             generation: g2, domain: d1, slots: 8}
"""

import collections.abc
import enum
import hashlib
import typing as ty

import expression
import pydantic

from apricotlanding import addresses
from apricotlanding import ids
from apricotlanding import yamlfiles

__all__ = [
    'Bundle',
    'BundleModel',
    'Limits',
    'OrganisationModel',
    'Ownership',
    'PoolModel',
    'Repeat',
    'RouteModel',
    'RunnerKind',
    'RunnerModel',
    'check_bundle',
    'hash_token',
]

_Name = ty.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[a-z0-9][a-z0-9_.-]{0,62}$')
]
_Digest = ty.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')
]
_Positive = ty.Annotated[int, pydantic.Field(gt=0)]
_Seconds = ty.Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, strict=True
    )


def _read_enum(kind: type[enum.Enum]) -> pydantic.BeforeValidator:
    # YAML has no enums, and strict mode does not convert values to them.
    def read(value: ty.Any) -> ty.Any:
        for member in kind:
            if member.value == value:
                return member
        known = ', '.join(str(member.value) for member in kind)
        raise ValueError(f'one of {known} is expected')

    return pydantic.BeforeValidator(read)


class Repeat(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'


class RunnerKind(enum.Enum):
    """Type of backend server at the address of a runner."""

    # A model engine that streams tokens.
    ENGINE = 'engine'
    # A plain HTTP service.
    SERVICE = 'service'


@ty.final
class Limits(_Model):
    """Limits on the requests of callers."""

    body_bytes: _Positive = 1_048_576
    headers: _Positive = 64
    deadline_ms: _Positive = 3_600_000
    # Retention period of idempotency keys, in seconds.
    claim_window_s: _Seconds = 3600.0
    # Largest clock error of an entry host, in seconds.
    clock_skew_s: _Seconds = 0.25
    # How far a caller's clock may be ahead of a daemon's, in seconds. Its keys
    # are granted once the daemon's clock has reached their issue time.
    key_ahead_s: _Seconds = 3.0


@ty.final
class Ownership(_Model):
    """Timing of shard ownership; see docs/design/ownership.md."""

    claim_shards: ty.Annotated[int, pydantic.Field(gt=0, le=256)] = 8
    # How long a promise lasts.
    lease_s: _Seconds = 1.0
    # Silence after which a successor takes over; longer than the lease.
    takeover_after_s: _Seconds = 2.0
    # How long owner and successor may continue without the log.
    outage_limit_s: _Seconds = 300.0

    @pydantic.model_validator(mode='after')
    def _check_order(self) -> 'Ownership':
        if self.takeover_after_s < 1.25 * self.lease_s:
            raise ValueError(
                'takeover_after_s must be at least 1.25 times lease_s'
            )
        if self.outage_limit_s < self.takeover_after_s:
            raise ValueError(
                'outage_limit_s must not be below takeover_after_s'
            )
        return self


@ty.final
class OrganisationModel(_Model):
    """A customer."""

    name: _Name
    # Weight within a tier, relative to the other organisations.
    weight: ty.Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    # Highest tier of its requests; the tier of the route if not given.
    tier: str | None = None
    # SHA-256 of each valid token, in hex; two during a token rotation.
    token_sha256: ty.Annotated[list[_Digest], pydantic.Field(min_length=1)]
    # Routes that it may use; all routes if not given.
    routes: list[str] | None = None


@ty.final
class RouteModel(_Model):
    """A route that callers post requests to."""

    name: _Name
    pool: str
    tier: str
    repeat: ty.Annotated[Repeat, _read_enum(Repeat)]
    # Deadline of requests that do not set one.
    deadline_ms: _Positive
    # Output token limit of requests that do not set one.
    max_tokens: _Positive = 256


@ty.final
class RunnerModel(_Model):
    """One backend server."""

    name: _Name
    kind: ty.Annotated[RunnerKind, _read_enum(RunnerKind)]
    address: addresses.AddressField
    generation: _Name
    domain: _Name
    # Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool = False
    # Model, adapter or version that the engine is ordered to load; no order
    # is sent if not given.
    load: str | None = None
    # Role that the engine is ordered to take, such as prefill or decode.
    role: str | None = None
    # Limit on concurrent requests.
    slots: _Positive = 8
    # Limit on the tokens in a batch, prompt and output.
    batch_tokens: _Positive = 65_536


@ty.final
class PoolModel(_Model):
    """Interchangeable runners."""

    name: _Name
    # Placement policy; see docs/design/scheduling.md.
    policy: str = 'prefix-aware'
    # Limit on queued requests in the whole pool.
    queue_requests: _Positive = 1000
    # Limit on the tokens of queued requests in the whole pool.
    queue_tokens: _Positive = 10_000_000
    # Most tokens of a short request, prompt and output.
    short_tokens: _Positive = 256
    # Share of the pool's slots that is reserved for short requests.
    short_part: ty.Annotated[float, pydantic.Field(ge=0, le=0.5)] = 0.125
    runners: ty.Annotated[list[RunnerModel], pydantic.Field(min_length=1)]


@ty.final
class BundleModel(_Model):
    """Content of a bundle file."""

    version: _Positive
    # The version that this one replaces; 0 for the first.
    base: ty.Annotated[int, pydantic.Field(ge=0)]
    limits: Limits = Limits()
    ownership: Ownership = Ownership()
    # Most important first.
    tiers: ty.Annotated[list[_Name], pydantic.Field(min_length=1)]
    organisations: ty.Annotated[
        list[OrganisationModel], pydantic.Field(min_length=1)
    ]
    routes: ty.Annotated[list[RouteModel], pydantic.Field(min_length=1)]
    pools: ty.Annotated[list[PoolModel], pydantic.Field(min_length=1)]


@ty.final
class Bundle:
    """A checked bundle with lookup tables."""

    def __init__(self, model: BundleModel) -> None:
        """Build the lookup tables of a checked model."""
        self.model = model
        self.version = ids.Version(model.version)
        self.limits = model.limits
        self.ownership = model.ownership
        self.tiers = {
            name: ids.Tier(rank) for rank, name in enumerate(model.tiers)
        }
        self.organisations = {
            ids.Organisation(item.name): item for item in model.organisations
        }
        self.routes = {ids.Route(item.name): item for item in model.routes}
        self.pools = {ids.Pool(item.name): item for item in model.pools}
        self._tokens = {
            digest: ids.Organisation(item.name)
            for item in model.organisations
            for digest in item.token_sha256
        }

    def find_organisation(self, token: str) -> ids.Organisation | None:
        """Return the organisation of a token; None if it is unknown."""
        return self._tokens.get(hash_token(token))

    def find_tier(
        self, organisation: ids.Organisation, route: RouteModel
    ) -> ids.Tier:
        """Return the lower tier of the route and the organisation."""
        rank = self.tiers[route.tier]
        best = self.organisations[organisation].tier
        if best is None:
            return rank
        return max(rank, self.tiers[best])

    def get_tier_name(self, tier: ids.Tier) -> str:
        """Return the name of a tier, for metrics and reports."""
        return self.model.tiers[tier]


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token, in hex, as stored in bundles."""
    return hashlib.sha256(token.encode()).hexdigest()


def check_bundle(
    text: bytes | str, policies: collections.abc.Collection[str]
) -> expression.Result[Bundle, list[yamlfiles.Finding]]:
    """Check a text; return the bundle or all errors, in line order.

    ``policies`` are the names of the available placement policies.
    """
    loaded = yamlfiles.load_model(text, BundleModel)
    if loaded.is_error():
        return expression.Error(loaded.error)
    model, lines = loaded.ok
    checker = _Checker(model, lines, policies)
    checker.check_all()
    if checker.findings:
        return expression.Error(sorted(checker.findings))
    return expression.Ok(Bundle(model))


@ty.final
class _Checker:
    """Checks a well-formed file for inconsistencies."""

    def __init__(
        self,
        model: BundleModel,
        lines: yamlfiles.LineMap,
        policies: collections.abc.Collection[str],
    ) -> None:
        self.model = model
        self.lines = lines
        self.policies = policies
        self.findings: list[yamlfiles.Finding] = []

    def check_all(self) -> None:
        model = self.model
        if model.version <= model.base:
            self._add(
                ('version',),
                f'{model.version} is not above base {model.base}',
                'count the version up',
            )
        self._check_duplicates(('tiers',), model.tiers)
        for section in ('organisations', 'routes', 'pools'):
            names = [item.name for item in getattr(model, section)]
            self._check_duplicates((section,), names, 'name')
        self._check_organisations()
        self._check_routes()
        self._check_pools()

    def _check_organisations(self) -> None:
        routes = {route.name for route in self.model.routes}
        owners: dict[str, str] = {}
        for index, item in enumerate(self.model.organisations):
            location: yamlfiles.Location = ('organisations', index)
            if item.tier is not None:
                self._check_known(
                    (*location, 'tier'), item.tier, self.model.tiers
                )
            for number, route in enumerate(item.routes or []):
                self._check_known((*location, 'routes', number), route, routes)
            for number, digest in enumerate(item.token_sha256):
                owner = owners.setdefault(digest, item.name)
                if owner == item.name:
                    continue
                self._add(
                    (*location, 'token_sha256', number),
                    f'this token is also that of {owner}',
                    'give each organisation its own token',
                )

    def _check_routes(self) -> None:
        pools = {pool.name for pool in self.model.pools}
        limit = self.model.limits.deadline_ms
        for index, route in enumerate(self.model.routes):
            location = ('routes', index)
            self._check_known((*location, 'pool'), route.pool, pools)
            self._check_known(
                (*location, 'tier'), route.tier, self.model.tiers
            )
            if route.deadline_ms > limit:
                self._add(
                    (*location, 'deadline_ms'),
                    f'above limits.deadline_ms, {limit}',
                    'lower it or raise the limit',
                )

    def _check_pools(self) -> None:
        runners: set[str] = set()
        for index, pool in enumerate(self.model.pools):
            location = ('pools', index)
            self._check_known(
                (*location, 'policy'), pool.policy, self.policies
            )
            kinds = {runner.kind for runner in pool.runners}
            if len(kinds) > 1:
                self._add(
                    (*location, 'runners'),
                    'engines and services in one pool',
                    'make a pool for each kind',
                )
            for number, runner in enumerate(pool.runners):
                if runner.name in runners:
                    self._add(
                        (*location, 'runners', number, 'name'),
                        f'{runner.name!r} stands twice',
                        'give each runner its own name',
                    )
                runners.add(runner.name)

    def _check_duplicates(
        self,
        location: yamlfiles.Location,
        names: list[str],
        *suffix: str,
    ) -> None:
        seen: set[str] = set()
        for index, name in enumerate(names):
            if name not in seen:
                seen.add(name)
                continue
            self._add(
                (*location, index, *suffix),
                f'{name!r} stands twice',
                'give each its own name',
            )

    def _check_known(
        self,
        location: yamlfiles.Location,
        name: str,
        known: collections.abc.Collection[str],
    ) -> None:
        if name in known:
            return
        self._add(
            location,
            f'{name!r} is not defined',
            f'use one of: {", ".join(sorted(known))}',
        )

    def _add(
        self, location: yamlfiles.Location, text: str, remedy: str
    ) -> None:
        self.findings.append(self.lines.make_finding(location, text, remedy))
