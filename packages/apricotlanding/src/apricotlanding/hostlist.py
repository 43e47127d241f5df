"""Client of the platform's list of live and leaving hosts.

The list is eventually consistent: a listed host may be dead and a missing one
may be live. It is used to find peers and to stop sending requests to hosts
that are leaving; no safety property depends on it. Each entry is written by
another program: one that cannot be read names no host, and the others hold.
"""

import dataclasses
import enum
import typing as ty

import eliot
import pydantic

from apricotlanding import addresses
from apricotlanding import ids
from apricotlanding import webclient

__all__ = ['HostEntry', 'HostList', 'HostListUnreachable', 'HostState']


# Limits of what is logged of entries that cannot be read.
MAX_ERROR_CHARS: ty.Final = 200
MAX_LOGGED: ty.Final = 5


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
        # Errors of the entries that could not be read last time.
        self._errors: list[str] = []

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
            items = _lists.validate_python(reply).hosts
        except pydantic.ValidationError as error:
            raise HostListUnreachable(f'bad answer: {error}') from error
        return self._read_entries(items)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    def _read_entries(self, items: list[ty.Any]) -> list[HostEntry]:
        found: list[HostEntry] = []
        mistakes: list[str] = []
        for index, item in enumerate(items):
            try:
                found.append(_parse_entry(item))
            except ValueError as error:
                mistakes.append(f'entry {index}: {error}'[:MAX_ERROR_CHARS])
        if mistakes and mistakes != self._errors:
            eliot.log_message(
                'hosts:unreadable', problems=mistakes[:MAX_LOGGED]
            )
        self._errors = mistakes
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class _List:
    hosts: list[ty.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    name: str
    state: HostState
    domain: str
    peers: addresses.AddressField | None = None


_lists: ty.Final = pydantic.TypeAdapter(_List)
_entries: ty.Final = pydantic.TypeAdapter(_Entry)


def _parse_entry(item: object) -> HostEntry:
    entry = _entries.validate_python(item)
    if entry.peers is not None and entry.peers.port == 0:
        raise ValueError('the port of a peer is 0; write one above')
    return HostEntry(
        name=entry.name,
        state=entry.state,
        domain=ids.Domain(entry.domain),
        peers=entry.peers,
    )
