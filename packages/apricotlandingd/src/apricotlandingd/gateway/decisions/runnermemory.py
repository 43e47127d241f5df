"""Tokens that requests occupy in the memory of runners.

Answers long prompts that arrive together: a runner's process ends if the
requests that it holds exceed its memory, whatever slots are free. So the
tokens of all requests at a runner are counted, and a request waits or goes
elsewhere if the count would exceed what the runner's service states.
"""

import collections.abc
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.decisions import queueing

__all__ = ['RunnerMemory', 'StatedMemory', 'describe_wait']


@ty.final
class StatedMemory:
    """The memory that services state for each of their runners."""

    def __init__(
        self,
        find_tokens: collections.abc.Callable[[ids.Pool], int | None],
    ) -> None:
        """Look up the tokens by service; None if not stated."""
        self.find = find_tokens
        # Requests that waited for memory.
        self.waits = 0
        self._log_limit = logratelimit.LogRateLimit()

    def note_wait(
        self,
        request: queueing.QueuedRequest,
        runners: int,
        wait_s: float,
        now: float,
    ) -> None:
        """Count a request for which no runner has room; log some of them."""
        if request.waits_for_memory:
            return
        request.waits_for_memory = True
        self.waits += 1
        held = self._log_limit.admit(request.service, now)
        if held is None:
            return
        eliot.log_message(
            'gateway:memory_wait',
            attempt=request.attempt,
            service=request.service,
            tokens=request.memory_tokens,
            memory=self.find(ids.parse_service(request.service)),
            runners=runners,
            wait_s=round(min(wait_s, 999.0), 4),
            held_back=held,
        )


@ty.final
class RunnerMemory:
    """Tokens that the requests of one scheduler occupy at each runner."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: dict[ids.RunnerStart, int] = {}

    def has_room(
        self, start: ids.RunnerStart, capacity: int | None, tokens: int
    ) -> bool:
        """Tell whether a request fits; ``capacity`` is None if not stated."""
        if capacity is None or not tokens:
            return True
        return self.count(start) + tokens <= capacity

    def predict_wait(
        self,
        start: ids.RunnerStart,
        capacity: int,
        tokens: int,
        hold_s: float,
    ) -> float:
        """Return the expected seconds until a request fits.

        What is held is released evenly within ``hold_s``, the average time for
        which a slot is held. Infinite if the request does not fit even alone.
        """
        if tokens > capacity:
            return float('inf')
        count = self.count(start)
        missing = count + tokens - capacity
        if missing <= 0:
            return 0.0
        return hold_s * missing / count

    def take(self, start: ids.RunnerStart, tokens: int) -> None:
        """Count a request."""
        if tokens:
            self._counts[start] = self.count(start) + tokens

    def release(self, start: ids.RunnerStart, tokens: int) -> None:
        """Stop counting a request."""
        left = self.count(start) - tokens
        if left > 0:
            self._counts[start] = left
            return
        self._counts.pop(start, None)

    def count(self, start: ids.RunnerStart) -> int:
        """Return the tokens that are counted at a runner."""
        return self._counts.get(start, 0)

    def count_all(self) -> int:
        """Return the tokens that are counted at all runners."""
        return sum(self._counts.values())

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._counts) - starts:
            del self._counts[start]


def describe_wait(wait_s: float) -> dict[str, float]:
    """Return the wait for a runner's memory, to log; empty if there is none.

    ``wait_s`` is in seconds.
    """
    if not wait_s:
        return {}
    return {'memory_wait_s': round(min(wait_s, 999.0), 4)}
