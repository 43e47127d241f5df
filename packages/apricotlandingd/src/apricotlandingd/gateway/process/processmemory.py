"""The memory of a process, as the operating system counts it."""

import pathlib

__all__ = ['parse_status', 'read_process_bytes']

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
