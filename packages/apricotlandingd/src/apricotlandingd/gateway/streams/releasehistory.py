"""The versions of each service's software that this host has seen.

A host that has seen a single version for longer than callers come back knows
the version of every stream, whoever began it.
"""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.runners import directory

__all__ = ['ReleaseHistory']

# Seconds for which a version that has left may have begun a stream that its
# caller takes up now.
WINDOW_S: ty.Final = 60.0


@ty.final
class ReleaseHistory:
    """When runners of each version were last registered."""

    def __init__(self, runners: directory.Directory, now: float) -> None:
        """Start to watch a directory."""
        self._runners = runners
        self._began_at = now
        self._seen: dict[ids.Pool, dict[ids.Release, float]] = {}

    def update(self, now: float) -> None:
        """Note the versions that are registered now."""
        for entry in self._runners.list_all():
            seen = self._seen.setdefault(entry.service, {})
            seen[entry.release] = now
        for service, seen in list(self._seen.items()):
            for release, at in list(seen.items()):
                if now - at > WINDOW_S:
                    del seen[release]
            if not seen:
                del self._seen[service]

    def has_watched(self, now: float) -> bool:
        """Tell whether this host has watched for the whole window."""
        return now - self._began_at >= WINDOW_S

    def find_only(self, service: ids.Pool, now: float) -> ids.Release | None:
        """Return the only version that this host has seen of a service.

        None if there were several within the window.
        """
        releases = {
            entry.release
            for entry in self._runners.list_all()
            if entry.service == service
        }
        releases.update(self._seen.get(service, ()))
        return releases.pop() if len(releases) == 1 else None
