"""Logs: JSON lines by eliot, one task tree for each request.

Every line is written to standard error; the platform collects it. Nothing is
logged for a chunk of an answer.
"""

import collections.abc
import sys

import eliot

__all__ = ['write_logs']


def write_logs(**fields: str) -> collections.abc.Callable[[], None]:
    """Send log lines to standard error, each with these fields.

    Returns a function that ends it.
    """
    destination = eliot.FileDestination(file=sys.stderr)
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)

    def stop() -> None:
        eliot.remove_destination(destination)

    return stop
