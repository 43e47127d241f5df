"""When a caller should return whose organisation is over its allowance.

Answers a burst of one organisation, of several times its allowance for some
seconds. The time until enough units for one request are available is short
then, but all refused requests wait for the same units: callers that were told
this time were refused again, and most of them return only once.

So the units that were refused are counted until they could have been granted
(``Backlogs``), and the time grows with them and with the units that are asked
for beyond the allowance. The host that decides on an organisation's units does
this. The host that has the request limits the time to what its caller honours,
and spreads it (``choose_time``).
"""

import collections
import collections.abc
import dataclasses
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import averages
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.decisions import returndelays

__all__ = [
    'MAX_BACKLOG_S',
    'MAX_ORGANISATIONS',
    'WAY',
    'Backlogs',
    'Refusal',
    'choose_time',
    'list_ways',
]

# Name of the way to compute the stated time that is used. The others serve
# comparisons in a simulation.
WAY = 'load'

# Largest backlog, in seconds of the granted units. No caller honours a longer
# time: the longest deadline is about 16 s.
MAX_BACKLOG_S = 16.0 * returndelays.MAX_DELAY_SHARE
# Organisations that are kept; the one that asked least recently is dropped.
MAX_ORGANISATIONS = 1024
# Largest time that is stated, as a multiple of the shortest.
SPREAD_RATIO = 1.5
# Shortest time, as a share of the longest one that a caller honours, if the
# wait is longer: an earlier return meets more of the burst.
LATE_RETURN_SHARE = 0.8
# Subtracted from the longest time: the header has two digits after the point,
# and the answer travels for some milliseconds.
HONOUR_MARGIN_S = 0.01


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused, and its organisation's load here."""

    # Seconds until enough units for this request are available.
    wait_s: float
    # Units of the request.
    cost: float
    # Units per second that this host grants, and that it is asked for.
    granted_per_s: float
    asked_per_s: float


# Returns the seconds to state for a refusal and a backlog in seconds.
Way = collections.abc.Callable[[Refusal, float], float]
_ways: dict[str, Way] = {}


@ty.final
class Backlogs:
    """Units of refused requests that could not have been granted since."""

    def __init__(self, rng: random.Random, way: str = WAY) -> None:
        """Start without backlogs; ``rng`` spreads the stated times."""
        self.rng = rng
        self._way = _ways[way]
        # Units per second that this host grants by its own copy, averaged as
        # those that it is asked for.
        self._granted = averages.Rates(quotas.DEMAND_AVERAGING_TIME_S)
        # The backlog in seconds of granted units, and when it was valid. The
        # organisation that asked least recently is the first.
        self._backlogs: collections.OrderedDict[
            ids.Organisation, tuple[float, float]
        ] = collections.OrderedDict()

    def note_grant(
        self, name: ids.Organisation, units: float, now: float
    ) -> None:
        """Count units that this host grants by its own copy."""
        self._granted.record(name, units, now)
        self._keep(name, self.find(name, now), now)

    def find_granted(self, name: ids.Organisation, now: float) -> float:
        """Return the units per second granted by this host's own copy."""
        return self._granted.find(name, now)

    def note_refusal(
        self, name: ids.Organisation, refusal: Refusal, now: float
    ) -> float:
        """Count a refused request; return the seconds until its return.

        The caller may honour less: see ``choose_time``.
        """
        backlog_s = self.find(name, now)
        stated_s = min(MAX_BACKLOG_S, self._way(refusal, backlog_s))
        backlog_s += refusal.cost / refusal.granted_per_s
        self._keep(name, min(MAX_BACKLOG_S, backlog_s), now)
        return max(refusal.wait_s, stated_s)

    def find(self, name: ids.Organisation, now: float) -> float:
        """Return an organisation's backlog in seconds of granted units."""
        backlog_s, at = self._backlogs.get(name, (0.0, now))
        return max(0.0, backlog_s - max(0.0, now - at))

    def find_largest(self, now: float) -> float:
        """Return the largest backlog of all organisations in seconds."""
        backlogs = [self.find(name, now) for name in self._backlogs]
        return max(backlogs, default=0.0)

    def count(self) -> int:
        """Return the number of organisations that are kept."""
        return len(self._backlogs)

    def _keep(
        self, name: ids.Organisation, backlog_s: float, now: float
    ) -> None:
        self._backlogs[name] = backlog_s, now
        self._backlogs.move_to_end(name)
        if len(self._backlogs) > MAX_ORGANISATIONS:
            dropped, _ = self._backlogs.popitem(last=False)
            self._granted.forget(dropped)


def choose_time(wait_s: float, left_s: float, rng: random.Random) -> float:
    """Return the seconds after which a caller should return.

    ``wait_s`` is the time that ``Backlogs`` found, ``left_s`` the time that
    the caller has left. The result never exceeds what the caller honours.
    """
    longest_s = left_s * returndelays.MAX_DELAY_SHARE - HONOUR_MARGIN_S
    longest_s = max(0.0, longest_s)
    earliest_s = min(wait_s, longest_s * LATE_RETURN_SHARE)
    latest_s = min(wait_s * SPREAD_RATIO, longest_s)
    return rng.uniform(earliest_s, latest_s)


def list_ways() -> list[str]:
    """Return the names of all ways."""
    return sorted(_ways)


def _register_way(name: str) -> collections.abc.Callable[[Way], Way]:
    def add_way(way: Way) -> Way:
        _ways[name] = way
        return way

    return add_way


@_register_way('refill')
def wait_for_own_units(refusal: Refusal, backlog_s: float) -> float:
    """Return the wait for this request alone."""
    return refusal.wait_s


@_register_way('backlog')
def wait_for_backlog(refusal: Refusal, backlog_s: float) -> float:
    """Return the time in which the units refused before could be granted."""
    return refusal.wait_s + backlog_s


@_register_way('excess')
def wait_for_excess(refusal: Refusal, backlog_s: float) -> float:
    """Return the time to grant what one second asks for beyond its units."""
    excess = refusal.asked_per_s / refusal.granted_per_s - 1
    return refusal.wait_s + max(0.0, excess)


@_register_way('load')
def wait_for_load(refusal: Refusal, backlog_s: float) -> float:
    """Return the time to grant the backlog and the excess of one second."""
    return wait_for_excess(refusal, backlog_s) + backlog_s
