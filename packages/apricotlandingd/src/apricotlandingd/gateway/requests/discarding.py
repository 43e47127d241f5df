"""Reads the rest of an answer that nobody gets."""

import typing as ty

from apricotlandingd.gateway.relays import runnerpaths

__all__ = ['discard_body']

# Most bytes that are read.
MAX_DISCARDED_BYTES: ty.Final = 64 * 1024


async def discard_body(answer: runnerpaths.AnyAnswer) -> bool:
    """Read a body to its end; return False if it is too large.

    Leaving an answer before its end closes the connection.
    """
    size = 0
    async for part in answer.iterate():
        size += len(part)
        if size > MAX_DISCARDED_BYTES:
            return False
    return True
