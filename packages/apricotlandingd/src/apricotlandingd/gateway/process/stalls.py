"""Times in which the process did not run.

A host that is short of processor time, or frozen, leaves what arrives unread
and runs its timers late. From outside both look like a slow network; only
the process itself can tell, by timers that come later than asked for.
"""

import typing as ty

__all__ = ['StallDetector']

# Seconds of lateness that count as a stall. Timers of an idle process come
# some milliseconds late; callers begin to feel a quarter of their shortest
# objective, which is 0.2 s.
STALL_THRESHOLD_S = 0.05
# Least seconds between two reports, so that a host that is always short of
# processor time does not fill its log.
REPORT_INTERVAL_S = 1.0


@ty.final
class StallDetector:
    """Judges by how much a timer came late."""

    def __init__(self) -> None:
        """Start without a stall."""
        # Stalls, and seconds in them, since the start of the process.
        self.count = 0
        self.seconds = 0.0
        self._reported_at: float | None = None

    def note(self, late_s: float, now: float) -> bool:
        """Take one lateness; True if it is to be reported."""
        if late_s < STALL_THRESHOLD_S:
            return False
        self.count += 1
        self.seconds += late_s
        reported_at = self._reported_at
        if reported_at is not None and now - reported_at < REPORT_INTERVAL_S:
            return False
        self._reported_at = now
        return True
