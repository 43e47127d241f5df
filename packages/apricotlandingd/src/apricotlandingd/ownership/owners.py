"""Keeps ownership: takes shards, renews the right to grant, lets go.

One task visits every shard a few times a second and whenever the log brings
a record:

* a shard without an owner is taken by the live host that ranks first for it
  (rendezvous hashing); the others wait, each a little longer;
* the successor of an owner takes over when the owner has not asked for a
  promise for ``takeover_after_s``; anybody, when owner and successor are both
  out of reach;
* the owner of a shard begins to serve when it has waited long enough
  (``leases.find_serve_time``), and names another successor when the one it
  has is silent.

A second task asks the successors for promises, five times a lease. What an
owner does with a shard is up to a ``Role``, found by the shard's kind in a
registry.
"""

import collections.abc
import dataclasses
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import ids
from apricotlanding import records
from apricotlanding import supervisor
from apricotlanding import wire
from apricotlandingd.configuration import logfollower
from apricotlandingd.ownership import leases
from apricotlandingd.ownership import shardview
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers

__all__ = ['Owners', 'Role', 'Start', 'list_shards', 'parse_shard']

VISIT_INTERVAL = 0.25
PROMISES_A_LEASE = 5
# Extra seconds that each further rank waits before it takes a free shard.
RANK_DELAY = 1.0
# A log that was read within this many seconds counts as reachable; a read
# that finds nothing returns after one.
LOG_FRESH = 2.5
# A longer time between two visits means that this process was stopped.
PAUSE_LIMIT = 0.75
# Longest wait for a successor's acknowledgement of a table, in seconds.
HAND_OVER_TIMEOUT = 5.0

CLAIMS = 'claims'
POOL = 'pool'


def make_claim_shard(number: int) -> ids.Shard:
    """Return the name of a shard of the claims."""
    return ids.Shard(f'{CLAIMS}/{number}')


def make_pool_shard(pool: ids.Pool) -> ids.Shard:
    """Return the name of a pool's shard."""
    return ids.Shard(f'{POOL}/{pool}')


def parse_shard(shard: ids.Shard) -> tuple[str, str]:
    """Return kind and name of a shard."""
    kind, _, name = shard.partition('/')
    return kind, name


