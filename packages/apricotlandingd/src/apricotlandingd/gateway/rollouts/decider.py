"""The decisions for one roll-out, from the reports of all hosts.

The first live host in the order for a service decides. Reports are complete,
so a host that takes over knows after one round what all have counted, and in
which phase they are. It decides nothing before that.
"""

import collections
import collections.abc
import dataclasses
import typing as ty

import eliot

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import evidence
from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway.decisions import verdicts
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import rolloutmessages
from apricotlandingd.gateway.rollouts import orders

__all__ = ['Decider', 'Reporter', 'Runners']

# Seconds between two judgements.
JUDGE_INTERVAL_S = 0.3
# Seconds for which a new decider gathers reports before it decides.
GATHER_S = 1.0
# Seconds after which it decides without having read the stored status.
STATUS_TIMEOUT_S = 3.0
# Seconds without a report after which a host is not waited for: it is cut off
# or gone, and sends nothing to the new release.
REPORTER_TIMEOUT_S = 3.0
# Seconds of the windows that are judged besides the whole time: a release may
# turn bad after it has answered well.
WINDOWS_S = (2.0, 5.0)
JUDGE = 'factor'
PLAN = 'late move'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Runners:
    """Numbers of open runners of a service."""

    old: int
    new: int


@ty.final
@dataclasses.dataclass(slots=True)
class Reporter:
    """The newest report of a host's process."""

    host: ids.Host
    address: addresses.Address
    number: int
    heard_at: float
    phase: orders.Phase
    sent: int = 0
    sent_new: int = 0
    running_old: int = 0
    longest_s: float = 0.0
    counts: evidence.Counts = dataclasses.field(default_factory=dict)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    at: float
    counts: evidence.Counts
    sent: int


