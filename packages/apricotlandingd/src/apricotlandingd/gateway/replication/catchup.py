"""Taking records from a peer that is ahead.

A peer's message shows that it knows records that this host does not. The
store itself brings them at the same moment if it serves this host; if they do
not come, the host asks a peer. A peer may have died since: it is given up
after a part of the bound on changes, and another one is asked first.
"""

import collections.abc
import random
import typing as ty

import anyio

from apricotlanding import addresses
from apricotlandingd.gateway.replication import recordexchange

__all__ = ['CatchUp']

# Seconds that a peer's news may take by the store itself before it is asked.
PEER_FETCH_DELAY_S = 0.05


@ty.final
class CatchUp:
    """Asks peers that are ahead, one at a time."""

    def __init__(
        self,
        exchange: recordexchange.RecordExchange,
        list_ahead: collections.abc.Callable[[], list[addresses.Address]],
        find_timeout: collections.abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Prepare.

        ``list_ahead`` says where peers that know more hand on records;
        ``find_timeout`` how long one of them may take, in seconds.
        """
        self._exchange = exchange
        self._list_ahead = list_ahead
        self._find_timeout = find_timeout
        self._rng = rng
        self._peer_is_ahead = anyio.Event()
        # Peers that did not answer since one did.
        self._failed: set[addresses.Address] = set()

    def notify_ahead(self) -> None:
        """Say that a peer is ahead."""
        self._peer_is_ahead.set()

    async def run(self) -> None:
        """Catch up for as long as the daemon runs."""
        while True:
            await self._peer_is_ahead.wait()
            await anyio.sleep(PEER_FETCH_DELAY_S)
            self._peer_is_ahead = anyio.Event()
            ahead = self._list_ahead()
            if not ahead:
                continue
            await self._fetch(self.choose(ahead))

    def choose(self, ahead: list[addresses.Address]) -> addresses.Address:
        """Return a peer, if possible one that did not fail just now."""
        responsive = [peer for peer in ahead if peer not in self._failed]
        return self._rng.choice(responsive or ahead)

    async def _fetch(self, peer: addresses.Address) -> None:
        # Failures in a row make the time longer: a page of records may be
        # large, and the links slow.
        timeout = self._find_timeout() * 2 ** min(len(self._failed), 4)
        timeout = min(recordexchange.EXCHANGE_TIMEOUT_S, timeout)
        if await self._exchange.fetch(peer, timeout):
            self._failed.clear()
            return
        self._failed.add(peer)
        # Nobody may speak again before all of them are asked once.
        self._peer_is_ahead.set()
