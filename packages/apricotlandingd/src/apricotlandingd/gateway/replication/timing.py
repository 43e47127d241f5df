"""Timeouts and intervals of the store readers, derived from one bound.

The settings bound the time until a change that the store accepted is known on
every host. A long poll delivers it at once, unless the read is lost: the store
or the connection stopped responding, and the host notices only when the whole
wait is over. A single host could guard against that only with waits shorter
than the bound, which takes four times as many calls.

Hosts share this work. Each tells its peers the age of the store's last answer,
so a group knows the age of its newest answer. Reads of a group are staggered
(``find_staggered_wait``), so a missed answer is soon noticed on every host.
When the newest answer is older than ``Timing.max_answer_age_s``, one host
after another probes the store (``freshness``), and the others get new records
from the host that was answered.
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

# Longest time that a read waits at the store. With seven hosts, answers are
# then 0.7 s apart, and each host makes 0.4 calls a second for two topics.
MAX_READ_WAIT_S = 5.0
# A host whose last answer is older does not count as reaching the store: the
# longest wait, plus a second for the answer and one for a slow host.
MAX_STORE_ANSWER_AGE_S = MAX_READ_WAIT_S + 2.0
# Shorter bounds are raised to this. Messages between hosts are too slow to
# keep them, and hosts would query the store continuously.
MIN_BOUND_S = 0.4
# Shares of a bound. Half of it may pass until the group detects that reads are
# lost. The rest covers a turn or two of hosts that have just died and do not
# probe, one fetch from a peer that has just died, and a quarter for slow
# hosts.
MAX_ANSWER_AGE_SHARE = 0.5
# Delay between the turns of two hosts: an answer takes milliseconds, and peers
# hear of it within 20 ms.
PROBE_STAGGER_SHARE = 0.05
# An answer of another group is forwarded at once if it is newer by this than
# every answer known here.
FORWARD_THRESHOLD_SHARE = 0.1
# Timeout of a fetch from a peer that is ahead, before another one is asked:
# the peer may have died or frozen just after its message.
FETCH_TIMEOUT_SHARE = 0.2
# Limits of the interval between two probes of one host. Each host of a group
# adds one stagger; the limits apply to very small and very large groups.
MIN_PROBE_INTERVAL_SHARE = 0.25
MAX_PROBE_INTERVAL_SHARE = 0.5
# Share of ``max_answer_age_s`` within which answers arrive in normal
# operation, so that no host probes.
ANSWER_SPACING_SHARE = 0.75


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts and intervals derived from one bound, in seconds."""

    # Age of the group's newest answer above which hosts probe the store.
    max_answer_age_s: float
    # Delay between the turns of two hosts to probe.
    probe_stagger_s: float
    # How much newer an answer of another group must be to be forwarded at
    # once.
    forward_threshold_s: float
    # Timeout of a fetch of records from a peer.
    fetch_timeout_s: float
    # Limits of the interval between two probes of one host.
    min_probe_interval_s: float
    max_probe_interval_s: float


def derive_timing(bound_s: float) -> Timing:
    """Return the timing that keeps a bound on the delay of changes."""
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

    With few readers the wait is short enough for their evenly staggered
    answers to keep the bound.
    """
    spacing_s = timing.max_answer_age_s * ANSWER_SPACING_SHARE
    return min(MAX_READ_WAIT_S, spacing_s * readers)


def find_staggered_wait(timing: Timing, index: int, readers: int) -> float:
    """Return how long the first read after new records waits.

    A record ends the reads of all hosts at the same time. If the next reads
    also started and ended together, a short outage could lose all of them. So
    each host first waits a share of the full wait that grows with its index
    among the readers, and from then on their reads end one after another.
    """
    return find_read_wait(timing, readers) * (index + 1) / readers


def find_probe_interval(timing: Timing, hosts: int) -> float:
    """Return the interval between two probes of one host, in seconds.

    In an outage every host of the group probes, since the usual readers reach
    the store no better than the others. Hosts of a larger group probe less
    often, so a store that recovers gets about as many calls from a large
    group as from a small one.
    """
    interval_s = timing.probe_stagger_s * hosts
    return max(
        timing.min_probe_interval_s,
        min(timing.max_probe_interval_s, interval_s),
    )
