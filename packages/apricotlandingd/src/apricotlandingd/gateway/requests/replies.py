"""The answer to one caller: a runner's, passed on, or one of our own.

Once an answer has begun, nothing else can be said: it is either finished, or
ended without its final mark, which is how the caller sees that it is not
whole.
"""

import collections.abc
import typing as ty

from apricotlanding import asgi
from apricotlanding import errors
from apricotlandingd.gateway import dialect

__all__ = ['Reply']


@ty.final
class Reply:
    """What a caller gets."""

    def __init__(
        self,
        send: asgi.Send,
        spoken: dialect.Dialect,
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._send = send
        self._spoken = spoken
        self._is_stopping = is_stopping
        self.is_begun = False
        # What became of the request, for the log.
        self.outcome = 'gone'

    async def begin(
        self, head: dialect.AnswerHead, length: int | None = None
    ) -> None:
        """Send a runner's status and headers."""
        self.is_begun = True
        headers = [*head.passed, *self._list_closing()]
        if length is not None:
            headers.append((b'content-length', str(length).encode()))
        await asgi.start_response(self._send, head.status, headers)

    async def pass_part(self, data: bytes) -> None:
        """Send a part of a runner's body."""
        await asgi.send_body_part(self._send, data)

    async def finish(self, head: dialect.AnswerHead) -> None:
        """Send the final mark of a runner's answer."""
        await asgi.send_body_part(self._send, b'', is_last=True)
        self.outcome = f'answered {head.status}'

    async def deliver(self, head: dialect.AnswerHead, body: bytes) -> None:
        """Send a runner's whole answer."""
        self.outcome = f'answered {head.status}'
        await self.begin(head, len(body))
        await asgi.send_body_part(self._send, body, is_last=True)

    async def fail(self, attempt: str, problem: errors.Problem) -> None:
        """End with an error of ours, or cut what has begun."""
        if self.is_begun:
            self.outcome = f'cut {problem.code}'
            return
        await self.write_problem(attempt, problem)

    async def write_problem(
        self, attempt: str, problem: errors.Problem
    ) -> None:
        """Send an error of ours; nothing may have been sent before."""
        self.outcome = f'{problem.status} {problem.code}'
        body = f'{problem}\n'.encode()
        headers = [
            *self._spoken.write_refusal(attempt, problem.retry_after_s),
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'content-length', str(len(body)).encode()),
            *self._list_closing(),
        ]
        await asgi.start_response(self._send, problem.status, headers)
        await asgi.send_body_part(self._send, body, is_last=True)

    def _list_closing(self) -> dialect.HeaderList:
        # Tells the caller to open its next connection elsewhere.
        if self._is_stopping():
            return [(b'connection', b'close')]
        return []
