"""Reads an answer from the daemon that holds it.

A caller that retries may reach any daemon. The claim owner tells which
daemon holds the key. This daemon copies the answer from there, from its
beginning, also while chunks are still being appended. ``serve`` is the
holder's side.
"""

import collections.abc
import typing as ty

import eliot

from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import wire
from apricotlandingd.ownership import claims
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers
from apricotlandingd.requests import answers

__all__ = ['Attacher']

# Timeout for the next part of the answer. It is long because the request may
# wait in its queue; usually the reader's own deadline ends the wait earlier.
PART_TIMEOUT_S = 3600.0
_RETRY_AFTER_S = 1.0
# Code of an AttachEnd for a key that the daemon does not hold and did not
# run.
_MISSING_CODE = 'missing'


@ty.final
class Attacher:
    """Copies answers from other daemons and serves them to others."""

    def __init__(
        self,
        store: answers.AnswerStore,
        claim_client: claims.ClaimClient,
        others: peers.Peers,
    ) -> None:
        """Create the client and server of answer copies."""
        self._store = store
        self._claims = claim_client
        self._peers = others

    async def copy(
        self,
        stored: answers.StoredRequest,
        shard: ids.Shard,
        reply: wire.ClaimReply,
    ) -> errors.Problem | None:
        """Copy the holder's answer; return its problem, None if complete."""
        assert reply.holder is not None
        message = wire.Attach(
            stored.organisation, stored.key, shard, reply.ticket
        )
        if reply.holder == self._peers.incarnation:
            # This daemon held the answer and has evicted it since.
            await self._claims.release_missing(message)
            return self._describe_missing(reply)
        connection = self._peers.find(reply.holder)
        if connection is None:
            if self._peers.is_replaced(reply.holder):
                return self._describe_restarted(reply)
            return self._describe_unreachable()
        try:
            async for part in connection.iterate(message, PART_TIMEOUT_S):
                if isinstance(part, wire.Chunk):
                    stored.answer.add(part.data)
                elif isinstance(part, wire.AttachEnd):
                    stored.answer.runner = part.runner
                    stored.answer.status = part.status
                    return self._decode_end(part, reply)
        except peerlink.PeerLost as error:
            eliot.log_message('attach:lost', error=str(error))
        return self._describe_unreachable()

    async def serve(
        self, message: wire.Attach, sender: ids.Incarnation
    ) -> collections.abc.AsyncIterator[wire.Chunk | wire.AttachEnd]:
        """Yield the parts of an answer that this daemon holds."""
        stored = self._store.find(message.organisation, message.key)
        if stored is None or stored.ticket != message.ticket:
            await self._claims.release_missing(message)
            yield wire.AttachEnd(_MISSING_CODE, '', None, None, 200)
            return
        answer = stored.answer
        async for data in answer.iterate():
            yield wire.Chunk(data)
        assert answer.end is not None
        problem = answer.end.problem
        if problem is None:
            yield wire.AttachEnd('', '', None, answer.runner, answer.status)
            return
        yield wire.AttachEnd(
            problem.kind.name,
            problem.text,
            problem.retry_after_s,
            answer.runner,
            answer.status,
            problem.outcome,
        )

    def _decode_end(
        self, end: wire.AttachEnd, reply: wire.ClaimReply
    ) -> errors.Problem | None:
        if not end.code:
            return None
        if end.code == _MISSING_CODE:
            return self._describe_missing(reply)
        kind = errors.Kind[end.code]
        return errors.Problem(
            kind,
            end.text,
            kind.value.remedy,
            end.outcome,
            end.retry_after_s,
        )

    def _describe_missing(self, reply: wire.ClaimReply) -> errors.Problem:
        if reply.verdict is wire.ClaimVerdict.FINISHED:
            return errors.make_problem(errors.Kind.ANSWER_GONE)
        return errors.make_problem(errors.Kind.NO_OWNER, _RETRY_AFTER_S)

    def _describe_restarted(self, reply: wire.ClaimReply) -> errors.Problem:
        if reply.verdict is wire.ClaimVerdict.FINISHED:
            return errors.make_problem(errors.Kind.ANSWER_GONE)
        return errors.make_problem(
            errors.Kind.OUTCOME_UNKNOWN,
            detail='the daemon that held it has been restarted',
        )

    def _describe_unreachable(self) -> errors.Problem:
        # The holder may still have the answer, finished or not; only the
        # connection to it is lost.
        return errors.make_problem(
            errors.Kind.HOLDER_UNREACHABLE, claims.RETRY_AFTER_S
        )
