"""Structured logs: JSON lines by eliot, one task tree for each request.

Log lines are written to standard error, from where the platform collects
them. Individual chunks of an answer are not logged.
"""

import collections.abc
import sys

import eliot

__all__ = ['start_logging']


def start_logging(**fields: str) -> collections.abc.Callable[[], None]:
    """Write log lines to standard error, each with these fields.

    Returns a function that stops the output.
    """
    destination = eliot.FileDestination(file=sys.stderr)
    eliot.add_global_fields(**fields)
    eliot.add_destinations(destination)

    def stop() -> None:
        eliot.remove_destination(destination)

    return stop
