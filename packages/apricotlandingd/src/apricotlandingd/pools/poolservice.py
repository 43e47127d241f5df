"""Pool schedulers: the owner's side of a pool's queue.

``PoolScheduler`` keeps a ``PoolQueue`` for each pool that this daemon owns
and is the ``owners.Role`` of pools. For each such pool it runs three tasks
for every runner, which poll its load, poll its cache events and send it
orders, and one that grants and sheds whenever something has changed.

A scheduler's state is soft: entry daemons register their requests with each
new owner. Two concurrent schedulers can overfill a runner for a moment, which
is harmless. Concurrent shedding is not: with half the queue each, one would
shed a higher tier while the other keeps a lower one. So a scheduler sheds
only while its lease is valid and once every live daemon has registered.
"""

import collections.abc
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import hostlist
from apricotlanding import ids
from apricotlanding import metrics
from apricotlanding import webclient
from apricotlanding import wire
from apricotlandingd.ownership import leases
from apricotlandingd.ownership import owners
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers
from apricotlandingd.pools import engineorders
from apricotlandingd.pools import enginereports
from apricotlandingd.pools import poolqueue
from apricotlandingd.pools import runnerstate

__all__ = ['PoolScheduler']

# Longest interval between two decisions.
DECIDE_INTERVAL_S = 0.25
LOAD_INTERVAL_S = 0.5
LOAD_TIMEOUT_S = 0.75
# A runner whose load reports have failed for this long gets no work. With the
# interval and the timeout this is detected within 3 seconds.
LOAD_SILENCE_LIMIT_S = 1.75
EVENT_INTERVAL_S = 1.0

Deliver = collections.abc.Callable[[ids.Incarnation, object], None]


@ty.final
class _ServedPool:
    """One pool that this daemon schedules."""

    def __init__(self, pool: bundle.PoolModel, lease: leases.Lease) -> None:
        self.queue = poolqueue.PoolQueue(pool)
        self.lease = lease
        # Incarnations that have registered all their requests.
        self.registered: set[ids.Incarnation] = set()
        self.changed = anyio.Event()
        self.scope = anyio.CancelScope()

    def wake(self) -> None:
        """Wake the scheduler's task."""
        self.changed.set()


