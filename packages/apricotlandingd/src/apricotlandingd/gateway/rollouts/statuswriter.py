"""Stores the statuses of a service's roll-out.

A status is appended under the condition that its topic still ends where it
did when the last status was read. So of two hosts that decide at the same
time, or of a host that was frozen and its successor, only one can write, and
the other finds out what stands. A write without an answer may be carried out
seconds later, but only if nothing was written in between; it is read back and
never assumed.
"""

import collections.abc
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.rollouts import orders

__all__ = ['StatusWriter']


@ty.final
class StatusWriter:
    """Reads and writes statuses for one host."""

    def __init__(
        self,
        store: dialect.StatusStore,
        is_decider: collections.abc.Callable[[ids.Pool], bool],
    ) -> None:
        """Write to a store while ``is_decider`` returns True."""
        self._store = store
        self._is_decider = is_decider

    async def read(self, order: orders.Order) -> orders.Status | None:
        """Return the status of an order; None if it has none.

        Raises StoreUnavailable.
        """
        page = await self._store.read_status(order.service)
        if page.status is None or not page.status.answers(order):
            return None
        return page.status

    async def write(
        self, order: orders.Order, phase: orders.Phase, began_at: float
    ) -> orders.Status | None:
        """Write a status unless the order has a final one.

        Returns the status that stands; None if another host wrote meanwhile,
        or if this one no longer decides. Raises StoreUnavailable.
        """
        page = await self._store.read_status(order.service)
        known = page.status
        if known is not None and known.answers(order):
            if known.phase.is_final or known.phase is phase:
                return known
        if not self._is_decider(order.service):
            return None
        status = orders.Status(order.release, phase, order.offset, began_at)
        is_written = await self._store.write_status(
            order.service, status, page
        )
        eliot.log_message(
            'gateway:rollout_status',
            service=order.service,
            release=order.release,
            order=order.offset,
            phase=phase.name.lower(),
            end_offset=page.end_offset,
            is_written=is_written,
        )
        return status if is_written else None
