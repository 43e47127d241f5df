"""Records between hosts: asking a peer that is ahead, and answering.

One connection, one question, one reply, as length-prefixed msgpack. Used
when a peer's positions show that it knows more, which is when the store
turns this host away or is slower than the peer's message.
"""

import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import addresses
from apricotlanding import errors
from apricotlanding import frames
from apricotlanding import sockets
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import records

__all__ = ['TIMEOUT', 'RecordExchange']

# Longest time for a question and its reply, in seconds; a configuration of
# several hundred routes is some 100 KB.
TIMEOUT = 1.5
# Largest frame between hosts of one system, in bytes.
FRAME_LIMIT = 4 * 1024 * 1024


@ty.final
class RecordExchange:
    """Hands records on to peers and takes them from peers."""

    def __init__(self, board: records.Board) -> None:
        """Serve and fill this board."""
        self._board = board

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one peer's question."""
        link = frames.FrameStream(stream)
        try:
            with anyio.fail_after(TIMEOUT):
                query = messages.registry.unpack(await link.receive())
                if isinstance(query, messages.RecordQuery):
                    page = self._make_page(query)
                    await link.send(messages.registry.pack(page))
        except (*frames.CONNECTION_ERRORS, errors.Refused) as error:
            eliot.log_message('gateway:bad_query', detail=repr(error))
        finally:
            await link.close()

    async def fetch(self, address: addresses.Address, timeout: float) -> bool:
        """Take what a peer knows; False if it does not answer in time."""
        try:
            with anyio.fail_after(timeout):
                page = await self._ask(address)
        except (*frames.CONNECTION_ERRORS, errors.Refused) as error:
            eliot.log_message(
                'gateway:fetch_failed', peer=str(address), detail=repr(error)
            )
            return False
        self._apply(page)
        return True

    async def _ask(self, address: addresses.Address) -> messages.RecordPage:
        async with await anyio.connect_tcp(
            address.host, address.port
        ) as stream:
            sockets.watch_socket(
                stream.extra(anyio.abc.SocketAttribute.raw_socket)
            )
            link = frames.FrameStream(stream)
            link.limit = FRAME_LIMIT
            query = messages.RecordQuery(
                records.list_positions(self._board.positions)
            )
            await link.send(messages.registry.pack(query))
            page = messages.registry.unpack(await link.receive())
            return ty.cast(messages.RecordPage, page)

    def _make_page(self, query: messages.RecordQuery) -> messages.RecordPage:
        batches = [
            self._board.list_since(topic, offset)
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
            self._board.apply(topic, batch, is_whole=False)
