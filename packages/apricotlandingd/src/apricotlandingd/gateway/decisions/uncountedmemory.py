"""Memory that a process holds beyond what is counted.

Answers a load that changes: what many small requests took is freed, and kept
by the allocators between other blocks, when large bodies come next. Heads that
are incomplete and connections without a request are not counted either.
"""

import math
import typing as ty

__all__ = ['KEEP_S', 'UncountedMemory']

# Interval between measurements, and between trims of the heap, which take some
# milliseconds.
MEASURE_INTERVAL_S = 0.1
TRIM_INTERVAL_S = 1.0
# Time for which a measurement stays in force. What is counted includes bodies
# that have not arrived, which hide what is not counted, so the measurement
# with the least count is the one to rely on.
KEEP_S = 10.0


@ty.final
class UncountedMemory:
    """The measurement to rely on."""

    def __init__(self) -> None:
        """Start without a measurement."""
        # Bytes that are held and not counted.
        self.bytes = 0
        # What was counted then, and when that was.
        self._counted = 0
        self._noted_at = -math.inf
        # The last measurement, in force or not, and the last trim.
        self._measured_at = -math.inf
        self._trimmed_at = -math.inf

    def is_due(self, now: float) -> bool:
        """Tell whether to measure."""
        return now - self._measured_at >= MEASURE_INTERVAL_S

    def begin_trim(self, excess: int, now: float) -> bool:
        """Tell whether to return freed memory to the system first."""
        if excess <= 0 or now - self._trimmed_at < TRIM_INTERVAL_S:
            return False
        self._trimmed_at = now
        return True

    def note(self, excess: int, counted: int, now: float) -> None:
        """Note a measurement.

        ``excess`` are the bytes that are held beyond those to expect with
        ``counted``; negative if fewer are held.
        """
        self._measured_at = now
        is_old = now - self._noted_at > KEEP_S
        if is_old or excess > self.bytes or counted <= self._counted:
            self.bytes = max(0, excess)
            self._counted = counted
            self._noted_at = now
