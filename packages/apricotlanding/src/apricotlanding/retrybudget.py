"""The retry budget: a limit on requests that are sent to another runner.

When runners fail, every host retries, and the remaining runners get the load
of the failed ones in addition to their own. The retries of all hosts within a
sliding window are therefore limited to a share of the requests plus a slack.
Each host enforces its own fraction without exchanging messages: the share of
its own requests and an equal part of the slack.

Each pool has its own budget, so that a pool whose runners all fail does not
use up the retries of the others.
"""

import collections
import typing as ty

from apricotlanding import ids

__all__ = ['RetryBudget']

# Share of the budget that a host may use. The rest covers hosts that restart
# and lose their counts of the window, and hosts not yet known to this one.
USABLE_SHARE = 0.8


@ty.final
class RetryBudget:
    """Retry budgets of this host, by pool."""

    def __init__(self, share: float, slack: float, window_s: float) -> None:
        """Create budgets with these limits; see ``set_bounds``."""
        self.set_bounds(share, slack, window_s)
        self._requests: dict[ids.Pool, collections.deque[float]] = {}
        self._retries: dict[ids.Pool, collections.deque[float]] = {}

    def set_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Set the limits.

        ``share`` is the allowed ratio of retries to requests, ``slack`` the
        number of retries that all hosts together may send in addition.
        """
        self._share = share
        self._slack = slack
        self._window_s = window_s

    def record_request(self, pool: ids.Pool, now: float) -> None:
        """Count a request from a caller."""
        self._add_time(self._requests, pool, now)

    def take(self, pool: ids.Pool, hosts: int, now: float) -> bool:
        """Consume one retry; return False if the budget is exhausted.

        ``hosts`` is the number of hosts that may be sending requests.
        """
        requests = self._count_recent(self._requests, pool, now)
        retries = self._count_recent(self._retries, pool, now)
        allowed = self._share * requests + self._slack / max(1, hosts)
        if retries + 1 > allowed * USABLE_SHARE:
            return False
        self._add_time(self._retries, pool, now)
        return True

    def _add_time(
        self,
        times_by_pool: dict[ids.Pool, collections.deque[float]],
        pool: ids.Pool,
        now: float,
    ) -> None:
        times_by_pool.setdefault(pool, collections.deque()).append(now)

    def _count_recent(
        self,
        times_by_pool: dict[ids.Pool, collections.deque[float]],
        pool: ids.Pool,
        now: float,
    ) -> int:
        times = times_by_pool.get(pool)
        if times is None:
            return 0
        while times and times[0] < now - self._window_s:
            times.popleft()
        return len(times)
