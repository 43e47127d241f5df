"""Malformed messages to a host's ports, from strangers or faulty hosts."""

import random
import socket
import struct
import typing as ty

import anyio
import anyio.abc
import msgpack
import testtools

from apricotlanding import addresses
from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import recordexchange
from apricotlandingd.gateway.replication import records
from apricotstandins import processes

# Timeout of each wait; long enough for a busy machine.
WAIT_TIMEOUT_S = 10.0
# Seconds within which a peer must send its records.
FETCH_TIMEOUT_S = 2.0


def make_state(**changes: ty.Any) -> messages.HostState:
    """Return a host's state, with other fields if given."""
    fields: dict[str, ty.Any] = {
        'host': 'host-2',
        'incarnation': 'host-2.1',
        'state_address': '127.0.0.1:7600',
        'peers_address': '127.0.0.1:7601',
        'number': 1,
        'is_stopping': False,
        'reads_store': True,
        'positions': [3, 4],
        'running': {'r1': 2},
        'usage': {'festin': 10.0},
        'ranks': {'pool': [queueing.Rank(0, 0, False, 1.0)]},
        'hints': {'host-3': '127.0.0.1:7602'},
    }
    return messages.HostState(**(fields | changes))


def make_change(**changes: ty.Any) -> messages.HostChange:
    """Return a change of that host, with other fields if given."""
    fields: dict[str, ty.Any] = {
        'process': messages.digest_process(ids.Incarnation('host-2.1')),
        'number': 2,
        'is_stopping': False,
        'reads_store': True,
        'positions': [3, 4],
        'running': {17: 2},
        'usage': {'festin': 10.0},
        'ranks': {'pool': [queueing.Rank(0, 0, False, 1.0)]},
        'answer_ages': [],
    }
    return messages.HostChange(**(fields | changes))


def pack_state(**changes: ty.Any) -> bytes:
    return messages.registry.encode(make_state(**changes))


NAN = float('nan')
INFINITE = float('inf')
# Invalid fields, and what a host that accepted them would do.
BAD_FIELDS: ty.Final[tuple[dict[str, ty.Any], ...]] = (
    # More places than the runner has.
    {'running': {'r1': -5}},
    {'group_used': {'festin': -5.0}},
    # Allowances without a limit, or that are refilled by each message.
    {'usage': {'festin': NAN}},
    {'usage': {'festin': -INFINITE}},
    {'asked': {'festin': NAN}},
    {'asked': {'festin': -5.0}},
    {'group_asked': {'festin': INFINITE}},
    {'group_used': {'festin': NAN}},
    {'levels': {'festin': NAN}},
    {'levels': {'festin': -INFINITE}},
    {'hosts': -1},
    # A rank that cannot be sorted.
    {'ranks': {'pool': [queueing.Rank(0, 0, False, NAN)]}},
    # Only half of the message would be applied.
    {'state_address': 'nowhere'},
    {'state_address': 'host.example:7600'},
    {'state_address': '127.0.0.1:0'},
    {'state_address': '127.0.0.1:65536'},
    {'peers_address': ''},
    {'hints': {'host-3': '127.0.0.1'}},
    {'hints': {f'host-{n}': '127.0.0.1:9' for n in range(500)}},
    # Records that would never be read again.
    {'positions': [-1, 4]},
    {'positions': [2**64 - 1, 4]},
    {'number': -1},
)
BAD_CHANGES: ty.Final[tuple[dict[str, ty.Any], ...]] = (
    {'process': -1},
    {'process': 2**64 - 1, 'number': -1},
    {'running': {17: -5}},
    {'running': {-17: 5}},
    {'usage': {'festin': NAN}},
    {'usage': {'festin': -INFINITE}},
    {'ranks': {'pool': [queueing.Rank(0, 0, False, NAN)]}},
    {'positions': [-1, 4]},
    {'answer_ages': [2**63]},
)
BAD_DATA: ty.Final = (
    b'',
    b'\xc1',
    b'\x93\x01',
    # A list as the key of a map.
    b'\x81\x91\x01\x01',
    # Nested arrays, as deep as the parser goes.
    b'\x91' * 1000 + b'\xc0',
    b'\x91' * 60_000,
    # An array header that declares four billion entries.
    b'\xdd\xff\xff\xff\xff',
    msgpack.packb([1]),
    msgpack.packb({'host': 1}),
    msgpack.packb([{}, 1]),
    msgpack.packb([1, *[None] * 12]),
    msgpack.packb([1, 'x' * 60_000]),
    msgpack.packb([99, 'x' * 60_000]),
    msgpack.packb([2, [0, 0]]),
    # A name instead of a digest.
    msgpack.packb([5, 1, 2, False, True, [3, 4], {'r1': 5}, {}, {}, []]),
)


class TestMessages(testtools.TestCase):
    """Decoding of one message, or an error of limited length."""

    def check_refused(self, data: bytes) -> None:
        try:
            found = messages.registry.decode(data)
        except errors.Refused as error:
            self.assertLess(len(str(error)), 1000)
            return
        states = (messages.HostState, messages.HostChange)
        self.assertNotIsInstance(found, states, repr(found))

    def test_good_state(self) -> None:
        found = messages.registry.decode(pack_state())
        self.assertEqual(make_state(), found)

    def test_good_change(self) -> None:
        data = messages.registry.encode(make_change())
        self.assertEqual(make_change(), messages.registry.decode(data))

    def test_bad_changes(self) -> None:
        for changes in BAD_CHANGES:
            data = messages.registry.encode(make_change(**changes))
            self.assertRaises(errors.Refused, messages.registry.decode, data)

    def test_bytes(self) -> None:
        for data in BAD_DATA:
            self.check_refused(data)

    def test_fields(self) -> None:
        for changes in BAD_FIELDS:
            self.check_refused(pack_state(**changes))


