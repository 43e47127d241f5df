"""Order of the requests of one tier that can still meet their objective.

Answers an overload in which not all of them can: what is served last is
refused. Each way returns by how many seconds a request is moved ahead of
others with the same deadline, so the time for which one request can be passed
by later ones is bounded.
"""

import collections.abc
import math

__all__ = ['WAY', 'Way', 'find_advance', 'find_way', 'list_ways']

WAY = 'deadline'

# Seconds for each doubling of the prompt. A larger request gains its caller
# more for the time at a runner, most of which goes to generating the answer.
ADVANCE_PER_DOUBLING_S = 0.1

Way = collections.abc.Callable[[int], float]
_ways: dict[str, Way] = {}


def find_advance(prompt_tokens: int) -> float:
    """Return the seconds by which a request goes ahead."""
    return find_way(WAY)(prompt_tokens)


def find_way(name: str) -> Way:
    """Return a way by its name."""
    return _ways[name]


def list_ways() -> list[str]:
    """Return the names of all ways."""
    return sorted(_ways)


def _register_way(name: str) -> collections.abc.Callable[[Way], Way]:
    def add_way(way: Way) -> Way:
        _ways[name] = way
        return way

    return add_way


@_register_way('deadline')
def keep_deadline(prompt_tokens: int) -> float:
    """Order by deadline alone."""
    return 0.0


@_register_way('size')
def advance_by_size(prompt_tokens: int) -> float:
    """Move requests with longer prompts ahead."""
    return ADVANCE_PER_DOUBLING_S * math.log2(1 + max(0, prompt_tokens))
