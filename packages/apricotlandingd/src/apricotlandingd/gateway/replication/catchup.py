"""Fetching missing records from a peer that is ahead.

A peer's message can show that the peer has records that this host lacks. A
store that serves this host delivers them at about the same time; if they do
not arrive, the host fetches them from a peer. That peer may have died since:
the fetch times out after a share of the bound on changes, and other peers are
preferred from then on.
"""

import collections
import collections.abc
import random
import typing as ty

import anyio

from apricotlanding import addresses
from apricotlandingd.gateway.replication import recordexchange

__all__ = ['CatchUp']

# Time left to the store to deliver the records before a peer is asked.
PEER_FETCH_DELAY_S = 0.05
# Fetches of all records from one peer, and the most that are planned. All
# hosts of a group tell of themselves at the same time.
SOURCE_TRIES = 2
MAX_SOURCES = 8


@ty.final
class CatchUp:
    """Fetches records from peers that are ahead, one peer at a time."""

    def __init__(
        self,
        exchange: recordexchange.RecordExchange,
        list_ahead: collections.abc.Callable[[], list[addresses.Address]],
        find_timeout: collections.abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the task's state.

        ``list_ahead`` returns the addresses at which peers that are ahead
        serve records; ``find_timeout`` the timeout of one fetch in seconds.
        """
        self._exchange = exchange
        self._list_ahead = list_ahead
        self._find_timeout = find_timeout
        self._rng = rng
        self._peer_is_ahead = anyio.Event()
        # Peers whose fetches failed since the last one that succeeded.
        self._failed: set[addresses.Address] = set()
        # Peers from which all records are to be read, until one fetch
        # succeeds, with the number of tries. Each peer tells of itself once,
        # so several are kept, and a busy one may answer the second time.
        self._sources: collections.deque[tuple[addresses.Address, int]] = (
            collections.deque()
        )
        self._has_read_all = False

    def notify_ahead(self) -> None:
        """Report that a peer is ahead."""
        self._peer_is_ahead.set()

    def request_all(self, peer: addresses.Address) -> None:
        """Read all records from a peer, unless that was done before."""
        if self._has_read_all or len(self._sources) >= MAX_SOURCES:
            return
        self._sources.append((peer, SOURCE_TRIES))
        self._peer_is_ahead.set()

    async def run(self) -> None:
        """Fetch missing records until cancelled."""
        while True:
            await self._peer_is_ahead.wait()
            await anyio.sleep(PEER_FETCH_DELAY_S)
            self._peer_is_ahead = anyio.Event()
            await self._read_all()
            ahead = self._list_ahead()
            if not ahead:
                continue
            await self._fetch(self.choose(ahead))

    def choose(self, ahead: list[addresses.Address]) -> addresses.Address:
        """Return a peer, preferably one whose last fetch did not fail."""
        responsive = [peer for peer in ahead if peer not in self._failed]
        return self._rng.choice(responsive or ahead)

    async def _read_all(self) -> None:
        if self._has_read_all or not self._sources:
            return
        peer, tries = self._sources.popleft()
        self._has_read_all = await self._exchange.fetch(
            peer, recordexchange.EXCHANGE_TIMEOUT_S, is_whole=True
        )
        if self._has_read_all:
            self._sources.clear()
            return
        if tries > 1:
            self._sources.append((peer, tries - 1))
        if self._sources:
            self._peer_is_ahead.set()

    async def _fetch(self, peer: addresses.Address) -> None:
        # The timeout doubles with each peer that failed: a page of records may
        # be large, and the links slow.
        timeout = self._find_timeout() * 2 ** min(len(self._failed), 4)
        timeout = min(recordexchange.EXCHANGE_TIMEOUT_S, timeout)
        if await self._exchange.fetch(peer, timeout):
            self._failed.clear()
            return
        self._failed.add(peer)
        # Try again at once: peers may send no further message until then.
        self._peer_is_ahead.set()
