"""Which runner a request goes to.

Among the runners with a free place, the one that is expected to finish the
request first, by its learned speed, by what it keeps of the prompt and by
how full it is. Runners that fail are used only if no other has a place.
"""

import dataclasses
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.runners import pace

__all__ = ['Candidate', 'choose_runner']

# Part by which a full runner generates slower than one with a single request.
FULL_LOAD_SLOWDOWN_RATIO = 0.25
# Part of the time to read the prompt by which the runner that a prompt's last
# part belongs to is preferred, before it is known to keep the part. All hosts
# compute the same runner, so they share its cache without a message. The last
# part is its session's, or the request's own; then the home is one drawn for
# each request, and that has a worth of its own: hosts that decide at the same
# moment do not all choose the best runner, where prompts wait to be read one
# after the other. Small enough that speed and load go first.
PREFERRED_READ_SAVING_RATIO = 0.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A runner with a free place."""

    runner: ids.RunnerStart
    # Places taken and in all.
    used: int
    slots: int
    pace: pace.Pace
    is_avoided: bool
    # This host sent the prompt's last part there a short time ago.
    has_cached_prefix: bool


def choose_runner(
    request: queueing.QueuedRequest, candidates: list[Candidate]
) -> Candidate | None:
    """Return the best runner; None if there is no option."""
    untried = [
        candidate
        for candidate in candidates
        if candidate.runner not in request.tried
    ]
    if not untried:
        return None
    healthy = [candidate for candidate in untried if not candidate.is_avoided]
    if request.last_part:
        preferred = max(
            untried,
            key=lambda candidate: _hash_affinity(
                request.last_part, candidate.runner
            ),
        ).runner
    else:
        preferred = None
    return min(
        healthy or untried,
        key=lambda candidate: _predict(
            request, candidate, candidate.runner == preferred
        ),
    )


def _predict(
    request: queueing.QueuedRequest, candidate: Candidate, is_preferred: bool
) -> float:
    read = candidate.pace.read_s * request.prompt_tokens
    saved = 0.0
    if candidate.has_cached_prefix:
        saved = read
    elif is_preferred:
        saved = read * PREFERRED_READ_SAVING_RATIO
    load = 1 + FULL_LOAD_SLOWDOWN_RATIO * candidate.used / candidate.slots
    rest = candidate.pace.write_s * request.events
    return candidate.pace.start_s + read - saved + rest * load


def _hash_affinity(part: str, start: ids.RunnerStart) -> int:
    # By the registered id: the homes of other runners' parts stay as they are
    # when one of them starts again.
    runner = ids.find_runner(start)
    return xxhash.xxh3_64_intdigest(f'{part} {runner}'.encode())
