"""Claims between daemons: requesting a key, and answering requests.

``ClaimServer`` is the owner's side: it keeps a ``ClaimTable`` for each claims
shard that this daemon owns and is the shard's ``owners.Role``.
``ClaimClient`` is the entry daemon's side: it finds the owner, retries until
it gets a definite reply, and reports the outcome of the key to the owner.
"""

import collections.abc
import dataclasses
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import supervisor
from apricotlanding import wire
from apricotlandingd.ownership import claimtable
from apricotlandingd.ownership import leases
from apricotlandingd.ownership import owners
from apricotlandingd.ownership import shardview
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers
from apricotlandingd.requests import answers

__all__ = ['ClaimClient', 'ClaimServer']

CALL_TIMEOUT_S = 1.0
# How long a claim is retried before its caller is told to retry later.
CLAIM_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.1
RETRY_AFTER_S = 2.0
# Largest number of claims in one message of a report.
MAX_REPORT_CLAIMS = 2000
DROP_INTERVAL_S = 10.0
# The cut-off lies so many times the allowance for host clocks after the end
# of the last earlier lease; see ``claimtable``.
CUTOFF_SKEW_COUNT = 2
# Delay between attempts to report the outcome of a key to its owner.
_END_RETRY_DELAY_S = 0.5


@dataclasses.dataclass(slots=True)
class _ServedShard:
    # A shard that this daemon owns, with its claims.
    lease: leases.Lease
    table: claimtable.ClaimTable
    reported: set[ids.Host]
    changed: anyio.Event


@ty.final
class ClaimServer:
    """Answers claims as the owner of their shards; a role of ``owners``."""

    def __init__(self, peer_set: peers.Peers) -> None:
        """Start without a shard."""
        self._peers = peer_set
        self._served: dict[ids.Shard, _ServedShard] = {}
        # Tables received from owners that stop, by the epoch that ends.
        self._handed_over: dict[
            tuple[ids.Shard, ids.Epoch], list[wire.ClaimReport]
        ] = {}
        self.find_bundle: collections.abc.Callable[
            [], bundle.Bundle | None
        ] = lambda: None
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serve until cancelled: wait for reports, drop expired claims."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                await anyio.sleep(DROP_INTERVAL_S)
                wall = clocks.read_wall()
                for served in self._served.values():
                    served.table.drop_expired(wall)

    def count_claims(self) -> int:
        """Return how many claims this daemon keeps as owner."""
        return sum(len(served.table) for served in self._served.values())

    # The role.

    def begin(
        self, shard: ids.Shard, lease: leases.Lease, start: owners.StartContext
    ) -> None:
        """Create the table of a shard."""
        config = self.find_bundle()
        assert config is not None
        limits = config.limits
        previous_epoch = ids.Epoch(lease.epoch - 1)
        handed_over = self._handed_over.pop((shard, previous_epoch), None)
        is_complete = handed_over is not None and handed_over[-1].is_last
        wall = clocks.read_wall()
        ended_at = wall - (clocks.read_monotonic() - start.ended_at)
        cutoff_at: float | None = (
            ended_at + CUTOFF_SKEW_COUNT * limits.clock_skew_s
        )
        if start.is_first or is_complete:
            cutoff_at = None
        table = claimtable.ClaimTable(lease.epoch, limits, cutoff_at)
        for report in handed_over or []:
            table.add_report(report, wall)
        self._served[shard] = _ServedShard(lease, table, set(), anyio.Event())
        if not table.has_reports:
            assert self._group is not None
            self._group.start_soon(self._end_report_wait, shard, table)

    def end(self, shard: ids.Shard) -> None:
        """Drop the table of a shard."""
        self._served.pop(shard, None)

    async def hand_over(
        self, shard: ids.Shard, successor: peerlink.Connection
    ) -> None:
        """Send the whole table to the successor; raises PeerLost."""
        served = self._served.get(shard)
        if served is None or not served.table.has_reports:
            return
        for report in _split_report(
            shard, served.table.epoch, served.table.list_claims(), True
        ):
            await successor.call(report, owners.HANDOVER_TIMEOUT_S)

    # Calls.

    async def answer_claim(
        self, request: wire.ClaimRequest, sender: ids.Incarnation
    ) -> wire.ClaimReply:
        """Grant a key, or reply why not."""
        while True:
            served = self._served.get(request.shard)
            if served is None or not served.lease.is_valid(
                clocks.read_monotonic()
            ):
                return _NOT_OWNER
            if self._is_clock_off():
                return wire.ClaimReply(
                    wire.ClaimVerdict.CLOCK_OFF, served.table.epoch
                )
            reply = served.table.decide(request, sender, clocks.read_wall())
            if isinstance(reply, wire.ClaimReply):
                break
            with anyio.move_on_after(reply.seconds):
                await served.changed.wait()
        if not served.lease.is_valid(clocks.read_monotonic()):
            # The process was suspended after the first check. The claim
            # stays in a table that is never served again.
            return _NOT_OWNER
        return reply

    def answer_end(
        self, message: wire.ClaimEnd, sender: ids.Incarnation
    ) -> wire.Ack | wire.Failed:
        """Record the outcome of a key."""
        served = self._served.get(message.shard)
        if served is None:
            return wire.Failed('', 'not the owner')
        served.table.record_outcome(message, sender)
        return wire.Ack()

    def answer_report(
        self, report: wire.ClaimReport, sender: ids.Incarnation
    ) -> wire.Ack | wire.Failed:
        """Add a daemon's claims, or a predecessor's table."""
        if report.is_handover:
            shard_epoch = (report.shard, report.epoch)
            self._handed_over.setdefault(shard_epoch, []).append(report)
            return wire.Ack()
        served = self._served.get(report.shard)
        if served is None or served.table.epoch != report.epoch:
            return wire.Failed('', 'not the owner in this epoch')
        served.table.add_report(report, clocks.read_wall())
        if report.is_last:
            served.reported.add(ids.parse_host(sender))
            if self._peers.list_live() <= served.reported:
                self._stop_waiting(served)
        return wire.Ack()

    def answer_query(
        self, query: wire.ClaimQuery, sender: ids.Incarnation
    ) -> wire.ClaimReply:
        """Return the state of a key, without granting it."""
        served = self._served.get(query.shard)
        if served is None:
            return _NOT_OWNER
        epoch = served.table.epoch
        claim = served.table.find(query.organisation, query.key)
        if claim is None:
            issued = ids.read_issue_time(query.key)
            cutoff_at = served.table.cutoff_at
            if cutoff_at is not None and (
                issued is None or issued <= cutoff_at
            ):
                return wire.ClaimReply(wire.ClaimVerdict.UNKNOWN, epoch)
            return wire.ClaimReply(wire.ClaimVerdict.GRANTED, epoch)
        verdict = _QUERY_VERDICTS[claim.state]
        return wire.ClaimReply(verdict, epoch, claim.holder)

    def _is_clock_off(self) -> bool:
        config = self.find_bundle()
        assert config is not None
        offset = self._peers.find_clock_offset()
        return abs(offset) > config.limits.clock_skew_s

    async def _end_report_wait(
        self, shard: ids.Shard, table: claimtable.ClaimTable
    ) -> None:
        await anyio.sleep(claimtable.REPORT_TIMEOUT_S)
        served = self._served.get(shard)
        if served is not None and served.table is table:
            self._stop_waiting(served)

    def _stop_waiting(self, served: _ServedShard) -> None:
        served.table.has_reports = True
        served.changed.set()


