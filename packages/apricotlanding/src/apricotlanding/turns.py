"""Turns: how many connections go on in one pass of the event loop."""

import asyncio
import collections
import collections.abc
import typing as ty

__all__ = ['Turns']


@ty.final
class Turns:
    """Lets so many connections go on in each pass of the event loop.

    Those beyond that wait in order of arrival. They are not read meanwhile.
    """

    def __init__(self, per_pass: int) -> None:
        """Start a pass with all turns."""
        self._per_pass = per_pass
        self._used = 0
        self._waiting: collections.deque[
            collections.abc.Callable[[], None]
        ] = collections.deque()
        self._is_scheduled = False

    def are_used(self) -> bool:
        """Tell whether a connection has to wait."""
        return bool(self._waiting) or self._used >= self._per_pass

    def use(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take a turn of this pass."""
        self._used += 1
        self._schedule(loop)

    def wait(
        self,
        go_on: collections.abc.Callable[[], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Call a function in its turn, which it has taken then."""
        self._waiting.append(go_on)
        self._schedule(loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._begin_pass, loop)

    def _begin_pass(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._used = 0
        while self._waiting and self._used < self._per_pass:
            self._used += 1
            self._waiting.popleft()()
        if self._waiting:
            self._schedule(loop)
