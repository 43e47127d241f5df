"""Limits that runners state in their answers.

A runner in need states how many requests a second it takes from all hosts
together. The limit is in force for as long as its answers state one.
"""

import dataclasses
import typing as ty

import eliot

from apricotlanding import ids

__all__ = ['Statement', 'StatedLimits']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a runner's answer says about its limit."""

    # Requests per second; None if the answer states no limit.
    rate: float | None
    # Monotonic time at which it was read.
    at: float


@ty.final
class StatedLimits:
    """The newest statement of each start of a runner."""

    def __init__(self, log_kind: str = 'gateway:runner_limit') -> None:
        """Start without limits; changes are logged under ``log_kind``."""
        self._log_kind = log_kind
        self._statements: dict[ids.RunnerStart, Statement] = {}

    def find_rate(self, start: ids.RunnerStart) -> float | None:
        """Return the requests per second that a runner takes, if limited."""
        statement = self._statements.get(start)
        return None if statement is None else statement.rate

    def find_statement(self, start: ids.RunnerStart) -> Statement | None:
        """Return the newest statement of a runner that has stated a limit."""
        return self._statements.get(start)

    def list_limited(self) -> list[tuple[ids.RunnerStart, Statement]]:
        """Return the runners that state a limit, with their statements."""
        return [
            (start, statement)
            for start, statement in self._statements.items()
            if statement.rate is not None
        ]

    def note_answer(
        self,
        start: ids.RunnerStart,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Apply an answer; return whether it changed the limit.

        An answer without a limit ends it only if its request was sent after
        the limit was stated: the answer may be older than the statement.
        """
        known = self._statements.get(start)
        if rate is None and (known is None or sent_at <= known.at):
            return False
        return self._store(start, Statement(rate, now), is_reported=False)

    def merge(self, start: ids.RunnerStart, statement: Statement) -> bool:
        """Apply what another host was told, unless it is older."""
        known = self._statements.get(start)
        if known is not None and statement.at <= known.at:
            return False
        return self._store(start, statement, is_reported=True)

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._statements) - starts:
            del self._statements[start]

    def _store(
        self, start: ids.RunnerStart, statement: Statement, is_reported: bool
    ) -> bool:
        known = self.find_rate(start)
        if statement.rate == known:
            # Its time stays that of the first such statement.
            return False
        self._statements[start] = statement
        eliot.log_message(
            self._log_kind,
            runner=ids.parse_runner(start),
            rate=statement.rate,
            before=known,
            is_reported=is_reported,
        )
        return True
