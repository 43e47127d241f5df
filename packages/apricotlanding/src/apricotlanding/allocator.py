"""Settings of the C library's allocator.

By default glibc raises the size from which a block is mapped by itself to the
largest one that was freed. Once a large body is freed, further bodies come
from the heap, which keeps what is freed between other blocks. The process then
holds far more than it uses.
"""

import ctypes

__all__ = ['LARGE_BLOCK_BYTES', 'return_large_blocks', 'trim_heap']

# Size from which a block returns to the system when it is freed. Parts of
# answers are smaller, so that this costs them no processor time.
LARGE_BLOCK_BYTES = 32 * 1024
# Parameter of mallopt(3).
_M_MMAP_THRESHOLD = -3


def return_large_blocks() -> bool:
    """Let freed large blocks return to the system at once.

    Returns False if the C library has no such setting.
    """
    return _call('mallopt', _M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)


def trim_heap() -> bool:
    """Return what is free in the heap to the system.

    Returns False if the C library cannot do so, or nothing was free.
    """
    return _call('malloc_trim', 0)


def _call(name: str, *arguments: int) -> bool:
    # False also if the C library has no such function.
    try:
        function = getattr(ctypes.CDLL(None), name)
    except (AttributeError, OSError):
        return False
    return bool(function(*arguments))
