"""The runners that may get requests, by service.

Built from the registrations that the records hold. A registration that
disappears while the store is out, or just after, may only have lapsed: the
runner could not renew it. Such a runner is kept for a moment, because a
lapse of all runners at once would otherwise refuse every request although
each of them serves.

A runner may start again under its id. Its registration then bears a later
birth, and all that was learned of the start before holds no more. A write of
the start before may reach the store after that of the new one, for the store
may carry out a call long after its caller has gone; it would bring back a
process that has ended, or let the new one seem to drain. So a registration
with an earlier birth than the latest one is outdated, whatever its place in
the records; the runner writes its own again with its next heartbeat.
"""

import dataclasses
import enum
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Directory', 'News']

# How long after its return the store may still miss a runner that lives, in
# seconds; the platform promises about two.
LAPSE = 2.2
# Seconds by which a runner is dropped before its drain time ends, so that
# what was sent to it just before arrives in time.
DRAIN_MARGIN = 0.5
# Seconds for which the birth of a runner that is gone is remembered: longer
# than the few seconds that the store may take to carry out a write of an
# earlier start.
BIRTH_MEMORY = 15.0


class News(enum.Enum):
    """What a registration says of the runner's start."""

    # It is the one that was known.
    SAME = 'same'
    # It was not known, and any that was has ended.
    START = 'start'
    # It has ended, for a later one was known: nothing was taken.
    OUTDATED = 'outdated'


@ty.final
@dataclasses.dataclass(slots=True)
class _Place:
    entry: dialect.RunnerEntry
    # When the registration went; None while it stands.
    removed_at: float | None = None


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Gone:
    # The last start of a runner, and when it was dropped.
    start: ids.RunnerStart
    at: float


@ty.final
class Directory:
    """Runners as they are registered."""

    def __init__(self, drain_s: float) -> None:
        """Start without runners.

        ``drain_s`` is the time after which a runner that has left gets
        nothing more, in seconds.
        """
        self._keep_s = 0.0
        self.set_drain_time(drain_s)
        # The latest start of each runner.
        self._places: dict[ids.Runner, _Place] = {}
        self._gone: dict[ids.Runner, _Gone] = {}
        self._outage_at: float | None = None
        self._return_at: float | None = None
        # Counts the changes, for those who keep what they derive from it.
        self.changes = 0

    def set_drain_time(self, drain_s: float) -> None:
        """Take the operators' bound, in seconds."""
        self._keep_s = max(0.0, drain_s - DRAIN_MARGIN)

    def note_outage(self, now: float) -> None:
        """Say that the store was not reached just now."""
        self._outage_at = now

    def note_return(self, now: float) -> None:
        """Say that the store serves again, after it served no host."""
        self.note_outage(now)
        self._return_at = now

    def update(self, entry: dialect.RunnerEntry) -> News:
        """Take a registration or its change.

        One that states no birth is taken to be of the start that is known.
        """
        runner = ids.parse_runner(entry.start)
        place = self._places.get(runner)
        if ids.parse_start_time(entry.start) is None:
            if place is not None:
                entry = dataclasses.replace(entry, start=place.entry.start)
        elif self._is_outdated(entry.start):
            return News.OUTDATED
        is_same = place is not None and place.entry.start == entry.start
        self._places[runner] = _Place(entry)
        self._gone.pop(runner, None)
        self.changes += 1
        return News.SAME if is_same else News.START

    def remove(self, runner: ids.Runner, now: float) -> None:
        """Take the end of a registration."""
        place = self._places.get(runner)
        if place is None or place.removed_at is not None:
            return
        if self._is_outage(now) and not place.entry.is_draining:
            place.removed_at = now
            return
        self._drop(runner, now)

    def retract(self, runner: ids.Runner, now: float) -> bool:
        """Take out a runner whose entry names no runner to use.

        At once, also while the store is out: the entry has not lapsed, it
        was written over. What runs at the runner goes on. Returns whether
        the runner was known.
        """
        if runner not in self._places:
            return False
        self._drop(runner, now)
        return True

    def expire(self, now: float) -> None:
        """Drop runners whose registration did not come back in time."""
        for runner, place in list(self._places.items()):
            if place.removed_at is None:
                continue
            if not self._may_come_back(place.removed_at, now):
                self._drop(runner, now)
        for runner, gone in list(self._gone.items()):
            if now - gone.at > BIRTH_MEMORY:
                del self._gone[runner]

    def find(self, start: ids.RunnerStart) -> dialect.RunnerEntry | None:
        """Return a start of a runner that is still known."""
        place = self._places.get(ids.parse_runner(start))
        if place is None or place.entry.start != start:
            return None
        return place.entry

    def list_open(self, service: ids.Pool) -> list[dialect.RunnerEntry]:
        """Return the runners of a service that take new requests."""
        return [
            place.entry
            for place in self._places.values()
            if place.entry.service == service and not place.entry.is_draining
        ]

    def list_services(self) -> set[ids.Pool]:
        """Return the services that have runners."""
        return {place.entry.service for place in self._places.values()}

    def list_all(self) -> list[dialect.RunnerEntry]:
        """Return all runners that are known."""
        return [place.entry for place in self._places.values()]

    def _drop(self, runner: ids.Runner, now: float) -> None:
        place = self._places.pop(runner)
        self._gone[runner] = _Gone(place.entry.start, now)
        self.changes += 1

    def _is_outdated(self, start: ids.RunnerStart) -> bool:
        runner = ids.parse_runner(start)
        place = self._places.get(runner)
        if place is not None:
            return ids.is_earlier_start(start, place.entry.start)
        gone = self._gone.get(runner)
        return gone is not None and ids.is_earlier_start(start, gone.start)

    def _may_come_back(self, removed_at: float, now: float) -> bool:
        if self._return_at is not None and now - self._return_at < LAPSE:
            # No host was served, so no runner could renew or leave.
            return True
        # The second bound holds if only this host was turned away: the
        # runner may have left for good all the same.
        return self._is_outage(now) and now - removed_at <= self._keep_s

    def _is_outage(self, now: float) -> bool:
        if self._outage_at is None:
            return False
        return now - self._outage_at < LAPSE
