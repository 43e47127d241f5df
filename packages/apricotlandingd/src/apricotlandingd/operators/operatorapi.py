"""The HTTP API for operators, used by ``apricotctl``.

A client authenticates with a token whose SHA-256 is in the settings. Paths:

* ``GET /v1/status``: the state of this daemon, its shards, queues and peers.
* ``GET /v1/bundle``: the bundle in force.
* ``POST /v1/bundle``: submit a signed bundle; answers when its record has
  been read back from the log, or after a timeout that the result is unknown.
* ``GET /v1/explain?organisation=O&key=K``: the outcome of a request.
* ``POST /v1/drain?host=H``: stop a daemon gracefully.
"""

import collections.abc
import hmac
import typing as ty
import urllib.parse
import uuid

import anyio

from apricotlanding import asgi
from apricotlanding import bundle
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import submissions
from apricotlanding import wire
from apricotlandingd.configuration import bundlestore
from apricotlandingd.configuration import logfollower
from apricotlandingd.ownership import claims
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers
from apricotlandingd.requests import admission

__all__ = ['OperatorApi']

# Timeout of a submission for reading its record back from the log.
SUBMIT_TIMEOUT_S = 10.0
BUNDLE_LIMIT_BYTES = 16 * 1024 * 1024
_CALL_TIMEOUT_S = 2.0
# Longer than the maximum delay between two attempts to dial a host.
_CONNECT_TIMEOUT_S = 5.0

Query = dict[str, str]
Handler = collections.abc.Callable[
    ['OperatorApi', Query, bytes], collections.abc.Awaitable[ty.Any]
]

_handlers: dict[tuple[str, str], Handler] = {}


def _route(
    method: str, path: str
) -> collections.abc.Callable[[Handler], Handler]:
    def add_handler(handler: Handler) -> Handler:
        _handlers[method, path] = handler
        return handler

    return add_handler


@ty.final
class OperatorApi:
    """The ASGI application for operators."""

    def __init__(
        self,
        token_digests: list[str],
        store: bundlestore.BundleStore,
        follower: logfollower.LogFollower,
        claim_client: claims.ClaimClient,
        others: peers.Peers,
        describe: collections.abc.Callable[[], dict[str, ty.Any]],
        drain: collections.abc.Callable[[], None],
    ) -> None:
        """Create the application."""
        self._digests = token_digests
        self.store = store
        self.follower = follower
        self.claims = claim_client
        self.peers = others
        self.describe = describe
        self.drain = drain

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        try:
            self._check_token(asgi.read_headers(scope))
            handler = _handlers.get((scope['method'], scope['path']))
            if handler is None:
                raise _refuse(errors.Kind.NOT_FOUND, path=scope['path'])
            body = await asgi.read_body(receive, BUNDLE_LIMIT_BYTES)
            pairs = urllib.parse.parse_qsl(scope['query_string'].decode())
            value = await handler(self, dict(pairs), body)
        except errors.Refused as error:
            await asgi.send_problem(send, error.problem)
            return
        except asgi.BodyTooLarge:
            problem = errors.make_problem(
                errors.Kind.BODY_TOO_LARGE, limit=BUNDLE_LIMIT_BYTES
            )
            await asgi.send_problem(send, problem)
            return
        await asgi.send_json(send, 200, value)

    def _check_token(self, headers: dict[str, str]) -> None:
        value = headers.get('authorization', '')
        digest = bundle.hash_token(value.removeprefix('Bearer ').strip())
        for known in self._digests:
            if hmac.compare_digest(known, digest):
                return
        raise _refuse(errors.Kind.NOT_AN_OPERATOR)


@_route('GET', '/v1/status')
async def show_status(api: OperatorApi, query: Query, body: bytes) -> ty.Any:
    """Return the state of this daemon."""
    return api.describe()


@_route('GET', '/v1/bundle')
async def show_bundle(api: OperatorApi, query: Query, body: bytes) -> ty.Any:
    """Return the bundle in force."""
    record = api.store.record
    if record is None:
        raise _refuse(errors.Kind.NO_BUNDLE)
    return {
        'version': record.version,
        'base': record.base,
        'author': record.author,
        'approver': record.approver,
        'text': record.text.decode(),
    }


@_route('POST', '/v1/bundle')
async def submit_bundle(api: OperatorApi, query: Query, body: bytes) -> ty.Any:
    """Append a bundle to the log and return whether it is in force."""
    record = submissions.decode_submission(body)
    checked = api.store.check_record(record)
    if checked.is_error():
        raise errors.Refused(checked.error)
    conflict = api.store.describe_conflict(record)
    if conflict is not None and record != api.store.record:
        raise errors.Refused(conflict)
    with anyio.move_on_after(SUBMIT_TIMEOUT_S) as limit:
        await api.follower.append(record)
    if limit.cancelled_caught:
        raise _refuse(errors.Kind.BUNDLE_DOUBTFUL)
    if api.store.record == record:
        return {'version': record.version, 'in_force': True}
    if api.store.version >= record.version:
        current = api.store.record
        assert current is not None
        if current.base >= record.version:
            # The bundle was in force and has been replaced since.
            return {'version': record.version, 'in_force': False}
    lost = api.store.describe_conflict(record)
    if lost is not None:
        raise errors.Refused(lost)
    raise _refuse(
        errors.Kind.BUNDLE_REFUSED, detail='the log voided the record'
    )


@_route('GET', '/v1/explain')
async def explain_key(api: OperatorApi, query: Query, body: bytes) -> ty.Any:
    """Return the claim owner's state of a key."""
    config = api.store.bundle
    if config is None:
        raise _refuse(errors.Kind.NO_BUNDLE)
    try:
        key = ids.Key(str(uuid.UUID(query.get('key', ''))))
    except ValueError:
        raise _refuse(errors.Kind.BAD_KEY) from None
    organisation = ids.Organisation(query.get('organisation', ''))
    shards = config.ownership.claim_shards
    shard = admission.find_shard(organisation, key, shards)
    reply = await api.claims.query(wire.ClaimQuery(shard, organisation, key))
    if reply is None:
        raise _refuse(errors.Kind.NO_OWNER)
    return {
        'shard': shard,
        'epoch': reply.epoch,
        'state': _STATES[reply.verdict],
        'holder': reply.holder,
    }


@_route('POST', '/v1/drain')
async def drain_host(api: OperatorApi, query: Query, body: bytes) -> ty.Any:
    """Stop a daemon gracefully: this one or another."""
    host = ids.Host(query.get('host', str(api.peers.host)))
    if host == api.peers.host:
        api.drain()
        return {'draining': host}
    connection = await api.peers.connect(host, _CONNECT_TIMEOUT_S)
    if connection is None:
        raise _refuse(errors.Kind.PEER_UNREACHABLE, host=host)
    try:
        await connection.call(wire.Drain(), _CALL_TIMEOUT_S)
    except peerlink.PeerLost:
        raise _refuse(errors.Kind.PEER_LOST, host=host) from None
    return {'draining': host}


_STATES: ty.Final = {
    wire.ClaimVerdict.GRANTED: 'not run; the key is free',
    wire.ClaimVerdict.HELD: 'held: waits or runs at the holder',
    wire.ClaimVerdict.FINISHED: 'finished: ran to its end',
    wire.ClaimVerdict.UNKNOWN: 'unknown: may have run',
    wire.ClaimVerdict.NOT_OWNER: 'the owner of the shard is changing',
}


def _refuse(kind: errors.Kind, **fields: object) -> errors.Refused:
    return errors.Refused(errors.make_problem(kind, None, **fields))
