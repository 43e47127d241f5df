"""Transfer of records between hosts.

Each connection carries one query and one reply, as length-prefixed msgpack. A
host queries a peer whose positions are ahead, which happens when the store
rejects this host or is slower than the peer's message.

Any program can connect to the server, and another program may listen at a
peer's address by now. Bytes that are not a valid query or reply end only that
connection, and are reported.
"""

import collections.abc
import socket
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import acceptance
from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import sockets
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import records

__all__ = ['EXCHANGE_TIMEOUT_S', 'RecordExchange']

# Timeout of a query and its reply. A configuration of several hundred routes
# is about 100 KB.
EXCHANGE_TIMEOUT_S = 1.5
# Replies that are sent at a time; each holds all records that a peer lacks.
MAX_REPLIES = 8
# Largest reply that is accepted.
FRAME_LIMIT_BYTES = 4 * 1024 * 1024


@ty.final
class RecordExchange:
    """Serves records to peers and fetches them from peers."""

    def __init__(self, replica: records.Replica) -> None:
        """Serve records from a replica and apply fetched ones to it."""
        self._replica = replica
        self._replies = anyio.Semaphore(MAX_REPLIES)
        # Called with the peer's address, the reason and the time for each
        # invalid query or reply. Set by the gateway.
        self.on_unreadable: collections.abc.Callable[
            [str, str, float], None
        ] = lambda peer, detail, now: None

    async def run(self, listening: socket.socket) -> None:
        """Answer the queries of all peers until cancelled."""
        # A peer has no proof to give: each remains a stranger.
        await acceptance.serve_socket(
            listening, lambda stream, _on_known: self.serve(stream)
        )

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one peer's query."""
        link = frames.FrameStream(stream)
        try:
            with anyio.fail_after(EXCHANGE_TIMEOUT_S):
                query = _check_query(
                    messages.registry.unpack(await link.receive())
                )
                async with self._replies:
                    page = self._make_page(query)
                    await link.send(messages.registry.pack(page))
        except errors.Refused as error:
            host = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
            self.on_unreadable(str(host), str(error), clocks.read_monotonic())
        except frames.CONNECTION_ERRORS as error:
            eliot.log_message('gateway:bad_query', detail=repr(error))
        finally:
            await link.close()

    async def fetch(
        self,
        address: addresses.Address,
        timeout: float,
        is_whole: bool = False,
    ) -> bool:
        """Apply a peer's records; return False if the fetch fails.

        With ``is_whole`` all of them, else those after what is known.
        """
        positions = records.list_positions(self._replica.positions)
        if is_whole:
            positions = [0] * len(positions)
        try:
            with anyio.fail_after(timeout):
                page = await self._query_peer(address, positions)
        except errors.Refused as error:
            self.on_unreadable(
                str(address), str(error), clocks.read_monotonic()
            )
            return False
        except frames.CONNECTION_ERRORS as error:
            eliot.log_message(
                'gateway:fetch_failed', peer=str(address), detail=repr(error)
            )
            return False
        self._apply(page)
        return True

    async def _query_peer(
        self, address: addresses.Address, positions: list[int]
    ) -> messages.RecordPage:
        async with await anyio.connect_tcp(
            address.host, address.port
        ) as stream:
            sockets.enable_keepalive(
                stream.extra(anyio.abc.SocketAttribute.raw_socket)
            )
            link = frames.FrameStream(stream)
            link.limit_bytes = FRAME_LIMIT_BYTES
            query = messages.RecordQuery(positions)
            await link.send(messages.registry.pack(query))
            return _check_page(messages.registry.unpack(await link.receive()))

    def _make_page(self, query: messages.RecordQuery) -> messages.RecordPage:
        batches = [
            self._replica.list_since(topic, offset)
            for topic, offset in zip(
                records.TOPICS, query.positions, strict=True
            )
        ]
        return messages.RecordPage(
            [batch.next_offset for batch in batches],
            [
                [
                    messages.RecordRow(item.key, item.offset, item.value)
                    for item in batch.records
                ]
                for batch in batches
            ],
        )

    def _apply(self, page: messages.RecordPage) -> None:
        for topic, offset, rows in zip(
            records.TOPICS, page.positions, page.topics, strict=True
        ):
            found = tuple(
                dialect.Record(row.key, row.offset, row.value) for row in rows
            )
            batch = dialect.Batch(found, offset)
            self._replica.apply(topic, batch, is_snapshot=False)


def _check_query(message: object) -> messages.RecordQuery:
    if not isinstance(message, messages.RecordQuery):
        raise codec.make_frame_error('no question for records')
    _check_topics(len(message.positions))
    return message


def _check_page(message: object) -> messages.RecordPage:
    if not isinstance(message, messages.RecordPage):
        raise codec.make_frame_error('no page of records')
    _check_topics(len(message.positions))
    _check_topics(len(message.topics))
    return message


def _check_topics(count: int) -> None:
    expected = len(records.TOPICS)
    if count != expected:
        raise codec.make_frame_error(f'{count} topics, {expected} are known')
