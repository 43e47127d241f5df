"""The runners that may get requests, by service.

Built from the registrations that the records hold. A registration that
disappears while the store is out, or just after, may only have lapsed: the
runner could not renew it. Such a runner is kept for a moment, because a
lapse of all runners at once would otherwise refuse every request although
each of them serves.
"""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['Directory']

# How long after its return the store may still miss a runner that lives, in
# seconds; the platform promises about two.
LAPSE = 2.2
# Seconds by which a runner is dropped before its drain time ends, so that
# what was sent to it just before arrives in time.
DRAIN_MARGIN = 0.5


@ty.final
@dataclasses.dataclass(slots=True)
class _Place:
    entry: dialect.RunnerEntry
    # When the registration went; None while it stands.
    removed_at: float | None = None


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
        self._places: dict[ids.Runner, _Place] = {}
        self._outage_at: float | None = None
        # Counts the changes, for those who keep what they derive from it.
        self.changes = 0

    def set_drain_time(self, drain_s: float) -> None:
        """Take the operators' bound, in seconds."""
        self._keep_s = max(0.0, drain_s - DRAIN_MARGIN)

    def note_outage(self, now: float) -> None:
        """Say that the store was not reached just now."""
        self._outage_at = now

    def update(self, entry: dialect.RunnerEntry) -> None:
        """Take a registration or its change."""
        self._places[entry.id] = _Place(entry)
        self.changes += 1

    def remove(self, runner: ids.Runner, now: float) -> None:
        """Take the end of a registration."""
        place = self._places.get(runner)
        if place is None or place.removed_at is not None:
            return
        if self._is_outage(now) and not place.entry.is_draining:
            place.removed_at = now
            return
        self._drop(runner)

    def expire(self, now: float) -> None:
        """Drop runners whose registration did not come back in time."""
        for runner, place in list(self._places.items()):
            if place.removed_at is None:
                continue
            # The second bound holds if only this host was turned away: the
            # runner may have left for good all the same.
            is_over = now - place.removed_at > self._keep_s
            if is_over or not self._is_outage(now):
                self._drop(runner)

    def find(self, runner: ids.Runner) -> dialect.RunnerEntry | None:
        """Return a runner that is still known."""
        place = self._places.get(runner)
        return None if place is None else place.entry

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

    def _drop(self, runner: ids.Runner) -> None:
        del self._places[runner]
        self.changes += 1

    def _is_outage(self, now: float) -> bool:
        if self._outage_at is None:
            return False
        return now - self._outage_at < LAPSE
