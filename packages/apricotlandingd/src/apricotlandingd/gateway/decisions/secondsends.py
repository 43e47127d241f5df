"""The budget for sending a request to another runner.

When runners fail, every host sends again, and the runners that are left get
the load of those that failed on top of their own. The operators therefore
bound second sends to a share of the requests plus a slack, over all hosts.
Each host keeps to its own part of that, which needs no messages: the share
of its own requests, and an equal part of the slack.
"""

import collections
import typing as ty

from apricotlanding import ids

__all__ = ['SecondSends']

# Part of the budget that is used. The rest covers a host that restarts and
# forgets what it sent in the window, and hosts not yet known here.
USED_PART = 0.8


@ty.final
class SecondSends:
    """Second sends of this host, by service."""

    def __init__(self, share: float, slack: float, window_s: float) -> None:
        """Take the operators' bounds: see ``settings.Bounds``."""
        self.set_bounds(share, slack, window_s)
        self._requests: dict[ids.Pool, collections.deque[float]] = {}
        self._resends: dict[ids.Pool, collections.deque[float]] = {}

    def set_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Take the operators' bounds: see ``settings.Bounds``."""
        self._share = share
        self._slack = slack
        self._window = window_s

    def note_request(self, service: ids.Pool, now: float) -> None:
        """Count a request of a caller."""
        self._file(self._requests, service, now)

    def take(self, service: ids.Pool, hosts: int, now: float) -> bool:
        """Use one second send; False if this host's part is used up.

        ``hosts`` counts all hosts that may be sending.
        """
        requests = self._count(self._requests, service, now)
        resends = self._count(self._resends, service, now)
        allowed = self._share * requests + self._slack / max(1, hosts)
        if resends + 1 > allowed * USED_PART:
            return False
        self._file(self._resends, service, now)
        return True

    def _file(
        self,
        table: dict[ids.Pool, collections.deque[float]],
        service: ids.Pool,
        now: float,
    ) -> None:
        table.setdefault(service, collections.deque()).append(now)

    def _count(
        self,
        table: dict[ids.Pool, collections.deque[float]],
        service: ids.Pool,
        now: float,
    ) -> int:
        times = table.get(service)
        if times is None:
            return 0
        while times and times[0] < now - self._window:
            times.popleft()
        return len(times)
