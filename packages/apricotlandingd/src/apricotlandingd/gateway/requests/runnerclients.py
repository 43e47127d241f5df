"""The clients of all runners: one for each start of a runner.

A runner may restart under its id, at its old address or at another one.
Connections of the earlier start then lead to a process that is gone, and may
stay silent for as long as a request lasts: the reset that a crash sends is
lost if the network path was cut. So a later start closes them
(``retire_earlier``), and requests on them end as on any broken connection.

Not all connections that were opened for the earlier start lead to it. Hosts
learn of a restart late, by many seconds during an outage of the store, and
meanwhile send requests to the new process by the old registration. Such a
request has reached the right process, and cutting it would fail its caller
without need. A connection belongs to the process that was running when it was
made, so those made after the birth of the later start are left to finish.
"""

import collections.abc
import dataclasses
import functools
import typing as ty

import anyio
import eliot

from apricotlanding import addresses
from apricotlanding import dialing
from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import runnerclient

__all__ = ['OnDialed', 'RunnerClients']

OnDialed = collections.abc.Callable[[dialect.RunnerEntry, bool], None]

# A start of a runner, and where it is registered to listen.
_Endpoint = tuple[ids.RunnerStart, addresses.Address]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Retired:
    """A client that accepts no more requests; some may be in progress."""

    start: ids.RunnerStart
    client: runnerclient.RunnerClient


@ty.final
class RunnerClients:
    """Connections to runners, by start."""

    def __init__(
        self,
        dial: dialing.Dial = dialing.dial_address,
        on_dialed: OnDialed = lambda entry, ok: None,
    ) -> None:
        """Start without connections.

        ``on_dialed`` is called with the runner and the success of each
        connection attempt.
        """
        self._dial = dial
        self._on_dialed = on_dialed
        self._clients: dict[_Endpoint, runnerclient.RunnerClient] = {}
        self._retired: list[_Retired] = []
        # Connections opened by clients that were retired.
        self._retired_connects = 0
        # New starts, the connections of whose earlier starts are to be closed.
        self._new_starts: list[ids.RunnerStart] = []
        self._has_new_starts = anyio.Event()

    def find(self, entry: dialect.RunnerEntry) -> runnerclient.RunnerClient:
        """Return the client for a registered start."""
        endpoint = (entry.start, entry.address)
        client = self._clients.get(endpoint)
        if client is None:
            client = runnerclient.RunnerClient(
                entry.address,
                self._dial,
                functools.partial(self._on_dialed, entry),
            )
            self._clients[endpoint] = client
        return client

    def count_connects(self) -> float:
        """Return the number of connections opened to runners so far."""
        return self._retired_connects + sum(
            client.connects for client in self._clients.values()
        )

    def retire_earlier(
        self, later: ids.RunnerStart
    ) -> dict[ids.RunnerStart, int]:
        """Retire the clients of all starts before this one.

        Nothing more is sent to them; ``run`` closes their connections.
        Returns, by earlier start, the number of requests that reached the
        later one.
        """
        birth = ids.parse_start_time(later)
        if birth is None:
            return {}
        for endpoint in list(self._clients):
            if ids.is_earlier_start(endpoint[0], later):
                self._retire(endpoint)
        counts: dict[ids.RunnerStart, int] = {}
        for retired in self._retired:
            if not ids.is_earlier_start(retired.start, later):
                continue
            count = retired.client.count_made_since(birth / 1000)
            counts[retired.start] = counts.get(retired.start, 0) + count
        self._new_starts.append(later)
        self._has_new_starts.set()
        return counts

    async def run(self) -> None:
        """Close the connections of earlier starts until cancelled."""
        while True:
            await self._has_new_starts.wait()
            self._has_new_starts = anyio.Event()
            while self._new_starts:
                await self._close_earlier(self._new_starts.pop())

    async def prune(
        self, entries: list[dialect.RunnerEntry], now: float
    ) -> None:
        """Close expired connections, and retire clients of past runners."""
        known = {(entry.start, entry.address) for entry in entries}
        for endpoint, client in list(self._clients.items()):
            await client.close_expired(now)
            if endpoint not in known and endpoint in self._clients:
                self._retire(endpoint)
        for retired in self._retired:
            await retired.client.close()
        # Kept while busy: a later start of the runner may still be reported.
        self._retired = [
            retired for retired in self._retired if retired.client.is_busy()
        ]

    async def close(self) -> None:
        """Close all idle connections."""
        # A copy, because a request in progress may still add a client.
        for client in list(self._clients.values()):
            await client.close()

    def _retire(self, endpoint: _Endpoint) -> None:
        client = self._clients.pop(endpoint)
        client.stop()
        self._retired_connects += client.connects
        self._retired.append(_Retired(endpoint[0], client))

    async def _close_earlier(self, later: ids.RunnerStart) -> None:
        birth = ids.parse_start_time(later)
        if birth is None:
            return
        for retired in list(self._retired):
            if not ids.is_earlier_start(retired.start, later):
                continue
            await retired.client.close()
            cut = await retired.client.close_made_before(birth / 1000)
            eliot.log_message(
                'gateway:runner_restarted',
                runner=ids.parse_runner(later),
                born=birth,
                born_before=ids.parse_start_time(retired.start),
                cut_requests=cut,
            )
