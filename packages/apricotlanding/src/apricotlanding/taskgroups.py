"""Task groups that raise what their body raised.

A task group wraps every exception in a group. Code that uses one only to run
a helper beside its body wants the body's exception, to match on its type.
"""

import collections.abc
import contextlib

import anyio
import anyio.abc

__all__ = ['open_group']


@contextlib.asynccontextmanager
async def open_group() -> collections.abc.AsyncIterator[anyio.abc.TaskGroup]:
    """Open a task group; its first exception is raised by itself.

    The helpers are cancelled when the body ends.
    """
    try:
        async with anyio.create_task_group() as group:
            yield group
            group.cancel_scope.cancel()
    except BaseExceptionGroup as errors:
        raise _find_first(errors) from None


def _find_first(errors: BaseExceptionGroup[BaseException]) -> BaseException:
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
