"""Detection of stalls: times in which the process did not run.

A host that is short of CPU time, or frozen, does not read its input and runs
its timers late. From outside both look like a slow network. Only the process
itself can detect a stall, by timers that fire later than scheduled.
"""

import typing as ty

import eliot

__all__ = ['StallDetector']

# Delay of a timer that counts as a stall. Timers of an idle process are a few
# milliseconds late; callers notice a quarter of their shortest objective,
# which is 0.2 s.
STALL_THRESHOLD_S = 0.05
# Shortest interval between two reports, so that a host that is always short of
# CPU time does not fill its log.
REPORT_INTERVAL_S = 1.0


@ty.final
class StallDetector:
    """Detects stalls by the delays of timers."""

    def __init__(self) -> None:
        """Start without any stall."""
        # Number of stalls since the start, and their total delay.
        self.count = 0
        self.seconds = 0.0
        self._reported_at: float | None = None

    def check(self, due: float, now: float) -> None:
        """Record and log the delay of a timer that was due at a time."""
        late_s = now - due
        if not self.record_delay(late_s, now):
            return
        eliot.log_message(
            'gateway:stalled',
            late_s=round(late_s, 4),
            count=self.count,
            seconds=round(self.seconds, 3),
        )

    def record_delay(self, late_s: float, now: float) -> bool:
        """Record the delay of a timer; return True if it is to be reported."""
        if late_s < STALL_THRESHOLD_S:
            return False
        self.count += 1
        self.seconds += late_s
        reported_at = self._reported_at
        if reported_at is not None and now - reported_at < REPORT_INTERVAL_S:
            return False
        self._reported_at = now
        return True
