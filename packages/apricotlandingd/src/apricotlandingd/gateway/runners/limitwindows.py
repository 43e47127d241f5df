"""Windows of answers from which the limit of one runner is learned.

What a window says is a median: the prompt of another request makes events
slower for a moment, and so does a short pause of the machine.
"""

import enum
import operator
import statistics
import typing as ty

__all__ = ['Proposal', 'Reason', 'Sample', 'Summary', 'Way', 'summarise']

# A window is judged when it has so many samples, and streams were observed for
# so many seconds, in which a runner generates about a long answer; a sample of
# a plain service counts as some of them.
MIN_SAMPLES = 3
MIN_WEIGHT_S = 2.0
# Older samples are left out: what they show may be over.
MAX_SAMPLE_AGE_S = 4.0


class Reason(enum.Enum):
    """Why a limit changes."""

    SLOW = 'slow'
    VERY_SLOW = 'very slow'
    # No answers under few requests are known to compare with.
    COMPARISON = 'comparison'
    # Fewer requests did help.
    CONFIRMED = 'confirmed'
    # Fewer requests did not help, so something else is slow.
    REFUTED = 'refuted'
    INCREASE = 'increase'
    # An increase lowered the throughput.
    REVERTED = 'reverted'


# Those that lower a limit before it is known whether that helps.
SUSPICIONS = frozenset((Reason.SLOW, Reason.VERY_SLOW, Reason.COMPARISON))


class Sample(ty.NamedTuple):
    """What one observation of a runner says."""

    at: float
    # For an event, or for an answer of a plain service.
    seconds: float
    # Seconds for which a stream was observed.
    weight_s: float
    # Requests at the runner.
    running: int


class Summary(ty.NamedTuple):
    """A window of answers of one runner."""

    # Median seconds for an event, or for an answer of a plain service.
    seconds: float
    # Mean requests at the runner.
    running: float
    samples: int
    # What was seen above a lowered limit until those requests had ended.
    above: 'Summary | None' = None

    def find_throughput(self) -> float:
        """Return the events, or answers, a second."""
        return self.running / self.seconds


class Proposal(ty.NamedTuple):
    """A limit that a way proposes."""

    limit: int
    reason: Reason


class Way(ty.Protocol):
    """Learns the limit of one runner."""

    def judge(
        self, found: Summary, limit: int, slots: int, now: float
    ) -> Proposal | None:
        """Judge a window; return the new limit, None to keep it."""

    def begin(self, found: Summary, limit: int, proposal: Proposal) -> None:
        """Note that a proposal takes effect in place of a limit."""

    def hold(self, found: Summary) -> None:
        """Note that a decrease is held, as peers are slow for other causes."""


def summarise(samples: list[Sample], now: float) -> Summary | None:
    """Return what samples say; None if they are too few."""
    recent = [
        sample for sample in samples if now - sample.at <= MAX_SAMPLE_AGE_S
    ]
    weight_s = sum(sample.weight_s for sample in recent)
    if len(recent) < MIN_SAMPLES or weight_s < MIN_WEIGHT_S:
        return None
    return Summary(
        _find_weighted_median(recent, weight_s),
        statistics.fmean(sample.running for sample in recent),
        len(recent),
    )


def _find_weighted_median(samples: list[Sample], weight_s: float) -> float:
    passed_s = 0.0
    found = 0.0
    for sample in sorted(samples, key=operator.attrgetter('seconds')):
        found = sample.seconds
        passed_s += sample.weight_s
        if passed_s * 2 >= weight_s:
            break
    return found
