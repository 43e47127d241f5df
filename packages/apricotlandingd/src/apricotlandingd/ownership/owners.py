"""Takes shards, renews their leases and releases them.

One task visits every shard a few times a second and whenever a record of the
log arrives:

* a shard without an owner is taken by the live host that ranks first for it
  (rendezvous hashing); each further host waits a little longer;
* the successor of an owner takes over when the owner has not requested a
  promise for ``takeover_after_s``; any host does when neither owner nor
  successor is reachable;
* the owner of a shard begins to serve when it has waited long enough
  (``leases.find_serve_time``), and names another successor when its present
  one does not answer.

A second task requests promises from the successors, five times per lease.
What an owner does with a shard is defined by a ``Role``, which is registered
by the shard's kind.
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

__all__ = [
    'OwnershipManager',
    'Role',
    'StartContext',
    'list_shards',
    'parse_shard',
]

VISIT_INTERVAL_S = 0.25
RENEWALS_PER_LEASE = 5
# Each further rank waits this much longer before it takes a free shard.
RANK_DELAY_S = 1.0
# A log that was read within this time counts as reachable; a read that finds
# nothing returns after one second.
MAX_LOG_AGE_S = 2.5
# A longer gap between two visits means that this process was suspended.
MAX_VISIT_GAP_S = 0.75
# Longest wait for a successor's acknowledgement of a table.
HANDOVER_TIMEOUT_S = 5.0

CLAIMS_KIND = 'claims'
POOL_KIND = 'pool'


def make_claim_shard(number: int) -> ids.Shard:
    """Return the name of a shard of the claims."""
    return ids.Shard(f'{CLAIMS_KIND}/{number}')


def make_pool_shard(pool: ids.Pool) -> ids.Shard:
    """Return the name of a pool's shard."""
    return ids.Shard(f'{POOL_KIND}/{pool}')


def parse_shard(shard: ids.Shard) -> tuple[str, str]:
    """Return kind and name of a shard."""
    kind, _, name = shard.partition('/')
    return kind, name


def list_shards(config: bundle.Bundle) -> list[ids.Shard]:
    """Return all shards that a bundle defines."""
    found = [
        make_claim_shard(number)
        for number in range(config.ownership.claim_shards)
    ]
    found.extend(make_pool_shard(pool) for pool in config.pools)
    return found


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class StartContext:
    """Conditions under which an owner begins to serve."""

    # True if no earlier owner can have served.
    is_first: bool
    # Monotonic time by which every earlier owner's lease had ended.
    ended_at: float


class Role(ty.Protocol):
    """The work of an owner of one kind of shard."""

    def begin(
        self, shard: ids.Shard, lease: leases.Lease, start: StartContext
    ) -> None:
        """Serve from now on, while the lease is valid."""

    def end(self, shard: ids.Shard) -> None:
        """Stop serving and drop the state."""

    async def hand_over(
        self, shard: ids.Shard, successor: peerlink.Connection
    ) -> None:
        """Send the successor the state it needs; raises PeerLost."""


@dataclasses.dataclass(slots=True)
class _OwnedShard:
    # A shard that this daemon owns.
    lease: leases.Lease
    is_serving: bool = False
    # A task is appending a record for it.
    is_appending: bool = False
    # Monotonic time by which every earlier owner's lease has ended.
    ended_at: float = 0.0