class TestMesh(testtools.TestCase):
    """A host that keeps receiving messages after a malformed one."""

    def make_mesh(self, port: int) -> mesh.Mesh:
        found = mesh.Mesh(
            ids.Host('host-1'),
            addresses.Address('127.0.0.1', port),
            (),
            random.Random(1),
        )
        found.make_state = lambda number, scope, hints: make_state(
            host='host-1', number=number, hints=hints
        )
        found.make_change = lambda number: make_change(number=number)
        return found

    def test_a_bad_message_does_not_end_the_mesh(self) -> None:
        # Guards against a mesh task that ends on a malformed datagram, such as
        # a map with a list as a key. For up to five seconds the host would
        # neither hear others nor send, so callers would be refused and
        # allowances granted twice.
        async def scenario() -> None:
            port = processes.find_port()
            found = self.make_mesh(port)
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            async with anyio.create_task_group() as group:
                group.start_soon(found.run)
                await anyio.sleep(0.1)
                for data in (
                    *BAD_DATA,
                    *(pack_state(**changes) for changes in BAD_FIELDS),
                    *(
                        messages.registry.encode(make_change(**changes))
                        for changes in BAD_CHANGES
                    ),
                ):
                    sender.sendto(data, ('127.0.0.1', port))
                number = 0
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while not found.peers:
                        number += 1
                        sender.sendto(
                            pack_state(number=number), ('127.0.0.1', port)
                        )
                        await anyio.sleep(0.02)
                self.assertEqual(['host-2'], list(found.peers))
                self.assertEqual(2, found.count_running(ids.RunnerStart('r1')))
                group.cancel_scope.cancel()

        anyio.run(scenario)


def frame(data: bytes) -> bytes:
    return struct.pack('>I', len(data)) + data


# A reply, which is not a valid query.
GOOD_PAGE: ty.Final = frame(msgpack.packb([4, [0, 0], [[], []]]))
BAD_QUERIES: ty.Final = (
    b'',
    b'\x00\x00',
    b'GET / HTTP/1.1\r\n\r\n',
    struct.pack('>I', 2**32 - 1) + b'x' * 100,
    frame(b''),
    *(frame(data[:4000]) for data in BAD_DATA),
    frame(msgpack.packb([2, []])),
    frame(msgpack.packb([2, [0, 0, 0]])),
    frame(msgpack.packb([2, [0]])),
    frame(msgpack.packb([2, [-5, 0]])),
    frame(msgpack.packb([2, {'0': 0}])),
    GOOD_PAGE,
)
BAD_PAGES: ty.Final = (
    *(data for data in BAD_QUERIES if data != GOOD_PAGE),
    frame(msgpack.packb([4, [9], [[]]])),
    frame(msgpack.packb([4, [9, 9], [[]]])),
    frame(msgpack.packb([4, [-9, 9], [[], []]])),
    frame(msgpack.packb([4, [2**64 - 1, 9], [[], []]])),
    frame(msgpack.packb([4, [9, 9], [[['k', -1, b'']], []]])),
    frame(msgpack.packb([4, [9, 9], [[['k', 1.5, b'']], []]])),
)


class TestRecordExchange(testtools.TestCase):
    """Exchange of records between hosts."""

    def make_exchange(self) -> recordexchange.RecordExchange:
        replica = records.Replica()
        record = dialect.Record('i-1', 0, b'{}')
        batch = dialect.Batch((record,), 1)
        replica.apply(dialect.RUNNERS, batch, is_snapshot=False)
        return recordexchange.RecordExchange(replica)

    def test_a_bad_query_does_not_end_the_listener(self) -> None:
        # Guards against a listener that ends on a malformed query, such as one
        # for the records of three topics, and accepts no connections for up to
        # five seconds. A host that cannot read the store would then stay
        # behind the others.
        async def scenario() -> None:
            found = self.make_exchange()
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            address = addresses.Address('127.0.0.1', port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, found.serve)
                for data in BAD_QUERIES:
                    await self.ask(address, data)
                replica = records.Replica()
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    asker = recordexchange.RecordExchange(replica)
                    self.assertTrue(
                        await asker.fetch(address, FETCH_TIMEOUT_S)
                    )
                self.assertEqual(1, replica.positions[dialect.RUNNERS])
                group.cancel_scope.cancel()

        anyio.run(scenario)

    async def ask(self, address: addresses.Address, data: bytes) -> None:
        async with await anyio.connect_tcp(
            address.host, address.port
        ) as stream:
            await stream.send(data)
            await stream.send_eof()
            with anyio.fail_after(WAIT_TIMEOUT_S):
                try:
                    while True:
                        await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return

    def test_a_bad_reply_is_ignored(self) -> None:
        # Guards against a fetch task that ends on a reply of another message
        # type, and is down for up to five seconds: the host would not learn of
        # a new configuration.
        for data in BAD_PAGES:
            replica = records.Replica()
            asker = recordexchange.RecordExchange(replica)
            self.assertFalse(anyio.run(self.fetch, asker, data), repr(data))
            positions = records.list_positions(replica.positions)
            self.assertEqual([0, 0], positions, repr(data))

    async def fetch(
        self, asker: recordexchange.RecordExchange, data: bytes
    ) -> bool:
        async def reply(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(data)

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = addresses.Address('127.0.0.1', port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, reply)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                is_taken = await asker.fetch(address, FETCH_TIMEOUT_S)
            group.cancel_scope.cancel()
        return is_taken
