"""Parts of a runner's memory that a scheduler may use.

The coordinator of a runner changes without a handover, and the next one does
not know at first what the former one granted. So an established coordinator
leaves a part of the memory free, the reserve. A scheduler that is not
established grants from the reserve only. Requests with few tokens therefore
need not wait after a change; the others wait until it is established.
"""

import typing as ty

__all__ = [
    'MIN_HEARD_SHARE',
    'UNCOORDINATED',
    'Bounds',
    'find_usable',
    'make_bounds',
]

# Share of a runner's memory that established coordinators leave free. Five
# requests of the usual size take a twelfth of the memories in use.
RESERVED_SHARE = 1 / 8
# Schedulers that may grant from the reserve of one runner at the same time: a
# coordinator that was paused and resumes, and the one that took its place.
MAX_UNESTABLISHED = 2
# Share that each of them may grant.
UNESTABLISHED_SHARE = RESERVED_SHARE / MAX_UNESTABLISHED
# Least share of a runner's memory that is used by hosts which do not hear the
# others: that of a failure domain of four. Prompts of the usual kinds fit in
# a part of it.
MIN_HEARD_SHARE = 0.25


class Bounds(ty.NamedTuple):
    """What a scheduler may use, as shares of a runner's memory."""

    # A request is granted if all counted requests then take at most this; 0
    # if the scheduler may grant from the reserve only.
    established: float
    # Otherwise it is granted from the reserve, if all counted requests then
    # take at most ``total``, and those granted from the reserve ``reserved``.
    total: float
    reserved: float
    # Expected seconds until it is established.
    wait_s: float = 0.0


def make_bounds(share: float, is_first: bool, wait_s: float) -> Bounds:
    """Return the bounds of a coordinator.

    ``share`` is that of the hosts that it acts for: the others may have
    coordinators of their own. ``is_first`` tells whether it is the first in
    the order of its runners. Another one, and one that does not act for all
    hosts, keeps its part of the reserve: it may count more requests than its
    share allows. It is established if ``wait_s`` is 0.
    """
    if wait_s > 0:
        return Bounds(0.0, 1.0, UNESTABLISHED_SHARE, wait_s)
    reserved = UNESTABLISHED_SHARE
    if is_first and share >= 1:
        reserved = 0.0
    return Bounds(share * (1 - RESERVED_SHARE), 1.0, reserved)


# Of a host that reaches no coordinator.
UNCOORDINATED: ty.Final = Bounds(0.0, 1.0, UNESTABLISHED_SHARE)


def find_usable(memory: int) -> int:
    """Return the most tokens that one request may occupy in a memory."""
    return int(memory * (1 - RESERVED_SHARE))
