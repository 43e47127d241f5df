"""The connections to the other daemons.

The platform's host list gives the addresses of daemons. One task for each
host that this daemon needs dials it, does the handshake, sends heartbeats,
and dials again when the connection breaks. Another task serves each accepted
connection.

With few hosts every daemon dials every other. Above ``MESH_LIMIT_HOSTS`` hosts
it dials only owners and successors of shards and its own neighbours, which are
``NEIGHBOUR_COUNT`` hosts chosen by rendezvous hashing, so that the number of
connections grows with the number of shards and not with that of hosts.
``connect`` dials any other host for one call.
"""

import collections
import collections.abc
import contextlib
import statistics
import typing as ty

import anyio
import anyio.abc
import eliot
import xxhash

from apricotlanding import acceptance
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import handshake
from apricotlanding import hostlist
from apricotlanding import ids
from apricotlanding import supervisor
from apricotlanding import wire
from apricotlandingd.peering import peerlink

__all__ = ['Peers', 'rank_hosts']

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 2.0
HOST_LIST_INTERVAL_S = 0.5
MESH_LIMIT_HOSTS = 16
NEIGHBOUR_COUNT = 6
# Errors that end a connection in normal operation; errors of the tasks of a
# connection are raised in a group.
_LINK_ERRORS = (
    *frames.CONNECTION_ERRORS,
    errors.Refused,
    peerlink.PeerLost,
    ExceptionGroup,
)
_CONNECT_POLL_INTERVAL_S = 0.05
_INITIAL_DELAY_S = 0.1
_MAX_DELAY_S = 1.0


def rank_hosts(
    name: str, hosts: collections.abc.Iterable[ids.Host]
) -> list[ids.Host]:
    """Return hosts in the order of rendezvous hashing for a name.

    Each name has its own order. Adding or removing a host does not change
    the relative order of the others.
    """

    def compute_weight(host: ids.Host) -> int:
        return xxhash.xxh3_64_intdigest(f'{name}\0{host}'.encode())

    return sorted(hosts, key=compute_weight, reverse=True)


