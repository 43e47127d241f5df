"""Graceful shutdown of a process.

    stop requested  readiness fails; responses send callers to other hosts
    notice over     the listener and all idle connections are closed
    all closed      the process exits
    grace over      remaining requests are aborted, each with a truthful answer
    exit            the process exits, just before it is killed

The process exits when all connections are closed, not when no request is in
progress: a request that was just read is not counted yet, and an answered
request may have bytes that its caller has not received. Both would be
truncated. A connection is closed only when no data can arrive on it and all
data has been sent.
"""

import dataclasses
import typing as ty

import anyio

__all__ = ['Listener', 'Plan', 'close_listener', 'make_plan']

# New connections may still arrive for this time after the signal: the load
# balancer checks readiness once a second and acts on the second failure.
NOTICE_S = 2.5
# Largest share of the grace period that the notice may use. The rest is left
# for requests in progress.
NOTICE_SHARE = 2 / 3
# Share of the grace period after which requests in progress are aborted. The
# rest is needed to send the error responses.
ABORT_SHARE = 0.9
# Share of the grace period after which the process exits with open
# connections: the kill that follows would end them without a log line.
EXIT_SHARE = 0.95


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Times of the steps of a shutdown, on the monotonic clock."""

    # The listener is closed.
    close_at: float
    # Requests in progress are aborted.
    abort_at: float
    # The process exits even with open connections.
    exit_at: float


class Listener(ty.Protocol):
    """A listener and its connections."""

    def stop(self) -> None:
        """Accept no new connections and close idle ones."""

    async def wait_closed(self) -> None:
        """Wait until all connections are closed."""


def make_plan(grace_s: float, now: float) -> Plan:
    """Return the times of a shutdown that is requested now."""
    notice_s = min(NOTICE_S, grace_s * NOTICE_SHARE)
    return Plan(
        close_at=now + notice_s,
        abort_at=now + grace_s * ABORT_SHARE,
        exit_at=now + grace_s * EXIT_SHARE,
    )


async def close_listener(listener: Listener, timeout_s: float) -> bool:
    """Close a listener; False if connections are open after the timeout."""
    listener.stop()
    with anyio.move_on_after(timeout_s) as scope:
        await listener.wait_closed()
    return not scope.cancelled_caught
