"""The clients of all runners: one for each start of a runner.

A runner may start again under its id, at its old address or at another one.
Connections of the earlier start then lead to a process that is gone, and
nothing may come on them for as long as a request lasts: the reset that a
crash sends is lost where the path was cut. So a later start ends them
(``end_earlier``), and requests on them end as with any connection that
breaks.

Not all connections that were opened in the name of the earlier start belong
to it. Hosts hear of a restart late, while the store is away by many seconds,
and meanwhile send to the new process by the old registration. Such a request
is where it should be; cutting it would fail its caller for nothing. A
connection belongs to the process that was running when it was made, so those
made after the birth of the later start are left to finish.
"""

import dataclasses
import typing as ty

import anyio
import eliot

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import runnerclient

__all__ = ['RunnerClients']

# A start of a runner, and where it is registered to listen.
_Endpoint = tuple[ids.RunnerStart, addresses.Address]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Leaving:
    """A client that gets no more requests, and may have some on the way."""

    start: ids.RunnerStart
    client: runnerclient.RunnerClient


@ty.final
class RunnerClients:
    """Connections to runners, by start."""

    def __init__(self) -> None:
        """Start without connections."""
        self._clients: dict[_Endpoint, runnerclient.RunnerClient] = {}
        self._leaving: list[_Leaving] = []
        # Connections that were made by clients that were let go.
        self._past_connects = 0
        # Starts that ended earlier ones, whose connections are to be closed.
        self._later: list[ids.RunnerStart] = []
        self._has_later = anyio.Event()

    def find(self, entry: dialect.RunnerEntry) -> runnerclient.RunnerClient:
        """Return the client for a registered start."""
        endpoint = (entry.start, entry.address)
        client = self._clients.get(endpoint)
        if client is None:
            client = runnerclient.RunnerClient(entry.address)
            self._clients[endpoint] = client
        return client

    def count_connects(self) -> float:
        """Return the connections made to runners since the start."""
        return self._past_connects + sum(
            client.connects for client in self._clients.values()
        )

    def end_earlier(
        self, later: ids.RunnerStart
    ) -> dict[ids.RunnerStart, int]:
        """Say that a start of a runner has ended all earlier ones.

        Nothing is sent to them from here on; ``run`` closes what they have.
        Returns, by earlier start, the requests that the later one has.
        """
        birth = ids.parse_start_time(later)
        if birth is None:
            return {}
        for endpoint in list(self._clients):
            if ids.is_earlier_start(endpoint[0], later):
                self._let_go(endpoint)
        kept: dict[ids.RunnerStart, int] = {}
        for leaving in self._leaving:
            if not ids.is_earlier_start(leaving.start, later):
                continue
            count = leaving.client.count_made_since(birth / 1000)
            kept[leaving.start] = kept.get(leaving.start, 0) + count
        self._later.append(later)
        self._has_later.set()
        return kept

    async def run(self) -> None:
        """Close connections of starts that end, for as long as it runs."""
        while True:
            await self._has_later.wait()
            self._has_later = anyio.Event()
            while self._later:
                await self._close_earlier(self._later.pop())

    async def tidy(
        self, entries: list[dialect.RunnerEntry], now: float
    ) -> None:
        """Close idle connections, and let go of runners that are gone."""
        known = {(entry.start, entry.address) for entry in entries}
        for endpoint, client in list(self._clients.items()):
            await client.close_expired(now)
            if endpoint not in known and endpoint in self._clients:
                self._let_go(endpoint)
        for leaving in self._leaving:
            await leaving.client.close()
        # Kept while they are used: the end of the start may yet be told.
        self._leaving = [
            leaving for leaving in self._leaving if leaving.client.is_used()
        ]

    async def close(self) -> None:
        """Close all idle connections."""
        # A list, for a request in progress may still add a client.
        for client in list(self._clients.values()):
            await client.close()

    def _let_go(self, endpoint: _Endpoint) -> None:
        client = self._clients.pop(endpoint)
        client.stop()
        self._past_connects += client.connects
        self._leaving.append(_Leaving(endpoint[0], client))

    async def _close_earlier(self, later: ids.RunnerStart) -> None:
        birth = ids.parse_start_time(later)
        if birth is None:
            return
        for leaving in list(self._leaving):
            if not ids.is_earlier_start(leaving.start, later):
                continue
            await leaving.client.close()
            cut = await leaving.client.close_made_before(birth / 1000)
            eliot.log_message(
                'gateway:runner_restarted',
                runner=ids.parse_runner(later),
                born=birth,
                born_before=ids.parse_start_time(leaving.start),
                cut_requests=cut,
            )
