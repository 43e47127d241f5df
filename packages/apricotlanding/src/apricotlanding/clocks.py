"""Reading the clocks.

Functions that decide take the present time as an argument; only the tasks
around them read a clock, and they read it here.

``read_monotonic`` is CLOCK_BOOTTIME: it goes on while the machine sleeps. A
lease measured with CLOCK_MONOTONIC would seem unexpired to a holder whose
host was suspended, and two owners would grant at once.
"""

import pathlib
import time

__all__ = ['read_boot_id', 'read_monotonic', 'read_wall']

_BOOT_ID = pathlib.Path('/proc/sys/kernel/random/boot_id')


def read_monotonic() -> float:
    """Return seconds on a clock of which only differences have meaning."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot_id() -> str:
    """Return a name for this boot of this host's kernel."""
    return _BOOT_ID.read_text().strip()


def read_wall() -> float:
    """Return Unix time in seconds, as right as this host's clock is."""
    return time.time()
