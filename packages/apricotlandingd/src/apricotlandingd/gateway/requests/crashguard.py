"""Keeps requests that crash runners away from them.

``quarantine`` decides which requests these are, from what all hosts report;
see ``crashreports``.
"""

import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlanding import contentkeys
from apricotlanding import crashreports
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import partblame
from apricotlanding import quarantine
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.runners import crashes

__all__ = ['CheckedRequest', 'CrashGuard']

# Time for finding out why a runner cut a request, before it is sent again.
CAUSE_TIMEOUT_S = 0.05
# When a contested request may be decided by a trial.
CONTESTED_RETRY_AFTER_S = 2.0


class CheckedRequest(ty.Protocol):
    """What the guard has to know of a request."""

    head: dialect.RequestHead
    deadline_at: float

    @property
    def content_key(self) -> ids.ContentKey:
        """The key that all attempts with this content share."""

    @property
    def part_keys(self) -> frozenset[ids.ContentKey]:
        """The keys of the parts that other prompts may share."""


@ty.final
class CrashGuard:
    """Refuses requests in quarantine, and reports how runners end.

    While no request is blamed, no content key is computed for a request.
    """

    def __init__(
        self,
        reports: crashreports.CrashReports,
        parts: partblame.PartBlame,
        detector: crashes.CrashDetector,
        counts: telemetry.MetricRegistry,
    ) -> None:
        """Use this host's quarantines and crash detector."""
        self._reports = reports
        self._parts = parts
        self._detector = detector
        self._telemetry = counts

    def find_problem(
        self, admitted: CheckedRequest, now: float, was_sent: bool = False
    ) -> errors.Problem | None:
        """Return the problem of a request in quarantine.

        ``was_sent`` tells that a runner has failed it before.
        """
        if not self._reports.is_empty():
            verdict = self._reports.find_verdict(admitted.content_key, now)
            if verdict is not None:
                return self._refuse(admitted, verdict)
        found = self._parts.find(admitted.part_keys, now)
        if found is not None:
            return self._refuse_part(admitted, found)
        if was_sent and not self._parts.may_resend(admitted.part_keys):
            # It may end the next runner too.
            return errors.make_problem(
                errors.Kind.BAD_PART, CONTESTED_RETRY_AFTER_S
            )
        return None

    def explain_parts(
        self, part_keys: frozenset[ids.ContentKey], now: float
    ) -> errors.Problem | None:
        """Return as ``find_problem`` for parts of prompts; count nothing."""
        found = self._parts.find(part_keys, now)
        if found is None:
            return None
        return errors.make_problem(errors.Kind.BAD_PART, found.verdict.left_s)

    def admit_send(
        self, admitted: CheckedRequest, now: float
    ) -> errors.Problem | None:
        """Return the problem of a request that must not be sent now.

        Called just before each send: a contested request that is sent uses
        up this host's trial.
        """
        if not self._reports.is_empty():
            verdict = self._reports.take_send(admitted.content_key, now)
            if verdict is not None:
                return self._refuse(admitted, verdict)
        found = self._parts.take_send(admitted.part_keys, now)
        if found is not None:
            return self._refuse_part(admitted, found)
        return None

    def note_answer(
        self, entry: dialect.RunnerEntry, admitted: CheckedRequest
    ) -> None:
        """Note that a runner has answered a request completely."""
        self._detector.note_answer(entry.start)
        now = clocks.read_monotonic()
        self._parts.record_answer(admitted.part_keys, now)
        if not self._reports.is_empty():
            self._reports.record_completion(admitted.content_key, now)

    async def report_cut(
        self,
        entry: dialect.RunnerEntry,
        content_key: ids.ContentKey | None,
        is_awaited: bool,
        on_cause: crashes.OnCause | None = None,
        part_keys: frozenset[ids.ContentKey] = frozenset(),
    ) -> None:
        """Report that a runner cut a request, and wait for the cause if asked.

        The wait is for a request that may be sent again. Without
        ``content_key`` the runner only fell silent.
        """
        finished = self._detector.report_cut(
            entry, content_key, on_cause, part_keys
        )
        if not is_awaited:
            return
        with anyio.move_on_after(CAUSE_TIMEOUT_S):
            await finished.wait()

    def _refuse(
        self, admitted: CheckedRequest, verdict: quarantine.Verdict
    ) -> errors.Problem:
        self._telemetry.count('quarantine_refusals_total')
        eliot.log_message(
            'quarantine:refused',
            attempt=admitted.head.attempt,
            content=contentkeys.format_key(admitted.content_key),
            **crashreports.describe_verdict(verdict),
        )
        return errors.make_problem(
            errors.Kind.IN_QUARANTINE,
            CONTESTED_RETRY_AFTER_S
            if verdict.is_contested
            else verdict.left_s,
            crashes=len(verdict.blames),
        )

    def _refuse_part(
        self, admitted: CheckedRequest, found: partblame.PartVerdict
    ) -> errors.Problem:
        self._telemetry.count('part_refusals_total')
        eliot.log_message(
            'quarantine:refused',
            attempt=admitted.head.attempt,
            part=contentkeys.format_key(found.key),
            prompt=[part for part, _ in admitted.head.prefix],
            **crashreports.describe_verdict(found.verdict),
        )
        return errors.make_problem(errors.Kind.BAD_PART, found.verdict.left_s)
