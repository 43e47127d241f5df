"""Why a runner closed the connection of a request in progress.

A closed connection alone does not show that the runner's process has ended:
the runner may close a single connection, the network may reset it, or the
runner may have left as planned while a long request was in progress.
"""

import enum

from apricotlandingd.gateway import dialect

__all__ = ['Cause', 'Liveness', 'find_cause', 'is_leaving']


class Liveness(enum.Enum):
    """Result of a connection attempt after a request was cut."""

    # It was accepted.
    ACCEPTS = 'accepts'
    # Nothing listens at the address any more.
    REFUSES = 'refuses'
    # There was no reply.
    SILENT = 'silent'
    # None was made.
    UNTRIED = 'untried'


class Cause(enum.Enum):
    """Why a request was cut."""

    # The process ended without notice.
    CRASH = 'crash'
    # The runner was draining, had left, or was replaced by a later start.
    PLANNED = 'planned'
    # The process goes on; only the connection ended.
    CONNECTION = 'connection'
    # Nothing shows whether the process ended.
    UNKNOWN = 'unknown'


def find_cause(
    entry: dialect.RunnerEntry | None, liveness: Liveness, is_current: bool
) -> Cause:
    """Return the cause of a cut.

    ``entry`` is the registration at that time, None if the runner is not
    registered any more. Unless ``is_current``, the registrations may be too
    old to show that the runner leaves.
    """
    if is_leaving(entry):
        return Cause.PLANNED
    if liveness is Liveness.ACCEPTS:
        return Cause.CONNECTION
    if liveness is Liveness.REFUSES and is_current:
        return Cause.CRASH
    return Cause.UNKNOWN


def is_leaving(entry: dialect.RunnerEntry | None) -> bool:
    """Tell whether a registration shows that its runner may end."""
    return entry is None or entry.is_draining
