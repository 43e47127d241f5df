"""The memory of this process, as the operating system counts it."""

import pathlib

__all__ = ['parse_status', 'read_process_bytes']

STATUS_PATH = pathlib.Path('/proc/self/status')
# Memory that is not backed by a file, in KiB.
FIELD = 'RssAnon:'
KIB_BYTES = 1024


def read_process_bytes() -> int:
    """Return the bytes of anonymous memory; 0 if that cannot be read."""
    try:
        return parse_status(STATUS_PATH.read_text(errors='replace'))
    except OSError:
        return 0


def parse_status(text: str) -> int:
    """Return the bytes that a process status states; 0 without the field."""
    for line in text.splitlines():
        name, *values = line.split()[:2] or ['']
        if name == FIELD and values and values[0].isdecimal():
            return int(values[0]) * KIB_BYTES
    return 0
