"""Start of a connection between two hosts: choice of a key, and its proof."""

import typing as ty

import anyio

from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import handshake
from apricotlanding import ids
from apricotlandingd.gateway.relays import relayframes
from apricotlandingd.gateway.relays import relaykeys

__all__ = [
    'Identity',
    'accept_host',
    'check_frame',
    'dial_host',
    'receive_frame',
]

# Time for the whole start, seconds.
START_TIMEOUT_S = 1.0

_Frame = ty.TypeVar('_Frame')


@ty.final
class Identity:
    """This host, as it introduces itself, and the keys that it has."""

    def __init__(
        self,
        host: ids.Host,
        incarnation: ids.Incarnation,
        domain: ids.Domain,
        keys: relaykeys.RelayKeys,
    ) -> None:
        """Introduce a process of a host."""
        self.host = host
        self.domain = domain
        self.keys = keys
        self._incarnation = incarnation

    def greet(self) -> handshake.Greeting:
        """Return a greeting with a fresh nonce."""
        return handshake.make_greeting(
            self.host, self._incarnation, self.domain
        )


async def dial_host(
    link: frames.FrameStream, identity: Identity
) -> handshake.Greeting:
    """Start a connection as its dialer; return the other host's greeting.

    Raises Refused, TimeoutError or ``frames.CONNECTION_ERRORS``.
    """
    with anyio.fail_after(START_TIMEOUT_S):
        offer = relayframes.KeyOffer(identity.keys.list_ids())
        await link.send(relayframes.registry.pack(offer))
        choice = await receive_frame(link, relayframes.KeyChoice)
        key = None if choice.id is None else identity.keys.find(choice.id)
        if key is None:
            raise _make_error('there is no common configuration')
        return await handshake.greet_acceptor(link, identity.greet(), key)


async def accept_host(
    link: frames.FrameStream, identity: Identity
) -> handshake.Greeting:
    """Start a connection as its acceptor; return the dialer's greeting.

    Raises Refused, TimeoutError or ``frames.CONNECTION_ERRORS``.
    """
    with anyio.fail_after(START_TIMEOUT_S):
        offer = await receive_frame(link, relayframes.KeyOffer)
        key_id = identity.keys.choose(offer.ids)
        choice = relayframes.KeyChoice(key_id)
        await link.send(relayframes.registry.pack(choice))
        key = None if key_id is None else identity.keys.find(key_id)
        if key is None:
            raise _make_error('there is no common configuration')
        return await handshake.greet_dialer(link, identity.greet(), key)


async def receive_frame(
    link: frames.FrameStream, frame_type: type[_Frame]
) -> _Frame:
    """Receive a frame of one type; raises Refused for any other."""
    return check_frame(
        relayframes.registry.unpack(await link.receive()), frame_type
    )


def check_frame(frame: object, frame_type: type[_Frame]) -> _Frame:
    """Return a frame of one type; raises Refused for any other."""
    if not isinstance(frame, frame_type):
        raise codec.make_frame_error(
            f'{type(frame).__name__} instead of {frame_type.__name__}'
        )
    return frame


def _make_error(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.make_problem(errors.Kind.BAD_PEER, detail=detail)
    )
