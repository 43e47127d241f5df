"""Messages between hosts about brittle runners.

All hosts are told, also in a large system: any of them may have to decide
alone or coordinate. What several runners say within a tick is one message.
"""

import collections
import collections.abc
import dataclasses
import random
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import startindex
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['BrittleReport', 'BrittleReports', 'BrittleRow', 'Hosts']

# Most rows of one message.
MAX_ROWS: ty.Final = 64
# Most requests turned away that one row counts.
MAX_TURNED_AWAY: ty.Final = 1000
# Seconds between repeats while a runner is brittle, and the hosts that each
# goes to: a lost message is made good by the next.
REPEAT_INTERVAL_S = 1.0
REPEAT_HOSTS: ty.Final = 8
MS_PER_S = 1000


class Hosts(ty.Protocol):
    """The other hosts, and a way to send to them."""

    @property
    def peers(self) -> collections.abc.Mapping[ids.Host, object]:
        """Return the other hosts that are known."""

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Send a datagram to several hosts; it may be lost."""


class BrittleRow(ty.NamedTuple):
    """What a host was told by a runner."""

    # Digest of the runner's start.
    runner: messages.Digest
    # Requests a second that it may turn away; None if it is brittle no more.
    tolerance: ty.Annotated[float, pydantic.Field(ge=0.0, le=1e9)] | None
    # Milliseconds since the statement.
    age_ms: messages.Count
    # Requests of the host that it turned away since the last message.
    turned_away: ty.Annotated[int, pydantic.Field(ge=0, le=MAX_TURNED_AWAY)]


@messages.registry.register(17)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class BrittleReport:
    """What a host was told by runners."""

    rows: ty.Annotated[list[BrittleRow], pydantic.Field(max_length=MAX_ROWS)]


@ty.final
class BrittleReports:
    """Tells other hosts of brittle runners, and applies what they tell."""

    def __init__(
        self,
        runners: brittleness.Brittleness,
        starts: startindex.StartIndex,
        hosts: Hosts,
        rng: random.Random,
    ) -> None:
        """Share what the runners of an index say."""
        self._runners = runners
        self._starts = starts
        self._hosts = hosts
        self._rng = rng
        # Runners to tell of at the next tick, and what each turned away.
        self._due: collections.Counter[ids.RunnerStart] = collections.Counter()
        self._repeated_at = 0.0

    def publish(self, start: ids.RunnerStart) -> None:
        """Tell all hosts a runner's newest statement."""
        self._due[start] += 0

    def publish_turned_away(self, start: ids.RunnerStart) -> None:
        """Tell all hosts that a runner has turned a request away."""
        self._due[start] += 1

    def greet(self, host: ids.Host, now: float) -> None:
        """Tell a host that has just started."""
        self._send(dict.fromkeys(self._runners.list_brittle(), 0), [host], now)

    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        if self._due:
            due, self._due = dict(self._due), collections.Counter()
            self._send(due, list(self._hosts.peers), now)
        if now - self._repeated_at < REPEAT_INTERVAL_S:
            return
        self._repeated_at = now
        brittle = self._runners.list_brittle()
        if brittle:
            peers = list(self._hosts.peers)
            chosen = self._rng.sample(peers, min(REPEAT_HOSTS, len(peers)))
            self._send(dict.fromkeys(brittle, 0), chosen, now)

    def handle_report(self, report: BrittleReport, now: float) -> None:
        """Apply what another host was told."""
        for row in report.rows:
            start = self._starts.find(row.runner)
            if start is None:
                continue
            at = now - row.age_ms / MS_PER_S
            statement = statedlimits.Statement(row.tolerance, at)
            self._runners.statements.merge(start, statement)
            if row.turned_away:
                self._runners.note_turned_away(start, row.turned_away, now)

    def _send(
        self,
        turned_away: dict[ids.RunnerStart, int],
        hosts: list[ids.Host],
        now: float,
    ) -> None:
        rows: list[BrittleRow] = []
        for start, count in turned_away.items():
            statement = self._runners.statements.find_statement(start)
            if statement is None:
                continue
            age_ms = max(0, round((now - statement.at) * MS_PER_S))
            rows.append(
                BrittleRow(
                    messages.digest_start(start),
                    statement.rate,
                    age_ms,
                    min(MAX_TURNED_AWAY, count),
                )
            )
        for first in range(0, len(rows), MAX_ROWS):
            report = BrittleReport(rows[first : first + MAX_ROWS])
            self._hosts.send_to_all(report, hosts)