_NOT_OWNER: ty.Final = wire.ClaimReply(
    wire.ClaimVerdict.NOT_OWNER, ids.Epoch(0)
)
# In the reply to a query GRANTED means that the key is free.
_QUERY_VERDICTS: ty.Final = {
    wire.ClaimState.HELD: wire.ClaimVerdict.HELD,
    wire.ClaimState.FINISHED: wire.ClaimVerdict.FINISHED,
    wire.ClaimState.RELEASED: wire.ClaimVerdict.GRANTED,
    wire.ClaimState.UNKNOWN: wire.ClaimVerdict.UNKNOWN,
}


@ty.final
class ClaimClient:
    """The entry daemon's side of claims."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        view: shardview.ShardView,
        peer_set: peers.Peers,
        server: ClaimServer,
        store: answers.AnswerStore,
    ) -> None:
        """Start idle; ``run`` reports to owners."""
        self._incarnation = incarnation
        self._view = view
        self._peers = peer_set
        self._server = server
        self._store = store
        self._group: anyio.abc.TaskGroup | None = None
        # Epochs of shards whose owner has our report, or is being sent it.
        self._reported: dict[ids.Shard, ids.Epoch] = {}

    async def run(self) -> None:
        """Report the outcomes of keys to owners until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def claim(
        self, request: wire.ClaimRequest, deadline_at: float
    ) -> wire.ClaimReply:
        """Request a key from its owner; raises Refused (NO_OWNER).

        The caller may be told ``not-run`` then: only this daemon could run
        a key that was granted to it, and it does not.
        """
        give_up_at = min(
            deadline_at, clocks.read_monotonic() + CLAIM_TIMEOUT_S
        )
        while True:
            reply = await self._request_claim(request)
            if reply is not None:
                return reply
            if clocks.read_monotonic() + RETRY_DELAY_S > give_up_at:
                break
            await anyio.sleep(RETRY_DELAY_S)
        raise errors.Refused(
            errors.make_problem(errors.Kind.NO_OWNER, RETRY_AFTER_S)
        )

    async def query(self, query: wire.ClaimQuery) -> wire.ClaimReply | None:
        """Ask the owner for the state of a key; None without a reply."""
        entry = self._find_owner(query.shard)
        if entry is None:
            return None
        if entry.owner == self._incarnation:
            return self._server.answer_query(query, self._incarnation)
        reply = await self._call(entry.owner, query)
        return reply if isinstance(reply, wire.ClaimReply) else None

    def report_outcome(
        self, stored: answers.StoredRequest, state: wire.ClaimState
    ) -> None:
        """Report the outcome of a key to its owner, in the background."""
        stored.state = state
        assert self._group is not None
        self._group.start_soon(
            supervisor.run_guarded, self._report_outcome, stored, state
        )

    def report_claims(self, shard: ids.Shard) -> None:
        """Report our claims of a shard if it has a new owner."""
        entry = self._view.get(shard)
        if entry is None or not entry.is_serving:
            return
        if self._reported.get(shard) == entry.epoch:
            return
        self._reported[shard] = entry.epoch
        assert self._group is not None
        self._group.start_soon(
            supervisor.run_guarded, self._report, shard, entry
        )

    async def _report(
        self, shard: ids.Shard, entry: shardview.ShardEntry
    ) -> None:
        held = self._store.list_claims(shard, self._incarnation)
        for part in _split_report(shard, entry.epoch, held, False):
            while not await self._send_part(entry, part):
                if self._view.get(shard) is not entry:
                    return
                await anyio.sleep(RETRY_DELAY_S)

    async def _send_part(
        self, entry: shardview.ShardEntry, part: wire.ClaimReport
    ) -> bool:
        if entry.owner == self._incarnation:
            reply: object = self._server.answer_report(part, entry.owner)
        else:
            reply = await self._call(entry.owner, part)
        return isinstance(reply, wire.Ack)

    async def release_missing(self, attach: wire.Attach) -> None:
        """Release a claim of ours that we have no request for.

        The owner granted it after our request for it had timed out. A
        request that was run is kept here until its outcome is settled with
        the owner, so this one was not run.
        """
        await self._send_end(
            wire.ClaimEnd(
                attach.shard,
                attach.organisation,
                attach.key,
                wire.ClaimState.RELEASED,
                attach.ticket,
            )
        )

    async def _report_outcome(
        self, stored: answers.StoredRequest, state: wire.ClaimState
    ) -> None:
        assert stored.shard is not None
        message = wire.ClaimEnd(
            stored.shard, stored.organisation, stored.key, state, stored.ticket
        )
        while not await self._send_end(message):
            await anyio.sleep(_END_RETRY_DELAY_S)
        stored.is_settled = True
        if state is wire.ClaimState.RELEASED:
            # Until now a retry through this daemon was answered "not-run";
            # from now on it may claim the key again.
            self._store.drop(stored)
        else:
            self._store.evict_oldest()

    async def _send_end(self, message: wire.ClaimEnd) -> bool:
        entry = self._find_owner(message.shard)
        if entry is None:
            return False
        if entry.owner == self._incarnation:
            reply: object = self._server.answer_end(message, entry.owner)
        else:
            reply = await self._call(entry.owner, message)
        return isinstance(reply, wire.Ack)

    async def _request_claim(
        self, request: wire.ClaimRequest
    ) -> wire.ClaimReply | None:
        entry = self._find_owner(request.shard)
        if entry is None:
            return None
        reply: object
        if entry.owner == self._incarnation:
            reply = await self._server.answer_claim(request, self._incarnation)
        else:
            reply = await self._call(entry.owner, request)
        if not isinstance(reply, wire.ClaimReply):
            return None
        if reply.verdict is wire.ClaimVerdict.NOT_OWNER:
            return None
        return reply

    async def _call(self, owner: ids.Incarnation, message: object) -> object:
        connection = self._peers.find(owner)
        if connection is None:
            return None
        try:
            return await connection.call(message, CALL_TIMEOUT_S)
        except peerlink.PeerLost as error:
            eliot.log_message('claim:peer-lost', error=str(error))
            return None

    def _find_owner(self, shard: ids.Shard) -> shardview.ShardEntry | None:
        entry = self._view.get(shard)
        if entry is None or not entry.is_serving:
            return None
        return entry


def _split_report(
    shard: ids.Shard,
    epoch: ids.Epoch,
    claims: list[wire.HeldClaim],
    is_handover: bool,
) -> collections.abc.Iterator[wire.ClaimReport]:
    for start in range(0, max(len(claims), 1), MAX_REPORT_CLAIMS):
        part = claims[start : start + MAX_REPORT_CLAIMS]
        is_last = start + MAX_REPORT_CLAIMS >= len(claims)
        yield wire.ClaimReport(shard, epoch, part, is_last, is_handover)
