"""Access to the system clocks.

Functions with decision logic take the current time as an argument; only the
tasks that call them read a clock, with these functions.

``read_monotonic`` uses CLOCK_BOOTTIME, which also advances while the host is
suspended. A lease measured with CLOCK_MONOTONIC would not expire for a holder
on a suspended host, and two owners would grant at the same time.
"""

import pathlib
import time

__all__ = ['read_boot_id', 'read_monotonic', 'read_wall']

_BOOT_ID = pathlib.Path('/proc/sys/kernel/random/boot_id')


def read_monotonic() -> float:
    """Return monotonic time in seconds; only differences are meaningful."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot_id() -> str:
    """Return the boot id of the kernel, which changes with each boot."""
    return _BOOT_ID.read_text().strip()


def read_wall() -> float:
    """Return Unix time in seconds, according to the clock of this host."""
    return time.time()
