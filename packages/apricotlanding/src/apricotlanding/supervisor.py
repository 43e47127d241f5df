"""A supervisor that runs children and restarts those that fail.

Each component of a daemon is a child: an async function that runs until it is
cancelled. When a child raises, the exception is logged and the child is
restarted with exponential backoff; a child that fails repeatedly does not
affect the others. Children may be supervisors themselves, which forms a
supervision tree.
"""

import collections.abc
import typing as ty

import anyio
import anyio.abc
import eliot

__all__ = ['Supervisor', 'run_guarded']

Child = collections.abc.Callable[[], collections.abc.Awaitable[None]]

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0


async def run_guarded(
    work: collections.abc.Callable[..., collections.abc.Awaitable[object]],
    *arguments: ty.Any,
) -> None:
    """Run a task of a task group and log its exceptions.

    Otherwise an exception in one task would cancel all others of its group.
    """
    try:
        await work(*arguments)
    except Exception:
        eliot.write_traceback()


@ty.final
class Supervisor:
    """One node of the supervision tree."""

    def __init__(self, name: str) -> None:
        """Create a supervisor without children; the name is used in logs."""
        self.name = name
        self._group: anyio.abc.TaskGroup | None = None
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def __aenter__(self) -> 'Supervisor':
        """Open the task group of the children."""
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        return self

    async def __aexit__(self, *details: ty.Any) -> bool | None:
        """Cancel the children and wait until they have ended."""
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(*details)

    def start(self, name: str, child: Child) -> None:
        """Run a child until it returns or is stopped."""
        assert self._group is not None
        scope = anyio.CancelScope()
        self._scopes[name] = scope
        self._group.start_soon(self._run, name, child, scope, name=name)

    def stop(self, name: str) -> None:
        """Cancel a child if it is running."""
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def list_children(self) -> list[str]:
        """Return the names of the running children."""
        return sorted(self._scopes)

    async def _run(
        self, name: str, child: Child, scope: anyio.CancelScope
    ) -> None:
        delay_s = MIN_RESTART_DELAY_S
        with scope:
            while True:
                try:
                    await child()
                    break
                except Exception:
                    eliot.write_traceback()
                eliot.log_message(
                    'supervisor:restart',
                    supervisor=self.name,
                    child=name,
                    delay_s=delay_s,
                )
                await anyio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
        if self._scopes.get(name) is scope:
            del self._scopes[name]
