"""Orders of the waiting requests of one tier by their organisations' use.

Answers an overload to which few organisations contribute most: by deadline
alone, each is served in proportion to what it asks for, and the small ones are
refused for the burst of a large one. Each way sorts requests into levels. The
lower level is served first, and within a level the earlier deadline, so that
as many requests as possible are still served in time.

Use is measured in seconds at a runner, as estimated when a slot is granted and
corrected when it is released.
"""

import collections.abc
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import averages
from apricotlandingd.gateway.decisions import shareweights

__all__ = [
    'TOLERANCE_RATIO',
    'USE_WINDOW_S',
    'WAY',
    'ShareOrder',
    'Waiting',
    'list_ways',
    'make_order',
]

WAY = 'recent-use'

# Time constant with which use is forgotten. An organisation that returns after
# a longer silence has the credit of one that has just arrived: its share of
# this time.
USE_WINDOW_S = 5.0

# How far an organisation may exceed the share that it has if all ask for more
# before its requests go last. At 1.5 requests a second, recent use fluctuates
# by about 0.4 of it (calculated). At a ratio of 1 these fluctuations replaced
# the order by deadline, and fewer requests were in time.
TOLERANCE_RATIO = 2.0
# Shortest round of start-time fair queueing, if costs are not known.
MIN_ROUND_S = 1e-3


class Waiting(ty.NamedTuple):
    """A waiting request."""

    organisation: ids.Organisation
    # Expected seconds at a runner.
    cost_s: float


class ShareOrder(ty.Protocol):
    """A way to sort the requests of one tier into levels."""

    def list_levels(
        self, waiting: list[Waiting], weights: shareweights.Weights, now: float
    ) -> list[int]:
        """Return the level of each request; the lowest is served first.

        The requests of one organisation are in the order in which they are
        to be served. ``weights`` are of all organisations that wait or have
        used runners recently, 1 on average.
        """

    def note_grant(
        self, organisation: ids.Organisation, cost_s: float, weight: float
    ) -> None:
        """Count a request that is granted a slot."""

    def note_correction(
        self, organisation: ids.Organisation, seconds: float, weight: float
    ) -> None:
        """Add the difference between a request's actual and expected cost."""

    def forget_idle(self) -> None:
        """Forget the organisations whose use no longer matters."""


_ways: dict[str, collections.abc.Callable[[averages.Rates], ShareOrder]] = {}


def make_order(way: str, use: averages.Rates) -> ShareOrder:
    """Make an order; ``use`` is the recent use of all organisations."""
    return _ways[way](use)


def list_ways() -> list[str]:
    """Return the names of all ways."""
    return sorted(_ways)


_Order = ty.TypeVar('_Order', bound=type)


def _register_way(name: str) -> collections.abc.Callable[[_Order], _Order]:
    def add_way(way: _Order) -> _Order:
        _ways[name] = way
        return way

    return add_way


class _StatelessOrder:
    """Base of orders that keep nothing besides the recent use."""

    def note_grant(
        self, organisation: ids.Organisation, cost_s: float, weight: float
    ) -> None:
        """Ignore it, as it is counted in the recent use."""

    def note_correction(
        self, organisation: ids.Organisation, seconds: float, weight: float
    ) -> None:
        """Ignore it, as it is counted in the recent use."""

    def forget_idle(self) -> None:
        """Do nothing, as nothing else is kept."""


@_register_way('deadline')
@ty.final
class DeadlineOrder(_StatelessOrder):
    """One level for all."""

    def __init__(self, use: averages.Rates) -> None:
        """Ignore the use."""

    def list_levels(
        self, waiting: list[Waiting], weights: shareweights.Weights, now: float
    ) -> list[int]:
        """Return the same level for all."""
        return [0] * len(waiting)


@_register_way('recent-use')
@ty.final
class RecentUseOrder(_StatelessOrder):
    """Requests within their organisation's share come first.

    What runners served recently is divided among the organisations, max-min,
    up to ``TOLERANCE_RATIO`` times an even division. A request is within the
    share if its organisation's recent use, and what it gets before this one,
    are.
    """

    def __init__(self, use: averages.Rates) -> None:
        """Order by the use."""
        self._use = use

    def list_levels(
        self, waiting: list[Waiting], weights: shareweights.Weights, now: float
    ) -> list[int]:
        """Return 0 for requests within the share, and 1 for the others."""
        reached = self._use.list_rates(now)
        total = sum(reached.values())
        demands = dict(reached)
        for item in waiting:
            demands[item.organisation] = (
                demands.get(item.organisation, 0.0)
                + item.cost_s / USE_WINDOW_S
            )
        fair = shareweights.find_fair_rate(demands, weights, total)
        even = total / sum(weights.values())
        fair = min(fair, even * TOLERANCE_RATIO)
        bounds = {name: fair * weights[name] for name in demands}
        levels: list[int] = []
        for item in waiting:
            name = item.organisation
            before = reached.get(name, 0.0)
            levels.append(0 if before <= bounds[name] else 1)
            reached[name] = before + item.cost_s / USE_WINDOW_S
        return levels


@_register_way('start-time')
@ty.final
class StartTimeOrder:
    """Start-time fair queueing.

    Each request has a virtual start, which is the virtual end of the
    organisation's request before it, and not before the virtual time. An idle
    organisation earns no credit. A level is one mean request long.
    """

    def __init__(self, use: averages.Rates) -> None:
        """Start at virtual time 0."""
        self._virtual_time = 0.0
        self._ends: dict[ids.Organisation, float] = {}

    def list_levels(
        self, waiting: list[Waiting], weights: shareweights.Weights, now: float
    ) -> list[int]:
        """Return the rounds in which requests are served."""
        if not waiting:
            return []
        length = sum(item.cost_s for item in waiting) / len(waiting)
        length = max(length, MIN_ROUND_S)
        ends: dict[ids.Organisation, float] = {}
        levels: list[int] = []
        for item in waiting:
            name = item.organisation
            start = ends.get(name, self._find_start(name))
            ends[name] = start + item.cost_s / weights[name]
            levels.append(int((start - self._virtual_time) / length))
        return levels

    def note_grant(
        self, organisation: ids.Organisation, cost_s: float, weight: float
    ) -> None:
        """Advance the virtual time to the request's start."""
        start = self._find_start(organisation)
        self._ends[organisation] = start + cost_s / weight
        self._virtual_time = start

    def note_correction(
        self, organisation: ids.Organisation, seconds: float, weight: float
    ) -> None:
        """Move the organisation's next virtual start."""
        if organisation in self._ends:
            self._ends[organisation] += seconds / weight

    def forget_idle(self) -> None:
        """Forget the organisations that would start at the virtual time."""
        for name, end in list(self._ends.items()):
            if end <= self._virtual_time:
                del self._ends[name]

    def _find_start(self, organisation: ids.Organisation) -> float:
        return max(self._virtual_time, self._ends.get(organisation, 0.0))
