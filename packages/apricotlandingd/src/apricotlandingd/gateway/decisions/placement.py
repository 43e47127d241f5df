"""Choice of the runner for a request.

Of the runners with a free slot, the one that is expected to finish the request
first is chosen, based on its measured speed, its prefix cache and its load.
Failing runners are used only if no other has a free slot.

A runner at which the answer is not expected to end before its caller's
deadline is not used while another one of the service would do, also if that
one has no free slot now: the request would hold the slot for nothing.
"""

import dataclasses
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import unreadprompts
from apricotlandingd.gateway.runners import latency

__all__ = [
    'Candidate',
    'choose_runner',
    'ends_in_time',
    'find_preferred',
    'predict_end',
]

# How much slower a full runner generates than one with a single request.
FULL_LOAD_SLOWDOWN_RATIO = 0.25
# Share of the prompt's read time by which the preferred runner is favoured
# before it is known to have the prefix cached. Rendezvous hashing of the last
# part of the prefix selects the preferred runner, so all hosts prefer the same
# one and share its cache without messages. The last part identifies a session
# or only the request. In the latter case the preferred runner is effectively
# random, which is useful too: hosts that decide at the same time do not all
# choose the best runner, where prompts are read one after the other. The share
# is small enough for speed and load to take precedence.
PREFERRED_READ_SAVING_RATIO = 0.5
# Answers are often longer than their callers expect.
EXPECTED_EVENTS_RATIO = 1.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A runner with a free slot."""

    runner: ids.RunnerStart
    # Slots in use, and slots in total.
    used: int
    slots: int
    latency: latency.LatencyEstimate
    is_avoided: bool
    # This host recently sent the prompt's prefix there.
    has_cached_prefix: bool
    # What to expect there; None if capacity is not contended.
    prediction: unreadprompts.Prediction | None = None

    def count_late(self, request: queueing.QueuedRequest, now: float) -> int:
        """Return the answers that become late if the request goes there.

        That of the request, and those that pause for too long while the runner
        reads its prompt; 0 if capacity is not contended.
        """
        if self.prediction is None:
            return 0
        late = int(now + self.prediction.first_s > request.first_due_at)
        # A pause ends with the next event after the reading, which takes about
        # as long as the request's own first event.
        if 0 < request.max_gap_s < self.prediction.first_s:
            # Only what its own prompt adds counts.
            late += int(self.used * self._find_own_share())
        return late

    def _find_own_share(self) -> float:
        assert self.prediction is not None
        if not self.prediction.reading_s:
            # Its prompt is in the cache.
            return 0.0
        return self.prediction.read_s / self.prediction.reading_s


def choose_runner(
    request: queueing.QueuedRequest,
    candidates: list[Candidate],
    now: float = 0.0,
) -> Candidate | None:
    """Return the best candidate; None if all were already tried."""
    untried = [
        candidate
        for candidate in candidates
        if candidate.runner not in request.tried
    ]
    if not untried:
        return None
    healthy = [candidate for candidate in untried if not candidate.is_avoided]
    preferred = find_preferred(request, untried)
    return min(
        healthy or untried,
        key=lambda candidate: (
            candidate.count_late(request, now),
            predict_end(request, candidate, candidate.runner == preferred),
        ),
    )


def find_preferred(
    request: queueing.QueuedRequest, candidates: list[Candidate]
) -> ids.RunnerStart | None:
    """Return the preferred candidate for the request's prefix, if any."""
    if not request.last_part or not candidates:
        return None
    return max(
        candidates,
        key=lambda candidate: _hash_affinity(
            request.last_part, candidate.runner
        ),
    ).runner


def ends_in_time(
    request: queueing.QueuedRequest, candidate: Candidate, now: float
) -> bool:
    """Tell whether an answer that begins now should end in time."""
    latency_s = candidate.latency
    rest_s = latency_s.event_s * request.events * EXPECTED_EVENTS_RATIO
    first_s = latency_s.predict_first_event(request.prompt_tokens)
    if candidate.prediction is not None:
        first_s = candidate.prediction.first_s
    return now + first_s + rest_s <= request.ends_at


def predict_end(
    request: queueing.QueuedRequest, candidate: Candidate, is_preferred: bool
) -> float:
    """Return the seconds by which candidates are compared.

    Those until the answer ends, less what the prefix is expected to save.
    """
    read = candidate.latency.prompt_token_s * request.prompt_tokens
    saved = 0.0
    if candidate.has_cached_prefix:
        saved = read
    elif is_preferred:
        saved = read * PREFERRED_READ_SAVING_RATIO
    load = 1 + FULL_LOAD_SLOWDOWN_RATIO * candidate.used / candidate.slots
    rest = candidate.latency.event_s * request.events
    if candidate.prediction is not None:
        if is_preferred and not candidate.has_cached_prefix:
            saved = candidate.prediction.read_s * PREFERRED_READ_SAVING_RATIO
        else:
            # What is cached is not among the tokens to be read.
            saved = 0.0
        return candidate.prediction.first_s - saved + rest * load
    return candidate.latency.base_s + read - saved + rest * load


def _hash_affinity(part: str, start: ids.RunnerStart) -> int:
    # By the registered id, so that the restart of a runner does not change the
    # preferred runner of any prefix.
    runner = ids.parse_runner(start)
    return xxhash.xxh3_64_intdigest(f'{part} {runner}'.encode())
