"""Events of a streamed answer.

A stream may break off in the middle of an event. Only whole events are passed
on, so that a stream that goes on at another runner continues exactly after
the last one that the caller has.
"""

import typing as ty

__all__ = ['EventReader', 'OutOfOrder']

_SEPARATORS = (b'\n\n', b'\r\n\r\n')


class OutOfOrder(Exception):
    """An event does not follow the one before it."""


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
        whole, self._partial = data[:end], data[end:]
        for line in whole.splitlines():
            if line[:3].lower() == b'id:':
                self._follow(line[3:].strip().decode('latin-1'))
        return whole

    def _follow(self, event: str) -> None:
        self.count += 1
        if self.last_event.isdecimal() and event.isdecimal():
            # Ids count from one up; a gap or a repeat means that the runner
            # went on from another place than was asked for.
            if int(event) <= int(self.last_event):
                raise OutOfOrder(f'event {event} after {self.last_event}')
        self.last_event = event
