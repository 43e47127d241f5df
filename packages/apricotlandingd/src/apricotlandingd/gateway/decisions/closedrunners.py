"""Runners that this host may not use now because of what they said.

A runner that leaves is closed for good, and is no longer among the open ones
of the directory. A runner that asked this host for rest is closed until that
ends: a request that could only be sent there waits for it, or is refused with
the time that is left.
"""

import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import rests

__all__ = [
    'ClosedRunners',
    'RestingRunner',
    'describe_resting',
    'find_rest_wait',
]

Description = dict[str, ty.Any]


class RestingRunner(ty.NamedTuple):
    """A runner, and the rest that it asked for."""

    entry: dialect.RunnerEntry
    rest: rests.Rest


@ty.final
class ClosedRunners:
    """The runners that are left out of decisions, and why."""

    def __init__(
        self, runners: directory.Directory, own_rests: rests.Rests
    ) -> None:
        """Look at a directory, and at the rests asked of this host."""
        self._runners = runners
        self._rests = own_rests

    def is_resting(self, start: ids.RunnerStart, now: float) -> bool:
        """Tell whether a runner has asked for rest that is not over."""
        return self._rests.find(start, now) is not None

    def waits_for_rest(
        self, request: queueing.QueuedRequest, now: float
    ) -> bool:
        """Tell whether all runners that a request may use rest."""
        if not self._rests.has_any():
            return False
        untried = [
            entry
            for entry in self._runners.list_open(request.service)
            if request.allows(entry)
        ]
        return 0 < len(untried) == len(self.list_resting(untried, now))

    def find_shortest_rest(self, service: ids.Pool, now: float) -> float:
        """Return the seconds until a runner of a service has rested.

        0 if one does not rest.
        """
        entries = self._runners.list_open(service)
        resting = self.list_resting(entries, now)
        if len(resting) < len(entries):
            return 0.0
        return min((item.rest.ends_at - now for item in resting), default=0.0)

    def list_resting(
        self, entries: list[dialect.RunnerEntry], now: float
    ) -> list[RestingRunner]:
        """Return those of some runners that rest."""
        found: list[RestingRunner] = []
        if not self._rests.has_any():
            return found
        for entry in entries:
            rest = self._rests.find(entry.start, now)
            if rest is not None:
                found.append(RestingRunner(entry, rest))
        return found

    def describe_leaving(
        self, service: ids.Pool, now: float
    ) -> list[Description]:
        """Return the runners that said that they leave, for the log."""
        return [
            {
                'runner': ids.parse_runner(start),
                'reported_by': departure.reported_by,
                'age_s': round(now - departure.at, 2),
            }
            for start, departure in self._runners.list_leaving(service)
        ]

    def log_detour(
        self,
        request: queueing.QueuedRequest,
        chosen: ids.RunnerStart,
        resting: list[RestingRunner],
        now: float,
    ) -> None:
        """Log why a request was not sent to other runners."""
        leaving = self.describe_leaving(request.service, now)
        if leaving:
            eliot.log_message(
                'gateway:leaving_detour',
                attempt=request.attempt,
                runner=ids.parse_runner(chosen),
                leaving=leaving,
            )
        if resting:
            eliot.log_message(
                'gateway:rest_detour',
                attempt=request.attempt,
                runner=ids.parse_runner(chosen),
                resting=describe_resting(resting, now),
            )


def describe_resting(
    resting: list[RestingRunner], now: float
) -> list[Description]:
    """Return the runners that rest, for the log."""
    return [
        {
            'runner': ids.parse_runner(item.entry.start),
            'age_s': round(now - item.rest.asked_at, 2),
            'left_s': round(item.rest.ends_at - now, 2),
        }
        for item in resting
    ]


def find_rest_wait(
    request: queueing.QueuedRequest,
    usable: list[dialect.RunnerEntry],
    resting: list[RestingRunner],
    now: float,
) -> float:
    """Return the seconds until a runner that a request may use has rested.

    0 if it may use one now, or if none rests.
    """
    if any(request.allows(entry) for entry in usable):
        return 0.0
    return min(
        (
            item.rest.ends_at - now
            for item in resting
            if request.allows(item.entry)
        ),
        default=0.0,
    )
