"""Ways to learn how many requests a runner serves without degradation."""

import collections.abc
import typing as ty

from apricotlandingd.gateway.runners import latencyratio
from apricotlandingd.gateway.runners import limitwindows
from apricotlandingd.gateway.runners import throughputlimits

__all__ = ['WAY', 'list_ways', 'make']

# Chosen by bench/limits.py; see docs/design/learned-limits.md.
WAY = 'latency ratio'

Maker = collections.abc.Callable[[], limitwindows.Way]
_makers: dict[str, Maker] = {}


def make(name: str) -> limitwindows.Way:
    """Return a new way by its name."""
    return _makers[name]()


def list_ways() -> list[str]:
    """Return the names of all ways."""
    return sorted(_makers)


def _register_maker(
    name: str,
) -> collections.abc.Callable[[Maker], Maker]:
    def add_maker(maker: Maker) -> Maker:
        _makers[name] = maker
        return maker

    return add_maker


@ty.final
class StatedSlots:
    """Uses the slots that a runner states."""

    def judge(
        self,
        found: limitwindows.Summary,
        limit: int,
        slots: int,
        now: float,
    ) -> limitwindows.Proposal | None:
        """Keep the limit."""
        return None

    def begin(
        self,
        found: limitwindows.Summary,
        limit: int,
        proposal: limitwindows.Proposal,
    ) -> None:
        """Ignore a change."""

    def hold(self, found: limitwindows.Summary) -> None:
        """Ignore a decrease that is held."""


@_register_maker('fixed')
def make_fixed() -> limitwindows.Way:
    """Return the way without learning, for comparison."""
    return StatedSlots()


@_register_maker('latency ratio')
def make_latency_ratio() -> limitwindows.Way:
    """Return the way that compares latencies."""
    return latencyratio.LatencyRatio()


@_register_maker('throughput')
def make_throughput() -> limitwindows.Way:
    """Return the way that compares throughputs."""
    return throughputlimits.ThroughputComparison()
