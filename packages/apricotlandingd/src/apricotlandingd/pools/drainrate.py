"""Measures how fast a pool completes requests.

With this rate the scheduler (``poolqueue``) finds requests that cannot start
before their deadlines, and advises when a shed request may be retried.
"""

import typing as ty

__all__ = ['DrainRate']

# Weight of the newest interval in the exponential moving average.
_NEWEST_INTERVAL_WEIGHT = 0.3
# An interval has at least this many finished requests and seconds.
_MIN_INTERVAL_REQUESTS = 8
_MIN_INTERVAL_S = 1.0


@ty.final
class DrainRate:
    """Tokens completed per second while the pool is saturated."""

    def __init__(self) -> None:
        """Start without a measurement."""
        # Prompt and output tokens per second; 0 before the first measurement.
        self.tokens_per_s = 0.0
        self._finished_tokens = 0
        self._finished_count = 0
        self._interval_started_at: float | None = None

    def record_finished(self, tokens: int) -> None:
        """Count a request that has finished on its runner."""
        self._finished_tokens += tokens
        self._finished_count += 1

    def update(self, is_saturated: bool, now: float) -> None:
        """Add the interval to the average once it is long enough."""
        if not is_saturated:
            # Without a backlog the completion rate is not the capacity.
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
