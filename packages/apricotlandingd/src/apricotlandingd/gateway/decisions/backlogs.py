"""Prompt tokens that runners have yet to read for this host's requests.

A runner reads prompts one after another, and a prompt may be a hundred times
longer than the next: what comes behind a long one has its first event when
that has been read. Requests at a runner say little about this, tokens that it
has yet to read do. Hosts tell each other theirs (``mesh``), and placement
counts both.
"""

import collections
import typing as ty

from apricotlanding import ids

__all__ = ['Backlogs']


@ty.final
class Backlogs:
    """Tokens of prompts that were sent and not answered yet, by runner."""

    def __init__(self) -> None:
        """Start without requests."""
        self.tokens: collections.Counter[ids.RunnerStart] = (
            collections.Counter()
        )
        self._sent: dict[str, tuple[ids.RunnerStart, int]] = {}

    def add(self, attempt: str, runner: ids.RunnerStart, tokens: int) -> None:
        """Count the prompt of a request that goes to a runner."""
        self.drop(attempt)
        if tokens <= 0:
            return
        self._sent[attempt] = (runner, tokens)
        self.tokens[runner] += tokens

    def drop(self, attempt: str) -> None:
        """Leave a prompt out: it was read, or its request has ended."""
        found = self._sent.pop(attempt, None)
        if found is None:
            return
        runner, tokens = found
        self.tokens[runner] -= tokens
        if self.tokens[runner] <= 0:
            del self.tokens[runner]
