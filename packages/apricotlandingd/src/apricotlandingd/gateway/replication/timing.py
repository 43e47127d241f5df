"""How long hosts wait for the store, derived from the bounds of the settings.

A change that the store took has to be known on every host within a bound. A
read that waits at the store brings it at once, unless the read is lost: the
store fell silent, or the connection did, and nothing shows it before the
whole wait is over. One host could only guard against that with waits shorter
than the bound, and would make four times as many calls.

Hosts share the work instead. Each tells its peers how long ago the store last
answered it, so a group knows how old its newest answer is. Reads of a group
are spread so that one of them ends every moment (``find_staggered_wait``), and an
answer that is missed shows soon on every host. When the newest answer is
older than ``Timing.max_answer_age_s``, one host after the other asks the store
anew (``freshness``), and the others hear what is new from the host that got
an answer.
"""

import dataclasses
import typing as ty

__all__ = [
    'MAX_READ_WAIT_S',
    'MAX_STORE_ANSWER_AGE_S',
    'Timing',
    'derive_timing',
    'find_staggered_wait',
    'find_probe_interval',
    'find_read_wait',
]

# Seconds that a read waits at the store at most. Answers of seven hosts are
# then 0.7 s apart, and each host makes 0.4 calls a second for two topics.
MAX_READ_WAIT_S = 5.0
# Seconds after its last answer for which the store counts as reached by a
# host: the longest wait, and a second each for the answer and for a host
# that is slow.
MAX_STORE_ANSWER_AGE_S = MAX_READ_WAIT_S + 2.0
# Shortest bound, in seconds, that is taken as it is. Below it messages between
# hosts are too slow to keep it, and hosts would ask the store without end.
MIN_BOUND_S = 0.4
# Parts of a bound. Half of it may pass until the group knows that reads are
# lost. Of the rest, a turn or two go to hosts that do not ask because they
# have just died, one fetch to a peer that has, and a quarter is left for
# hosts that are slow.
MAX_ANSWER_AGE_SHARE = 0.5
# Time that a host leaves to the one whose turn to ask is before its own: an
# answer takes milliseconds, and peers hear of it within 20 ms.
PROBE_STAGGER_SHARE = 0.05
# An answer of another group is handed on at once if it is newer by this time
# than all that is known here.
FORWARD_THRESHOLD_SHARE = 0.1
# A peer that is ahead and does not answer is given up after this time, for
# another one: it died or froze just after it spoke.
FETCH_TIMEOUT_SHARE = 0.2
# Time between two probes of one host: each host of a group adds a turn, and
# two bounds hold for very few and very many hosts.
MIN_PROBE_INTERVAL_SHARE = 0.25
MAX_PROBE_INTERVAL_SHARE = 0.5
# Part of ``max_answer_age_s`` in which an answer is due while all is well, so
# that nobody asks for lack of one.
ANSWER_SPACING_SHARE = 0.75


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """What follows from one bound; all in seconds."""

    # Age of the group's newest answer from which on it asks anew.
    max_answer_age_s: float
    # How much later each next host asks.
    probe_stagger_s: float
    # By how much an answer of another group must be newer to be urgent.
    forward_threshold_s: float
    # How long a peer may take to hand on what it knows.
    fetch_timeout_s: float
    # Least and most time between two probes of one host.
    min_probe_interval_s: float
    max_probe_interval_s: float


def derive_timing(bound_s: float) -> Timing:
    """Return what keeps a bound on the time until a change is known."""
    bound_s = max(MIN_BOUND_S, bound_s)
    return Timing(
        max_answer_age_s=bound_s * MAX_ANSWER_AGE_SHARE,
        probe_stagger_s=bound_s * PROBE_STAGGER_SHARE,
        forward_threshold_s=bound_s * FORWARD_THRESHOLD_SHARE,
        fetch_timeout_s=bound_s * FETCH_TIMEOUT_SHARE,
        min_probe_interval_s=bound_s * MIN_PROBE_INTERVAL_SHARE,
        max_probe_interval_s=bound_s * MAX_PROBE_INTERVAL_SHARE,
    )


def find_read_wait(timing: Timing, readers: int) -> float:
    """Return how long a read waits for records, in seconds.

    With few readers it is so short that their answers, evenly spread, still
    come in time.
    """
    spacing = timing.max_answer_age_s * ANSWER_SPACING_SHARE
    return min(MAX_READ_WAIT_S, spacing * readers)


def find_staggered_wait(timing: Timing, index: int, readers: int) -> float:
    """Return how long the first read after new records waits.

    A record ends the reads of all hosts at the same moment. If the next ones
    began and ended together, a silence of a moment would swallow all of them.
    So each host starts with another part of the whole wait, by its place
    among the readers, and their reads end one after the other from then on.
    """
    return find_read_wait(timing, readers) * (index + 1) / readers


def find_probe_interval(timing: Timing, hosts: int) -> float:
    """Return the time between two probes of one host of a group, in seconds.

    In an outage every host of the group asks: those that were read from by
    the others are no better off. More hosts ask more rarely, so that a store
    that comes back meets as many calls of few hosts as of many.
    """
    gap = timing.probe_stagger_s * hosts
    return max(
        timing.min_probe_interval_s, min(timing.max_probe_interval_s, gap)
    )
