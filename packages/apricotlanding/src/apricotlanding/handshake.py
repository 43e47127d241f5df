"""Mutual authentication of two peers with a shared key.

Both send a greeting with a nonce, then a proof: HMAC-SHA256 over the role of
its sender and both greetings. No other message is read before the proof has
been verified. The role prevents reflection of a proof to its sender; the
nonces prevent replay.

Known limitation: the frames after the handshake are neither encrypted nor
authenticated individually. The network of the entry hosts must be trusted
with the metadata of requests (docs/design/peers.md).
"""

import dataclasses
import hashlib
import hmac
import secrets
import typing as ty

import anyio

from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import ids

__all__ = ['Greeting', 'greet_acceptor', 'greet_dialer']

# Incremented with each change that older daemons would misinterpret.
PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 3.0

_DIALER = b'dialer'
_ACCEPTOR = b'acceptor'
_registry = codec.Registry('greeting')


@_registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """Identifies a peer."""

    protocol: int
    host: ids.Host
    incarnation: ids.Incarnation
    domain: ids.Domain
    nonce: bytes


@_registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Proves that the sender of a greeting has the shared key."""

    digest: bytes


def make_greeting(
    host: ids.Host, incarnation: ids.Incarnation, domain: ids.Domain
) -> Greeting:
    """Return a greeting with a fresh nonce."""
    return Greeting(
        PROTOCOL_VERSION, host, incarnation, domain, secrets.token_bytes(16)
    )


async def greet_acceptor(
    stream: frames.FrameStream, mine: Greeting, key: bytes
) -> Greeting:
    """Run the handshake as dialer; return the greeting of the acceptor.

    Raises Refused (BAD_PEER or BAD_FRAME) or TimeoutError.
    """
    return await _greet(stream, mine, key, _DIALER, _ACCEPTOR)


async def greet_dialer(
    stream: frames.FrameStream, mine: Greeting, key: bytes
) -> Greeting:
    """Run the handshake as acceptor; return the greeting of the dialer.

    Raises Refused (BAD_PEER or BAD_FRAME) or TimeoutError.
    """
    return await _greet(stream, mine, key, _ACCEPTOR, _DIALER)


async def _greet(
    stream: frames.FrameStream,
    mine: Greeting,
    key: bytes,
    my_role: bytes,
    their_role: bytes,
) -> Greeting:
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        await stream.send(_registry.pack(mine))
        theirs = _registry.unpack(await stream.receive())
        if not isinstance(theirs, Greeting):
            raise _make_peer_error('no greeting')
        if theirs.protocol != PROTOCOL_VERSION:
            raise _make_peer_error(f'it speaks protocol {theirs.protocol}')
        digest = _make_digest(key, my_role, mine, theirs)
        await stream.send(_registry.pack(Proof(digest)))
        proof = _registry.unpack(await stream.receive())
        if not isinstance(proof, Proof):
            raise _make_peer_error('no proof')
        expected = _make_digest(key, their_role, theirs, mine)
        if not hmac.compare_digest(proof.digest, expected):
            raise _make_peer_error('the proof does not match')
    stream.limit_bytes = frames.FRAME_LIMIT_BYTES
    return theirs


def _make_digest(
    key: bytes, role: bytes, sender: Greeting, receiver: Greeting
) -> bytes:
    signed = b'\0'.join(
        [role, _registry.encode(sender), _registry.encode(receiver)]
    )
    return hmac.new(key, signed, hashlib.sha256).digest()


def _make_peer_error(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.make_problem(errors.Kind.BAD_PEER, detail=detail)
    )
