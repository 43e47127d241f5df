"""What a pool scheduler knows of one runner.

Load reports are stale when they are read, so the scheduler counts what it
granted itself and uses reports only for what it cannot know. The speed of a
runner is learned from requests that ended: seconds for a prefill token and
for an output token, as moving averages. A runner that nobody has measured is
taken to be as fast as its generation's others.

The blocks that a runner caches are predicted from what was sent to it and
corrected by its cache events, which come late and with gaps. A wrong
prediction costs time and never correctness.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import wire

__all__ = ['Assignment', 'RunnerState']

# Tokens in a cache block; the engines' and ours must agree.
BLOCK_TOKENS = 16
# Weight of the newest measurement in an average.
_NEWEST_MEASUREMENT_WEIGHT = 0.2
# Seconds a token before anything was measured.
_PREFILL_TOKEN_S = 1.0 / 8000.0
_OUTPUT_TOKEN_S = 0.006
# Blocks remembered for each runner; more than an engine caches is of no use.
_MAX_CACHED_BLOCKS = 8192
# Seconds without work for a runner that failed a request.
FAILURE_PAUSE_S = 1.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """One request's place on a runner."""

    ticket: str
    tokens: int
    prompt_tokens: int
    # Prompt tokens that were not expected in the cache.
    uncached_tokens: int
    # Seconds of other prefill expected before its own.
    expected_wait_s: float
    # Whether it may take the slots kept for short requests.
    is_short: bool


@ty.final
class RunnerState:
    """One runner of a pool."""

    def __init__(self, model: bundle.RunnerModel) -> None:
        """Start idle, cold and unmeasured."""
        self.name = ids.Runner(model.name)
        self.model = model
        # What this scheduler has granted, by ticket.
        self.assigned: dict[str, Assignment] = {}
        # How many of these are short.
        self.short_count = 0
        self.is_leaving = False
        # No grants before this time: it refused or failed.
        self.paused_until = float('-inf')
        # From its latest load report.
        self.reported_requests = 0
        # False after load reports have failed for a while.
        self.is_reporting = True
        self.prefill_token_s = _PREFILL_TOKEN_S
        self.output_token_s = _OUTPUT_TOKEN_S
        self.has_measurements = False
        # When the prefill of all that was sent is expected to be done.
        self._prefill_until = float('-inf')
        self._tokens = 0
        self._cached_blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def count_requests(self) -> int:
        """Return how many requests this scheduler has put here."""
        return len(self.assigned)

    def count_tokens(self) -> int:
        """Return the tokens, prompt and output, of those requests."""
        return self._tokens

    def is_usable(self, now: float) -> bool:
        """Tell whether it may be given work at all."""
        if self.is_leaving or not self.is_reporting:
            return False
        return now >= self.paused_until

    def has_room(self, tokens: int) -> bool:
        """Tell whether its batch can hold so many tokens more."""
        if not self.assigned:
            return True
        if len(self.assigned) >= self.model.slots:
            return False
        return self._tokens + tokens <= self.model.batch_tokens

    def assign(self, assignment: Assignment, now: float) -> None:
        """Count a request as being here from now on."""
        self.release(assignment.ticket)
        self._prefill_until = (
            max(self._prefill_until, now)
            + assignment.uncached_tokens * self.prefill_token_s
        )
        self.assigned[assignment.ticket] = assignment
        self._tokens += assignment.tokens
        self.short_count += assignment.is_short

    def release(self, ticket: str) -> Assignment | None:
        """Count a request as gone; None if it was not here."""
        assignment = self.assigned.pop(ticket, None)
        if assignment is not None:
            self._tokens -= assignment.tokens
            self.short_count -= assignment.is_short
        return assignment

    def count_cached_tokens(self, prefix: list[int]) -> int:
        """Return how many tokens of a prefix are expected in its cache."""
        count = 0
        for block in prefix:
            if block not in self._cached_blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def add_cached_blocks(self, blocks: list[int]) -> None:
        """Expect these blocks in its cache."""
        for block in blocks:
            self._cached_blocks[block] = None
            self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) > _MAX_CACHED_BLOCKS:
            self._cached_blocks.popitem(last=False)

    def remove_cached_block(self, block: int) -> None:
        """No longer expect a block in its cache."""
        self._cached_blocks.pop(block, None)

    def estimate_wait(self, now: float) -> float:
        """Return seconds until the prefill that was sent here is done."""
        return max(self._prefill_until - now, 0.0)

    def estimate_seconds(
        self, prefill_tokens: int, output_tokens: int, now: float
    ) -> float:
        """Return how long a request would take here, waiting included.

        A prefill holds up the whole batch, so what was sent before and is
        probably not prefilled yet comes first.
        """
        slowdown = 1.0 + 0.08 * len(self.assigned)
        return (
            self.estimate_wait(now)
            + max(prefill_tokens, 0) * self.prefill_token_s
            + output_tokens * self.output_token_s * slowdown
        )

    def record_result(
        self, assignment: Assignment, message: wire.Finished, now: float
    ) -> None:
        """Learn from a request that ended."""
        if not message.is_good:
            self.paused_until = now + FAILURE_PAUSE_S
            return
        if message.first_s is None or message.output_tokens < 2:
            return
        decode_s = (message.total_s - message.first_s) / (
            message.output_tokens - 1
        )
        prefill_s = message.first_s - assignment.expected_wait_s
        self._update_averages(prefill_s, assignment.uncached_tokens, decode_s)

    def _update_averages(
        self, prefill_s: float, uncached: int, decode_s: float
    ) -> None:
        weight = _NEWEST_MEASUREMENT_WEIGHT if self.has_measurements else 1.0
        self.has_measurements = True
        self.output_token_s += weight * (decode_s - self.output_token_s)
        if uncached < 4 * BLOCK_TOKENS or prefill_s <= 0.0:
            # Too short to measure, or our expectation was off.
            return
        token_s = prefill_s / uncached
        self.prefill_token_s += _NEWEST_MEASUREMENT_WEIGHT * (
            token_s - self.prefill_token_s
        )
