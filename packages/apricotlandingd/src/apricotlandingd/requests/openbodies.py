"""Bounds the bodies of open requests.

A body is counted from before it is read until its request has ended, which may
be long after its caller has left.
"""

import typing as ty
import weakref

from apricotlandingd.requests import runs

__all__ = ['OpenBodies']

# Least number of bodies among which those of ended requests are looked for.
MIN_DROP_COUNT = 100


@ty.final
class OpenBodies:
    """The bytes of all bodies that are arriving or held."""

    def __init__(self, limit_bytes: int) -> None:
        """Start without bodies."""
        self._limit = limit_bytes
        self._arriving = 0
        # Without references that would keep the bodies of ended requests.
        self._held: list[tuple[weakref.ref[runs.Run], int]] = []
        # Sum of ``_held``, with requests that ended lately.
        self._held_bytes = 0
        # Length of ``_held`` at which those are dropped.
        self._drop_at = MIN_DROP_COUNT

    def reserve(self, size: int) -> bool:
        """Count a body that will arrive, if there is room for it."""
        if not self._has_room(size):
            self._drop_ended()
            if not self._has_room(size):
                return False
        self._arriving += size
        return True

    def release(self, size: int) -> None:
        """Stop counting a body as arriving."""
        self._arriving -= size

    def hold(self, run: runs.Run, size: int) -> None:
        """Count a body that has arrived until its request has ended."""
        self._held.append((weakref.ref(run), size))
        self._held_bytes += size
        if len(self._held) >= self._drop_at:
            self._drop_ended()

    def _has_room(self, size: int) -> bool:
        return self._arriving + self._held_bytes + size <= self._limit

    def _drop_ended(self) -> None:
        self._held = [
            (reference, size)
            for reference, size in self._held
            if _is_open(reference())
        ]
        self._held_bytes = sum(size for _, size in self._held)
        self._drop_at = max(MIN_DROP_COUNT, 2 * len(self._held))


def _is_open(run: runs.Run | None) -> bool:
    return run is not None and run.state is not runs.RunState.ENDED
