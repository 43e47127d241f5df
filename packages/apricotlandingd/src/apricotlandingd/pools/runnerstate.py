"""A pool scheduler's view of one runner.

Load reports are stale when they are read, so the scheduler counts its own
grants and uses reports only for what it cannot know. The speed of a runner is
estimated from finished requests: seconds per prefill token and per output
token, as exponential moving averages. A runner without measurements is
assumed to have default speeds.

The blocks that a runner caches are predicted from the requests sent to it and
corrected by its cache events, which arrive late and with gaps. A wrong
prediction costs time but never correctness.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import wire

__all__ = ['Assignment', 'RunnerState']

# Tokens in a cache block; must equal the block size of the engines.
BLOCK_TOKENS = 16
# Weight of the newest measurement in an exponential moving average.
_NEWEST_MEASUREMENT_WEIGHT = 0.2
# Seconds per token before the first measurement.
_PREFILL_TOKEN_S = 1.0 / 8000.0
_OUTPUT_TOKEN_S = 0.006
# Limit of predicted blocks per runner; more than an engine caches is useless.
_MAX_CACHED_BLOCKS = 8192
# How long a runner that failed a request gets no work.
FAILURE_PAUSE_S = 1.0
# How long an answer to one daemon shows that a runner is there, and that
# another daemon that fails has lost its link.
ANSWER_MAX_AGE_S = 1.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A request that is assigned to a runner."""

    ticket: str
    tokens: int
    prompt_tokens: int
    # Prompt tokens that were not expected in the cache.
    uncached_tokens: int
    # Expected seconds of other prefill before its own.
    expected_wait_s: float
    # Whether it may take the slots reserved for short requests.
    is_short: bool


@ty.final
class RunnerState:
    """One runner of a pool."""

    def __init__(self, model: bundle.RunnerModel) -> None:
        """Start idle, with an empty cache and without measurements."""
        self.name = ids.Runner(model.name)
        self.model = model
        # Requests that this scheduler has granted, by ticket.
        self.assigned: dict[str, Assignment] = {}
        # How many of these are short.
        self.short_count = 0
        self.is_leaving = False
        # No grants before this time, after it rejected or failed a request.
        self.paused_until = float('-inf')
        # From its latest load report.
        self.reported_requests = 0
        # When it last completed a request of each daemon.
        self._answered_at: dict[ids.Incarnation, float] = {}
        # False after load reports have failed for too long.
        self.is_reporting = True
        self.prefill_token_s = _PREFILL_TOKEN_S
        self.output_token_s = _OUTPUT_TOKEN_S
        self.has_measurements = False
        # When the prefill of all assigned requests is expected to end.
        self._prefill_until = float('-inf')
        self._tokens = 0
        self._cached_blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def count_requests(self) -> int:
        """Return how many requests are assigned to it."""
        return len(self.assigned)

    def count_tokens(self) -> int:
        """Return the prompt and output tokens of those requests."""
        return self._tokens

    def is_usable(self, now: float) -> bool:
        """Tell whether it may get work at all."""
        if self.is_leaving or not self.is_reporting:
            return False
        return now >= self.paused_until

    def has_room(self, tokens: int) -> bool:
        """Tell whether its batch can hold so many more tokens."""
        if not self.assigned:
            return True
        if len(self.assigned) >= self.model.slots:
            return False
        return self._tokens + tokens <= self.model.batch_tokens

    def assign(self, assignment: Assignment, now: float) -> None:
        """Count a request as assigned from now on."""
        self.release(assignment.ticket)
        self._prefill_until = (
            max(self._prefill_until, now)
            + assignment.uncached_tokens * self.prefill_token_s
        )
        self.assigned[assignment.ticket] = assignment
        self._tokens += assignment.tokens
        self.short_count += assignment.is_short

    def release(self, ticket: str) -> Assignment | None:
        """Remove a request; return None if it was not assigned."""
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
        """Add blocks to its predicted cache."""
        for block in blocks:
            self._cached_blocks[block] = None
            self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) > _MAX_CACHED_BLOCKS:
            self._cached_blocks.popitem(last=False)

    def remove_cached_block(self, block: int) -> None:
        """Remove a block from its predicted cache."""
        self._cached_blocks.pop(block, None)

    def estimate_wait(self, now: float) -> float:
        """Return seconds until the assigned prefill is expected to end."""
        return max(self._prefill_until - now, 0.0)

    def estimate_seconds(
        self, prefill_tokens: int, output_tokens: int, now: float
    ) -> float:
        """Return the expected duration of a request, waiting included.

        A prefill blocks the whole batch, so the prefill of earlier requests
        that is probably still pending comes first.
        """
        slowdown = 1.0 + 0.08 * len(self.assigned)
        return (
            self.estimate_wait(now)
            + max(prefill_tokens, 0) * self.prefill_token_s
            + output_tokens * self.output_token_s * slowdown
        )

    def record_result(
        self,
        assignment: Assignment,
        message: wire.Finished,
        sender: ids.Incarnation,
        now: float,
    ) -> None:
        """Update the estimates with a request that has finished."""
        if not message.is_good:
            if not self._answers_others(sender, now):
                self.paused_until = now + FAILURE_PAUSE_S
            return
        self._answered_at[sender] = now
        if message.first_s is None or message.output_tokens < 2:
            return
        decode_s = (message.total_s - message.first_s) / (
            message.output_tokens - 1
        )
        prefill_s = message.first_s - assignment.expected_wait_s
        self._update_averages(prefill_s, assignment.uncached_tokens, decode_s)

    def _answers_others(self, sender: ids.Incarnation, now: float) -> bool:
        self._answered_at = {
            daemon: at
            for daemon, at in self._answered_at.items()
            if now - at < ANSWER_MAX_AGE_S
        }
        return any(daemon != sender for daemon in self._answered_at)

    def _update_averages(
        self, prefill_s: float, uncached: int, decode_s: float
    ) -> None:
        weight = _NEWEST_MEASUREMENT_WEIGHT if self.has_measurements else 1.0
        self.has_measurements = True
        self.output_token_s += weight * (decode_s - self.output_token_s)
        if uncached < 4 * BLOCK_TOKENS or prefill_s <= 0.0:
            # Too short to measure, or the expected wait was too long.
            return
        token_s = prefill_s / uncached
        self.prefill_token_s += _NEWEST_MEASUREMENT_WEIGHT * (
            token_s - self.prefill_token_s
        )
