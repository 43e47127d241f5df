"""Stores the answers of runners for the callers that read them.

The task that runs a request appends to its ``Answer``. The caller's
connection, and any later one that presents the same key, read from it
independently. A caller that disconnects therefore does not interrupt the
request, and a retry finds the answer.

Finished answers are kept within a limit of bytes; the oldest are evicted
first.
"""

import collections
import collections.abc
import dataclasses
import typing as ty

import anyio

from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import wire

__all__ = ['Answer', 'AnswerStore', 'End', 'StoredRequest']

# Memory of an entry in addition to its chunks.
_ENTRY_OVERHEAD_BYTES = 512

RequestId = tuple[ids.Organisation, ids.Key]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of an answer; the answer is complete if there is no problem."""

    problem: errors.Problem | None = None


@ty.final
class Answer:
    """An answer to which chunks are appended until it ends."""

    def __init__(self) -> None:
        """Create an empty answer."""
        self.chunks: list[bytes] = []
        self.end: End | None = None
        self.runner: ids.Runner | None = None
        # HTTP status to send to the caller with the first chunk.
        self.status = 200
        # Number of connections that are reading it.
        self.readers = 0
        self._changed = anyio.Event()

    def add(self, chunk: bytes) -> None:
        """Append a chunk; ignored after the end."""
        if self.end is not None:
            return
        self.chunks.append(chunk)
        self._notify_readers()

    def finish(self, problem: errors.Problem | None = None) -> None:
        """End the answer; ignored if it has ended already."""
        if self.end is not None:
            return
        self.end = End(problem)
        self._notify_readers()

    async def wait_for_first_chunk(self) -> None:
        """Wait until there is a chunk or the answer has ended."""
        while not self.chunks and self.end is None:
            await self._changed.wait()

    async def iterate(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield all chunks from the beginning until the end.

        Chunks that arrived while the reader was busy are joined into one.
        """
        position = 0
        while True:
            if position < len(self.chunks):
                part = b''.join(self.chunks[position:])
                position = len(self.chunks)
                yield part
                continue
            if self.end is not None:
                return
            await self._changed.wait()

    def _notify_readers(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


@ty.final
@dataclasses.dataclass(slots=True, eq=False)
class StoredRequest:
    """A request in the answer store."""

    organisation: ids.Organisation
    key: ids.Key
    digest: bytes
    ticket: str
    shard: ids.Shard | None
    answer: Answer
    # State to report to a claim owner.
    state: wire.ClaimState = wire.ClaimState.HELD
    # True once this daemon has been granted the claim; until then it must
    # not be reported to a claim owner as held here.
    is_claimed: bool = False
    # True once the claim owner knows the state or need not know it. Not
    # evicted before: a request that is missing here counts as not run, and
    # its claim may be released.
    is_settled: bool = False

    def count_bytes(self) -> int:
        """Return the memory that the entry uses."""
        return _ENTRY_OVERHEAD_BYTES + sum(
            len(chunk) for chunk in self.answer.chunks
        )


@ty.final
class AnswerStore:
    """Open requests and finished answers, by organisation and key."""

    def __init__(self, budget: int) -> None:
        """Create an empty store.

        ``budget`` limits the bytes of finished answers.
        """
        self._budget = budget
        self._open: dict[RequestId, StoredRequest] = {}
        self._ended: collections.OrderedDict[RequestId, StoredRequest] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def find(
        self, organisation: ids.Organisation, key: ids.Key
    ) -> StoredRequest | None:
        """Return an open or finished request; None if there is none."""
        request_id = (organisation, key)
        return self._open.get(request_id) or self._ended.get(request_id)

    def add(self, stored: StoredRequest) -> None:
        """Add an open request."""
        self._open[stored.organisation, stored.key] = stored

    def close(self, stored: StoredRequest) -> None:
        """Move a request from the open to the finished ones."""
        request_id = (stored.organisation, stored.key)
        if self._open.get(request_id) is stored:
            del self._open[request_id]
        self._ended[request_id] = stored
        self._bytes += stored.count_bytes()
        self.evict_oldest()

    def evict_oldest(self) -> None:
        """Evict settled answers, oldest first, until they fit the budget."""
        if self._bytes <= self._budget:
            return
        for request_id, stored in list(self._ended.items()):
            if not stored.is_settled:
                continue
            del self._ended[request_id]
            self._bytes -= stored.count_bytes()
            if self._bytes <= self._budget:
                return

    def drop(self, stored: StoredRequest) -> None:
        """Remove a request."""
        request_id = (stored.organisation, stored.key)
        if self._open.get(request_id) is stored:
            del self._open[request_id]
        if self._ended.get(request_id) is stored:
            del self._ended[request_id]
            self._bytes -= stored.count_bytes()

    def list_claims(
        self, shard: ids.Shard, holder: ids.Incarnation
    ) -> list[wire.HeldClaim]:
        """Return the claims of a shard that this daemon holds."""
        everything = [*self._open.values(), *self._ended.values()]
        return [
            wire.HeldClaim(
                stored.organisation,
                stored.key,
                stored.digest,
                stored.state,
                holder,
                stored.ticket,
            )
            for stored in everything
            if stored.shard == shard and stored.is_claimed
        ]
