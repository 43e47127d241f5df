"""Runners by the digests that identify their starts in messages."""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.runners import directory

__all__ = ['StartIndex']


@ty.final
class StartIndex:
    """Index of a directory's runners, rebuilt when the directory changes."""

    def __init__(self, runners: directory.Directory) -> None:
        """Index a directory."""
        self._runners = runners
        self._entries: dict[int, dialect.RunnerEntry] = {}
        self._changes = -1

    def find(self, digest: int) -> ids.RunnerStart | None:
        """Return the start of a known runner."""
        entry = self.find_entry(digest)
        return None if entry is None else entry.start

    def find_entry(self, digest: int) -> dialect.RunnerEntry | None:
        """Return the registration of a known runner."""
        if self._changes != self._runners.changes:
            self._changes = self._runners.changes
            self._entries = {
                messages.digest_start(entry.start): entry
                for entry in self._runners.list_all()
            }
        return self._entries.get(digest)
