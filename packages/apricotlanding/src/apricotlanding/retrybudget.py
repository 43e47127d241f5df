"""The budget for retries: requests that are sent to another runner.

When runners fail, every host sends again, and the runners that are left get
the load of those that failed on top of their own. So retries are bound to a
share of the requests plus a slack in a window, over all hosts. Each host
keeps to its own part of that, which needs no messages: the share of its own
requests, and an equal part of the slack.

Each pool has a budget of its own: one whose runners all fail must not use up
the retries of the others.
"""

import collections
import typing as ty

from apricotlanding import ids

__all__ = ['RetryBudget']

# Part of the budget that is used. The rest covers a host that restarts and
# forgets what it sent in the window, and hosts not yet known here.
USABLE_SHARE = 0.8


@ty.final
class RetryBudget:
    """Retries of this host, by pool."""

    def __init__(self, share: float, slack: float, window_s: float) -> None:
        """Take the bounds: a share, a count, and seconds."""
        self.set_bounds(share, slack, window_s)
        self._requests: dict[ids.Pool, collections.deque[float]] = {}
        self._retries: dict[ids.Pool, collections.deque[float]] = {}

    def set_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Take the bounds: a share, a count, and seconds."""
        self._share = share
        self._slack = slack
        self._window = window_s

    def record_request(self, pool: ids.Pool, now: float) -> None:
        """Count a request of a caller."""
        self._file(self._requests, pool, now)

    def take(self, pool: ids.Pool, hosts: int, now: float) -> bool:
        """Use one retry; False if this host's part is used up.

        ``hosts`` counts all hosts that may be sending.
        """
        requests = self._count(self._requests, pool, now)
        retries = self._count(self._retries, pool, now)
        allowed = self._share * requests + self._slack / max(1, hosts)
        if retries + 1 > allowed * USABLE_SHARE:
            return False
        self._file(self._retries, pool, now)
        return True

    def _file(
        self,
        table: dict[ids.Pool, collections.deque[float]],
        pool: ids.Pool,
        now: float,
    ) -> None:
        table.setdefault(pool, collections.deque()).append(now)

    def _count(
        self,
        table: dict[ids.Pool, collections.deque[float]],
        pool: ids.Pool,
        now: float,
    ) -> int:
        times = table.get(pool)
        if times is None:
            return 0
        while times and times[0] < now - self._window:
            times.popleft()
        return len(times)
