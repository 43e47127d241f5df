"""Checks an HTTP request and makes it a request that can be scheduled.

All input errors of callers are detected here, before the request uses any
resource outside this daemon. Each is answered with an error that names the
remedy.
"""

import collections.abc
import dataclasses
import hashlib
import secrets
import typing as ty
import uuid

import expression
import xxhash

from apricotlanding import bundle
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import plainjson
from apricotlandingd.pools import runnerstate

__all__ = ['Head', 'Request', 'check_body', 'check_headers', 'hash_prefix']

DEADLINE_HEADER = 'apricot-deadline-ms'
KEY_HEADER = 'idempotency-key'
# Blocks of a prompt that are hashed; more add no information for routing.
_MAX_PREFIX_BLOCKS = 256
_BEARER = 'bearer '

Headers = collections.abc.Mapping[str, str]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The checked headers of a request."""

    organisation: ids.Organisation
    route: bundle.RouteModel
    tier: ids.Tier
    tier_name: str
    weight: float
    key: ids.Key
    deadline_s: float
    claim_shards: int
    body_limit: int


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A checked request that can be scheduled."""

    head: Head
    kind: bundle.RunnerKind
    # Forwarded unchanged to a plain service; empty for an engine, which gets
    # the prompt.
    body: bytes
    # SHA-256 of route and body: a key may be used with one of each only.
    digest: bytes
    prompt: str
    prompt_tokens: int
    max_tokens: int
    prefix: list[int]

    @property
    def is_at_most_once(self) -> bool:
        """Tell whether the request must not run twice."""
        return self.head.route.repeat is bundle.Repeat.AT_MOST_ONCE

    def count_bytes(self) -> int:
        """Return the bytes of its content."""
        return len(self.body) + len(self.prompt)

    @property
    def shard(self) -> ids.Shard:
        """Return the claims shard of its key."""
        head = self.head
        return find_shard(head.organisation, head.key, head.claim_shards)


def find_shard(
    organisation: ids.Organisation, key: ids.Key, claim_shards: int
) -> ids.Shard:
    """Return the claims shard of a key."""
    digest = xxhash.xxh3_64_intdigest(f'{organisation}\0{key}'.encode())
    return ids.Shard(f'claims/{digest % claim_shards}')


def check_headers(
    config: bundle.Bundle, route_name: str, headers: Headers, count: int
) -> expression.Result[Head, errors.Problem]:
    """Check everything except the body; ``count`` is the number of headers."""
    if count > config.limits.headers:
        return _fail(
            errors.Kind.HEADERS_TOO_LARGE, limit=config.limits.headers
        )
    organisation = _find_organisation(config, headers)
    if organisation is None:
        # The same error for a missing, a malformed and a wrong token, so
        # that unauthenticated callers cannot find out which organisations
        # exist.
        return _fail(errors.Kind.BAD_CREDENTIALS)
    model = config.organisations[organisation]
    route = config.routes.get(ids.Route(route_name))
    if route is None or (
        model.routes is not None and route.name not in model.routes
    ):
        return _fail(errors.Kind.UNKNOWN_ROUTE, route=route_name[:64])
    key = _read_key(route, headers)
    if key is None:
        return _fail(errors.Kind.BAD_KEY)
    deadline_ms = _read_deadline(config, route, headers)
    if deadline_ms is None:
        return _fail(errors.Kind.BAD_DEADLINE, limit=config.limits.deadline_ms)
    tier = config.find_tier(organisation, route)
    return expression.Ok(
        Head(
            organisation=organisation,
            route=route,
            tier=tier,
            tier_name=config.get_tier_name(tier),
            weight=model.weight,
            key=key,
            deadline_s=deadline_ms / 1000.0,
            claim_shards=config.ownership.claim_shards,
            body_limit=config.limits.body_bytes,
        )
    )


def check_body(
    config: bundle.Bundle, head: Head, body: bytes
) -> expression.Result[Request, errors.Problem]:
    """Check the body against the format that the route's runners accept."""
    pool = config.pools[ids.Pool(head.route.pool)]
    kind = pool.runners[0].kind
    digest = hashlib.sha256(head.route.name.encode() + b'\0' + body).digest()
    if kind is bundle.RunnerKind.SERVICE:
        return expression.Ok(Request(head, kind, body, digest, '', 0, 1, []))
    try:
        value = plainjson.parse(body)
    except ValueError:
        return _fail(errors.Kind.BAD_BODY, detail='not JSON')
    mistake = _describe_bad_body(value)
    if mistake is not None:
        return _fail(errors.Kind.BAD_BODY, detail=mistake)
    prompt = value['prompt']
    words = prompt.split()
    return expression.Ok(
        Request(
            head=head,
            kind=kind,
            body=b'',
            digest=digest,
            prompt=prompt,
            prompt_tokens=len(words),
            max_tokens=value.get('max_tokens', head.route.max_tokens),
            prefix=hash_prefix(words),
        )
    )


def hash_prefix(words: list[str]) -> list[int]:
    """Return the hash chain over the full blocks of a prompt.

    Each hash covers its block and all preceding blocks. Engines identify
    the blocks of their prefix cache in their events in the same way.
    """
    chain: list[int] = []
    hasher = xxhash.xxh3_64()
    size = runnerstate.BLOCK_TOKENS
    for start in range(0, len(words) - size + 1, size):
        if len(chain) == _MAX_PREFIX_BLOCKS:
            break
        hasher.update('\0'.join(words[start : start + size]).encode())
        # 63 bits fit the integers of every codec in use.
        chain.append(hasher.intdigest() >> 1)
    return chain


def _find_organisation(
    config: bundle.Bundle, headers: Headers
) -> ids.Organisation | None:
    value = headers.get('authorization', '')
    if not value.lower().startswith(_BEARER):
        return None
    return config.find_organisation(value[len(_BEARER) :].strip())


def _read_key(route: bundle.RouteModel, headers: Headers) -> ids.Key | None:
    text = headers.get(KEY_HEADER)
    if text is None:
        if route.repeat is bundle.Repeat.AT_MOST_ONCE:
            return None
        # Only idempotent requests may omit the key. They get a random one,
        # which no retry can present.
        return ids.Key(str(uuid.UUID(bytes=secrets.token_bytes(16))))
    try:
        return ids.Key(str(uuid.UUID(text.strip().strip('"'))))
    except ValueError:
        return None


def _read_deadline(
    config: bundle.Bundle, route: bundle.RouteModel, headers: Headers
) -> int | None:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return route.deadline_ms
    if not text.isascii() or not text.isdecimal() or len(text) > 12:
        return None
    value = int(text)
    if not 1 <= value <= config.limits.deadline_ms:
        return None
    return value


def _describe_bad_body(value: ty.Any) -> str | None:
    if not isinstance(value, dict):
        return 'not an object'
    unknown = set(value) - {'prompt', 'max_tokens'}
    if unknown:
        return f'unknown field {min(unknown)!r}'
    prompt = value.get('prompt')
    if not isinstance(prompt, str) or not prompt.split():
        return '"prompt" must be a text that is not empty'
    token_limit = value.get('max_tokens', 1)
    if type(token_limit) is not int or token_limit < 1:
        return '"max_tokens" must be a whole number above 0'
    return None


def _fail(
    kind: errors.Kind, **fields: object
) -> expression.Result[ty.Any, errors.Problem]:
    return expression.Error(errors.make_problem(kind, None, **fields))
