"""Messages between hosts about runners that say that they leave.

The host that a runner tells first passes it on to all others, so that in an
outage of the store no host has to learn it from a request of its own, and all
divide the open runners into the same subsets. A host that misses the message
is told by the runner's next answer to it.
"""

import collections.abc
import dataclasses
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import directory

__all__ = ['DepartureReport', 'DepartureReports', 'Hosts']

# Most runners of one message, and longest identifier of a start.
MAX_STARTS: ty.Final = 64
MAX_START_CHARS: ty.Final = 256

Start = ty.Annotated[
    ids.RunnerStart, pydantic.Field(max_length=MAX_START_CHARS)
]


class Hosts(ty.Protocol):
    """The other hosts, and a way to send to them."""

    @property
    def peers(self) -> collections.abc.Mapping[ids.Host, object]:
        """Return the other hosts that are known."""

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Send a datagram to several hosts; it may be lost."""


@messages.registry.register(15)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class DepartureReport:
    """Runners that told a host that they leave."""

    host: ids.Host
    starts: ty.Annotated[list[Start], pydantic.Field(max_length=MAX_STARTS)]


@ty.final
class DepartureReports:
    """Tells other hosts which runners leave, and applies what they tell."""

    def __init__(
        self, host: ids.Host, runners: directory.Directory, hosts: Hosts
    ) -> None:
        """Share the departures of a directory."""
        self._host = host
        self._runners = runners
        self._hosts = hosts

    def publish(self, start: ids.RunnerStart) -> None:
        """Tell all hosts that a runner leaves."""
        self._send([start], list(self._hosts.peers))

    def greet(self, host: ids.Host) -> None:
        """Tell a host that has just started."""
        starts = self._runners.departures.list_starts()
        known = [start for start in starts if self._runners.find(start)]
        self._send(known, [host])

    def handle_report(self, report: DepartureReport, now: float) -> None:
        """Apply what another host was told."""
        for start in report.starts:
            self._runners.note_leaving(start, now, report.host)

    def _send(
        self, starts: list[ids.RunnerStart], hosts: list[ids.Host]
    ) -> None:
        sent = [start for start in starts if len(start) <= MAX_START_CHARS]
        if sent:
            report = DepartureReport(self._host, sent[:MAX_STARTS])
            self._hosts.send_to_all(report, hosts)
