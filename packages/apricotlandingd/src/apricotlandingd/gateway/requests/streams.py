"""Events of a streamed answer.

A stream may break off in the middle of an event. Only complete events are
forwarded, so that a stream that is resumed at another runner continues exactly
after the last event that the caller has.
"""

import typing as ty

__all__ = ['EventReader', 'OutOfOrder']

_SEPARATORS = (b'\n\n', b'\r\n\r\n')
# A stream without separators between events would otherwise be buffered until
# the host is killed for its memory use, with all its requests. An event is
# some tokens, a few hundred bytes.
MAX_EVENT_BYTES: ty.Final = 256 * 1024
# Longest id of an event, in characters. The id is sent to the next runner in
# a header.
MAX_ID_LENGTH: ty.Final = 255
# Most digits of an id that is compared as a number. Ids count up from one, so
# no stream comes near it.
MAX_ID_DIGITS: ty.Final = 18


class OutOfOrder(Exception):
    """What arrived is not the next event; another runner may have it."""


@ty.final
class EventReader:
    """Splits a stream into complete events and tracks their ids."""

    def __init__(self, last_event: str) -> None:
        """Start after an event; '' for the beginning of a stream."""
        self.last_event = last_event
        # Complete events so far.
        self.count = 0
        self._partial = b''

    def drop_partial(self) -> None:
        """Drop an incomplete event: a resumed stream begins a new one."""
        self._partial = b''

    def has_partial(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def count_partial(self) -> int:
        """Return the bytes of the incomplete event."""
        return len(self._partial)

    def take(self, data: bytes) -> bytes:
        """Add data and return the complete events; raises OutOfOrder."""
        data = self._partial + data
        end = max(
            data.rfind(mark) + len(mark) if mark in data else 0
            for mark in _SEPARATORS
        )
        complete, partial = data[:end], data[end:]
        if len(partial) > MAX_EVENT_BYTES:
            raise OutOfOrder(f'an event of more than {MAX_EVENT_BYTES} bytes')
        # No state changes before all events have been checked. If one is
        # rejected, none of them is forwarded, so the id to resume after must
        # not advance either: the caller would miss the events before it.
        last, count = self.last_event, self.count
        for line in complete.splitlines():
            if line[:3].lower() == b'id:':
                last = _check_next_id(last, line[3:].strip())
                count += 1
        self.last_event, self.count, self._partial = last, count, partial
        return complete


def _check_next_id(last: str, data: bytes) -> str:
    event = data.decode('latin-1')
    if len(event) > MAX_ID_LENGTH or not event.isprintable():
        raise OutOfOrder(
            f'event id {event[:MAX_ID_DIGITS]!r} cannot be asked for'
        )
    if not last.isdecimal() or not event.isdecimal():
        return event
    if len(event) > MAX_ID_DIGITS:
        raise OutOfOrder(f'event id of {len(event)} digits')
    # Ids count up from one. A gap or a repeat means that the runner resumed
    # after another event than was requested.
    if len(last) <= MAX_ID_DIGITS and int(event) <= int(last):
        raise OutOfOrder(f'event {event} after {last}')
    return event
