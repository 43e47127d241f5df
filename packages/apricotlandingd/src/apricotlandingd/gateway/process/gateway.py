"""The daemon on a platform: builds its parts, ties them, runs the tree.

    gateway
    ├── callers      HTTP listener, one task a request
    ├── config       follows the configuration at the store
    ├── runners      follows the registrations at the store
    ├── mesh         states of the other hosts
    ├── records      answers peers that lack records
    ├── catch-up     takes records from a peer that is ahead
    ├── join         finds the other hosts
    ├── pump         decides what waits, by time
    ├── tidy         drops connections, runners and peers that are gone
    ├── restarts     closes connections of runners that started again
    ├── settings     reads the settings again when they were written
    └── signals      SIGTERM stops, SIGHUP reads the settings again

Stopping: not ready at once, so that the balancer sends no new connections;
those that are open are served and told to go elsewhere; the listener closes
when the balancer must have noticed; the process ends when no connection is
left, or when its grace is nearly over (``shutdown``).
"""

import collections.abc
import dataclasses
import functools
import random
import signal
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import addresses
from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import ids
from apricotlanding import retrybudget
from apricotlanding import shutdown
from apricotlanding import supervisor
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import dispatch
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import sharedallowances
from apricotlandingd.gateway.process import foreigninput
from apricotlandingd.gateway.process import hoststates
from apricotlandingd.gateway.process import measures
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.process import stalls
from apricotlandingd.gateway.replication import catchup
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import recordexchange
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import storereader
from apricotlandingd.gateway.replication import waits
from apricotlandingd.gateway.requests import listener
from apricotlandingd.gateway.requests import routestats
from apricotlandingd.gateway.requests import runnerclients
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency

__all__ = ['Gateway']

# Seconds between looks at what waits: a refusal is late by at most this.
PUMP_INTERVAL = 0.02
# Least seconds between decisions on peers' messages: a place that a peer
# leaves to a request of this host is taken within this time.
PEER_PUMP_INTERVAL = 0.005
# Seconds between looks at connections, runners and peers that are gone.
TIDY_INTERVAL = 0.5
# Hosts of a group that follow the store themselves; the others hear from
# them. More than enough for a store that turns a third of the hosts away, of
# one group; of several, records also spread from group to group.
READERS = 8
GROUP_READERS = 3
# Groups in which hosts follow the store; the others hear from these.
READING_GROUPS = 4
# Seconds between looks at the settings file.
SETTINGS_INTERVAL = 1.0
# Seconds between tries to state this host and read the others.
JOIN_INTERVAL = 1.0


