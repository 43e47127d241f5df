"""What holds for all connections of an HTTP server together."""

import collections.abc
import resource
import typing as ty

from apricotlanding import framing
from apricotlanding import openconnections
from apricotlanding import refusals
from apricotlanding import turns

__all__ = ['OnRefusal', 'SharedLimits', 'count_descriptors', 'ignore']

T = ty.TypeVar('T')
# Called with what is refused.
OnRefusal = collections.abc.Callable[[refusals.Refusal], None]

# Most bytes of incomplete heads of all connections together, where a head is
# longer than the parser gets at once.
LONG_HEADS_BYTES = 4 * 1024 * 1024
# Most requests that begin in one pass of the event loop. What they take is not
# counted until they are admitted or refused, a few passes later.
REQUESTS_PER_PASS = 64
# Most requests with many headers that begin in one.
LONG_REQUESTS_PER_PASS = 1
# Most connections of which a body with little content is read in one. Bytes
# without content take far more processor time than others.
SPARSE_READS_PER_PASS = 8
# Time for a head to arrive, unless the server sets another.
HEAD_TIMEOUT_S = 10.0
# Taken as the limit if the system sets none.
MAX_DESCRIPTORS = 1_000_000
# Most connections of a listener for operators or other systems.
MAX_INTERNAL_CONNECTIONS = 64


def ignore(refusal: refusals.Refusal) -> None:
    """Count nothing."""


def count_descriptors(stated: int | None) -> int:
    """Return how many descriptors this process may open.

    That is the limit of the system, or the one that settings state, if it is
    less.
    """
    count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if count == resource.RLIM_INFINITY:
        count = MAX_DESCRIPTORS
    return count if stated is None else min(count, stated)


@ty.final
class SharedLimits(ty.Generic[T]):
    """Limits of a server, and what its connections take of them."""

    def __init__(
        self,
        descriptors: int | None,
        internal_ports: collections.abc.Set[int],
        on_refusal: OnRefusal,
    ) -> None:
        """Start without connections; see ``connections.Connections``."""
        self.head_timeout_s = HEAD_TIMEOUT_S
        # Most bytes of a chunked body that are no content.
        self.framing_bytes = framing.FRAMING_LIMIT_BYTES
        # Turns to begin a request, one with many headers, and to read a body
        # with little content.
        self.requests = turns.Turns(REQUESTS_PER_PASS)
        self.long_requests = turns.Turns(LONG_REQUESTS_PER_PASS)
        self.sparse_reads = turns.Turns(SPARSE_READS_PER_PASS)
        self.on_refusal = on_refusal
        # Bytes of the long heads that are incomplete.
        self._head_bytes = 0
        self._callers = openconnections.OpenConnections[T](
            openconnections.count_for_callers(count_descriptors(descriptors))
        )
        # Of the internal listeners, by the port.
        self._internal = {
            port: openconnections.OpenConnections[T](MAX_INTERNAL_CONNECTIONS)
            for port in internal_ports
        }

    def is_internal(self, port: int | None) -> bool:
        """Tell whether a listener is not for callers."""
        return port in self._internal

    def find_open(
        self, port: int | None
    ) -> openconnections.OpenConnections[T]:
        """Return the connections of a listener."""
        if port is None:
            return self._callers
        return self._internal.get(port, self._callers)

    def claim_head(self, size: int) -> bool:
        """Take room for bytes of a long head; False if there is none."""
        if self._head_bytes + size > LONG_HEADS_BYTES:
            return False
        self._head_bytes += size
        return True

    def release_head(self, size: int) -> None:
        """Return room that was claimed."""
        self._head_bytes -= size
