"""The memory of a process, as the operating system counts it."""

import pathlib
import typing as ty

from apricotlanding import allocator

__all__ = ['ProcessMemory', 'parse_status', 'read_process_bytes']

PROCESSES_PATH = pathlib.Path('/proc')
# Memory that is not backed by a file, in KiB.
FIELD = 'RssAnon:'
KIB_BYTES = 1024


def read_process_bytes(pid: int | None = None) -> int:
    """Return the bytes of anonymous memory; 0 if that cannot be read.

    Without ``pid``, those of this process.
    """
    name = 'self' if pid is None else str(pid)
    path = PROCESSES_PATH / name / 'status'
    try:
        return parse_status(path.read_text(errors='replace'))
    except OSError:
        return 0


def parse_status(text: str) -> int:
    """Return the bytes that a process status states; 0 without the field."""
    for line in text.splitlines():
        name, *values = line.split()[:2] or ['']
        if name == FIELD and values and values[0].isdecimal():
            return int(values[0]) * KIB_BYTES
    return 0


@ty.final
class ProcessMemory:
    """The memory of this process, of which one host has all."""

    def measure(self) -> int:
        """Return its bytes; 0 if they cannot be read."""
        return read_process_bytes()

    def trim(self) -> None:
        """Return freed memory to the system."""
        allocator.trim_heap()
