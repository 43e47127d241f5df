"""Client of the platform's append-only log.

The log service uses HTTP: ``POST /append`` takes the bytes of one record and
returns its offset; ``GET /records?from=N&wait_ms=M`` returns the records from
an offset on and is a long poll if there are none.

An append whose reply is lost may take effect immediately or later. This
module only reports the unknown result (``LogDoubt``); ``logfollower`` in the
daemon resolves it.
"""

import base64
import dataclasses
import typing as ty

import pydantic

from apricotlanding import addresses
from apricotlanding import ids
from apricotlanding import plainjson
from apricotlanding import webclient

__all__ = ['LogBatch', 'LogDoubt', 'LogUnreachable', 'PlatformLog']

APPEND_TIMEOUT_S = 2.0
# Long-poll timeout of the service when there are no records.
POLL_WAIT_MS = 1000
_READ_TIMEOUT_S = 5.0


@ty.final
class LogUnreachable(Exception):
    """The log could not be read, or the append has not taken effect."""


@ty.final
class LogDoubt(Exception):
    """An append may have taken effect or may take effect later."""


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class LogBatch:
    """Consecutive records."""

    # Oldest offset that the log retains.
    first: ids.Offset
    # Offset after the last record of the batch.
    next: ids.Offset
    # True if the batch reached the end of the log when it was read.
    is_end: bool
    records: list[tuple[ids.Offset, bytes]]


@ty.final
class PlatformLog:
    """Client of the log at one address."""

    def __init__(self, address: addresses.Address) -> None:
        """Create a client; connections are opened on demand."""
        self._client = webclient.WebClient(address, max_connections=8)

    async def append(self, data: bytes) -> None:
        """Append a record; returns once the service has confirmed it.

        Raises LogUnreachable if nothing was sent, and LogDoubt for any other
        failure.
        """
        try:
            status, _ = await self._client.call(
                'POST', '/append', body=data, read_timeout=APPEND_TIMEOUT_S
            )
        except webclient.NotSent as error:
            raise LogUnreachable(str(error)) from error
        except webclient.WebError as error:
            raise LogDoubt(str(error)) from error
        if status != 200:
            raise LogDoubt(f'status {status}')

    async def read(self, start: ids.Offset) -> LogBatch:
        """Return records from ``start`` on; raises LogUnreachable.

        Records dropped by retention are skipped; ``first`` is then greater
        than ``start``.
        """
        path = f'/records?from={start}&wait_ms={POLL_WAIT_MS}'
        try:
            status, reply = await self._client.call_json(
                'GET', path, read_timeout=_READ_TIMEOUT_S
            )
        except webclient.WebError as error:
            raise LogUnreachable(str(error)) from error
        if status != 200:
            raise LogUnreachable(f'status {status}')
        try:
            return _parse_batch(reply)
        except ValueError as error:
            # Not read past: a record that others can read would be missing
            # here, and all readers must decide alike.
            raise LogUnreachable(f'bad answer: {error}') from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    offset: plainjson.Position
    data: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    records: list[_Record]
    first: plainjson.Position
    next: plainjson.Position
    is_end: bool


_pages: ty.Final = pydantic.TypeAdapter(_Page)


def _parse_batch(reply: ty.Any) -> LogBatch:
    page = _pages.validate_python(reply)
    return LogBatch(
        first=ids.Offset(page.first),
        next=ids.Offset(page.next),
        is_end=page.is_end,
        records=[
            (
                ids.Offset(item.offset),
                base64.b64decode(item.data, validate=True),
            )
            for item in page.records
        ],
    )
