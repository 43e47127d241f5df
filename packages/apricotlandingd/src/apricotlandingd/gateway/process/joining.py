"""Publishes this host in the platform's store, and finds the others there."""

import anyio
import eliot

from apricotlanding import clocks
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.process import settings

__all__ = ['join_hosts']

# Interval between attempts to publish this host and to read the others.
RETRY_INTERVAL_S = 1.0


async def join_hosts(
    config: settings.GatewaySettings,
    store: dialect.Store,
    hosts: mesh.Mesh,
    shared: allowances.Allowances,
    input_errors: inputerrors.InputErrors,
) -> None:
    """Publish this host and probe all others; retries until it succeeds."""
    while True:
        try:
            await store.write_host(config.host, config.state)
            break
        except dialect.StoreUnavailable as error:
            eliot.log_message('gateway:join_failed', detail=str(error))
        await anyio.sleep(RETRY_INTERVAL_S)
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