@ty.final
class OwnershipManager:
    """Takes, renews and releases the shards of one daemon."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        follower: logfollower.LogFollower,
        view: shardview.ShardView,
        promises: leases.PromiseTable,
        peer_set: peers.Peers,
    ) -> None:
        """Start without a shard; ``run`` does the work."""
        self.incarnation = incarnation
        self.host = ids.parse_host(incarnation)
        self.view = view
        self.promises = promises
        self.roles: dict[str, Role] = {}
        self.find_bundle: collections.abc.Callable[
            [], bundle.Bundle | None
        ] = lambda: None
        # False while this daemon must not take a shard: it is draining, or
        # its clock is off.
        self.may_take: collections.abc.Callable[[], bool] = lambda: True
        self._follower = follower
        self._peers = peer_set
        self._owned: dict[ids.Shard, _OwnedShard] = {}
        self._taking: set[ids.Shard] = set()
        # Since when neither owner nor successor of a shard is reachable.
        self._free_since: dict[ids.Shard, float] = {}
        self._renewing: set[ids.Incarnation] = set()
        self._group: anyio.abc.TaskGroup | None = None
        self._is_draining = False
        # Set when a new promiser has to be asked for promises.
        self._renew_now = anyio.Event()
        self._visited_at: float | None = None
        # Silence is counted from here at the earliest; see
        # ``_detect_suspension``.
        self._resumed_at = float('-inf')

    async def run(self) -> None:
        """Keep ownership until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            # Shows the readers of the log that our host's earlier process
            # has ended, whatever it owned.
            group.start_soon(supervisor.run_guarded, self._follower.confirm)
            group.start_soon(self._renew_forever)
            group.start_soon(self._confirm_forever)
            while True:
                self.visit_shards(clocks.read_monotonic())
                await logfollower.wait_for_change(
                    self._follower, VISIT_INTERVAL_S
                )

    def list_owned(self) -> list[ids.Shard]:
        """Return the shards that this daemon owns."""
        return sorted(self._owned)

    def find_needed_hosts(self) -> set[ids.Host]:
        """Return the hosts of the owners and successors of all shards."""
        found: set[ids.Host] = set()
        for entry in self.view.entries.values():
            found.add(ids.parse_host(entry.owner))
            if entry.successor is not None:
                found.add(ids.parse_host(entry.successor))
        return found

    def answer_promise(
        self, request: wire.PromiseRequest, sender: ids.Incarnation
    ) -> wire.Promise:
        """Promise not to take over for a lease, where that is possible."""
        now = clocks.read_monotonic()
        given = self.promises.give(request, self.view, now)
        confirmed = self._follower.confirmed_at
        age = None if confirmed is None else now - confirmed
        return wire.Promise(given, age)

    def visit_shards(self, now: float) -> None:
        """Decide for every shard what to do next."""
        self._detect_suspension(now)
        config = self.find_bundle()
        if config is None or self.view.is_partial:
            return
        for shard in list_shards(config):
            entry = self.view.get(shard)
            owned = self._owned.get(shard)
            if owned is not None and self._is_superseded(owned, entry):
                self._relinquish(shard, owned)
                owned = None
            if entry is not None and entry.owner == self.incarnation:
                if not entry.is_released:
                    self._visit_owned(shard, entry, owned, now)
                    continue
            if self._should_take(shard, entry, now):
                self._start_take(shard, entry, config)

    async def drain(self) -> None:
        """Hand over every shard and release it."""
        self._is_draining = True
        for shard in self.list_owned():
            await self._hand_over(shard)

    def _detect_suspension(self, now: float) -> None:
        # This process was suspended (SIGSTOP, a suspended host). The
        # owners' requests are unread in its sockets; without this it would
        # assume that the owners had died and take their shards over, and
        # every key issued before would be answered "unknown".
        visited_at, self._visited_at = self._visited_at, now
        if visited_at is not None and now - visited_at > MAX_VISIT_GAP_S:
            self._resumed_at = now

    def _is_superseded(
        self, owned: _OwnedShard, entry: shardview.ShardEntry | None
    ) -> bool:
        if entry is None:
            return True
        return (
            entry.epoch != owned.lease.epoch or entry.owner != self.incarnation
        )

    def _relinquish(self, shard: ids.Shard, owned: _OwnedShard) -> None:
        # Another daemon took the shard over. Granting stops before the
        # release is sent: the taker serves as soon as it reads it.
        owned.lease.is_relinquished = True
        del self._owned[shard]
        if not owned.is_serving:
            return
        eliot.log_message('shard:lost', shard=shard, epoch=owned.lease.epoch)
        self._end_serving(shard)
        assert self._group is not None
        release = records.Release(shard, owned.lease.epoch)
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
            return self._is_owner_silent(shard, entry, now)
        if entry is not None and not entry.is_released:
            if self._is_reachable(entry):
                self._free_since.pop(shard, None)
                return False
        since = self._free_since.setdefault(shard, now)
        delay = RANK_DELAY_S * self._find_rank(shard)
        if entry is not None:
            # Its successor may take it first.
            delay += entry.lease_s + 2 * RANK_DELAY_S
        return now >= since + delay

    def _is_owner_silent(
        self, shard: ids.Shard, entry: shardview.ShardEntry, now: float
    ) -> bool:
        config = self.find_bundle()
        assert config is not None
        last_requested_at = max(
            self.promises.last_requested_at.get(
                (shard, entry.epoch), float('-inf')
            ),
            # A successor that was just named has not been asked yet.
            entry.successor_since,
            self._resumed_at,
        )
        if now < last_requested_at + config.ownership.takeover_after_s:
            return False
        return now > self.promises.find_expiry(shard, entry.epoch)

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
        return read_at is not None and now < read_at + MAX_LOG_AGE_S

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
        # A successor in the same failure domain is better than none.
        for host in elsewhere + order:
            return found[host].incarnation
        return None

    # Owning.

    def _visit_owned(
        self,
        shard: ids.Shard,
        entry: shardview.ShardEntry,
        owned: _OwnedShard | None,
        now: float,
    ) -> None:
        if owned is None:
            owned = self._start_owning(shard, entry, now)
        if owned.is_appending or owned.lease.is_relinquished:
            return
        if self._follower.confirmed_at is not None:
            owned.lease.record_confirmation(self._follower.confirmed_at)
        if not owned.is_serving:
            at = leases.find_serve_time(
                shard, entry, self.incarnation, self.promises
            )
            owned.ended_at = at
            if now >= at:
                self._start_append(owned, self._begin_serving, shard)
            return
        if self._is_successor_lost(shard, entry, owned, now):
            self._start_append(owned, self._name_successor, shard)

    def _start_owning(
        self, shard: ids.Shard, entry: shardview.ShardEntry, now: float
    ) -> _OwnedShard:
        lease = leases.Lease(entry.epoch, entry.lease_s, entry.outage_limit_s)
        if entry.successor is not None:
            lease.add_promiser(entry.successor, now)
        owned = _OwnedShard(lease)
        self._owned[shard] = owned
        self._renew_now.set()
        return owned

    def _start_append(
        self,
        owned: _OwnedShard,
        work: collections.abc.Callable[
            [ids.Shard, _OwnedShard], collections.abc.Awaitable[None]
        ],
        shard: ids.Shard,
    ) -> None:
        owned.is_appending = True
        assert self._group is not None
        self._group.start_soon(
            supervisor.run_guarded, self._run_append, owned, work, shard
        )

    async def _run_append(
        self,
        owned: _OwnedShard,
        work: collections.abc.Callable[
            [ids.Shard, _OwnedShard], collections.abc.Awaitable[None]
        ],
        shard: ids.Shard,
    ) -> None:
        try:
            await work(shard, owned)
        finally:
            owned.is_appending = False

    async def _begin_serving(
        self, shard: ids.Shard, owned: _OwnedShard
    ) -> None:
        epoch = owned.lease.epoch
        await self._follower.append(records.Serving(shard, epoch))
        entry = self.view.get(shard)
        if entry is None or self._is_superseded(owned, entry):
            return
        if not entry.is_serving or owned.lease.is_relinquished:
            return
        self.promises.drop_before(shard, epoch)
        start = StartContext(
            epoch == 1 and not self.view.is_trimmed, owned.ended_at
        )
        owned.is_serving = True
        eliot.log_message('shard:serving', shard=shard, epoch=epoch)
        self.roles[parse_shard(shard)[0]].begin(shard, owned.lease, start)

    def _is_successor_lost(
        self,
        shard: ids.Shard,
        entry: shardview.ShardEntry,
        owned: _OwnedShard,
        now: float,
    ) -> bool:
        if not self._is_log_fresh(now):
            # A change of successor cannot be committed now, and until it is
            # the promises of both would be needed.
            return False
        if entry.successor is None:
            return self._choose_successor(shard, set()) is not None
        end = owned.lease.find_promise_expiry(entry.successor)
        return now > end - 0.5 * owned.lease.lease_s

    async def _name_successor(
        self, shard: ids.Shard, owned: _OwnedShard
    ) -> None:
        entry = self.view.get(shard)
        if entry is None or self._is_superseded(owned, entry):
            return
        silent = set() if entry.successor is None else {entry.successor}
        chosen = self._choose_successor(shard, silent)
        if chosen == entry.successor:
            return
        if chosen is not None:
            owned.lease.add_promiser(chosen, clocks.read_monotonic())
            self._renew_now.set()
        epoch = owned.lease.epoch
        eliot.log_message(
            'shard:successor', shard=shard, epoch=epoch, successor=chosen
        )
        await self._follower.append(
            records.NameSuccessor(shard, epoch, chosen)
        )
        entry = self.view.get(shard)
        if entry is None or self._is_superseded(owned, entry):
            return
        owned.lease.remove_other_promisers(entry.successor)

    async def _hand_over(self, shard: ids.Shard) -> None:
        owned = self._owned.get(shard)
        entry = self.view.get(shard)
        if owned is None or entry is None or self._is_superseded(owned, entry):
            return
        # From here on nothing is granted: the successor must be sent the
        # complete state.
        owned.lease.is_relinquished = True
        if owned.is_serving:
            await self._send_to_successor(shard, entry)
            self._end_serving(shard)
        await self._follower.append(records.Release(shard, owned.lease.epoch))
        self._owned.pop(shard, None)

    async def _send_to_successor(
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
            # It serves without the table and answers "unknown" more often.
            eliot.log_message(
                'shard:hand-over-failed', shard=shard, error=str(error)
            )

    def _end_serving(self, shard: ids.Shard) -> None:
        self.roles[parse_shard(shard)[0]].end(shard)

    # Renewing.

    async def _renew_forever(self) -> None:
        assert self._group is not None
        while True:
            shards_by_promiser: dict[
                ids.Incarnation, list[tuple[ids.Shard, ids.Epoch]]
            ] = {}
            shortest_lease_s = 1.0
            for shard, owned in self._owned.items():
                if owned.lease.is_relinquished:
                    continue
                shortest_lease_s = min(shortest_lease_s, owned.lease.lease_s)
                for promiser in owned.lease.promisers:
                    shard_epoch = (shard, owned.lease.epoch)
                    shards_by_promiser.setdefault(promiser, []).append(
                        shard_epoch
                    )
            for promiser, shards in shards_by_promiser.items():
                if promiser in self._renewing:
                    continue
                self._renewing.add(promiser)
                self._group.start_soon(
                    supervisor.run_guarded, self._renew, promiser, shards
                )
            self._renew_now = anyio.Event()
            with anyio.move_on_after(shortest_lease_s / RENEWALS_PER_LEASE):
                await self._renew_now.wait()

    async def _renew(
        self,
        promiser: ids.Incarnation,
        shards: list[tuple[ids.Shard, ids.Epoch]],
    ) -> None:
        try:
            connection = self._peers.find(promiser)
            if connection is None:
                return
            shortest_lease_s = min(
                owned.lease.lease_s
                for shard, _ in shards
                if (owned := self._owned.get(shard)) is not None
            )
            sent_at = clocks.read_monotonic()
            reply = await connection.call(
                wire.PromiseRequest(shards, shortest_lease_s), shortest_lease_s
            )
            if not isinstance(reply, wire.Promise):
                return
            for shard, epoch in reply.shards:
                owned = self._owned.get(shard)
                if owned is None or owned.lease.epoch != epoch:
                    continue
                owned.lease.record_promise(
                    promiser, sent_at, shortest_lease_s, reply.confirmed_age_s
                )
        except (peerlink.PeerLost, ValueError):
            return
        finally:
            self._renewing.discard(promiser)

    async def _confirm_forever(self) -> None:
        # Owners and successors prove regularly that they have read the log
        # to its end, well before the outage limit.
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