@ty.final
class Gateway:
    """One gateway process."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        http_dialect: dialect.Dialect,
        store: dialect.Store,
        reload: collections.abc.Callable[[], settings.GatewaySettings],
        read_stamp: collections.abc.Callable[[], int],
    ) -> None:
        """Build all parts and bind all addresses.

        ``reload`` reads the settings again; ``read_stamp`` returns a number
        that changes when they were written. Raises OSError if an address
        cannot be bound.
        """
        self._settings = config
        self._dialect = http_dialect
        self._store = store
        self._reload = reload
        self._read_stamp = read_stamp
        self._spread = random.Random()
        self._catalogue: catalogue.Catalogue | None = None
        self._is_stopping = False
        self._stop_asked = anyio.Event()
        self._pumped_at = 0.0
        self._clients = runnerclients.RunnerClients()
        self._peer_socket = asgi.bind_address(config.peers)
        self.incarnation = ids.make_incarnation(
            config.host, str(config.peers), clocks.read_monotonic()
        )
        self._measures = measures.Measures()
        self._foreign = foreigninput.ForeignInput(self._measures)
        self._build_sharing()
        self._build_requests()

    def _build_sharing(self) -> None:
        config = self._settings
        self._directory = directory.Directory(config.bounds.drain_s)
        self._board = records.Board()
        self._board.add_observer(self._take_record)
        self._board.on_damage = self._note_damage
        self._freshness = freshness.Freshness(
            self._board, _find_bounds(config.bounds)
        )
        probing = anyio.Lock()
        self._readers = [
            storereader.StoreReader(
                topic,
                self._store,
                self._board,
                self._freshness,
                self._find_readers,
                self._directory.note_outage,
                self._directory.note_return,
                lambda: self._mesh.tell(),
                probing,
                self._spread,
            )
            for topic in records.TOPICS
        ]
        self._exchange = recordexchange.RecordExchange(self._board)
        self._catch_up = catchup.CatchUp(
            self._exchange,
            self._list_ahead,
            self._find_fetch_time,
            self._spread,
        )
        self._exchange.on_unreadable = functools.partial(
            self._foreign.report, foreigninput.Source.PEER
        )
        state_port = config.state.port
        self._mesh = mesh.Mesh(
            config.host,
            config.state,
            tuple(
                addresses.Address(seed.host, state_port)
                for seed in config.seeds
            ),
            self._spread,
        )
        self._mesh.on_state = self._take_state
        self._mesh.on_dropped = self._forget_peer
        self._mesh.on_unreadable = functools.partial(
            self._foreign.report, foreigninput.Source.DATAGRAM
        )

    def _build_requests(self) -> None:
        config = self._settings
        bounds = config.bounds
        now = clocks.read_monotonic()
        self._stalls = stalls.StallWatch()
        self._latencies = latency.LatencyEstimates()
        self._health = health.Health()
        self._allowances = allowances.Allowances(
            bounds.quota_slack, self._mesh, now
        )
        self._retry_budget = retrybudget.RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        self._scheduler = scheduler.Scheduler(
            self._directory,
            self._latencies,
            self._health,
            self._mesh,
            self._spread,
        )
        self._candidates = candidates.Candidates(config.host, self._mesh)
        self._dispatcher = dispatch.Dispatcher(
            config.host,
            config.state,
            self.incarnation,
            self._scheduler,
            coordinator.Coordinator(
                config.host,
                self._directory,
                self._latencies,
                self._health,
                self._spread,
                lambda: self._is_stopping,
                lambda: records.has_all(self._board.positions),
                self._scheduler.find_hold,
            ),
            self._directory,
            self._latencies,
            self._health,
            self._mesh,
            self._candidates,
            self._spread,
        )
        self._shared_allowances = sharedallowances.SharedAllowances(
            config.host,
            config.state,
            self.incarnation,
            self._allowances,
            bounds.quota_slack,
            self._mesh,
            self._candidates,
            self._find_organisation,
            lambda: self._is_stopping,
            now,
        )
        self._mesh.on_allowance_request = self._shared_allowances.take
        self._mesh.on_keeper_news = self._shared_allowances.hear_news
        self._mesh.on_allowance_reply = self._shared_allowances.take_reply
        self._mesh.on_place_request = self._dispatcher.take
        self._mesh.on_place_reply = self._dispatcher.take_reply
        states = hoststates.HostStates(
            config,
            self.incarnation,
            self._board,
            self._freshness,
            self._allowances,
            self._scheduler,
            self._mesh,
            self._reads_store,
            lambda: self._is_stopping,
        )
        self._mesh.make_state = states.make_state
        self._mesh.make_change = states.make_change
        shared = sharedstate.SharedState(
            http_dialect=self._dialect,
            allowances=self._allowances,
            shared_allowances=self._shared_allowances,
            retry_budget=self._retry_budget,
            dispatcher=self._dispatcher,
            directory=self._directory,
            latencies=self._latencies,
            measures=self._measures,
            find_catalogue=lambda: self._catalogue,
            find_client=self._clients.find,
            count_hosts=self._mesh.count_hosts,
            is_stopping=lambda: self._is_stopping,
            on_change=self._tell_change,
            on_malformed_answer=functools.partial(
                self._foreign.report, foreigninput.Source.ANSWER
            ),
            routestats=routestats.RouteStats(),
        )
        self._listener = listener.Listener(
            shared,
            config.readiness,
            config.metrics,
            self.is_ready,
            self._measures,
        )
        self._server = asgi.Server(
            self._listener,
            config.callers,
            config.readiness,
            config.metrics,
        )
        self._measures.gauges = {
            'open_requests': lambda: self._listener.open_requests,
            'peers_known': lambda: len(self._mesh.peers),
            'runner_connects_total': self._clients.count_connects,
            'stalls_total': lambda: self._stalls.count,
            'stalled_seconds_total': lambda: self._stalls.seconds,
        }

    # Running.

    async def run(self) -> None:
        """Run until a graceful stop has ended."""
        self._peer_socket.setblocking(False)
        peers = await anyio.abc.SocketListener.from_socket(self._peer_socket)
        async with supervisor.Supervisor('gateway') as tree:
            tree.start('callers', self._server.serve)
            for reader, topic in zip(
                self._readers, records.TOPICS, strict=True
            ):
                tree.start(topic, reader.run)
            tree.start('mesh', self._mesh.run)
            tree.start('records', lambda: peers.serve(self._exchange.serve))
            tree.start('catch-up', self._catch_up.run)
            tree.start('join', self._join)
            tree.start('pump', self._pump_forever)
            tree.start('tidy', self._tidy_forever)
            tree.start('restarts', self._clients.run)
            tree.start('signals', self._watch_signals)
            tree.start('settings', self._watch_settings)
            eliot.log_message('gateway:started', incarnation=self.incarnation)
            await self._stop_asked.wait()
            await self._drain()
        await self._clients.close()
        eliot.log_message('gateway:stopped')

    def is_ready(self) -> bool:
        """Tell the balancer whether to send callers here."""
        if self._is_stopping or self._catalogue is None:
            return False
        if not self.knows_hosts():
            # It hands out nothing of any allowance yet.
            return False
        return records.has_all(self._board.positions)

    def knows_hosts(self) -> bool:
        """Tell whether this host knows how many others there are."""
        return self._allowances.knows_hosts(clocks.read_monotonic())

    def stop(self) -> None:
        """Begin a graceful stop, as SIGTERM does."""
        self._stop_asked.set()

    def count_peers(self) -> int:
        """Return the number of other hosts that are known."""
        return len(self._mesh.peers)

    @property
    def configuration_version(self) -> ids.Version | None:
        """Return the version in force here; None before the first."""
        return None if self._catalogue is None else self._catalogue.version

    def _find_organisation(
        self, name: ids.Organisation
    ) -> catalogue.Organisation | None:
        if self._catalogue is None:
            return None
        return self._catalogue.organisations.get(name)

    def list_open_runners(self) -> list[ids.Runner]:
        """Return the runners that take new requests."""
        return [
            ids.find_runner(entry.start)
            for entry in self._directory.list_all()
            if not entry.is_draining
        ]

    # Records.

    def _take_record(
        self, topic: dialect.Topic, record: dialect.Record
    ) -> None:
        now = clocks.read_monotonic()
        if topic == dialect.CONFIG:
            self._take_catalogue(record, now)
        else:
            self._take_runner(record, now)
        self._scheduler.pump(now)
        if self._mesh.is_divided():
            # Few hosts follow the store; the others hear from each other.
            self._mesh.tell()

    def _note_damage(
        self, topic: dialect.Topic, damage: dialect.Damage
    ) -> None:
        place = '' if damage.offset is None else f' (offset {damage.offset})'
        self._foreign.report(
            foreigninput.Source.RECORD,
            topic,
            f'{damage.detail}{place}',
            clocks.read_monotonic(),
        )

    def _take_catalogue(self, record: dialect.Record, now: float) -> None:
        if record.value is None:
            return
        try:
            found = self._dialect.decode_catalogue(record.value)
        except dialect.Unreadable as error:
            # The version before stays in force: callers lose less by it than
            # by none at all.
            self._foreign.report(
                foreigninput.Source.CONFIGURATION, record.key, str(error), now
            )
            return
        known = self._catalogue
        if known is not None and found.version <= known.version:
            return
        self._catalogue = found
        self._server.set_idle_timeout(found.limits.idle_s + 1.0)
        eliot.log_message(
            'gateway:configuration',
            version=found.version,
            offset=record.offset,
        )

    def _take_runner(self, record: dialect.Record, now: float) -> None:
        runner = ids.Runner(record.key)
        birth: int | None = None
        if record.value is None:
            self._directory.remove(runner, now)
            state = 'removed'
        else:
            try:
                entry = self._dialect.decode_runner(runner, record.value)
            except dialect.Unreadable as error:
                self._retract(runner, str(error), now)
                return
            birth = ids.read_birth(entry.start)
            state = 'draining' if entry.is_draining else 'open'
            news = self._directory.update(entry)
            if news is directory.UpdateResult.START:
                self._end_earlier(entry.start)
            elif news is directory.UpdateResult.OUTDATED:
                state = 'outdated'
        self._log_runner(runner, state, birth, record.offset)

    def _retract(self, runner: ids.Runner, detail: str, now: float) -> None:
        # The entry in force is the newest one, and it names no runner to
        # use. Going on with the one before would send callers to a process
        # that has been replaced, or has taken its word back.
        self._foreign.report(
            foreigninput.Source.REGISTRATION, runner, detail, now
        )
        if self._directory.retract(runner, now):
            self._log_runner(runner, 'unreadable')

    def _log_runner(
        self,
        runner: ids.Runner,
        state: str,
        birth: int | None = None,
        offset: int | None = None,
    ) -> None:
        eliot.log_message(
            'gateway:runner',
            runner=runner,
            born=birth,
            state=state,
            offset=offset,
        )

    def _end_earlier(self, later: ids.RunnerStart) -> None:
        for start, count in self._clients.retire_earlier(later).items():
            self._scheduler.places.hand_over(start, later, count)

    def _find_readers(self) -> freshness.Readers:
        # The first few hosts by name that say that they reach the store, and
        # those that hear too few of these.
        own = self._settings.host
        heard = [
            peer for peer in self._mesh.list_heard() if peer.state.reads_store
        ]
        before = sum(peer.is_near and peer.state.host < own for peer in heard)
        return freshness.Readers(
            others=tuple(peer.state.host for peer in heard),
            own=own,
            is_reading=before < self._count_readers(),
        )

    def _count_readers(self) -> int:
        # In this host's group.
        partition = self._mesh.partition
        if partition.count == 1:
            return READERS
        return GROUP_READERS if partition.own < READING_GROUPS else 0

    def _reads_store(self, now: float) -> bool:
        return all(
            reader.heard_at is not None
            and now - reader.heard_at < waits.STORE_REACHED
            for reader in self._readers
        )

    def _list_ahead(self) -> list[addresses.Address]:
        return [
            messages.read_address(peer.state.peers_address)
            for peer in self._mesh.list_heard()
            if records.is_ahead(peer.state.positions, self._board.positions)
        ]

    def _find_fetch_time(self) -> float:
        return min(item.fetch_s for item in self._freshness.waits.values())

    async def _join(self) -> None:
        config = self._settings
        while True:
            try:
                await self._store.write_host(config.host, config.state)
                break
            except dialect.StoreUnavailable as error:
                eliot.log_message('gateway:join_failed', detail=str(error))
            await anyio.sleep(JOIN_INTERVAL)
        while True:
            try:
                hosts = await self._store.read_hosts()
                break
            except dialect.StoreUnavailable as error:
                eliot.log_message('gateway:join_failed', detail=str(error))
            await anyio.sleep(JOIN_INTERVAL)
        for host, address in hosts.items():
            if isinstance(address, dialect.Unreadable):
                self._foreign.report(
                    foreigninput.Source.HOST_RECORD,
                    host,
                    str(address),
                    clocks.read_monotonic(),
                )
                continue
            self._mesh.seek(address)
        self._allowances.note_listed()

    # States of hosts.

    def _tell_change(self) -> None:
        # In a large system coordinators are told, and other hosts go by the
        # next heartbeat.
        if not self._mesh.is_divided():
            self._mesh.tell()

    def _take_state(self, state: messages.HostState, now: float) -> None:
        self._allowances.hear(state, now)
        self._shared_allowances.hear(
            state.incarnation, state.usage, state.hosts == 0, now
        )
        if self._mesh.partition.is_near(state.host):
            self._freshness.hear(
                state.host,
                state.answer_ages,
                state.positions,
                state.reads_store,
                now,
            )
        else:
            self._freshness.hear_far(
                state.host, state.answer_ages, state.positions, now
            )
        if records.is_ahead(state.positions, self._board.positions):
            self._catch_up.note_ahead()
        if now - self._pumped_at >= PEER_PUMP_INTERVAL:
            self._pump(now)

    def _forget_peer(self, state: messages.HostState) -> None:
        self._allowances.forget(state.incarnation)
        self._shared_allowances.forget(state.incarnation)
        self._freshness.forget(state.host)

    # Runners.

    async def _pump_forever(self) -> None:
        while True:
            due = clocks.read_monotonic() + PUMP_INTERVAL
            await anyio.sleep(PUMP_INTERVAL)
            now = clocks.read_monotonic()
            if self._stalls.note(now - due, now):
                eliot.log_message(
                    'gateway:stalled',
                    late_s=round(now - due, 4),
                    count=self._stalls.count,
                    seconds=round(self._stalls.seconds, 3),
                )
            self._pump(now)
            self._dispatcher.tick(now)
            self._shared_allowances.tick(now)

    def _pump(self, now: float) -> None:
        self._pumped_at = now
        self._scheduler.pump(now)

    async def _tidy_forever(self) -> None:
        while True:
            await anyio.sleep(TIDY_INTERVAL)
            now = clocks.read_monotonic()
            self._directory.expire(now)
            entries = self._directory.list_all()
            known = {entry.start for entry in entries}
            self._health.retain_only(known)
            self._latencies.retain_only(known)
            self._scheduler.keep_only(known)
            self._dispatcher.keep_only(known)
            await self._clients.prune(entries, now)

    # Stopping.

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number is signal.SIGHUP:
                    self._read_settings()
                    continue
                self.stop()

    async def _watch_settings(self) -> None:
        # The platform writes new settings with a signal or without. They are
        # read once more in any case: a change between the first reading and
        # this, whose signal came before it was taken, would be lost.
        known = None
        while True:
            await anyio.sleep(SETTINGS_INTERVAL)
            stamp = self._read_stamp()
            if stamp == known:
                continue
            known = stamp
            self._read_settings()

    def _read_settings(self) -> None:
        try:
            found = self._reload()
        except Exception as error:
            # Half a file, or one that is not for us: the settings in force
            # stay.
            self._foreign.report(
                foreigninput.Source.SETTINGS,
                'reload',
                str(error),
                clocks.read_monotonic(),
            )
            return
        is_changed = found != self._settings
        for seed in found.seeds:
            self._mesh.seek(
                addresses.Address(seed.host, self._settings.state.port)
            )
        bounds = found.bounds
        self._directory.set_drain_time(bounds.drain_s)
        self._freshness.set_bounds(_find_bounds(bounds))
        self._allowances.set_slack(bounds.quota_slack)
        self._shared_allowances.set_slack(bounds.quota_slack)
        self._retry_budget.set_bounds(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        # Addresses are those that the process is bound to.
        self._settings = dataclasses.replace(
            self._settings, seeds=found.seeds, bounds=bounds
        )
        eliot.log_message('gateway:reloaded', is_changed=is_changed)

    async def _drain(self) -> None:
        grace_s = self._settings.bounds.stop_grace_s
        plan = shutdown.make_plan(grace_s, clocks.read_monotonic())
        self._is_stopping = True
        self._mesh.tell()
        self._log_stop('gateway:stopping')
        await anyio.sleep(plan.close_at - clocks.read_monotonic())
        self._log_stop('gateway:listener_closing')
        left_s = plan.give_up_at - clocks.read_monotonic()
        if not await shutdown.finish(self._server, left_s):
            self._log_stop('gateway:grace_over')
            self._listener.end_requests()
            left_s = plan.end_at - clocks.read_monotonic()
            await shutdown.finish(self._server, left_s)
        self._log_stop('gateway:drained')

    def _log_stop(self, kind: str) -> None:
        eliot.log_message(
            kind,
            open=self._listener.open_requests,
            connections=self._server.count_connections(),
            unsent_bytes=self._server.count_unsent(),
        )


def _find_bounds(bounds: settings.Bounds) -> dict[dialect.Topic, float]:
    # How long each topic's changes may take until this host goes by them.
    return {dialect.CONFIG: bounds.apply_s, dialect.RUNNERS: bounds.drain_s}
