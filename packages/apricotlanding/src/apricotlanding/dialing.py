"""How connections to runners are made.

A value, so that a test can make the links of one host fail.
"""

import collections.abc

import anyio
import anyio.abc

from apricotlanding import addresses
from apricotlanding import sockets

__all__ = ['Dial', 'dial_address']

# Connects to an address; raises OSError. The caller limits the time.
Dial = collections.abc.Callable[
    [addresses.Address], collections.abc.Awaitable[anyio.abc.ByteStream]
]


async def dial_address(address: addresses.Address) -> anyio.abc.ByteStream:
    """Connect with TCP keepalive; raises OSError."""
    stream = await anyio.connect_tcp(address.host, address.port)
    sockets.enable_keepalive(
        stream.extra(anyio.abc.SocketAttribute.raw_socket)
    )
    return stream
