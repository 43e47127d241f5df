"""Why a runner closed the connection of a request in progress.

A closed connection alone does not show that the runner's process has ended:
the runner may close a single connection, the network may reset it, or the
runner may have left as planned while a long request was in progress.
"""

import enum

__all__ = ['Cause', 'Liveness', 'find_cause']


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
    # This host's link to the runner is lost; another host reaches it.
    LINK = 'link'
    # The process ended; it had said that it falls over under load.
    FALL = 'fall'
    # Nothing shows whether the process ended.
    UNKNOWN = 'unknown'


def find_cause(
    is_leaving: bool,
    liveness: Liveness,
    is_current: bool,
    is_reached_elsewhere: bool = False,
    is_brittle: bool = False,
) -> Cause:
    """Return the cause of a cut.

    ``is_leaving``: by its registration the runner was draining or gone.
    Unless ``is_current``, the registrations may be too old to show that.
    ``is_reached_elsewhere``: another host connects to the runner.
    ``is_brittle``: it had said that it falls over under load.
    """
    if is_leaving:
        return Cause.PLANNED
    if liveness is Liveness.ACCEPTS:
        return Cause.CONNECTION
    if is_reached_elsewhere:
        return Cause.LINK
    if liveness is Liveness.REFUSES and is_current:
        return Cause.FALL if is_brittle else Cause.CRASH
    return Cause.UNKNOWN
