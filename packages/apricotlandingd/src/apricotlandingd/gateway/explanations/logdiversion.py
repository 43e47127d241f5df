"""Keeps the log lines of a trial out of the log."""

import collections.abc
import contextlib
import typing as ty

import eliot

__all__ = ['divert_log']

Line = dict[str, ty.Any]


@ty.final
class _Lines:
    """An eliot logger that keeps what it is given."""

    def __init__(self) -> None:
        self.lines: list[Line] = []

    def write(self, line: Line, serializer: object = None) -> None:
        self.lines.append(line)


@contextlib.contextmanager
def divert_log() -> collections.abc.Iterator[list[Line]]:
    """Collect the lines of this task that are logged in the context."""
    logger = _Lines()
    with eliot.start_action(logger, 'gateway:trial').context():
        yield logger.lines
