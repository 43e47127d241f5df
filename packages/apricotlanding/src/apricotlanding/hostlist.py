"""Client of the platform's list of live and leaving hosts.

The list is eventually consistent: a listed host may be dead and a missing one
may be live. It is used to find peers and to stop sending requests to hosts
that are leaving; no safety property depends on it.
"""

import dataclasses
import enum
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlanding import webclient

__all__ = ['HostEntry', 'HostList', 'HostListUnreachable', 'HostState']


class HostState(enum.Enum):
    """State of a host according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@ty.final
class HostListUnreachable(Exception):
    """The list could not be read; the last one read remains valid."""


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """One host on the list."""

    # Name of an entry host, or of a runner.
    name: str
    state: HostState
    domain: ids.Domain
    # Where its daemon listens for peers; None for backend hosts.
    peers: addresses.Address | None


@ty.final
class HostList:
    """Client of the list at one address."""

    def __init__(self, address: addresses.Address) -> None:
        """Create a client; connections are opened on demand."""
        self._client = webclient.WebClient(address, max_connections=2)

    async def read(self) -> list[HostEntry]:
        """Fetch the list; raises HostListUnreachable."""
        try:
            status, reply = await self._client.call_json(
                'GET', '/hosts', read_timeout=2.0
            )
        except webclient.WebError as error:
            raise HostListUnreachable(str(error)) from error
        if status != 200:
            raise HostListUnreachable(f'status {status}')
        try:
            return [_parse_entry(item) for item in reply['hosts']]
        except (KeyError, TypeError, ValueError) as error:
            raise HostListUnreachable(f'bad answer: {error!r}') from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def _parse_entry(item: ty.Any) -> HostEntry:
    peers = item.get('peers')
    return HostEntry(
        name=str(item['name']),
        state=HostState(item['state']),
        domain=ids.Domain(str(item['domain'])),
        peers=None if peers is None else addresses.parse_address(peers),
    )
