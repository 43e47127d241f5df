"""When a caller that is refused should return.

Answers a burst that lasts for some seconds: callers that return while it
lasts are refused again, and have no further attempt. The objective is missed
by any return, so a later one loses its caller nothing, as long as the answer
still ends in time. The delay is random, as callers that are refused together
would otherwise return together and cause the next burst.
"""

import collections.abc
import random

__all__ = ['MAX_DELAY_SHARE', 'WAY', 'choose_delay', 'list_ways']

WAY = 'even'

# Callers honour a delay up to this share of their remaining time.
MAX_DELAY_SHARE = 0.32
# An earlier return would only be refused again.
MIN_DELAY_S = 0.1
# Shortest delay as a share of the longest one that a caller honours.
LATE_RETURN_SHARE = 0.7
# Largest share of the longest delay that the shortest one may be.
EVEN_RETURN_SHARE = 0.6

Way = collections.abc.Callable[[float, float], float]
_ways: dict[str, Way] = {}


def choose_delay(
    wait_s: float, left_s: float, rng: random.Random, way: str = WAY
) -> float:
    """Return the seconds after which a refused caller should return.

    ``wait_s`` is the predicted wait for a slot, ``left_s`` the time that the
    caller has left.
    """
    longest = max(MIN_DELAY_S, left_s * MAX_DELAY_SHARE)
    return rng.uniform(_ways[way](wait_s, longest), longest)


def list_ways() -> list[str]:
    """Return the names of all ways."""
    return sorted(_ways)


def _register_way(name: str) -> collections.abc.Callable[[Way], Way]:
    def add_way(way: Way) -> Way:
        _ways[name] = way
        return way

    return add_way


@_register_way('even')
def spread_evenly(wait_s: float, longest_s: float) -> float:
    """Return the predicted wait as the shortest delay."""
    return min(max(MIN_DELAY_S, wait_s), longest_s * EVEN_RETURN_SHARE)


@_register_way('late')
def spread_late(wait_s: float, longest_s: float) -> float:
    """Return a shortest delay near the longest one."""
    return max(spread_evenly(wait_s, longest_s), longest_s * LATE_RETURN_SHARE)