def list_shards(config: bundle.Bundle) -> list[ids.Shard]:
    """Return all shards that a bundle calls for."""
    found = [
        make_claim_shard(number)
        for number in range(config.ownership.claim_shards)
    ]
    found.extend(make_pool_shard(pool) for pool in config.pools)
    return found


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Circumstances in which an owner begins to serve."""

    # True if no earlier owner can have served.
    is_first: bool
    # Monotonic time by which every earlier owner's right had ended.
    ended_at: float


class Role(ty.Protocol):
    """What the owner of a kind of shard does."""

    def begin(
        self, shard: ids.Shard, right: leases.Right, start: Start
    ) -> None:
        """Serve from now on, while the right is valid."""

    def end(self, shard: ids.Shard) -> None:
        """Stop serving and forget."""

    async def hand_over(
        self, shard: ids.Shard, successor: peerlink.Connection
    ) -> None:
        """Give the successor what it needs; raises PeerLost."""


@dataclasses.dataclass(slots=True)
class _Held:
    # A shard that this daemon owns.
    right: leases.Right
    is_serving: bool = False
    # A task appends a record for it now.
    is_busy: bool = False
    # Monotonic time by which every earlier owner's right has ended.
    ended_at: float = 0.0


@ty.final
class Owners:
    """One daemon's part in owning shards."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        follower: logfollower.LogFollower,
        view: shardview.ShardView,
        book: leases.PromiseBook,
        others: peers.Peers,
    ) -> None:
        """Prepare; ``run`` does the work."""
        self.incarnation = incarnation
        self.host = ids.parse_host(incarnation)
        self.view = view
        self.book = book
        self.roles: dict[str, Role] = {}
        self.find_bundle: collections.abc.Callable[
            [], bundle.Bundle | None
        ] = lambda: None
        # False while this daemon must not take anything: it is draining,
        # or its clock is off.
        self.may_take: collections.abc.Callable[[], bool] = lambda: True
        self._follower = follower
        self._peers = others
        self._held: dict[ids.Shard, _Held] = {}
        self._taking: set[ids.Shard] = set()
        # Since when a shard has had nobody in reach who serves it.
        self._free_since: dict[ids.Shard, float] = {}
        self._renewing: set[ids.Incarnation] = set()
        self._group: anyio.abc.TaskGroup | None = None
        self._is_draining = False
        # Set when somebody new has to be asked for promises.
        self._renew_now = anyio.Event()
        self._visited_at: float | None = None
        # Silence is counted from here at the earliest; see ``_note_pause``.
        self._awake_since = float('-inf')

    async def run(self) -> None:
        """Keep ownership until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            # Tells the readers of the log that our host's earlier process
            # has ended, whatever it owned.
            group.start_soon(supervisor.run_guarded, self._follower.confirm)
            group.start_soon(self._renew_forever)
            group.start_soon(self._confirm_forever)
            while True:
                self.visit_shards(clocks.read_monotonic())
                await logfollower.wait_for_change(
                    self._follower, VISIT_INTERVAL
                )

    def list_held(self) -> list[ids.Shard]:
        """Return the shards that this daemon owns."""
        return sorted(self._held)

    def find_needed_hosts(self) -> set[ids.Host]:
        """Return the hosts that own shards or are to take them over."""
        found: set[ids.Host] = set()
        for entry in self.view.entries.values():
            found.add(ids.parse_host(entry.owner))
            if entry.successor is not None:
                found.add(ids.parse_host(entry.successor))
        return found

    def answer_promise(
        self, request: wire.PromiseRequest, sender: ids.Incarnation
    ) -> wire.Promise:
        """Promise not to take over for a lease, where that can be kept."""
        now = clocks.read_monotonic()
        given = self.book.give(request, self.view, now)
        confirmed = self._follower.confirmed_at
        age = None if confirmed is None else now - confirmed
        return wire.Promise(given, age)

    def visit_shards(self, now: float) -> None:
        """Decide for every shard what to do next."""
        self._note_pause(now)
        config = self.find_bundle()
        if config is None or self.view.is_partial:
            return
        for shard in list_shards(config):
            entry = self.view.get(shard)
            held = self._held.get(shard)
            if held is not None and self._has_lost(held, entry):
                self._let_go(shard, held)
                held = None
            if entry is not None and entry.owner == self.incarnation:
                if not entry.is_released:
                    self._visit_own(shard, entry, held, now)
                    continue
            if self._should_take(shard, entry, now):
                self._start_take(shard, entry, config)

    async def drain(self) -> None:
        """Hand over every shard and release it."""
        self._is_draining = True
        for shard in self.list_held():
            await self._hand_over(shard)

    def _note_pause(self, now: float) -> None:
        # This process was stopped for a while (SIGSTOP, a suspended host).
        # The owners' requests are waiting in its sockets unread; without
        # this it would take their silence for death, take their shards
        # over, and every key issued before would be answered "unknown".
        visited_at, self._visited_at = self._visited_at, now
        if visited_at is not None and now - visited_at > PAUSE_LIMIT:
            self._awake_since = now

    def _has_lost(
        self, held: _Held, entry: shardview.ShardEntry | None
    ) -> bool:
        if entry is None:
            return True
        return (
            entry.epoch != held.right.epoch or entry.owner != self.incarnation
        )

    def _let_go(self, shard: ids.Shard, held: _Held) -> None:
        # Somebody took the shard over. We stop first and say so second:
        # the taker serves as soon as it reads the release.
        held.right.is_given_up = True
        del self._held[shard]
        if not held.is_serving:
            return
        eliot.log_message('shard:lost', shard=shard, epoch=held.right.epoch)
        self._end_role(shard)
        assert self._group is not None
        release = records.Release(shard, held.right.epoch)
        self._group.start_soon(
            supervisor.run_guarded, self._follower.append, release
        )

    # Taking over.

    def _should_take(
        self,
        shard: ids.Shard,
        entry: shardview.ShardEntry | None,
        now: float,
    ) -> bool:
        if shard in self._taking or self._is_draining:
            return False
        if not self.may_take() or not self._is_log_fresh(now):
            return False
        if entry is not None and entry.successor == self.incarnation:
            if entry.is_released:
                return True
            return self._has_gone_silent(shard, entry, now)
        if entry is not None and not entry.is_released:
            if self._is_reachable(entry):
                self._free_since.pop(shard, None)
                return False
        since = self._free_since.setdefault(shard, now)
        delay = RANK_DELAY * self._find_rank(shard)
        if entry is not None:
            # Its successor goes first.
            delay += entry.lease_s + 2 * RANK_DELAY
        return now >= since + delay

    def _has_gone_silent(
        self, shard: ids.Shard, entry: shardview.ShardEntry, now: float
    ) -> bool:
        config = self.find_bundle()
        assert config is not None
        asked_at = max(
            self.book.asked_at.get((shard, entry.epoch), float('-inf')),
            # One that was named just now has not been asked yet.
            entry.successor_since,
            self._awake_since,
        )
        if now < asked_at + config.ownership.takeover_after_s:
            return False
        return now > self.book.find_end(shard, entry.epoch)

    def _is_reachable(self, entry: shardview.ShardEntry) -> bool:
        for incarnation in (entry.owner, entry.successor):
            if incarnation is None:
                continue
            if self._peers.find(incarnation) is not None:
                return True
        return False

    def _find_rank(self, shard: ids.Shard) -> int:
        order = peers.rank_hosts(str(shard), self._peers.list_live())
        return order.index(self.host)

    def _is_log_fresh(self, now: float) -> bool:
        read_at = self._follower.read_at
        return read_at is not None and now < read_at + LOG_FRESH

    def _start_take(
        self,
        shard: ids.Shard,
        entry: shardview.ShardEntry | None,
        config: bundle.Bundle,
    ) -> None:
        epoch = ids.Epoch(1 if entry is None else entry.epoch + 1)
        take = records.Take(
            shard=shard,
            epoch=epoch,
            successor=self._choose_successor(shard, set()),
            lease_s=config.ownership.lease_s,
            outage_limit_s=config.ownership.outage_limit_s,
        )
        self._taking.add(shard)
        assert self._group is not None
        self._group.start_soon(supervisor.run_guarded, self._take, take)

    async def _take(self, take: records.Take) -> None:
        eliot.log_message('shard:take', shard=take.shard, epoch=take.epoch)
        try:
            await self._follower.append(take)
        finally:
            self._taking.discard(take.shard)
            self._free_since.pop(take.shard, None)

    def _choose_successor(
        self, shard: ids.Shard, avoid: set[ids.Incarnation]
    ) -> ids.Incarnation | None:
        live = self._peers.list_live()
        found = {
            item.host: item
            for item in self._peers.list_dialed()
            if item.host in live
            and not item.is_draining
            and item.incarnation not in avoid
        }
        order = peers.rank_hosts(str(shard), found)
        elsewhere = [
            host for host in order if found[host].domain != self._peers.domain
        ]
        # The same failure domain is better than nobody.
        for host in elsewhere + order:
            return found[host].incarnation
        return None

    # Owning.

    def _visit_own(
        self,
        shard: ids.Shard,
        entry: shardview.ShardEntry,
        held: _Held | None,
        now: float,
    ) -> None:
        if held is None:
            held = self._begin_holding(shard, entry, now)
        if held.is_busy or held.right.is_given_up:
            return
        if self._follower.confirmed_at is not None:
            held.right.note_confirmed(self._follower.confirmed_at)
        if not held.is_serving:
            at = leases.find_serve_time(
                shard, entry, self.incarnation, self.book
            )
            held.ended_at = at
            if now >= at:
                self._start_busy(held, self._begin_serving, shard)
            return
        if self._is_successor_lost(shard, entry, held, now):
            self._start_busy(held, self._name_successor, shard)

    def _begin_holding(
        self, shard: ids.Shard, entry: shardview.ShardEntry, now: float
    ) -> _Held:
        right = leases.Right(entry.epoch, entry.lease_s, entry.outage_limit_s)
        if entry.successor is not None:
            right.require(entry.successor, now)
        held = _Held(right)
        self._held[shard] = held
        self._renew_now.set()
        return held

    def _start_busy(
        self,
        held: _Held,
        work: collections.abc.Callable[
            [ids.Shard, _Held], collections.abc.Awaitable[None]
        ],
        shard: ids.Shard,
    ) -> None:
        held.is_busy = True
        assert self._group is not None
        self._group.start_soon(
            supervisor.run_guarded, self._run_busy, held, work, shard
        )

    async def _run_busy(
        self,
        held: _Held,
        work: collections.abc.Callable[
            [ids.Shard, _Held], collections.abc.Awaitable[None]
        ],
        shard: ids.Shard,
    ) -> None:
        try:
            await work(shard, held)
        finally:
            held.is_busy = False

    async def _begin_serving(self, shard: ids.Shard, held: _Held) -> None:
        epoch = held.right.epoch
        await self._follower.append(records.Serving(shard, epoch))
        entry = self.view.get(shard)
        if entry is None or self._has_lost(held, entry):
            return
        if not entry.is_serving or held.right.is_given_up:
            return
        self.book.forget_before(shard, epoch)
        start = Start(epoch == 1 and not self.view.is_trimmed, held.ended_at)
        held.is_serving = True
        eliot.log_message('shard:serving', shard=shard, epoch=epoch)
        self.roles[parse_shard(shard)[0]].begin(shard, held.right, start)

    def _is_successor_lost(
        self,
        shard: ids.Shard,
        entry: shardview.ShardEntry,
        held: _Held,
        now: float,
    ) -> bool:
        if not self._is_log_fresh(now):
            # A change of successor cannot be settled now, and while it is
            # on its way the promises of both would be needed.
            return False
        if entry.successor is None:
            return self._choose_successor(shard, set()) is not None
        end = held.right.find_promise_end(entry.successor)
        return now > end - 0.5 * held.right.lease_s

    async def _name_successor(self, shard: ids.Shard, held: _Held) -> None:
        entry = self.view.get(shard)
        if entry is None or self._has_lost(held, entry):
            return
        silent = set() if entry.successor is None else {entry.successor}
        chosen = self._choose_successor(shard, silent)
        if chosen == entry.successor:
            return
        if chosen is not None:
            held.right.require(chosen, clocks.read_monotonic())
            self._renew_now.set()
        epoch = held.right.epoch
        eliot.log_message(
            'shard:successor', shard=shard, epoch=epoch, successor=chosen
        )
        await self._follower.append(
            records.NameSuccessor(shard, epoch, chosen)
        )
        entry = self.view.get(shard)
        if entry is None or self._has_lost(held, entry):
            return
        held.right.require_only(entry.successor)

    async def _hand_over(self, shard: ids.Shard) -> None:
        held = self._held.get(shard)
        entry = self.view.get(shard)
        if held is None or entry is None or self._has_lost(held, entry):
            return
        # From here on nothing is granted: what the successor is given must
        # be all that there is.
        held.right.is_given_up = True
        if held.is_serving:
            await self._give_to_successor(shard, entry)
            self._end_role(shard)
        await self._follower.append(records.Release(shard, held.right.epoch))
        self._held.pop(shard, None)

    async def _give_to_successor(
        self, shard: ids.Shard, entry: shardview.ShardEntry
    ) -> None:
        if entry.successor is None:
            return
        connection = self._peers.find(entry.successor)
        if connection is None:
            return
        role = self.roles[parse_shard(shard)[0]]
        try:
            await role.hand_over(shard, connection)
        except peerlink.PeerLost as error:
            # It serves without the table, and says "unknown" more often.
            eliot.log_message(
                'shard:hand-over-failed', shard=shard, error=str(error)
            )

    def _end_role(self, shard: ids.Shard) -> None:
        self.roles[parse_shard(shard)[0]].end(shard)

    # Renewing.

    async def _renew_forever(self) -> None:
        assert self._group is not None
        while True:
            asked: dict[
                ids.Incarnation, list[tuple[ids.Shard, ids.Epoch]]
            ] = {}
            lease = 1.0
            for shard, held in self._held.items():
                if held.right.is_given_up:
                    continue
                lease = min(lease, held.right.lease_s)
                for giver in held.right.required:
                    place = (shard, held.right.epoch)
                    asked.setdefault(giver, []).append(place)
            for giver, shards in asked.items():
                if giver in self._renewing:
                    continue
                self._renewing.add(giver)
                self._group.start_soon(
                    supervisor.run_guarded, self._renew, giver, shards
                )
            self._renew_now = anyio.Event()
            with anyio.move_on_after(lease / PROMISES_A_LEASE):
                await self._renew_now.wait()

    async def _renew(
        self,
        giver: ids.Incarnation,
        shards: list[tuple[ids.Shard, ids.Epoch]],
    ) -> None:
        try:
            connection = self._peers.find(giver)
            if connection is None:
                return
            lease = min(
                held.right.lease_s
                for shard, _ in shards
                if (held := self._held.get(shard)) is not None
            )
            sent_at = clocks.read_monotonic()
            reply = await connection.call(
                wire.PromiseRequest(shards, lease), lease
            )
            if not isinstance(reply, wire.Promise):
                return
            for shard, epoch in reply.shards:
                held = self._held.get(shard)
                if held is None or held.right.epoch != epoch:
                    continue
                held.right.note_promise(
                    giver, sent_at, lease, reply.confirmed_age_s
                )
        except (peerlink.PeerLost, ValueError):
            return
        finally:
            self._renewing.discard(giver)

    async def _confirm_forever(self) -> None:
        # Owners and successors prove now and then that they have read the
        # log to its end, well before the outage limit.
        while True:
            limit = self._find_outage_limit()
            if limit is not None:
                await self._follower.confirm()
            await anyio.sleep(min(limit or 1.0, 4 * 60.0) / 4)

    def _find_outage_limit(self) -> float | None:
        limits = [
            entry.outage_limit_s
            for entry in self.view.entries.values()
            if self.incarnation in (entry.owner, entry.successor)
        ]
        return min(limits, default=None)
