"""Events of a streamed answer.

A stream may break off in the middle of an event. Only whole events are passed
on, so that a stream that goes on at another runner continues exactly after
the last one that the caller has.
"""

import typing as ty

__all__ = ['EventReader', 'OutOfOrder']

_SEPARATORS = (b'\n\n', b'\r\n\r\n')
# Longest event in bytes. A stream without a mark between events would else be
# kept until the host is killed for its memory, with all its requests. An event
# is some tokens, a few hundred bytes.
MAX_EVENT_BYTES: ty.Final = 256 * 1024
# Longest id of an event. It goes to the next runner in a header.
MAX_ID_LENGTH: ty.Final = 255
# Most digits of an id that is compared as a number; counting from one up, no
# stream comes near.
MAX_ID_DIGITS: ty.Final = 18


class OutOfOrder(Exception):
    """What came is not the next event; another runner may have it."""


@ty.final
class EventReader:
    """Cuts a stream into whole events and follows their ids."""

    def __init__(self, last_event: str) -> None:
        """Start after an event; '' for the beginning of a stream."""
        self.last_event = last_event
        # Whole events so far.
        self.count = 0
        self._partial = b''

    def drop_partial(self) -> None:
        """Forget half an event: a resumed stream begins with a whole one."""
        self._partial = b''

    def has_partial(self) -> bool:
        """Tell whether half an event is waiting for its rest."""
        return bool(self._partial.strip())

    def take(self, data: bytes) -> bytes:
        """Return the whole events that are in; raises OutOfOrder."""
        data = self._partial + data
        end = max(
            data.rfind(mark) + len(mark) if mark in data else 0
            for mark in _SEPARATORS
        )
        whole, partial = data[:end], data[end:]
        if len(partial) > MAX_EVENT_BYTES:
            raise OutOfOrder(f'an event of more than {MAX_EVENT_BYTES} bytes')
        # Nothing is kept before all of it has been looked at. Of what is
        # refused the caller gets no byte, so the place to go on from must not
        # move either: it would miss the events before the bad one.
        last, count = self.last_event, self.count
        for line in whole.splitlines():
            if line[:3].lower() == b'id:':
                last = _check_next_id(last, line[3:].strip())
                count += 1
        self.last_event, self.count, self._partial = last, count, partial
        return whole


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
    # Ids count from one up; a gap or a repeat means that the runner went on
    # from another place than was asked for.
    if len(last) <= MAX_ID_DIGITS and int(event) <= int(last):
        raise OutOfOrder(f'event {event} after {last}')
    return event
