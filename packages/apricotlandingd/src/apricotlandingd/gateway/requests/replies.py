"""The answer to one caller: a runner's, forwarded, or one of the gateway's.

An answer that has begun can only be finished, or cut without its end marker,
which tells the caller that it is incomplete.
"""

import collections.abc
import typing as ty

from apricotlanding import asgi
from apricotlanding import errors
from apricotlandingd.gateway import dialect

__all__ = ['Reply']

# The rest of the request is not waited for (RFC 9110, 15.5.9).
BODY_LATE_STATUS = 408


@ty.final
class Reply:
    """The answer to a caller."""

    def __init__(
        self,
        send: asgi.Send,
        http_dialect: dialect.Dialect,
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        """Prepare an answer; nothing is sent yet."""
        self._send = send
        self._http_dialect = http_dialect
        self._is_stopping = is_stopping
        self.has_begun = False
        # Result of the request, for the log.
        self.outcome = 'gone'

    async def begin(
        self, head: dialect.AnswerHead, length: int | None = None
    ) -> None:
        """Send a runner's status and headers."""
        self.has_begun = True
        headers = [*head.passed, *self._list_close_headers()]
        if length is not None:
            headers.append((b'content-length', str(length).encode()))
        await asgi.start_response(self._send, head.status, headers)

    async def forward_part(self, data: bytes) -> None:
        """Forward a part of a runner's body."""
        await asgi.send_body_part(self._send, data)

    async def finish(self, head: dialect.AnswerHead) -> None:
        """Send the end marker of a runner's answer."""
        await asgi.send_body_part(self._send, b'', is_last=True)
        self.outcome = f'answered {head.status}'

    async def deliver(self, head: dialect.AnswerHead, body: bytes) -> None:
        """Send a complete answer of a runner."""
        self.outcome = f'answered {head.status}'
        await self.begin(head, len(body))
        await asgi.send_body_part(self._send, body, is_last=True)

    async def fail(self, attempt: str, problem: errors.Problem) -> None:
        """Send an error of the gateway, or cut an answer that has begun."""
        if self.has_begun:
            self.outcome = f'cut {problem.code}'
            return
        await self.write_problem(attempt, problem)

    async def write_problem(
        self, attempt: str, problem: errors.Problem
    ) -> None:
        """Send an error of the gateway; nothing may have been sent before."""
        self.outcome = f'{problem.status} {problem.code}'
        body = f'{problem}\n'.encode()
        headers = [
            *self._http_dialect.write_refusal(attempt, problem.retry_after_s),
            (b'content-type', b'text/plain; charset=utf-8'),
            (b'content-length', str(len(body)).encode()),
            *self._list_close_headers(problem.status == BODY_LATE_STATUS),
        ]
        await asgi.start_response(self._send, problem.status, headers)
        await asgi.send_body_part(self._send, body, is_last=True)

    def _list_close_headers(self, is_last: bool = False) -> dialect.HeaderList:
        # Makes the caller open its next connection to another host.
        if self._is_stopping() or is_last:
            return [(b'connection', b'close')]
        return []
