"""Splits what a connection receives into requests, without I/O.

A ``Framer`` finds where heads, the content of bodies, and requests end. It
parses no further than the end of one request, so requests that were sent
ahead stay the bytes that they are. What carries no content (blank lines,
lines before chunks, trailers) is dropped, and bounded.
"""

import enum
import re
import typing as ty

from apricotlanding import refusals

__all__ = [
    'FRAMING_LIMIT_BYTES',
    'HEAD_LIMIT_BYTES',
    'LINE_LIMIT_BYTES',
    'TRAILER_LIMIT_BYTES',
    'Framer',
    'Violation',
    'count_headers',
    'find_length',
    'make_malformed',
]

# Limit on the size of the request line and headers.
HEAD_LIMIT_BYTES = 64 * 1024
# Most header fields of a head. Parsed, each takes several times its size.
MAX_FIELDS = 4096
# Most bytes of blank lines before a head.
BLANK_LIMIT_BYTES = 64
# Most bytes of all trailers of a body, and of the line before a chunk.
LINE_LIMIT_BYTES = TRAILER_LIMIT_BYTES = 16 * 1024
# Most bytes of a chunked body that are no content, unless the server sets
# another limit.
FRAMING_LIMIT_BYTES = 4 * 1024 * 1024
# Bytes without content that say nothing of the rest of a body.
FEW_BYTES = 4 * 1024

