"""The runners that may receive requests, by service.

Built from the registrations in the records. A registration that disappears
while the store is unavailable, or just after, may only have lapsed because
the runner could not renew it. Such a runner is kept for a short time
(``lapses``): otherwise every request would be refused when all registrations
lapse at once, although all runners serve.

A runner may restart under its id. Its registration then has a later birth,
and what was learned of the earlier start no longer applies. A write of the
earlier start may reach the store after that of the new one, because the store
may carry out a call long after its caller has gone. It would bring back a
process that has ended, or make the new one appear to drain. So a registration
with an earlier birth than the latest one is outdated, whatever its position
in the records; the runner writes its own again with its next heartbeat.

A store that comes back from a copy (``note_era``) may lack registrations,
which are kept as after an outage, and may hold ones that were replaced or
removed since. A runner that drains does not open again, so such a
registration is outdated. One that was removed may be that of a process that
has ended: it is closed until it would have lapsed.

A runner that says in an answer that it leaves is closed at once, and stays so
whatever its registration says: the store may be silent, or lag behind.
"""

import collections
import dataclasses
import enum
import typing as ty

import eliot
import xxhash

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import departures
from apricotlandingd.gateway.runners import lapses

__all__ = ['Directory', 'UpdateResult']

# Interval at which runners renew their registrations, if none is stated.
DEFAULT_HEARTBEAT_S = 1.2
# How long a removed runner is remembered: longer than the few seconds that the
# store may take to carry out a write of an earlier start, and than the age of
# a copy that it comes back from, its absence included.
REMOVED_RETENTION_S = 120.0
# How long a registration that had been removed is closed when a copy brings it
# back: registrations lapse after three heartbeats of some 1.2 s.
RESTORED_HOLD_S = 6.0


class UpdateResult(enum.Enum):
    """Which start of the runner a registration is of."""

    # The known one.
    SAME = 'same'
    # A new one; the known one, if any, has ended.
    START = 'start'
    # One before the known one, or an older one of the known start: the
    # registration was ignored.
    OUTDATED = 'outdated'
    # One that had been removed; it is closed for some time.
    RESTORED = 'restored'


@ty.final
@dataclasses.dataclass(slots=True)
class _Registration:
    entry: dialect.RunnerEntry
    # Number of the store's returns from a copy before it was read.
    era: int


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    # The earliest time at which the store can have accepted it, and the time
    # at which this host read it.
    accepted_after: float
    read_at: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    # What the runner is registered as, and until when it is closed.
    entry: dialect.RunnerEntry
    until: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Removed:
    # The last start of a runner, when it was dropped, and in which era.
    start: ids.RunnerStart
    at: float
    era: int


