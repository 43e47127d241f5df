"""Answers: what a request's runner sent, for all who want to read it.

The task that runs a request appends to its ``Answer``; the caller's
connection, and any later one that presents the same key, read from it, each
at its own pace. A caller that goes away therefore harms nothing, and a retry
finds the answer.

Finished answers are kept, oldest dropped first, within a budget of bytes.
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

# Bytes that an entry costs beside its chunks.
_ENTRY_OVERHEAD_BYTES = 512

RequestId = tuple[ids.Organisation, ids.Key]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How an answer ended; complete if there is no problem."""

    problem: errors.Problem | None = None


@ty.final
class Answer:
    """One answer, growing until it ends."""

    def __init__(self) -> None:
        """Start empty."""
        self.chunks: list[bytes] = []
        self.end: End | None = None
        self.runner: ids.Runner | None = None
        # HTTP status for the caller once there is something to send.
        self.status = 200
        # Connections that read it now.
        self.readers = 0
        self._changed = anyio.Event()

    def add(self, chunk: bytes) -> None:
        """Append what the runner sent; nothing after the end."""
        if self.end is not None:
            return
        self.chunks.append(chunk)
        self._notify_readers()

    def finish(self, problem: errors.Problem | None = None) -> None:
        """End the answer; the first end stands."""
        if self.end is not None:
            return
        self.end = End(problem)
        self._notify_readers()

    async def wait_for_first_chunk(self) -> None:
        """Wait until there is a chunk or the end."""
        while not self.chunks and self.end is None:
            await self._changed.wait()

    async def iterate(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield all chunks from the beginning until the end.

        Chunks that piled up while the reader was busy come as one.
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
    """A request that this daemon holds, from its claim on."""

    organisation: ids.Organisation
    key: ids.Key
    digest: bytes
    ticket: str
    shard: ids.Shard | None
    answer: Answer
    # What to tell a claim owner.
    state: wire.ClaimState = wire.ClaimState.HELD
    # True once this daemon has the right to run it; until then a claim
    # owner must not be told that this daemon holds it.
    is_claimed: bool = False
    # True once the claim owner knows the state, or needs not know it. Not
    # dropped before: what is not here was not run, and may be released.
    is_settled: bool = False

    def count_bytes(self) -> int:
        """Return what keeping it costs."""
        return _ENTRY_OVERHEAD_BYTES + sum(
            len(chunk) for chunk in self.answer.chunks
        )


@ty.final
class AnswerStore:
    """Requests by organisation and key: open ones and kept answers."""

    def __init__(self, budget: int) -> None:
        """Start empty; ``budget`` bounds the bytes of ended answers."""
        self._budget = budget
        self._open: dict[RequestId, StoredRequest] = {}
        self._ended: collections.OrderedDict[RequestId, StoredRequest] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def find(
        self, organisation: ids.Organisation, key: ids.Key
    ) -> StoredRequest | None:
        """Return a request that is open or kept."""
        request_id = (organisation, key)
        return self._open.get(request_id) or self._ended.get(request_id)

    def add(self, stored: StoredRequest) -> None:
        """Add an open request."""
        self._open[stored.organisation, stored.key] = stored

    def close(self, stored: StoredRequest) -> None:
        """Move a request from the open ones to those kept."""
        request_id = (stored.organisation, stored.key)
        if self._open.get(request_id) is stored:
            del self._open[request_id]
        self._ended[request_id] = stored
        self._bytes += stored.count_bytes()
        self.evict_oldest()

    def evict_oldest(self) -> None:
        """Drop ended answers, oldest first, until the budget is kept."""
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
        """Forget a request."""
        request_id = (stored.organisation, stored.key)
        if self._open.get(request_id) is stored:
            del self._open[request_id]
        if self._ended.get(request_id) is stored:
            del self._ended[request_id]
            self._bytes -= stored.count_bytes()

    def list_claims(
        self, shard: ids.Shard, holder: ids.Incarnation
    ) -> list[wire.HeldClaim]:
        """Return what this daemon holds of a shard."""
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