@ty.final
class Peers:
    """Connections from and to other daemons."""

    def __init__(
        self,
        host: ids.Host,
        incarnation: ids.Incarnation,
        domain: ids.Domain,
        key: bytes,
        hosts: hostlist.HostList,
        router: peerlink.Router,
    ) -> None:
        """Create without connections; ``run`` makes them."""
        self.host = host
        self.incarnation = incarnation
        self.domain = domain
        self.router = router
        # The host list as last read, by name; entry hosts and runners.
        self.listed: dict[str, hostlist.HostEntry] = {}
        # When it was last read.
        self.listed_at = 0.0
        # Hosts that roles need a connection to; see ``MESH_LIMIT_HOSTS``.
        self.find_needed: collections.abc.Callable[[], set[ids.Host]] = (
            lambda: set()
        )
        self.make_ping: collections.abc.Callable[[], wire.Ping] | None = None
        self.on_pong: collections.abc.Callable[
            [wire.Pong, peerlink.Connection], None
        ] = lambda pong, connection: None
        # Called for every connection that has ended.
        self.on_lost: collections.abc.Callable[[ids.Incarnation], None] = (
            lambda incarnation: None
        )
        self._key = key
        self._hosts = hosts
        self._dialed: dict[ids.Incarnation, peerlink.Connection] = {}
        self._accepted: dict[ids.Incarnation, peerlink.Connection] = {}
        # Number of calls of ``connect`` that wait for each host.
        self._awaited_hosts: collections.Counter[ids.Host] = (
            collections.Counter()
        )

    def find(self, incarnation: ids.Incarnation) -> peerlink.Connection | None:
        """Return an open connection to a daemon; None if there is none."""
        found = self._dialed.get(incarnation)
        if found is None:
            found = self._accepted.get(incarnation)
        return found

    def is_replaced(self, incarnation: ids.Incarnation) -> bool:
        """Tell whether another incarnation on its host is connected."""
        host = ids.parse_host(incarnation)
        return any(
            item.host == host and item.incarnation != incarnation
            for item in self._dialed.values()
        )

    def list_dialed(self) -> list[peerlink.Connection]:
        """Return the connections on which this daemon sends heartbeats."""
        return list(self._dialed.values())

    async def connect(
        self, host: ids.Host, timeout: float
    ) -> peerlink.Connection | None:
        """Return a connection to a host, dialling it if necessary.

        Returns None if the host is not on the host list, or after
        ``timeout`` seconds. A host that has just started, or that is not a
        neighbour, is not connected yet; without the wait an operator's call
        to it would fail although the host is healthy.
        """
        self._awaited_hosts[host] += 1
        try:
            with anyio.move_on_after(timeout):
                # An empty list has not been read yet.
                while not self.listed or str(host) in self.listed:
                    for connection in self.list_dialed():
                        if connection.host == host:
                            return connection
                    await anyio.sleep(_CONNECT_POLL_INTERVAL_S)
        finally:
            self._awaited_hosts[host] -= 1
        return None

    def list_live(self) -> set[ids.Host]:
        """Return the live entry hosts of the host list and this host."""
        found = {
            ids.Host(name)
            for name, entry in self.listed.items()
            if entry.peers is not None
            and entry.state is hostlist.HostState.LIVE
        }
        found.add(self.host)
        return found

    def find_clock_offset(self) -> float:
        """Return the seconds by which the local wall clock is behind others.

        This is the median over this host and all dialled peers, so that one
        host with a wrong clock does not affect it.
        """
        offsets = [item.clock_offset_s for item in self._dialed.values()]
        return statistics.median([0.0, *offsets])

    async def run(self, listener: anyio.abc.Listener[ty.Any]) -> None:
        """Accept connections, poll the host list and dial, until cancelled."""
        async with supervisor.Supervisor('peers') as tree:
            accepted = acceptance.PeerListener(
                ty.cast(acceptance.Listener, listener)
            )
            tree.start('listener', lambda: accepted.serve(self._accept))
            await self._follow_hosts(tree)

    async def _follow_hosts(self, tree: supervisor.Supervisor) -> None:
        while True:
            try:
                entries = await self._hosts.read()
                self.listed_at = clocks.read_monotonic()
            except hostlist.HostListUnreachable:
                # Keep the last list: an unreachable list does not mean that
                # the hosts are gone.
                entries = list(self.listed.values())
            self.listed = {entry.name: entry for entry in entries}
            self._adjust_dialers(tree)
            await anyio.sleep(HOST_LIST_INTERVAL_S)

    def _adjust_dialers(self, tree: supervisor.Supervisor) -> None:
        wanted = self._choose_hosts()
        running = {
            ids.Host(name.removeprefix('dial-'))
            for name in tree.list_children()
            if name.startswith('dial-')
        }
        for host in wanted - running:
            tree.start(f'dial-{host}', self._make_dialer(host))
        for host in running - wanted:
            tree.stop(f'dial-{host}')

    def _choose_hosts(self) -> set[ids.Host]:
        known = {
            ids.Host(name)
            for name, entry in self.listed.items()
            if entry.peers is not None
        }
        known.discard(self.host)
        if len(known) <= MESH_LIMIT_HOSTS:
            return known
        neighbours = rank_hosts(str(self.host), known)[:NEIGHBOUR_COUNT]
        awaited = set(+self._awaited_hosts)
        return known & (self.find_needed() | awaited | set(neighbours))

    def _make_dialer(
        self, host: ids.Host
    ) -> collections.abc.Callable[[], collections.abc.Awaitable[None]]:
        return lambda: self._dial_forever(host)

    async def _dial_forever(self, host: ids.Host) -> None:
        delay = _INITIAL_DELAY_S
        while True:
            entry = self.listed.get(str(host))
            started = clocks.read_monotonic()
            if entry is not None and entry.peers is not None:
                try:
                    await self._dial(entry)
                except _LINK_ERRORS as error:
                    self._log_end(host, error)
            if clocks.read_monotonic() - started > _MAX_DELAY_S:
                delay = _INITIAL_DELAY_S
            await anyio.sleep(delay)
            delay = min(2 * delay, _MAX_DELAY_S)

    async def _dial(self, entry: hostlist.HostEntry) -> None:
        assert entry.peers is not None
        with anyio.fail_after(handshake.HANDSHAKE_TIMEOUT_S):
            raw = await anyio.connect_tcp(entry.peers.host, entry.peers.port)
        async with raw:
            stream = frames.FrameStream(raw)
            greeting = await handshake.greet_acceptor(
                stream, self._make_greeting(), self._key
            )
            connection = peerlink.Connection(stream, greeting, self.router)
            self._dialed[connection.incarnation] = connection
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(connection.run)
                    await self._send_heartbeats(connection)
            finally:
                if self._dialed.get(connection.incarnation) is connection:
                    del self._dialed[connection.incarnation]
                self.on_lost(connection.incarnation)

    async def _send_heartbeats(self, connection: peerlink.Connection) -> None:
        assert self.make_ping is not None
        while True:
            sent_at = clocks.read_monotonic()
            pong = await connection.call(self.make_ping(), HEARTBEAT_TIMEOUT_S)
            if isinstance(pong, wire.Pong):
                half_round_trip_s = (clocks.read_monotonic() - sent_at) / 2
                connection.clock_offset_s = (
                    pong.wall + half_round_trip_s - clocks.read_wall()
                )
                connection.is_draining = pong.is_draining
                self.on_pong(pong, connection)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def _accept(
        self,
        raw: anyio.abc.ByteStream,
        on_known: collections.abc.Callable[[], None],
    ) -> None:
        async with raw:
            stream = frames.FrameStream(raw)
            try:
                greeting = await handshake.greet_dialer(
                    stream, self._make_greeting(), self._key
                )
                on_known()
                connection = peerlink.Connection(stream, greeting, self.router)
                self._accepted[connection.incarnation] = connection
                try:
                    await connection.run()
                finally:
                    registered = self._accepted.get(connection.incarnation)
                    if registered is connection:
                        del self._accepted[connection.incarnation]
                    self.on_lost(connection.incarnation)
            except _LINK_ERRORS as error:
                self._log_end(None, error)

    def _make_greeting(self) -> handshake.Greeting:
        return handshake.make_greeting(
            self.host, self.incarnation, self.domain
        )

    def _log_end(self, host: ids.Host | None, error: Exception) -> None:
        with contextlib.suppress(IndexError):
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
        eliot.log_message('peer:end', peer=host, error=repr(error))
