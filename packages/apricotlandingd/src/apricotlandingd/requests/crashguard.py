"""Keeps requests that crash runners away from them.

``quarantine`` decides which requests these are, from what all daemons report;
see ``crashreports``. A runner has the same name after a crash, so its crashes
are told apart by the time of day: it needs seconds to come back.
"""

import collections.abc
import typing as ty

import eliot

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import contentkeys
from apricotlanding import crashreports
from apricotlanding import cuts
from apricotlanding import errors
from apricotlanding import hostlist
from apricotlanding import ids
from apricotlanding import metrics
from apricotlanding import probes
from apricotlanding import quarantine
from apricotlanding import wire
from apricotlandingd.peering import peers
from apricotlandingd.requests import admission

__all__ = ['CrashGuard', 'PeerHosts']

# Crashes of one runner within this time are taken for one: it takes longer to
# start.
CRASH_WINDOW_S = 1.0
# Age of the host list up to which it shows whether a runner leaves.
MAX_LIST_AGE_S = 5.0
# When a contested request may be decided by a trial.
CONTESTED_RETRY_AFTER_S = 2.0
TICK_INTERVAL_S = 0.25


@ty.final
class PeerHosts:
    """The daemons that this one is connected to."""

    def __init__(self, connections: peers.Peers) -> None:
        """Send on these connections."""
        self._peers = connections

    def list_hosts(self) -> list[ids.Host]:
        """Return the hosts of the dialled connections."""
        return [item.host for item in self._peers.list_dialed()]

    def send_blames(
        self, blames: list[quarantine.Blame], hosts: list[ids.Host]
    ) -> None:
        """Send some rows to hosts; they may be lost."""
        for connection in self._peers.list_dialed():
            if connection.host in hosts:
                connection.push(wire.CrashReport(blames))


@ty.final
class CrashGuard:
    """Refuses requests in quarantine, and reports how runners end."""

    def __init__(
        self,
        reports: crashreports.CrashReports,
        connections: peers.Peers,
        counts: metrics.Metrics,
    ) -> None:
        """Use this daemon's quarantine and host list."""
        self._reports = reports
        self._peers = connections
        self._metrics = counts

    def handle_report(
        self, report: wire.CrashReport, sender: ids.Incarnation
    ) -> None:
        """Apply another daemon's rows."""
        self._reports.handle_blames(report.rows, clocks.read_monotonic())

    async def run(
        self, wait: collections.abc.Callable[[float], ty.Awaitable[None]]
    ) -> None:
        """Send the messages that are due, until cancelled."""
        while True:
            await wait(TICK_INTERVAL_S)
            self._reports.tick(clocks.read_monotonic())

    def find_problem(
        self, request: admission.Request, now: float
    ) -> errors.Problem | None:
        """Return the problem of a request in quarantine."""
        if self._reports.is_empty():
            return None
        key = _derive_key(request)
        return self._refuse(request, key, self._reports.find_verdict(key, now))

    def admit_send(
        self, request: admission.Request, now: float
    ) -> errors.Problem | None:
        """Return the problem of a request that must not be sent now."""
        if self._reports.is_empty():
            return None
        key = _derive_key(request)
        return self._refuse(request, key, self._reports.take_send(key, now))

    def note_answer(self, request: admission.Request, now: float) -> None:
        """Note that a runner has answered a request completely."""
        if not self._reports.is_empty():
            self._reports.record_completion(_derive_key(request), now)

    async def report_failure(
        self, request: admission.Request, model: bundle.RunnerModel
    ) -> None:
        """Find out whether a runner that failed a request has crashed."""
        liveness = await probes.probe_address(model.address)
        now = clocks.read_monotonic()
        cause = cuts.find_cause(
            self._is_leaving(ids.Runner(model.name)),
            liveness,
            now - self._peers.listed_at <= MAX_LIST_AGE_S,
        )
        key = _derive_key(request)
        eliot.log_message(
            'runner:cut',
            runner=model.name,
            cause=cause.value,
            liveness=liveness.value,
            content=contentkeys.format_key(key),
        )
        if cause is not cuts.Cause.CRASH:
            return
        self._metrics.count('runner.crashes')
        number = int(clocks.read_wall() / CRASH_WINDOW_S)
        crash = ids.identify_crash(ids.RunnerStart(model.name), number)
        self._reports.record_crash(crash, {key}, now)

    def _is_leaving(self, runner: ids.Runner) -> bool:
        listed = self._peers.listed.get(str(runner))
        if listed is None:
            # The platform lists runners only while they are to be used.
            return True
        return listed.state is hostlist.HostState.LEAVING

    def _refuse(
        self,
        request: admission.Request,
        key: ids.ContentKey,
        verdict: quarantine.Verdict | None,
    ) -> errors.Problem | None:
        if verdict is None:
            return None
        self._metrics.count('quarantine.refusals')
        eliot.log_message(
            'quarantine:refused',
            key=request.head.key,
            content=contentkeys.format_key(key),
            **crashreports.describe_verdict(verdict),
        )
        return errors.make_problem(
            errors.Kind.IN_QUARANTINE,
            CONTESTED_RETRY_AFTER_S
            if verdict.is_contested
            else verdict.left_s,
            crashes=len(verdict.blames),
        )


def _derive_key(request: admission.Request) -> ids.ContentKey:
    # The digest is that of the route and the body.
    return contentkeys.derive_key(
        request.head.organisation, request.head.route.name, request.digest
    )
