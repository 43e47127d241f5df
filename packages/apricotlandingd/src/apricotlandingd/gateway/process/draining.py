"""The end of a gateway process: open requests are served, then it ends."""

import anyio
import eliot

from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import shutdown
from apricotlandingd.gateway.relays import relayserver
from apricotlandingd.gateway.requests import listener

__all__ = ['drain']


async def drain(
    server: asgi.Server,
    requests: listener.Listener,
    relays: relayserver.RelayServer,
    plan: shutdown.Plan,
) -> None:
    """Serve open requests, and end those that are left at the plan's end.

    So are the calls that this host makes for others.
    """
    _log_stop('gateway:stopping', server, requests)
    await anyio.sleep(plan.close_at - clocks.read_monotonic())
    _log_stop('gateway:listener_closing', server, requests)
    left_s = plan.abort_at - clocks.read_monotonic()
    if not await shutdown.close_listener(server, left_s):
        _log_stop('gateway:grace_over', server, requests)
        requests.end_requests()
        left_s = plan.exit_at - clocks.read_monotonic()
        await shutdown.close_listener(server, left_s)
    if not await relays.wait_idle(plan.abort_at - clocks.read_monotonic()):
        eliot.log_message('gateway:relays_ended', open=relays.active)
    _log_stop('gateway:drained', server, requests)


def _log_stop(
    kind: str, server: asgi.Server, requests: listener.Listener
) -> None:
    eliot.log_message(
        kind,
        open=requests.open_requests,
        connections=server.count_connections(),
        unsent_bytes=server.count_unsent_bytes(),
    )
