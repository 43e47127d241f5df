"""What hosts tell each other of what runners do and say."""

import random
import typing as ty

from apricotlanding import crashreports
from apricotlanding import ids
from apricotlanding import partblame
from apricotlanding import quarantine
from apricotlandingd.gateway.hosts import brittlemessages
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import crashmessages
from apricotlandingd.gateway.hosts import departuremessages
from apricotlandingd.gateway.hosts import limitmessages
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.requests import crashguard
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import crashes
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import startindex
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Reports']


@ty.final
class Reports:
    """The reports of one host, and those that it takes."""

    def __init__(
        self,
        host: ids.Host,
        peers: mesh.Mesh,
        ranked: candidates.Candidates,
        runners: directory.Directory,
        limits: statedlimits.StatedLimits,
        brittle: brittleness.Brittleness,
        rng: random.Random,
    ) -> None:
        """Take the reports that arrive at a mesh."""
        self.crashes = crashreports.CrashReports(
            quarantine.Quarantine(host),
            crashmessages.MeshPeers(peers),
            ranked.list_first,
            host,
            rng,
        )
        parts = quarantine.Quarantine(host)
        self.part_reports = crashreports.CrashReports(
            parts,
            crashmessages.MeshPeers(peers, crashmessages.PartReport),
            ranked.list_first,
            host,
            rng,
            subject='part',
        )
        self.parts = partblame.PartBlame(
            parts, self.part_reports, ranked.list_first, host
        )
        self.limits = limitmessages.LimitReports(
            limits, startindex.StartIndex(runners), peers
        )
        self.brittle = brittlemessages.BrittleReports(
            brittle, startindex.StartIndex(runners), peers, rng
        )
        self.departures = departuremessages.DepartureReports(
            host, runners, peers
        )
        peers.subscribe(
            crashmessages.CrashReport,
            lambda report, now: self.crashes.handle_blames(
                crashmessages.read_report(report), now
            ),
        )
        peers.subscribe(
            crashmessages.PartReport,
            lambda report, now: self.parts.handle_blames(
                crashmessages.read_report(report), now
            ),
        )
        peers.subscribe(limitmessages.LimitReport, self.limits.handle_report)
        peers.subscribe(
            brittlemessages.BrittleReport, self.brittle.handle_report
        )
        peers.subscribe(
            departuremessages.DepartureReport, self.departures.handle_report
        )

    def make_guard(
        self,
        detector: crashes.CrashDetector,
        counts: telemetry.MetricRegistry,
    ) -> crashguard.CrashGuard:
        """Return the guard that refuses requests which crash runners."""
        return crashguard.CrashGuard(
            self.crashes, self.parts, detector, counts
        )

    def greet(self, host: ids.Host, now: float) -> None:
        """Tell a host that has just started what is known."""
        self.crashes.greet(host, now)
        self.part_reports.greet(host, now)
        self.limits.greet(host, now)
        self.brittle.greet(host, now)
        self.departures.greet(host)

    def tick(self, now: float) -> None:
        """Send the reports that are due."""
        self.crashes.tick(now)
        self.part_reports.tick(now)
        self.limits.tick(now)
        self.brittle.tick(now)
