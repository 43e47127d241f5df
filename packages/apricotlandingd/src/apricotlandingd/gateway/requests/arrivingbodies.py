"""Counts the body of a request towards its host's memory as it arrives.

A body that states its length is counted wholly before any of it is read, so it
is never refused half-way. One that does not is counted ahead of what the HTTP
parser may have read, and refused as soon as there is no room for more.
"""

import typing as ty

from apricotlanding import asgi
from apricotlanding import boundedprotocol
from apricotlanding import framing
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import heldanswers

__all__ = ['ArrivingBody', 'HostFull']


@ty.final
class HostFull(Exception):
    """There is no room for the rest of a body."""


@ty.final
class ArrivingBody:
    """The body of one request."""

    def __init__(
        self,
        answers: heldanswers.HeldAnswers,
        held: heldanswers.HeldAnswer,
        headers: dialect.HeaderList,
        limit: int,
    ) -> None:
        """Read how long the body is; ``limit`` bounds its length."""
        self._answers = answers
        self._held = held
        self._limit = limit
        self._stated = framing.find_length(headers)
        self._arrived = 0
        self._is_complete = False
        # Bytes that have to be admitted before it is read.
        self.counted = heldanswers.weigh_body(self._expect())

    def is_too_large(self) -> bool:
        """Tell whether the stated length exceeds the limit."""
        return self._stated is not None and self._stated > self._limit

    def count(self, receive: asgi.Receive) -> asgi.Receive:
        """Return what receives the body; it raises HostFull."""

        async def receive_counted() -> asgi.Message:
            message = await receive()
            self._arrived += len(message.get('body', b''))
            self._is_complete = not message.get('more_body', False)
            self._update_count()
            return message

        return receive_counted

    def _expect(self) -> int:
        # Bytes of the body that this process may hold now.
        if self._stated is not None:
            return max(self._stated, self._arrived)
        if self._is_complete:
            return self._arrived
        return min(
            self._limit, self._arrived + boundedprotocol.MAX_UNREAD_BYTES
        )

    def _update_count(self) -> None:
        before, self.counted = (
            self.counted,
            heldanswers.weigh_body(self._expect()),
        )
        growth = self.counted - before
        if growth > 0 and not self._answers.has_room(growth, self.counted):
            raise HostFull
        self._held.grow(growth)