@ty.final
class Directory:
    """Registered runners."""

    def __init__(
        self, drain_s: float, heartbeat_s: float = DEFAULT_HEARTBEAT_S
    ) -> None:
        """Start without runners.

        ``drain_s`` is the time in seconds after which a runner that has left
        receives no more requests, ``heartbeat_s`` the interval at which
        runners renew their registrations.
        """
        self._lapses = lapses.Lapses(drain_s, heartbeat_s)
        # The latest start of each runner.
        self._registrations: dict[ids.Runner, _Registration] = {}
        self._removed: dict[ids.Runner, _Removed] = {}
        # Number of runners that are open, for pools where not all are.
        self._pool_limits: dict[ids.Pool, int] = {}
        self.departures = departures.Departures()
        # Runners that said that they leave, while they are registered as open.
        self._leaving: set[ids.Runner] = set()
        # Returns of the store from a copy.
        self._era = 0
        # Runners that are used although their registration disappeared, and
        # those that are closed until a time.
        self._kept: dict[ids.Runner, _Removal] = {}
        self._held: dict[ids.Runner, _Held] = {}
        # Number of changes, for users that cache data derived from this.
        self.changes = 0

    def set_drain_time(self, drain_s: float) -> None:
        """Set the operators' drain time, in seconds."""
        self._lapses.set_drain_time(drain_s)

    def note_outage(self, now: float) -> None:
        """Note that the store could not be reached just now."""
        self._lapses.note_failure(now)

    def note_answer(self, at: float) -> None:
        """Note that the store answered a host about registrations."""
        self._lapses.note_answer(at)

    def note_return(self, at: float) -> None:
        """Note that the store served again from a time on."""
        self._lapses.note_return(at)

    def note_era(self, now: float) -> None:
        """Note that the store has come back from a copy."""
        self._era += 1
        self.note_return(now)

    def update(
        self, entry: dialect.RunnerEntry, now: float = 0.0
    ) -> UpdateResult:
        """Apply a new or changed registration.

        One that states no birth is taken to be of the known start.
        """
        runner = ids.parse_runner(entry.start)
        registration = self._registrations.get(runner)
        if ids.parse_start_time(entry.start) is None:
            if registration is not None:
                entry = dataclasses.replace(
                    entry, start=registration.entry.start
                )
        elif self._is_outdated(entry.start):
            return UpdateResult.OUTDATED
        is_same = (
            registration is not None
            and registration.entry.start == entry.start
        )
        if is_same and registration is not None:
            # A process does not change its software.
            entry = dataclasses.replace(
                entry, release=registration.entry.release
            )
        if (
            is_same
            and registration is not None
            and self._has_reopened(registration, entry)
        ):
            registration.era = self._era
            return UpdateResult.OUTDATED
        removed = self._removed.pop(runner, None)
        self._registrations[runner] = _Registration(entry, self._era)
        self._kept.pop(runner, None)
        self._held.pop(runner, None)
        self._close_leaving(runner)
        self.changes += 1
        if (
            removed is not None
            and removed.start == entry.start
            and removed.era < self._era
        ):
            self._hold(runner, now + RESTORED_HOLD_S)
            return UpdateResult.RESTORED
        return UpdateResult.SAME if is_same else UpdateResult.START

    def note_leaving(
        self,
        start: ids.RunnerStart,
        now: float,
        reported_by: ids.Host | None = None,
    ) -> bool:
        """Close a runner that says in an answer that it leaves.

        ``reported_by`` is the host that it told, if it was not this one.
        Returns whether the statement is the first one.
        """
        if not self.departures.note(start, now, reported_by):
            return False
        runner = ids.parse_runner(start)
        if runner in self._registrations:
            self._close_leaving(runner)
            self.changes += 1
        return True

    def list_leaving(
        self, pool: ids.Pool
    ) -> list[tuple[ids.RunnerStart, departures.Departure]]:
        """Return the runners of a pool that only their answers closed."""
        found: list[tuple[ids.RunnerStart, departures.Departure]] = []
        for runner in self._leaving:
            entry = self._registrations[runner].entry
            departure = self.departures.find(entry.start)
            if entry.pool == pool and departure is not None:
                found.append((entry.start, departure))
        return found

    def remove(
        self,
        runner: ids.Runner,
        now: float,
        accepted_after: float | None = None,
    ) -> None:
        """Apply the removal of a registration.

        ``accepted_after`` is the earliest time at which the store can have
        accepted it; None if that is now.
        """
        registration = self._registrations.get(runner)
        if registration is None or runner in self._kept:
            return
        removal = _Removal(
            now if accepted_after is None else accepted_after, now
        )
        end = self._find_end(removal)
        if now >= end or registration.entry.is_draining:
            self._drop(runner, now)
            return
        self._kept[runner] = removal
        eliot.log_message(
            'gateway:runner_kept',
            runner=runner,
            accepted_after_s=round(now - removal.accepted_after, 3),
            left_s=round(end - now, 3),
        )

    def retract(self, runner: ids.Runner, now: float) -> bool:
        """Drop a runner whose new registration cannot be used.

        Immediately, also while the store is unavailable: the registration
        has not lapsed but was overwritten. Requests at the runner continue.
        Returns whether the runner was known.
        """
        if runner not in self._registrations:
            return False
        self._drop(runner, now)
        return True

    def expire(self, now: float) -> None:
        """Drop runners whose registration did not come back in time.

        Called often: each delay adds to the time for which a runner that has
        left is used.
        """
        for runner, removal in list(self._kept.items()):
            if now < self._find_end(removal):
                continue
            eliot.log_message(
                'gateway:runner_dropped',
                runner=runner,
                kept_s=round(now - removal.read_at, 3),
            )
            self._drop(runner, now)
        for runner, held in list(self._held.items()):
            if now >= held.until:
                self._release(runner)
        while self._removed:
            # The one that was removed first.
            runner, removed = next(iter(self._removed.items()))
            if now - removed.at <= REMOVED_RETENTION_S:
                break
            del self._removed[runner]

    def find(self, start: ids.RunnerStart) -> dialect.RunnerEntry | None:
        """Return the registration of a start that is still known."""
        registration = self._registrations.get(ids.parse_runner(start))
        if registration is None or registration.entry.start != start:
            return None
        return registration.entry

    def is_open(self, start: ids.RunnerStart) -> bool:
        """Tell whether a start is known and accepts new requests."""
        entry = self.find(start)
        return entry is not None and not entry.is_draining

    def is_registered_as(self, entry: dialect.RunnerEntry) -> bool:
        """Tell whether a registration is in force and reads just so."""
        runner = ids.parse_runner(entry.start)
        registration = self._registrations.get(runner)
        return (
            registration is not None
            and runner not in self._kept
            and registration.entry == entry
        )

    def list_open(self, pool: ids.Pool) -> list[dialect.RunnerEntry]:
        """Return the runners of a pool that accept new requests."""
        found = [
            registration.entry
            for registration in self._registrations.values()
            if registration.entry.pool == pool
            and not registration.entry.is_draining
        ]
        limit = self._pool_limits.get(pool, 0)
        if not limit or len(found) <= limit:
            return found
        # By the registered id, so that all hosts open the same ones.
        found.sort(key=lambda entry: _hash_runner(entry.start))
        return found[:limit]

    def limit_pool(self, pool: ids.Pool, count: int) -> None:
        """Open only this number of a pool's runners; 0 for all."""
        if self._pool_limits.get(pool, 0) == count:
            return
        self._pool_limits[pool] = count
        self.changes += 1

    def list_pools(self) -> set[ids.Pool]:
        """Return the pools that have runners."""
        return {
            registration.entry.pool
            for registration in self._registrations.values()
        }

    def count_releases(
        self, service: ids.Pool
    ) -> collections.Counter[ids.Release]:
        """Return the number of open runners of a service by release."""
        return collections.Counter(
            registration.entry.release
            for registration in self._registrations.values()
            if registration.entry.service == service
            and not registration.entry.is_draining
        )

    def list_all(self) -> list[dialect.RunnerEntry]:
        """Return all known runners."""
        return [
            registration.entry for registration in self._registrations.values()
        ]

    def _drop(self, runner: ids.Runner, now: float) -> None:
        registration = self._registrations.pop(runner)
        self._leaving.discard(runner)
        self._kept.pop(runner, None)
        self._held.pop(runner, None)
        self._removed[runner] = _Removed(
            registration.entry.start, now, self._era
        )
        self.changes += 1

    def _has_reopened(
        self, registration: _Registration, entry: dialect.RunnerEntry
    ) -> bool:
        return (
            registration.era < self._era
            and registration.entry.is_draining
            and not entry.is_draining
        )

    def _hold(self, runner: ids.Runner, until: float) -> None:
        registration = self._registrations[runner]
        if registration.entry.is_draining:
            return
        self._held[runner] = _Held(registration.entry, until)
        registration.entry = dataclasses.replace(
            registration.entry, is_draining=True
        )

    def _release(self, runner: ids.Runner) -> None:
        self._registrations[runner].entry = self._held.pop(runner).entry
        self._close_leaving(runner)
        self.changes += 1

    def _close_leaving(self, runner: ids.Runner) -> None:
        registration = self._registrations[runner]
        entry = registration.entry
        if entry.is_draining or self.departures.find(entry.start) is None:
            self._leaving.discard(runner)
            return
        registration.entry = dataclasses.replace(entry, is_draining=True)
        self._leaving.add(runner)

    def _is_outdated(self, start: ids.RunnerStart) -> bool:
        runner = ids.parse_runner(start)
        registration = self._registrations.get(runner)
        if registration is not None:
            return ids.is_earlier_start(start, registration.entry.start)
        removed = self._removed.get(runner)
        return removed is not None and ids.is_earlier_start(
            start, removed.start
        )

    def _find_end(self, removal: _Removal) -> float:
        return self._lapses.find_end(removal.accepted_after, removal.read_at)


def _hash_runner(start: ids.RunnerStart) -> int:
    runner = ids.parse_runner(start)
    return xxhash.xxh3_64_intdigest(runner.encode())
