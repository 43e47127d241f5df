"""Orders of roll-outs, and the statuses that answer them."""

import dataclasses
import enum
import typing as ty

from apricotlanding import ids

__all__ = ['Order', 'Phase', 'Status', 'StatusPage']


class Phase(enum.IntEnum):
    """Phase of a roll-out; it never returns to an earlier one."""

    # A bounded share of the requests goes to the new release.
    TRIAL = 1
    # All new requests go to the new release; the old one ends its own.
    MOVING = 2
    # No request goes to the new release any more.
    ROLLED_BACK = 3
    # The store has the completion, so the old runners have stopped.
    COMPLETED = 4

    @property
    def is_final(self) -> bool:
        """Tell whether nothing is left to decide."""
        return self >= Phase.ROLLED_BACK


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to move a service's requests to another release."""

    service: ids.Pool
    release: ids.Release
    # Seconds within which the roll-out is to end.
    duration_s: float
    # Position of the order's record: a later order replaces an earlier one.
    offset: int

    def is_same_as(self, other: 'Order') -> bool:
        """Tell whether another record states the same order."""
        return (
            self.release == other.release
            and self.duration_s == other.duration_s
        )


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the store says of a roll-out."""

    release: ids.Release
    # TRIAL stands for any phase that is not final.
    phase: Phase
    # Offset of the order that it answers; None if it does not say.
    order_offset: int | None = None
    # Unix time in seconds at which the order was first known.
    began_at: float | None = None

    def answers(self, order: Order) -> bool:
        """Tell whether this is the status of an order."""
        if self.order_offset is None:
            return self.release == order.release
        return self.order_offset == order.offset


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class StatusPage:
    """A status, and the end of its topic when it was read."""

    end_offset: int
    # None if there is none, or if it cannot be read.
    status: Status | None
    # Era of the store; None if it did not state it.
    era: int | None = None
