"""Counters, gauges and histograms in the Prometheus text format.

Each line has a name, labels in braces and a number. Buckets of histograms are
cumulative.
"""

import bisect
import collections
import typing as ty

__all__ = ['MetricRegistry']

# Upper bounds of histogram buckets. They are dense between 0.2 and 1 s, where
# the objectives of callers lie.
BUCKET_BOUNDS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1,
    2,
    4,
    8,
    16,
)
PREFIX = 'apricotlanding_'


@ty.final
class MetricRegistry:
    """Metrics of one process since its start."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums: collections.Counter[str] = collections.Counter()
        # Functions that are called when metrics are rendered.
        self.gauges: dict[str, ty.Callable[[], float]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self._counts[_write_name(name, labels)] += 1

    def time(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        full_name = _write_name(name, labels)
        buckets = self._buckets.setdefault(
            full_name, [0] * (len(BUCKET_BOUNDS_S) + 1)
        )
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self._sums[full_name] += seconds  # type: ignore[assignment]

    def render(self) -> str:
        """Return all metrics as text."""
        lines = [
            f'{PREFIX}{name} {count}'
            for name, count in sorted(self._counts.items())
        ]
        for name, gauge in sorted(self.gauges.items()):
            lines.append(f'{PREFIX}{name} {gauge()}')
        for name, buckets in sorted(self._buckets.items()):
            lines.extend(self._render_histogram(name, buckets))
        return '\n'.join(lines) + '\n'

    def _render_histogram(self, name: str, buckets: list[int]) -> list[str]:
        base, _, labels = name.partition('{')
        pairs = labels.rstrip('}')
        comma = ',' if pairs else ''
        total = 0
        lines: list[str] = []
        for bound, count in zip(
            (*BUCKET_BOUNDS_S, '+Inf'), buckets, strict=True
        ):
            total += count
            lines.append(
                f'{PREFIX}{base}_bucket{{{pairs}{comma}le="{bound}"}} {total}'
            )
        tail = f'{{{pairs}}}' if pairs else ''
        lines.append(f'{PREFIX}{base}_count{tail} {total}')
        lines.append(f'{PREFIX}{base}_sum{tail} {self._sums[name]:.6f}')
        return lines


def _write_name(name: str, labels: dict[str, str]) -> str:
    if not labels:
        return name
    pairs = ','.join(f'{key}="{value}"' for key, value in labels.items())
    return f'{name}{{{pairs}}}'