@ty.final
class PoolScheduler:
    """Schedules the pools that this daemon owns; a role of ``owners``."""

    def __init__(
        self, peer_set: peers.Peers, counters: metrics.Metrics
    ) -> None:
        """Start without a pool."""
        self._peers = peer_set
        self._metrics = counters
        self._served: dict[ids.Pool, _ServedPool] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self.find_bundle: collections.abc.Callable[
            [], bundle.Bundle | None
        ] = lambda: None
        # Sends a decision to the daemon that registered the request.
        self.deliver: Deliver = lambda receiver, message: None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    # The role.

    def begin(
        self, shard: ids.Shard, lease: leases.Lease, start: owners.StartContext
    ) -> None:
        """Create the queue of a pool."""
        config = self.find_bundle()
        assert config is not None
        name = _parse_pool(shard)
        model = config.pools.get(name)
        if model is None:
            return
        served = _ServedPool(model, lease)
        self._served[name] = served
        assert self._group is not None
        self._group.start_soon(self._run_pool, name, served)

    def end(self, shard: ids.Shard) -> None:
        """Stop scheduling a pool."""
        served = self._served.pop(_parse_pool(shard), None)
        if served is not None:
            served.scope.cancel()

    async def hand_over(
        self, shard: ids.Shard, successor: peerlink.Connection
    ) -> None:
        """Do nothing: the daemons register with the next owner."""

    # Messages.

    def answer_register(
        self, message: wire.Register, sender: ids.Incarnation
    ) -> wire.Ack | wire.Failed:
        """Add all requests of a daemon."""
        served = self._served.get(message.pool)
        if served is None or served.lease.epoch != message.epoch:
            # The daemon may have read that we serve before we have read
            # it ourselves; it retries.
            return wire.Failed('', 'not the owner in this epoch')
        served.queue.confirm_sheds(sender)
        self.handle_register(message, sender)
        served.registered.add(sender)
        return wire.Ack()

    def handle_register(
        self, message: wire.Register, sender: ids.Incarnation
    ) -> None:
        """Add requests of a daemon."""
        served = self._served.get(message.pool)
        if served is None or served.lease.epoch != message.epoch:
            return
        now = clocks.read_monotonic()
        for entry in message.entries:
            served.queue.register(entry, sender, now)
        served.wake()

    def handle_started(
        self, message: wire.Started, sender: ids.Incarnation
    ) -> None:
        """Record that a grant was used."""
        served = self._served.get(message.pool)
        if served is not None:
            served.queue.start(message, clocks.read_monotonic())

    def handle_finished(
        self, message: wire.Finished, sender: ids.Incarnation
    ) -> None:
        """Record that a request has finished on its runner."""
        served = self._served.get(message.pool)
        if served is not None:
            served.queue.finish(message, clocks.read_monotonic())
            served.wake()

    def handle_withdraw(
        self, message: wire.Withdraw, sender: ids.Incarnation
    ) -> None:
        """Remove a request."""
        served = self._served.get(message.pool)
        if served is not None:
            served.queue.withdraw(message.ticket)
            served.wake()

    def drop_sender(self, sender: ids.Incarnation) -> None:
        """Remove the requests of a daemon that has disconnected."""
        for served in self._served.values():
            served.registered.discard(sender)
            served.queue.drop_sender(sender)
            served.wake()

    def update_bundle(self, config: bundle.Bundle) -> None:
        """Apply a new bundle."""
        for name, served in self._served.items():
            model = config.pools.get(name)
            if model is not None:
                served.queue.update_pool(model)
                served.wake()

    def describe(self) -> dict[str, ty.Any]:
        """Return queues and runners for operators."""
        return {
            str(name): {
                'waiting': served.queue.count_by_tier(),
                'runners': {
                    str(runner.name): {
                        'running': runner.count_requests(),
                        'tokens': runner.count_tokens(),
                        'usable': runner.is_usable(clocks.read_monotonic()),
                    }
                    for runner in served.queue.runners.values()
                },
            }
            for name, served in self._served.items()
        }

    # Scheduling.

    async def _run_pool(self, name: ids.Pool, served: _ServedPool) -> None:
        with served.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._monitor_runners, served)
                while True:
                    self._decide(name, served)
                    served.changed = anyio.Event()
                    with anyio.move_on_after(DECIDE_INTERVAL_S):
                        await served.changed.wait()

    def _decide(self, name: ids.Pool, served: _ServedPool) -> None:
        now = clocks.read_monotonic()
        self._mark_leaving(name, served)
        for expired in served.queue.expire_grants(now):
            self._withdraw(name, served, expired)
        may_shed = self._may_shed(served, now)
        epoch = served.lease.epoch
        for decision in served.queue.decide(now, may_shed):
            ticket = decision.waiting.entry.ticket
            receiver = decision.waiting.sender
            if isinstance(decision, poolqueue.GrantDecision):
                message: object = wire.Grant(
                    name,
                    epoch,
                    ticket,
                    decision.runner,
                    poolqueue.GRANT_TIMEOUT_S,
                )
            else:
                self._metrics.count(f'shed.tier{decision.waiting.entry.tier}')
                message = wire.Shed(
                    name,
                    epoch,
                    ticket,
                    decision.retry_after_s,
                    decision.is_late,
                )
            self.deliver(receiver, message)

    def _may_shed(self, served: _ServedPool, now: float) -> bool:
        if not served.lease.is_valid(now):
            return False
        hosts = {ids.parse_host(item) for item in served.registered}
        return self._peers.list_live() <= hosts

    def _mark_leaving(self, name: ids.Pool, served: _ServedPool) -> None:
        for runner in served.queue.runners.values():
            listed = self._peers.listed.get(str(runner.name))
            is_leaving = (
                listed is not None
                and listed.state is hostlist.HostState.LEAVING
            )
            if is_leaving and not runner.is_leaving:
                eliot.log_message('runner:leaving', runner=runner.name)
                for granted in served.queue.withdraw_grants(runner.name):
                    self._withdraw(name, served, granted)
            runner.is_leaving = is_leaving

    def _withdraw(
        self,
        name: ids.Pool,
        served: _ServedPool,
        decision: poolqueue.GrantDecision,
    ) -> None:
        self.deliver(
            decision.waiting.sender,
            wire.Withdrawn(
                name,
                served.lease.epoch,
                decision.waiting.entry.ticket,
                decision.runner,
            ),
        )

    # Monitoring the runners.

    async def _monitor_runners(self, served: _ServedPool) -> None:
        monitored: dict[ids.Runner, anyio.CancelScope] = {}
        async with anyio.create_task_group() as group:
            while True:
                present = served.queue.runners
                for name in list(monitored):
                    if name not in present:
                        monitored.pop(name).cancel()
                for name, runner in present.items():
                    if name in monitored:
                        continue
                    if runner.model.kind is bundle.RunnerKind.SERVICE:
                        continue
                    scope = anyio.CancelScope()
                    monitored[name] = scope
                    group.start_soon(
                        self._monitor_runner, served, runner, scope
                    )
                await anyio.sleep(LOAD_INTERVAL_S)

    async def _monitor_runner(
        self,
        served: _ServedPool,
        runner: runnerstate.RunnerState,
        scope: anyio.CancelScope,
    ) -> None:
        client = webclient.WebClient(runner.model.address, 4)
        with scope:
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._poll_load, served, runner, client)
                    group.start_soon(_poll_cache_events, runner, client)
                    group.start_soon(
                        engineorders.reconcile_runner,
                        runner,
                        served.lease,
                        client,
                    )
            finally:
                with anyio.CancelScope(shield=True):
                    await client.close()

    async def _poll_load(
        self,
        served: _ServedPool,
        runner: runnerstate.RunnerState,
        client: webclient.WebClient,
    ) -> None:
        answered_at = clocks.read_monotonic()
        while True:
            now = clocks.read_monotonic()
            try:
                status, report = await client.call_json(
                    'GET', '/v1/load', read_timeout=LOAD_TIMEOUT_S
                )
                if status == 200:
                    runner.reported_requests = enginereports.read_load(report)
                    answered_at = now
            except (webclient.WebError, ValueError):
                # A single lost report is no failure: it gets work until
                # ``LOAD_SILENCE_LIMIT_S`` has passed.
                pass
            silent_s = clocks.read_monotonic() - answered_at
            is_reporting = silent_s < LOAD_SILENCE_LIMIT_S
            if is_reporting != runner.is_reporting:
                eliot.log_message(
                    'runner:reporting', runner=runner.name, is_on=is_reporting
                )
                runner.is_reporting = is_reporting
                if not is_reporting:
                    self._withdraw_started(served, runner.name)
                served.wake()
            await anyio.sleep(LOAD_INTERVAL_S)

    def _withdraw_started(
        self, served: _ServedPool, runner: ids.Runner
    ) -> None:
        # Its requests would otherwise wait until their deadlines. Those that
        # may run twice and have sent nothing to their callers are retried.
        for started in served.queue.list_started(runner):
            self.deliver(
                started.waiting.sender,
                wire.Withdrawn(
                    ids.Pool(served.queue.pool.name),
                    served.lease.epoch,
                    started.waiting.entry.ticket,
                    runner,
                    is_lost=True,
                ),
            )


async def _poll_cache_events(
    runner: runnerstate.RunnerState, client: webclient.WebClient
) -> None:
    position = 0
    while True:
        try:
            status, reply = await client.call_json(
                'GET',
                f'/v1/cache-events?from={position}',
                read_timeout=LOAD_TIMEOUT_S,
            )
            if status == 200:
                page = enginereports.read_events(reply)
                position = page.next
                for event in page.events:
                    _apply_event(runner, event)
        except (webclient.WebError, ValueError):
            # Late or lost events only cost prefix cache hits.
            pass
        await anyio.sleep(EVENT_INTERVAL_S)


def _apply_event(
    runner: runnerstate.RunnerState, event: enginereports.CacheEvent
) -> None:
    if event.kind is enginereports.EventKind.STORED:
        runner.add_cached_blocks([event.block])
    else:
        runner.remove_cached_block(event.block)


def _parse_pool(shard: ids.Shard) -> ids.Pool:
    return ids.Pool(owners.parse_shard(shard)[1])