@ty.final
class Decider:
    """Decides for one order."""

    def __init__(
        self,
        order: orders.Order,
        bounds: rolloutplan.Bounds,
        now: float,
        judge: str = JUDGE,
        plan: str = PLAN,
    ) -> None:
        """Start without reports, with ways to judge and to plan by name."""
        self._judge_counts = verdicts.find_judge(judge)
        self._plan = rolloutplan.find_plan(plan)
        self.order = order
        self._bounds = bounds
        self._since = now
        self.began_at = now
        self.step = rolloutplan.Step(orders.Phase.TRIAL)
        self.reporters: dict[int, Reporter] = {}
        self._judged_at = 0.0
        # Phase of the status in the store; None until it was read.
        self._stored: orders.Phase | None = None
        self._history: collections.deque[_Snapshot] = collections.deque()

    def handle_report(
        self, report: rolloutmessages.RolloutReport, now: float
    ) -> None:
        """Store a host's report."""
        known = self.reporters.get(report.process)
        if known is None:
            known = Reporter(
                report.host,
                messages.read_address(report.address),
                -1,
                now,
                report.phase,
            )
            self.reporters[report.process] = known
        for row in report.rows:
            # Counts only grow, so the order of messages does not matter.
            cell = evidence.Cell(row.runner, row.route, row.is_new, row.bin)
            known.counts[cell] = max(known.counts.get(cell, 0), row.answers)
        self.began_at = min(self.began_at, now - report.elapsed_s)
        if report.number < known.number:
            return
        known.number = report.number
        known.heard_at = now
        known.phase = report.phase
        known.sent = max(known.sent, report.sent)
        known.sent_new = max(known.sent_new, report.sent_new)
        known.running_old = report.running_old
        known.longest_s = max(known.longest_s, report.longest_s)
        if report.phase > self.step.phase:
            # Decided by the host that decided before.
            self._enter(rolloutplan.Step(report.phase), now)

    def restate(self, order: orders.Order) -> None:
        """Go on with the same order, read at another position."""
        self.order = order
        self.forget_stored()

    def forget_stored(self) -> None:
        """Forget what the store says: it may have lost it."""
        self._stored = None

    def find_unstored(
        self, live: collections.abc.Collection[ids.Host], now: float
    ) -> orders.Phase | None:
        """Return the phase that is to be stored; None if there is none.

        ``live`` are the hosts that serve callers, as far as this one hears.
        """
        if self.is_stored:
            return None
        if self.step.phase.is_final:
            return self.step.phase
        if self._stored is None:
            return orders.Phase.TRIAL
        if self._is_closed(live, now):
            return orders.Phase.COMPLETED
        return None

    def note_stored(
        self, status: orders.Status, now: float, wall: float
    ) -> None:
        """Continue from what the store holds."""
        self._stored = status.phase
        if status.began_at is not None:
            elapsed_s = max(0.0, wall - status.began_at)
            self.began_at = min(self.began_at, now - elapsed_s)
        if status.phase.is_final:
            self._enter(rolloutplan.Step(status.phase, reason='stored'), now)

    @property
    def is_stored(self) -> bool:
        """Tell whether the store has a final status."""
        return self._stored is not None and self._stored.is_final

    def decide(self, runners: Runners, now: float) -> bool:
        """Decide if it is due; return whether all hosts must know at once."""
        if now - self._judged_at < JUDGE_INTERVAL_S:
            return False
        if self.step.phase.is_final or not self._may_begin(now):
            return False
        self._judged_at = now
        progress = self._find_progress(runners, now)
        step = self._plan(progress, self._bounds)
        before, self.step = self.step, step
        if step.phase is not before.phase:
            self._log_step(step, progress, now)
            return True
        # A larger share may wait for the next replies.
        return step.sampling == 0 < before.sampling

    def find_elapsed(self, now: float) -> float:
        """Return the seconds since the order became known anywhere."""
        return now - self.began_at

    # Internal.

    def _is_closed(
        self, live: collections.abc.Collection[ids.Host], now: float
    ) -> bool:
        # No host has a request at an old runner any more. One that has not
        # reported may not know the order yet, and sends there.
        if self.step.phase is not orders.Phase.MOVING:
            return False
        recent = [
            reporter
            for reporter in self.reporters.values()
            if now - reporter.heard_at <= REPORTER_TIMEOUT_S
        ]
        if not {reporter.host for reporter in recent}.issuperset(live):
            return False
        return all(
            reporter.phase >= orders.Phase.MOVING and reporter.running_old == 0
            for reporter in recent
        )

    def _may_begin(self, now: float) -> bool:
        # The order may have ended before this host decided.
        passed_s = now - self._since
        if self._stored is None and passed_s < STATUS_TIMEOUT_S:
            return False
        return passed_s >= GATHER_S

    def _find_progress(
        self, runners: Runners, now: float
    ) -> rolloutplan.Progress:
        reporters = self.reporters.values()
        counts = evidence.add_counts(item.counts for item in reporters)
        sent = sum(item.sent for item in reporters)
        self._history.append(_Snapshot(now, counts, sent))
        while now - self._history[0].at > max(WINDOWS_S) + 1:
            self._history.popleft()
        return rolloutplan.Progress(
            phase=self.step.phase,
            elapsed_s=self.find_elapsed(now),
            duration_s=self.order.duration_s,
            finding=self._judge(counts, now),
            sent=sent,
            sent_new=sum(item.sent_new for item in reporters),
            rate=self._find_rate(sent, now),
            new_failures=sum(
                count
                for cell, count in counts.items()
                if cell.is_new and cell.bin == evidence.FAILURE_BIN
            ),
            old_runners=runners.old,
            new_runners=runners.new,
            longest_s=max((item.longest_s for item in reporters), default=0.0),
        )

    def _judge(self, counts: evidence.Counts, now: float) -> verdicts.Finding:
        found = [self._judge_counts(counts)]
        for window_s in WINDOWS_S:
            earlier = self._find_snapshot(now - window_s)
            if earlier is not None:
                recent = evidence.subtract_counts(counts, earlier.counts)
                found.append(self._judge_counts(recent))
        return max(found, key=lambda finding: finding.factor)

    def _find_snapshot(self, at: float) -> _Snapshot | None:
        found: _Snapshot | None = None
        for snapshot in self._history:
            if snapshot.at > at:
                break
            found = snapshot
        return found

    def _find_rate(self, sent: int, now: float) -> float:
        first = self._history[0]
        if now - first.at < JUDGE_INTERVAL_S:
            return sent / max(JUDGE_INTERVAL_S, self.find_elapsed(now))
        return (sent - first.sent) / (now - first.at)

    def _enter(self, step: rolloutplan.Step, now: float) -> None:
        if step.phase is not self.step.phase:
            self._log_step(step, None, now)
        self.step = step

    def _log_step(
        self,
        step: rolloutplan.Step,
        progress: rolloutplan.Progress | None,
        now: float,
    ) -> None:
        heard = [now - item.heard_at for item in self.reporters.values()]
        finding = None if progress is None else progress.finding
        eliot.log_message(
            'gateway:rollout_step',
            service=self.order.service,
            release=self.order.release,
            order=self.order.offset,
            phase=step.phase.name.lower(),
            reason=step.reason,
            elapsed_s=round(self.find_elapsed(now), 3),
            duration_s=self.order.duration_s,
            hosts=len(heard),
            oldest_report_s=round(max(heard, default=0.0), 3),
            finding=None if finding is None else dataclasses.asdict(finding),
            sent=None if progress is None else progress.sent,
            sent_new=None if progress is None else progress.sent_new,
            new_runners=None if progress is None else progress.new_runners,
        )
