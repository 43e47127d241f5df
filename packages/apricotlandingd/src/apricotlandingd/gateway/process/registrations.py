"""Applies the records of runners' registrations, and logs what they change."""

import collections.abc
import dataclasses
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import positions
from apricotlandingd.gateway.runners import directory

__all__ = ['RegistrationHandler']


@ty.final
class RegistrationHandler:
    """Keeps the directory in line with the records."""

    def __init__(
        self,
        platform_dialect: dialect.Dialect,
        runners: directory.Directory,
        fresh: freshness.Freshness,
        input_errors: inputerrors.InputErrors,
        on_start: collections.abc.Callable[[ids.RunnerStart], None],
        has_rollouts: bool = False,
    ) -> None:
        """Apply records to a directory.

        The directory is told of all answers that ``fresh`` learns of.
        ``on_start`` is called with each new start of a runner. Without
        ``has_rollouts``, runners of all releases are one pool.
        """
        self._dialect = platform_dialect
        self._directory = runners
        self._input_errors = input_errors
        self._on_start = on_start
        self._has_rollouts = has_rollouts
        self._freshness = fresh
        fresh.on_answer = self._note_answer

    def handle_record(self, record: dialect.Record, now: float) -> bool:
        """Apply the newest record of a runner.

        Returns whether it states something older than what is known.
        """
        runner = ids.Runner(record.key)
        birth: int | None = None
        release: ids.Release | None = None
        is_older = False
        if record.value is None:
            known_at = self._freshness.find_known_at(dialect.RUNNERS)
            self._directory.remove(runner, now, known_at)
            state = 'removed'
        else:
            try:
                entry = self._dialect.decode_runner(runner, record.value)
            except dialect.Unreadable as error:
                self._retract(runner, str(error), now)
                return False
            if not self._has_rollouts:
                entry = dataclasses.replace(entry, is_pooled_by_release=False)
            birth = ids.parse_start_time(entry.start)
            release = entry.release
            state = 'draining' if entry.is_draining else 'open'
            if self._directory.is_registered_as(entry):
                # Read again as it was known.
                return False
            result = self._directory.update(entry, now)
            if result is directory.UpdateResult.START:
                self._on_start(entry.start)
            elif result is directory.UpdateResult.OUTDATED:
                state = 'outdated'
                is_older = True
            elif result is directory.UpdateResult.RESTORED:
                state = 'restored'
        _log_runner(
            runner,
            state,
            birth,
            positions.find_offset(record.offset),
            release,
        )
        return is_older

    def _note_answer(self, topic: dialect.Topic, at: float) -> None:
        if topic == dialect.RUNNERS:
            self._directory.note_answer(at)

    def _retract(self, runner: ids.Runner, detail: str, now: float) -> None:
        # The newest entry counts, and it names no usable runner. With the
        # previous entry, requests would go to a process that was replaced or
        # has withdrawn its registration.
        self._input_errors.report(
            inputerrors.Source.REGISTRATION, runner, detail, now
        )
        if self._directory.retract(runner, now):
            _log_runner(runner, 'unreadable')


def _log_runner(
    runner: ids.Runner,
    state: str,
    birth: int | None = None,
    offset: int | None = None,
    release: ids.Release | None = None,
) -> None:
    eliot.log_message(
        'gateway:runner',
        runner=runner,
        born=birth,
        state=state,
        offset=offset,
        release=release,
    )
