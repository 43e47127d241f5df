"""Connections between daemons, in one process over loopback."""

import collections.abc
import math
import typing as ty

import anyio
import anyio.abc
import testtools

from apricotlanding import addresses
from apricotlanding import hostlist
from apricotlanding import ids
from apricotlanding import wire
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers

Check = collections.abc.Callable[
    [peers.Peers], collections.abc.Coroutine[ty.Any, ty.Any, None]
]

LOCAL_HOST = ids.Host('entry-1')
HOSTS = [ids.Host(f'entry-{number}') for number in range(2, 60)]
# The last host that ``LOCAL_HOST`` would choose as a neighbour.
DISTANT_HOST = peers.rank_hosts(str(LOCAL_HOST), HOSTS)[-1]
# No process listens on this port.
CLOSED_ADDRESS = addresses.Address('127.0.0.1', 1)


class FixedHostList:
    """A host list that does not change."""

    def __init__(self, entries: list[hostlist.HostEntry]) -> None:
        self.entries = entries

    async def read(self) -> list[hostlist.HostEntry]:
        return self.entries


class TestConnect(testtools.TestCase):
    """Calls to daemons that are not dialled for heartbeats."""

    def test_host_beyond_the_neighbours(self) -> None:
        # Guards against a drain that fails for a host which is neither a
        # neighbour nor an owner of shards: it is not dialled otherwise, and
        # the operator was told that the connection is lost.
        anyio.run(serve_and_check, self.check_distant_host)

    def test_unknown_host(self) -> None:
        # A host that is not on the host list has no address to dial; the
        # call returns at once instead of after its timeout.
        anyio.run(serve_and_check, self.check_unknown_host)

    async def check_distant_host(self, local_peers: peers.Peers) -> None:
        self.assertEqual([], local_peers.list_dialed())
        connection = await local_peers.connect(DISTANT_HOST, 20.0)
        assert connection is not None
        self.assertEqual(DISTANT_HOST, connection.host)

    async def check_unknown_host(self, local_peers: peers.Peers) -> None:
        found = await local_peers.connect(ids.Host('entry-none'), math.inf)
        self.assertIsNone(found)


async def serve_and_check(check: Check) -> None:
    with anyio.fail_after(60):
        listener = await open_listener()
        local_listener = await open_listener()
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        addresses_by_host = dict.fromkeys(HOSTS, CLOSED_ADDRESS)
        addresses_by_host[DISTANT_HOST] = addresses.Address('127.0.0.1', port)
        local_peers = make_peers(LOCAL_HOST, addresses_by_host)
        distant_peers = make_peers(DISTANT_HOST, {})
        async with anyio.create_task_group() as group:
            group.start_soon(distant_peers.run, listener)
            group.start_soon(local_peers.run, local_listener)
            while not local_peers.listed:
                await anyio.sleep(0.01)
            await check(local_peers)
            group.cancel_scope.cancel()


async def open_listener() -> anyio.abc.Listener[anyio.abc.SocketStream]:
    listeners = await anyio.create_tcp_listener(local_host='127.0.0.1')
    return listeners.listeners[0]


def make_peers(
    host: ids.Host, addresses_by_host: dict[ids.Host, addresses.Address]
) -> peers.Peers:
    domain = ids.Domain('d1')
    entries = [
        hostlist.HostEntry(name, hostlist.HostState.LIVE, domain, address)
        for name, address in addresses_by_host.items()
    ]
    router = peerlink.Router()
    router.sync_handlers[wire.Ping] = answer_ping
    made = peers.Peers(
        host,
        ids.make_incarnation(host, host, 0.0),
        domain,
        b'a shared key of the tests',
        ty.cast('hostlist.HostList', FixedHostList(entries)),
        router,
    )
    made.make_ping = make_ping
    return made


def make_ping() -> wire.Ping:
    return wire.Ping(0.0, ids.Version(0), ids.Offset(0))


def answer_ping(ping: wire.Ping, sender: ids.Incarnation) -> wire.Pong:
    return wire.Pong(0.0, ids.Version(0), ids.Offset(0), is_draining=False)