TRANSFER_CODING = b'transfer-encoding'
# Longer numbers are no lengths.
LENGTH = re.compile(rb'[0-9]{1,15}')
HEAD_END = b'\r\n\r\n'
LINE_END = b'\r\n'
# The line before a chunk: its size, and extensions that are ignored.
SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,12})(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?')

HeaderList = list[tuple[bytes, bytes]]


@ty.final
class Violation(Exception):
    """The bytes are no request, or exceed a limit."""

    def __init__(
        self,
        refusal: refusals.Refusal,
        text: str,
        status: int = 400,
        retry_after_s: int | None = None,
    ) -> None:
        """Keep what is answered: a status, and a text with the remedy."""
        super().__init__(text)
        self.refusal = refusal
        self.text = text
        self.status = status
        self.retry_after_s = retry_after_s


class _State(enum.Enum):
    HEAD = enum.auto()
    LENGTH = enum.auto()
    SIZE = enum.auto()
    CHUNK = enum.auto()
    CHUNK_END = enum.auto()
    TRAILERS = enum.auto()


@ty.final
class Framer:
    """The bytes of one connection that are not parsed yet."""

    __slots__ = (
        '_at',
        '_blank',
        '_content',
        '_data',
        '_framing',
        '_left',
        '_limit',
        '_searched',
        '_state',
        '_trailers',
    )

    def __init__(self) -> None:
        """Expect a head."""
        self._data = b''
        # What is before this position was taken.
        self._at = 0
        self._state = _State.HEAD
        # Bytes of the head that are known to have no end.
        self._searched = 0
        self._blank = 0
        # Bytes that are left of the content, or of the chunk.
        self._left = 0
        # Bytes of the body that were content, and that were not.
        self._content = 0
        self._framing = 0
        self._limit = FRAMING_LIMIT_BYTES
        self._trailers = 0

    @property
    def held(self) -> int:
        """Return the bytes that are not taken."""
        return len(self._data) - self._at

    @property
    def left(self) -> int:
        """Return the bytes that have to come of the content or the chunk."""
        return self._left

    def is_at_head(self) -> bool:
        """Tell whether a request ended, or none began."""
        return self._state is _State.HEAD

    def is_mostly_framing(self) -> bool:
        """Tell whether most of a body that has not ended was no content."""
        is_chunked = self._state not in (_State.HEAD, _State.LENGTH)
        return is_chunked and self._framing > self._content + FEW_BYTES

    def receive(self, data: bytes) -> None:
        """Hold bytes that arrived."""
        self._data = self._data[self._at :] + data if self.held else data
        self._at = 0

    def take_head(self) -> bytes | None:
        """Return the next complete head; raises Violation."""
        self._skip_blank_lines()
        end = self._data.find(HEAD_END, self._at + self._searched)
        size = (
            end + len(HEAD_END) if end >= 0 else len(self._data)
        ) - self._at
        if size > HEAD_LIMIT_BYTES:
            raise Violation(
                refusals.Refusal.HEAD_SIZE,
                'The request line and headers are longer than'
                f' {HEAD_LIMIT_BYTES} bytes; send only the headers that the'
                ' interface names.',
            )
        if end < 0:
            self._searched = max(0, size - len(HEAD_END) + 1)
            return None
        self._searched = self._blank = 0
        head = self._take(size)
        _check_lines(head)
        return head

    def begin_body(
        self, length: int | None, framing_limit: int = FRAMING_LIMIT_BYTES
    ) -> None:
        """Expect the content of a body; None if it comes in chunks.

        It may have ``framing_limit`` bytes that are no content then.
        """
        self._limit = framing_limit
        self._content = self._framing = self._trailers = 0
        if length is None:
            self._state = _State.SIZE
            return
        self._left = length
        self._state = _State.LENGTH if length else _State.HEAD

    def take_content(self) -> bytes:
        """Return what is held of a body's content; raises Violation.

        It may be complete then; see ``is_at_head``.
        """
        if self._state is _State.LENGTH:
            data = self._take_left()
            if not self._left:
                self._state = _State.HEAD
            return data
        parts: list[bytes] = []
        while self._step(parts):
            continue
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def _step(self, parts: list[bytes]) -> bool:
        # Takes the next part of a chunked body; False if it is not complete,
        # or the body is.
        if self._state is _State.CHUNK:
            data = self._take_left()
            self._content += len(data)
            parts.append(data)
            if not self._left:
                self._state = _State.CHUNK_END
            return bool(data)
        if self._state is _State.CHUNK_END:
            return self._end_chunk()
        if self._state is _State.HEAD:
            return False
        line = self._take_line()
        if line is None:
            return False
        if self._state is _State.SIZE:
            self._begin_chunk(line)
            return True
        return self._drop_trailer(line)

    def _end_chunk(self) -> bool:
        if self.held < len(LINE_END):
            return False
        if self._take(len(LINE_END)) != LINE_END:
            raise make_malformed('a chunk is longer than its size')
        self._count_framing(len(LINE_END))
        self._state = _State.SIZE
        return True

    def _begin_chunk(self, line: bytes) -> None:
        found = SIZE_LINE.fullmatch(line)
        if found is None:
            raise make_malformed('a chunk has no size')
        self._left = int(found[1], 16)
        self._state = _State.CHUNK if self._left else _State.TRAILERS

    def _drop_trailer(self, line: bytes) -> bool:
        self._trailers += len(line) + len(LINE_END)
        if self._trailers > TRAILER_LIMIT_BYTES:
            raise Violation(
                refusals.Refusal.TRAILERS,
                f'The trailers are longer than {TRAILER_LIMIT_BYTES} bytes;'
                ' send none.',
            )
        if line:
            return True
        self._state = _State.HEAD
        return False

    def _take_line(self) -> bytes | None:
        end = self._data.find(LINE_END, self._at)
        size = (end if end >= 0 else len(self._data)) - self._at
        if size > LINE_LIMIT_BYTES:
            raise Violation(
                refusals.Refusal.LINE_SIZE,
                'The line before a chunk, or a trailer, is longer than'
                f' {LINE_LIMIT_BYTES} bytes; send no extensions.',
            )
        if end < 0:
            return None
        line = self._take(size + len(LINE_END))
        self._count_framing(len(line))
        line = line[:-2]
        if b'\r' in line or b'\n' in line:
            raise make_malformed('a line does not end with CR and LF')
        return line

    def _count_framing(self, size: int) -> None:
        self._framing += size
        if self._framing > self._limit:
            raise Violation(
                refusals.Refusal.FRAMING,
                f'More than {self._limit} bytes of the body are no content;'
                ' send larger chunks.',
                status=413,
            )

    def _skip_blank_lines(self) -> None:
        while self._data.startswith(LINE_END, self._at):
            self._at += len(LINE_END)
            self._searched = 0
            self._blank += len(LINE_END)
            if self._blank > BLANK_LIMIT_BYTES:
                raise Violation(
                    refusals.Refusal.BLANK_LINES,
                    'Too many blank lines come before the request line.',
                )

    def _take_left(self) -> bytes:
        data = self._take(min(self._left, self.held))
        self._left -= len(data)
        return data

    def _take(self, size: int) -> bytes:
        if size == len(self._data):
            # Not copied.
            data, self._data = self._data, b''
            return data
        data = self._data[self._at : self._at + size]
        self._at += size
        if self._at == len(self._data):
            self._data, self._at = b'', 0
        return data


def find_length(headers: HeaderList) -> int | None:
    """Return the length of a body; None if it comes in chunks.

    The names of the headers are in lower case. Raises Violation.
    """
    codings = [value for name, value in headers if name == TRANSFER_CODING]
    lengths = [value for name, value in headers if name == b'content-length']
    if codings:
        if lengths:
            raise make_malformed('a body has a length and a transfer coding')
        if len(codings) > 1 or codings[0].lower() != b'chunked':
            raise Violation(
                refusals.Refusal.CODING,
                'Of the transfer codings only "chunked" is known; send the'
                ' body without others.',
                status=501,
            )
        return None
    if not lengths:
        return 0
    if len(lengths) > 1 or not LENGTH.fullmatch(lengths[0]):
        raise make_malformed('the length of a body is no number')
    return int(lengths[0])


def count_headers(head: bytes) -> int:
    """Return how many headers a complete head has."""
    # The others end the request line and the head.
    return head.count(b'\n') - 2


def _check_lines(head: bytes) -> None:
    ends = head.count(LINE_END)
    if head.count(b'\n') != ends or head.count(b'\r') != ends:
        raise make_malformed('a line does not end with CR and LF')
    if count_headers(head) > MAX_FIELDS:
        raise Violation(
            refusals.Refusal.HEAD_FIELDS,
            f'The head has more than {MAX_FIELDS} headers; send only those'
            ' that the interface names.',
            status=431,
        )


def make_malformed(reason: str) -> Violation:
    """Return the refusal of bytes that are no request."""
    return Violation(
        refusals.Refusal.MALFORMED, f'Invalid HTTP request received: {reason}.'
    )
