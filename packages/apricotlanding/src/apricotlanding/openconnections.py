"""Which connections of a listener are closed to make room, without I/O.

A listener has at most so many connections that the process keeps descriptors
for what else it opens. One more replaces a connection without a request: the
first of those that never sent one, or the one that has been idle for longest.
If all have one, a few more are accepted, to be told when to return.
"""

import enum
import typing as ty

__all__ = [
    'MAX_HOST_CONNECTIONS',
    'OpenConnections',
    'Verdict',
    'count_for_callers',
    'count_for_hosts',
]

# Descriptors that are left for files, listeners and the store.
RESERVED_DESCRIPTORS = 200
# Share of the others that callers may take; the rest is for runners and hosts.
CALLERS_SHARE = 0.75
# Part of that rest for the calls of other hosts.
HOSTS_SHARE = 0.125
MAX_HOST_CONNECTIONS = 512
MIN_CONNECTIONS = 16
# A connection that is younger may be one whose first request is on its way.
FRESH_S = 1.0
# Connections beyond the most, whose requests are refused.
MAX_SURPLUS = 64

T = ty.TypeVar('T')


class Verdict(enum.Enum):
    """What becomes of a new connection."""

    SERVED = enum.auto()
    REFUSED = enum.auto()
    DROPPED = enum.auto()


def count_for_callers(descriptors: int) -> int:
    """Return the most connections of callers, by the descriptors there are."""
    return _count_share(descriptors, CALLERS_SHARE)


def count_for_hosts(descriptors: int) -> int:
    """Return the most connections on which other hosts send calls."""
    return min(MAX_HOST_CONNECTIONS, _count_share(descriptors, HOSTS_SHARE))


def _count_share(descriptors: int, share: float) -> int:
    left = max(0, descriptors - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS, int(left * share))


@ty.final
class OpenConnections(ty.Generic[T]):
    """The connections of one listener."""

    def __init__(self, most: int) -> None:
        """Start without connections."""
        self.most = most
        self._count = 0
        # Those that never sent a request and those that are idle after one,
        # with the time since when, in that order.
        self._fresh: dict[T, float] = {}
        self._idle: dict[T, float] = {}

    def add(self, connection: T, now: float) -> tuple[Verdict, T | None]:
        """Add a new connection; return also the one that it replaces."""
        self._count += 1
        if self._count <= self.most:
            self._fresh[connection] = now
            return Verdict.SERVED, None
        replaced = self._find_replaced(now)
        if replaced is not None:
            self._forget(replaced)
            self._fresh[connection] = now
            return Verdict.SERVED, replaced
        if self._count > self.most + MAX_SURPLUS:
            return Verdict.DROPPED, None
        return Verdict.REFUSED, None

    def begin_request(self, connection: T) -> None:
        """Note that a connection has a request, or is being closed."""
        self._forget(connection)

    def end_request(self, connection: T, now: float) -> None:
        """Note that a connection is idle."""
        self._idle[connection] = now

    def remove(self, connection: T) -> None:
        """Forget a connection that was closed."""
        self._count -= 1
        self._forget(connection)

    def _forget(self, connection: T) -> None:
        self._fresh.pop(connection, None)
        self._idle.pop(connection, None)

    def _find_replaced(self, now: float) -> T | None:
        for connection, since in self._fresh.items():
            if now - since >= FRESH_S:
                return connection
            break
        for oldest in (self._idle, self._fresh):
            for connection in oldest:
                return connection
        return None
