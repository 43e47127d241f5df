"""When callers that a full host refuses should return.

Answers a load of more than fits into the host's memory: callers that return
before there is room are refused again, and callers that return together do not
find room for all. Room is promised to them one after the other, as fast as it
was released lately.
"""

import typing as ty

__all__ = ['MAX_DELAY_S', 'RoomSchedule']

# Longest delay: callers that do not read their answers have been cut by then.
MAX_DELAY_S = 2.0
# An earlier return would only be refused again.
MIN_DELAY_S = 0.1
# Time over which releases are counted, and weight of the newest such time.
WINDOW_S = 0.5
NEWEST_WEIGHT = 0.5


@ty.final
class RoomSchedule:
    """The releases of room, and what of it is promised."""

    def __init__(self) -> None:
        """Start without releases."""
        # Bytes a second; None until known.
        self._rate: float | None = None
        self._began_at = 0.0
        self._released_before = 0
        # Time until which the room that is released is promised.
        self._promised_until = 0.0

    def note_released(self, released: int, now: float) -> None:
        """Note the bytes that were released since the start."""
        passed_s = now - self._began_at
        if passed_s < WINDOW_S:
            return
        rate = (released - self._released_before) / passed_s
        if self._rate is not None:
            rate = NEWEST_WEIGHT * rate + (1 - NEWEST_WEIGHT) * self._rate
        self._rate = rate
        self._began_at = now
        self._released_before = released

    def promise(self, missing: int, size: int, now: float) -> float:
        """Return the seconds after which a request of ``size`` finds room.

        ``missing`` is how much has to be released for it.
        """
        if not self._rate:
            return MAX_DELAY_S
        at = max(now + missing / self._rate, self._promised_until)
        delay_s = min(max(MIN_DELAY_S, at - now), MAX_DELAY_S)
        if at - now < MAX_DELAY_S:
            self._promised_until = at + size / self._rate
        return delay_s
