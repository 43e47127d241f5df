"""How fast a pool works off what waits.

The scheduler (``poolqueue``) tells by it which requests cannot begin before
their deadlines, and when those that it gives up should come back.
"""

import typing as ty

__all__ = ['DrainRate']

# Weight of the newest interval in the average.
_NEWEST_INTERVAL_WEIGHT = 0.3
# Ends and seconds that make an interval.
_MIN_INTERVAL_REQUESTS = 8
_MIN_INTERVAL_S = 1.0


@ty.final
class DrainRate:
    """Tokens that end in a second while the pool is saturated."""

    def __init__(self) -> None:
        """Start unmeasured."""
        # Prompt and output tokens a second; 0 while nothing was measured.
        self.tokens_per_s = 0.0
        self._finished_tokens = 0
        self._finished_count = 0
        self._interval_started_at: float | None = None

    def record_finished(self, tokens: int) -> None:
        """Count a request that has left its runner."""
        self._finished_tokens += tokens
        self._finished_count += 1

    def update(self, is_saturated: bool, now: float) -> None:
        """Take the interval into the average, if it is long enough."""
        if not is_saturated:
            # What ends now says nothing of what could.
            self._interval_started_at = None
            return
        if self._interval_started_at is None:
            self._begin_interval(now)
            return
        seconds = now - self._interval_started_at
        if (
            seconds < _MIN_INTERVAL_S
            or self._finished_count < _MIN_INTERVAL_REQUESTS
        ):
            return
        rate = self._finished_tokens / seconds
        weight = _NEWEST_INTERVAL_WEIGHT if self.tokens_per_s > 0.0 else 1.0
        self.tokens_per_s += weight * (rate - self.tokens_per_s)
        self._begin_interval(now)

    def _begin_interval(self, now: float) -> None:
        self._interval_started_at = now
        self._finished_tokens = 0
        self._finished_count = 0
