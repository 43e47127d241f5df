"""A TCP relay that can cut and slow down connections, for failure tests.

One process relays any number of routes, each from a listening address to a
target. ``POST /standin/routes`` sets the faults of some of them. A route that
is cut keeps its connections and what was sent: after the cut everything
arrives, late, as it does when a network heals. A route that is silent takes
connections and bytes and passes nothing on; a connection that met this stays
silent for good, while new ones work after it.
"""

import dataclasses
import json
import socket
import struct
import typing as ty

import anyio
import anyio.abc

from apricotlanding import addresses
from apricotlanding import asgi

__all__ = ['Relay', 'parse_route']

_CHUNK_BYTES = 65_536
# Closing with this option resets a connection: on, and zero seconds.
_RESET_LINGER = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True, eq=False)
class Route:
    """One relayed address."""

    name: str
    listen: addresses.Address
    target: addresses.Address
    # What goes wrong now, by direction.
    is_cut_forward: bool = False
    is_cut_back: bool = False
    is_silent: bool = False
    # Added to each part, in seconds.
    delay_s: float = 0.0
    faults_changed: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    # Set when all connections of now are reset.
    reset_requested: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )

    def set_faults(self, faults: dict[str, ty.Any]) -> None:
        self.is_cut_forward = faults.get('cut_forward', False)
        self.is_cut_back = faults.get('cut_back', False)
        self.is_silent = faults.get('silent', False)
        self.delay_s = faults.get('delay_s', 0.0)
        faults_changed, self.faults_changed = (
            self.faults_changed,
            anyio.Event(),
        )
        faults_changed.set()

    def reset(self) -> None:
        """Reset all connections."""
        reset_requested, self.reset_requested = (
            self.reset_requested,
            anyio.Event(),
        )
        reset_requested.set()

    async def wait_until_healed(self, is_forward: bool) -> None:
        """Wait while this direction is cut."""
        while self.is_cut_forward if is_forward else self.is_cut_back:
            await self.faults_changed.wait()


def parse_route(text: str) -> Route:
    """Return the route in ``NAME=LISTEN=TARGET``."""
    name, listen, target = text.split('=')
    return Route(
        name,
        addresses.parse_address(listen),
        addresses.parse_address(target),
    )


@ty.final
class Relay:
    """All routes of one process, and their control as ASGI."""

    def __init__(self, routes: list[Route]) -> None:
        """Prepare; ``run`` listens."""
        self._routes = {route.name: route for route in routes}

    async def run(self) -> None:
        """Relay until cancelled."""
        async with anyio.create_task_group() as group:
            for route in self._routes.values():
                listener = await anyio.create_tcp_listener(
                    local_host=route.listen.host, local_port=route.listen.port
                )
                group.start_soon(listener.serve, self._make_handler(route))

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Set the faults of the routes that the body names."""
        body = await asgi.read_body(receive, 1024 * 1024)
        for name, faults in json.loads(body or b'{}').items():
            self._routes[name].set_faults(faults)
        await asgi.send_json(send, 200, sorted(self._routes))

    def _make_handler(self, route: Route) -> ty.Any:
        async def handle(client: anyio.abc.SocketStream) -> None:
            async with client:
                await route.wait_until_healed(is_forward=True)
                try:
                    server = await anyio.connect_tcp(
                        route.target.host, route.target.port
                    )
                except OSError:
                    return
                silenced = anyio.Event()
                async with server, anyio.create_task_group() as group:
                    group.start_soon(
                        _pump, route, client, server, True, silenced, group
                    )
                    group.start_soon(
                        _pump, route, server, client, False, silenced, group
                    )
                    group.start_soon(_wait_reset, route, client, server, group)

        return handle


async def _wait_reset(
    route: Route,
    client: anyio.abc.SocketStream,
    server: anyio.abc.SocketStream,
    group: anyio.abc.TaskGroup,
) -> None:
    await route.reset_requested.wait()
    for stream in (client, server):
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
    group.cancel_scope.cancel()


async def _pump(
    route: Route,
    source: anyio.abc.ByteStream,
    sink: anyio.abc.ByteStream,
    is_forward: bool,
    silenced: anyio.Event,
    group: anyio.abc.TaskGroup,
) -> None:
    try:
        while True:
            chunk = await source.receive(_CHUNK_BYTES)
            if route.is_silent:
                # What follows would otherwise look like the rest of it.
                silenced.set()
            if silenced.is_set():
                continue
            if route.delay_s > 0.0:
                await anyio.sleep(route.delay_s)
            await route.wait_until_healed(is_forward)
            await sink.send(chunk)
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        group.cancel_scope.cancel()
