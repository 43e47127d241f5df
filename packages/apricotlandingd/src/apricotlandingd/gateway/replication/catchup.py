"""Taking records from a peer that is ahead.

A peer's message shows that it knows records that this host does not. The
store itself brings them at the same moment if it serves this host; if they do
not come, the host asks a peer.
"""

import collections.abc
import random
import typing as ty

import anyio

from apricotlanding import addresses
from apricotlandingd.gateway.replication import recordexchange

__all__ = ['CatchUp']

# Seconds that a peer's news may take by the store itself before it is asked.
PATIENCE = 0.05


@ty.final
class CatchUp:
    """Asks peers that are ahead, one at a time."""

    def __init__(
        self,
        exchange: recordexchange.RecordExchange,
        list_ahead: collections.abc.Callable[[], list[addresses.Address]],
        spread: random.Random,
    ) -> None:
        """Prepare; ``list_ahead`` says where peers hand on records."""
        self._exchange = exchange
        self._list_ahead = list_ahead
        self._spread = spread
        self._is_ahead = anyio.Event()

    def note_ahead(self) -> None:
        """Say that a peer is ahead."""
        self._is_ahead.set()

    async def run(self) -> None:
        """Catch up for as long as the daemon runs."""
        while True:
            await self._is_ahead.wait()
            await anyio.sleep(PATIENCE)
            self._is_ahead = anyio.Event()
            ahead = self._list_ahead()
            if not ahead:
                continue
            await self._exchange.fetch(self._spread.choice(ahead))
