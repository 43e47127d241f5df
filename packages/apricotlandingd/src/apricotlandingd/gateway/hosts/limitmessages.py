"""Messages between hosts about the limits that runners state.

In a small system each host schedules its own requests until a runner states a
limit, so all are told at once. In a large system the coordinator of the runner
is told with the other observations.
"""

import collections.abc
import dataclasses
import typing as ty

import pydantic

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import startindex
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Hosts', 'LimitReport', 'LimitReports', 'LimitRow']

# Most rows of one message.
MAX_ROWS: ty.Final = 64
# Seconds between messages while a runner states a limit: a lost one, or one
# that came before the runner was known, is made good by the next.
REPEAT_INTERVAL_S = 1.0
MS_PER_S = 1000


class Hosts(ty.Protocol):
    """The other hosts, and a way to send to them."""

    @property
    def peers(self) -> collections.abc.Mapping[ids.Host, object]:
        """Return the other hosts that are known."""

    def has_multiple_groups(self) -> bool:
        """Tell whether there are too many hosts to tell all of them."""

    def find_address(self, host: ids.Host) -> addresses.Address | None:
        """Return the address at which another host takes messages."""

    def send(self, message: object, address: addresses.Address) -> None:
        """Send a datagram, which may be lost."""


class LimitRow(ty.NamedTuple):
    """What a host was told by a runner."""

    # Digest of the runner's start.
    runner: messages.Digest
    # Requests per second; None if the limit has ended.
    rate: ty.Annotated[float, pydantic.Field(ge=0.0, le=1e9)] | None
    # Milliseconds since the statement.
    age_ms: messages.Count


@messages.registry.register(12)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """What a host was told by runners."""

    rows: ty.Annotated[list[LimitRow], pydantic.Field(max_length=MAX_ROWS)]


@ty.final
class LimitReports:
    """Tells other hosts what runners stated, and applies what they tell."""

    def __init__(
        self,
        limits: statedlimits.StatedLimits,
        starts: startindex.StartIndex,
        hosts: Hosts,
    ) -> None:
        """Share the limits of the runners in an index."""
        self._limits = limits
        self._starts = starts
        self._hosts = hosts
        self._sent_at = 0.0

    def publish(self, start: ids.RunnerStart, now: float) -> None:
        """Tell all hosts a runner's newest statement."""
        if self._hosts.has_multiple_groups():
            return
        statement = self._limits.find_statement(start)
        if statement is not None:
            self._send([(start, statement)], list(self._hosts.peers), now)

    def greet(self, host: ids.Host, now: float) -> None:
        """Tell a host that has just started."""
        self._send(self._limits.list_limited(), [host], now)

    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        if now - self._sent_at < REPEAT_INTERVAL_S:
            return
        self._sent_at = now
        if not self._hosts.has_multiple_groups():
            limited = self._limits.list_limited()
            self._send(limited, list(self._hosts.peers), now)

    def handle_report(self, report: LimitReport, now: float) -> None:
        """Apply what another host was told."""
        for row in report.rows:
            start = self._starts.find(row.runner)
            if start is not None:
                at = now - row.age_ms / MS_PER_S
                statement = statedlimits.Statement(row.rate, at)
                self._limits.merge(start, statement)

    def _send(
        self,
        found: list[tuple[ids.RunnerStart, statedlimits.Statement]],
        targets: collections.abc.Iterable[ids.Host],
        now: float,
    ) -> None:
        if not found:
            return
        rows = [
            LimitRow(
                messages.digest_start(start),
                statement.rate,
                max(0, round((now - statement.at) * MS_PER_S)),
            )
            for start, statement in found[:MAX_ROWS]
        ]
        for host in targets:
            address = self._hosts.find_address(host)
            if address is not None:
                self._hosts.send(LimitReport(rows), address)
