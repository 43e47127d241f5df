"""Origins of streams that this host knows.

Rows are kept for as long as callers may come back, and are bounded: a row is
made only for an event of a runner, so nobody can invent them.
"""

import collections
import hashlib
import typing as ty

from apricotlanding import ids

__all__ = [
    'MAX_RETENTION_S',
    'MAX_ROWS',
    'Origin',
    'OriginTable',
    'Row',
    'derive_stream',
]

# Longest time for which an origin is kept.
MAX_RETENTION_S: ty.Final = 600.0
# Most rows of one host; with more, the oldest ones are dropped.
MAX_ROWS: ty.Final = 16_384
KEY_BYTES: ty.Final = 8


class Origin(ty.NamedTuple):
    """The software that wrote the first event of a stream."""

    service: ids.Pool
    release: ids.Release


class Row(ty.NamedTuple):
    """A stream and its origin."""

    stream: ids.Stream
    origin: Origin
    # Until when the row is kept.
    ends_at: float


@ty.final
class OriginTable:
    """Origins by stream."""

    def __init__(self, max_rows: int = MAX_ROWS) -> None:
        """Start without streams."""
        self._max_rows = max_rows
        # The row that was noted last is the last one.
        self._rows: collections.OrderedDict[ids.Stream, Row] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def note(
        self,
        stream: ids.Stream,
        origin: Origin,
        retention_s: float,
        now: float,
    ) -> Row:
        """Keep the origin of a stream for some time; return its row."""
        ends_at = now + min(max(retention_s, 0.0), MAX_RETENTION_S)
        known = self._rows.get(stream)
        if known is not None and known.origin == origin:
            ends_at = max(ends_at, known.ends_at)
        row = Row(stream, origin, ends_at)
        self._rows[stream] = row
        self._rows.move_to_end(stream)
        if len(self._rows) > self._max_rows:
            self._rows.popitem(last=False)
        return row

    def find(self, stream: ids.Stream, now: float) -> Origin | None:
        """Return the origin of a stream; None if it is not known."""
        row = self.find_row(stream, now)
        return None if row is None else row.origin

    def find_row(self, stream: ids.Stream, now: float) -> Row | None:
        """Return the row of a stream; None if it is not known."""
        row = self._rows.get(stream)
        return None if row is None or now >= row.ends_at else row

    def list_rows(self, now: float) -> list[Row]:
        """Return the rows in force."""
        return [row for row in self._rows.values() if now < row.ends_at]

    def expire(self, now: float) -> None:
        """Drop the rows that are over."""
        for stream, row in list(self._rows.items()):
            if now >= row.ends_at:
                del self._rows[stream]


def derive_stream(
    organisation: ids.Organisation | None, attempt: str
) -> ids.Stream:
    """Return the stream that an organisation's attempt began.

    Another organisation that names the same attempt names another stream.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    owner = b'' if organisation is None else b'/' + organisation.encode()
    for part in (owner, attempt.encode('utf-8', 'surrogateescape')):
        digest.update(len(part).to_bytes(KEY_BYTES))
        digest.update(part)
    return ids.Stream(int.from_bytes(digest.digest()))
