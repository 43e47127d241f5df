"""Task groups that raise single exceptions.

A task group wraps every exception in an exception group. Code that only runs a
background task next to its body needs the original exception, to match on its
type.
"""

import collections.abc
import contextlib

import anyio
import anyio.abc

__all__ = ['open_group']


@contextlib.asynccontextmanager
async def open_group() -> collections.abc.AsyncIterator[anyio.abc.TaskGroup]:
    """Open a task group that raises its first exception unwrapped.

    The tasks are cancelled when the body ends.
    """
    failure: BaseException | None = None
    try:
        async with anyio.create_task_group() as group:
            yield group
            group.cancel_scope.cancel()
    except BaseExceptionGroup as errors:
        failure = _unwrap_first(errors)
    if failure is None:
        return
    # With the group as its context, or in this frame, the exception would
    # refer to itself. It would keep the frames that it passed through, and
    # request bodies in them, until the garbage collector runs.
    try:
        raise failure
    finally:
        del failure


def _unwrap_first(errors: BaseExceptionGroup[BaseException]) -> BaseException:
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
