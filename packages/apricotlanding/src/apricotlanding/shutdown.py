"""The planned end of a process: what is closed when, and what is waited for.

    asked        not ready any more; answers tell callers to go elsewhere
    notice over  the listener closes, and with it each idle connection
    all closed   the process ends
    grace over   what is left is given up, each request with a true answer
    last words   the process ends, just before it is killed

The end follows the connections. Requests in progress are the wrong thing to
ask for: one that was just read is not counted yet, and one that is answered
may have bytes that its caller has not taken. Either would be cut. A
connection is gone only when nothing can come on it and all has left.
"""

import dataclasses
import typing as ty

import anyio

__all__ = ['Listener', 'Plan', 'close_listener', 'make_plan']

# Seconds after the signal in which new connections may still arrive: the
# balancer asks once a second and acts on the second answer.
NOTICE_S = 2.5
# Part of the grace that the notice may use where the grace is short. The rest
# is for what is in progress.
NOTICE_SHARE = 2 / 3
# Part of the grace after which requests in progress are given up. What their
# callers are told then needs the rest to leave.
ABORT_SHARE = 0.9
# Part of the grace after which the process ends although connections are
# open: the kill that follows would end them without a line in the log.
EXIT_SHARE = 0.95


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """When a stop does what, on the steady clock."""

    # The listener closes.
    close_at: float
    # Requests in progress are given up.
    abort_at: float
    # The process ends with what is open.
    exit_at: float


class Listener(ty.Protocol):
    """The listeners of a process and their connections."""

    def stop(self) -> None:
        """Take nothing new, and close what is idle."""

    async def wait_closed(self) -> None:
        """Wait until no connection is left."""


def make_plan(grace_s: float, now: float) -> Plan:
    """Return the times of a stop asked for now, with a grace in seconds."""
    notice_s = min(NOTICE_S, grace_s * NOTICE_SHARE)
    return Plan(
        close_at=now + notice_s,
        abort_at=now + grace_s * ABORT_SHARE,
        exit_at=now + grace_s * EXIT_SHARE,
    )


async def close_listener(intake: Listener, left_s: float) -> bool:
    """Close an intake; False if connections are left after so many seconds."""
    intake.stop()
    with anyio.move_on_after(left_s) as limit:
        await intake.wait_closed()
    return not limit.cancelled_caught
