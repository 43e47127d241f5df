"""Publishes this host in the platform's store, and finds the others there."""

import random
import typing as ty

import anyio
import eliot

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import inputerrors

__all__ = ['Publisher', 'join_hosts']

# Interval between attempts to publish this host and to read the others.
RETRY_INTERVAL_S = 1.0
# Longest delay before this host is published again: all hosts learn at the
# same time that the store came back from a copy.
MAX_REPUBLISH_DELAY_S = 2.0


@ty.final
class Publisher:
    """Keeps this host's address in the platform's store."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        store: dialect.Store,
        rng: random.Random,
    ) -> None:
        """Publish the address at which a host listens for peers."""
        self._host = host
        self._address = address
        self._store = store
        self._rng = rng
        self._requested = anyio.Event()

    def request(self) -> None:
        """Publish again: the store may have lost this host's record."""
        self._requested.set()

    async def publish(self) -> None:
        """Publish now; retries until it succeeds."""
        while True:
            try:
                await self._store.write_host(self._host, self._address)
                return
            except dialect.StoreUnavailable as error:
                eliot.log_message('gateway:join_failed', detail=str(error))
            await anyio.sleep(RETRY_INTERVAL_S)

    async def run(self) -> None:
        """Publish after each request until cancelled."""
        while True:
            await self._requested.wait()
            await anyio.sleep(self._rng.uniform(0, MAX_REPUBLISH_DELAY_S))
            self._requested = anyio.Event()
            await self.publish()
            eliot.log_message('gateway:republished')


async def join_hosts(
    publisher: Publisher,
    store: dialect.Store,
    hosts: mesh.Mesh,
    shared: allowances.Allowances,
    input_errors: inputerrors.InputErrors,
) -> None:
    """Publish this host, probe all others, and keep this one published."""
    await publisher.publish()
    while True:
        try:
            published = await store.read_hosts()
            break
        except dialect.StoreUnavailable as error:
            eliot.log_message('gateway:join_failed', detail=str(error))
        await anyio.sleep(RETRY_INTERVAL_S)
    for host, address in published.items():
        if isinstance(address, dialect.Unreadable):
            input_errors.report(
                inputerrors.Source.HOST_RECORD,
                host,
                str(address),
                clocks.read_monotonic(),
            )
            continue
        hosts.probe_address(address)
    shared.mark_hosts_listed()
    await publisher.run()
