"""TCP relay that can cut and slow down connections, for failure tests.

One process relays any number of routes, each from a listening address to a
target. ``POST /standin/routes`` sets the faults of some of them. A route that
is cut keeps its connections and buffers the data: when the cut is healed, all
data arrives late, as after a network partition. A route that is silent
accepts connections and data and forwards nothing. A connection on which data
arrives during that time stays silent until it is closed; new connections work
when the fault is over.
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
# Value of SO_LINGER (on, zero seconds) that makes close() send a reset.
_RESET_LINGER = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True, eq=False)
class Route:
    """A listening address, its target and its faults."""

    name: str
    listen: addresses.Address
    target: addresses.Address
    # Faults in effect; a cut is set for each direction.
    is_cut_forward: bool = False
    is_cut_back: bool = False
    is_silent: bool = False
    # Added to each chunk, in seconds.
    delay_s: float = 0.0
    faults_changed: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    # Set to reset all current connections.
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
        """Reset all current connections."""
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
    """Parse a route of the form ``NAME=LISTEN=TARGET``."""
    name, listen, target = text.split('=')
    return Route(
        name,
        addresses.parse_address(listen),
        addresses.parse_address(target),
    )


@ty.final
class Relay:
    """All routes of one process, and the ASGI application for faults."""

    def __init__(self, routes: list[Route]) -> None:
        """Create the relay; ``run`` opens the listeners."""
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
                # Later data would otherwise look like the rest of an
                # incomplete message.
                silenced.set()
            if silenced.is_set():
                continue
            if route.delay_s > 0.0:
                await anyio.sleep(route.delay_s)
            await route.wait_until_healed(is_forward)
            await sink.send(chunk)
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        group.cancel_scope.cancel()
