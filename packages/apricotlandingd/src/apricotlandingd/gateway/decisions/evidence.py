"""Answers of two releases of a service, counted for comparison.

Answers are counted by runner, route and time. The time is the ratio of the
measured seconds to those predicted for a request of this size, on a
logarithmic scale of quarter octaves, so that counts of all hosts add up and
requests of all sizes compare. Counts only grow: a report that repeats another
one replaces it.
"""

import collections.abc
import dataclasses
import math
import typing as ty

__all__ = [
    'FAILURE_BIN',
    'MAX_BIN',
    'Cell',
    'Counts',
    'Tally',
    'add_counts',
    'find_bin',
    'make_tallies',
    'subtract_counts',
]

# Bin of answers that failed; those below hold ratios of times.
FAILURE_BIN: ty.Final = 24
# Bin of the largest ratios: 16 times the predicted time and more.
MAX_BIN: ty.Final = 23
BINS_PER_OCTAVE = 4
# Bin of a ratio of 1.
UNIT_BIN = 7


class Cell(ty.NamedTuple):
    """What answers are counted by."""

    # Digests of the runner's start and of the route's name.
    runner: int
    route: int
    # The runner runs the new release.
    is_new: bool
    bin: int


Counts = dict[Cell, int]


@ty.final
@dataclasses.dataclass(slots=True)
class Tally:
    """Answers of one runner."""

    bins: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (FAILURE_BIN + 1)
    )

    @property
    def total(self) -> int:
        """Return the number of answers."""
        return sum(self.bins)

    @property
    def failures(self) -> int:
        """Return the number of failures."""
        return self.bins[FAILURE_BIN]

    def find_quantile(self, share: float) -> int:
        """Return the bin below which this share of the times lies."""
        wanted = share * (self.total - self.failures)
        seen = 0
        for number in range(MAX_BIN + 1):
            seen += self.bins[number]
            if seen > wanted:
                return number
        return MAX_BIN

    def count_above(self, limit: int) -> int:
        """Return the number of times in bins above one."""
        return sum(self.bins[limit + 1 : FAILURE_BIN])


def find_bin(seconds: float, predicted_s: float) -> int:
    """Return the bin of an answer that took ``seconds``."""
    ratio = max(seconds, 1e-6) / max(predicted_s, 1e-6)
    number = UNIT_BIN + round(BINS_PER_OCTAVE * math.log2(ratio))
    return max(0, min(MAX_BIN, number))


def add_counts(counts: collections.abc.Iterable[Counts]) -> Counts:
    """Return the sum of several counts."""
    found: Counts = {}
    for item in counts:
        for cell, count in item.items():
            found[cell] = found.get(cell, 0) + count
    return found


def subtract_counts(counts: Counts, earlier: Counts) -> Counts:
    """Return what was counted after earlier counts."""
    found: Counts = {}
    for cell, count in counts.items():
        rest = count - earlier.get(cell, 0)
        if rest > 0:
            found[cell] = rest
    return found


def make_tallies(
    counts: Counts, is_new: bool, route: int | None
) -> dict[int, Tally]:
    """Return the answers of a release by runner, on one route or on all."""
    found: dict[int, Tally] = {}
    for cell, count in counts.items():
        if cell.is_new is not is_new:
            continue
        if route is not None and cell.route != route:
            continue
        found.setdefault(cell.runner, Tally()).bins[cell.bin] += count
    return found
