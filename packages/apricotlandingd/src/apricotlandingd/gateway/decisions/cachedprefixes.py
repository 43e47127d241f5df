"""Prefixes of prompts that runners are assumed to have in their caches."""

import collections
import typing as ty

from apricotlanding import ids

__all__ = ['CachedPrefixes']

# How long a runner is assumed to keep a prefix in its cache.
CACHED_PREFIX_MAX_AGE_S = 10.0
# Pairs of a prefix and a runner, for all services.
MAX_CACHED_PREFIXES = 4000


@ty.final
class CachedPrefixes:
    """When runners last read prefixes, oldest first."""

    def __init__(self) -> None:
        """Start without prefixes."""
        self._read_at: collections.OrderedDict[
            tuple[str, ids.RunnerStart], float
        ] = collections.OrderedDict()

    def note(self, part: str, runner: ids.RunnerStart, now: float) -> None:
        """Store that a runner has read a prompt's prefix."""
        if not part:
            return
        self._read_at[(part, runner)] = now
        self._read_at.move_to_end((part, runner))
        if len(self._read_at) > MAX_CACHED_PREFIXES:
            self._read_at.popitem(last=False)

    def has(self, part: str, runner: ids.RunnerStart, now: float) -> bool:
        """Tell whether a runner should have a prefix in its cache."""
        read_at = self._read_at.get((part, runner))
        return read_at is not None and now - read_at < CACHED_PREFIX_MAX_AGE_S
