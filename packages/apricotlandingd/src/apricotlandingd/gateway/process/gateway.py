"""The gateway process: builds its components and runs them as tasks.

    gateway
    ├── callers      HTTP listener, one task a request
    ├── config       reads the configuration from the store
    ├── runners      reads the registrations from the store
    ├── mesh         exchanges states with the other hosts
    ├── records      serves records to peers that lack them
    ├── catch-up     fetches records from a peer that is ahead
    ├── join         publishes this host and finds the others
    ├── pump         schedules waiting requests at an interval
    ├── tidy         drops connections, runners and peers that are gone
    ├── crashes      finds out why runners cut requests
    ├── rollouts     stores the statuses of roll-outs
    ├── restarts     closes connections of runners that restarted
    ├── relays       makes calls to runners for hosts that do not reach them
    ├── links        finds out whether this host reaches runners itself
    ├── settings     reloads the settings when they were written
    └── signals      SIGTERM stops, SIGHUP reloads the settings

Shutdown: the host is not ready from the signal on, so the load balancer opens
no new connections. Open connections are served, and their callers are told to
reconnect elsewhere. The listener closes once the load balancer must have
noticed. The process ends when no connection is left, or shortly before its
grace period is over (``shutdown``).
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
from apricotlanding import dialing
from apricotlanding import ids
from apricotlanding import retrybudget
from apricotlanding import shutdown
from apricotlanding import supervisor
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.process import allowancebuilding
from apricotlandingd.gateway.process import draining
from apricotlandingd.gateway.process import gauges
from apricotlandingd.gateway.process import hoststates
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.process import joining
from apricotlandingd.gateway.process import operatorrecords
from apricotlandingd.gateway.process import placebuilding
from apricotlandingd.gateway.process import recordhandler
from apricotlandingd.gateway.process import registrations
from apricotlandingd.gateway.process import relaying
from apricotlandingd.gateway.process import reports
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.process import settingswatch
from apricotlandingd.gateway.process import stalls
from apricotlandingd.gateway.process import streamorigins
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.relays import relayserver
from apricotlandingd.gateway.replication import catchup
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import peersahead
from apricotlandingd.gateway.replication import readerchoice
from apricotlandingd.gateway.replication import recordexchange
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import restatements
from apricotlandingd.gateway.replication import storereader
from apricotlandingd.gateway.requests import listener
from apricotlandingd.gateway.requests import routestats
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.rollouts import rollouts
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import crashes
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import rests
from apricotlandingd.gateway.runners import startindex
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Gateway']

# Interval between scheduling passes; refusals are late by at most this.
PUMP_INTERVAL_S = 0.02
# Shortest interval between scheduling passes caused by peers' messages: a
# place that a peer leaves to a request of this host is taken within this time.
MIN_PEER_PUMP_INTERVAL_S = 0.005
# Interval between cleanups of connections, runners and peers that are gone.
CLEANUP_INTERVAL_S = 0.5


@ty.final
class Gateway:
    """One gateway process."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        platform_dialect: dialect.Dialect,
        store: dialect.GatewayStore,
        reload: collections.abc.Callable[[], settings.GatewaySettings],
        read_stamp: collections.abc.Callable[[], int],
        dial: dialing.Dial = dialing.dial_address,
    ) -> None:
        """Build all components and bind all addresses.

        ``reload`` reads the settings again; ``read_stamp`` returns a number
        that changes when they are written; ``dial`` connects to runners.
        Raises OSError if an address cannot be bound.
        """
        self._settings = config
        self._dialect = platform_dialect
        self._store = store
        self._rng = random.Random()
        self._catalogue: catalogue.Catalogue | None = None
        self._is_stopping = False
        self._stop_requested = anyio.Event()
        self._pumped_at = 0.0
        self._socket = asgi.bind_address(config.peers)
        self.incarnation = ids.make_incarnation(
            config.host, str(config.peers), clocks.read_monotonic()
        )
        self._telemetry = telemetry.MetricRegistry()
        self._input_errors = inputerrors.InputErrors(self._telemetry)
        self._settings_watch = settingswatch.SettingsWatch(
            reload, read_stamp, self._apply_settings, self._input_errors
        )
        self._build_sharing(dial)
        self._build_requests()

    def _build_sharing(self, dial: dialing.Dial) -> None:
        config = self._settings
        self._directory = directory.Directory(
            config.bounds.drain_s, config.heartbeat_s
        )
        self._replica = records.Replica()
        self._freshness = freshness.Freshness(
            self._replica, settings.find_topic_bounds(config.bounds)
        )
        self._readers = storereader.build_readers(
            self._store,
            self._replica,
            self._freshness,
            lambda: self._reader_choice.find_readers(),
            self._directory.note_outage,
            lambda: self._mesh.request_update(),
            self._rng,
        )
        self._exchange = recordexchange.RecordExchange(self._replica)
        self._catch_up = catchup.CatchUp(
            self._exchange,
            lambda: self._peers_ahead.list_addresses(),
            lambda: self._peers_ahead.find_fetch_timeout(),
            self._rng,
        )
        self._exchange.on_unreadable = functools.partial(
            self._input_errors.report, inputerrors.Source.PEER
        )
        state_port = config.state.port
        self._mesh = mesh.Mesh(
            config.host,
            config.state,
            tuple(
                addresses.Address(seed.host, state_port)
                for seed in config.seeds
            ),
            self._rng,
        )
        self._peers_ahead = peersahead.PeersAhead(
            self._mesh, self._replica, self._freshness
        )
        self._reader_choice = readerchoice.ReaderChoice(
            config.host, self._mesh
        )
        self._health = health.Health()
        self._relaying = relaying.Relaying(
            config,
            self.incarnation,
            dial,
            self._mesh,
            self._directory,
            self._health,
            self._telemetry,
            self._rng,
        )
        self._clients = self._relaying.clients
        self._mesh.on_state = self._handle_state
        self._mesh.on_dropped = self._forget_peer
        self._mesh.on_unreadable = functools.partial(
            self._input_errors.report, inputerrors.Source.DATAGRAM
        )
        self._registrations = registrations.RegistrationHandler(
            self._dialect,
            self._directory,
            self._freshness,
            self._input_errors,
            self._end_earlier_starts,
            config.has_rollouts,
        )
        self._rollouts = rollouts.Rollouts(
            config.host,
            config.state,
            self.incarnation,
            self._mesh,
            self._directory,
            self._store,
            settings.find_exposure_bounds(config.bounds),
            config.has_rollouts,
        )
        self._operator_records = operatorrecords.OperatorRecords(
            self._dialect,
            self._input_errors,
            self._apply_catalogue,
            self._rollouts.handle_order,
            self._relaying.keys,
            config.has_contention,
        )
        recordhandler.RecordHandler(
            self._operator_records,
            self._registrations,
            self._input_errors,
            self._handle_change,
            self._handle_new_era,
        ).observe(self._replica)
        self._publisher = joining.Publisher(
            config.host, config.state, self._store, self._rng
        )
        self._restatements = restatements.Restatements(
            config.peers, self._replica, self._mesh, self._catch_up
        )
        for message_type, handler in self._rollouts.list_handlers():
            self._mesh.subscribe(message_type, handler)

    def _build_requests(self) -> None:
        config = self._settings
        bounds = config.bounds
        now = clocks.read_monotonic()
        self._stalls = stalls.StallDetector()
        self._latencies = latency.LatencyEstimates()
        self._limits = statedlimits.StatedLimits()
        self._brittle = brittleness.Brittleness()
        self._candidates = candidates.Candidates(config.host, self._mesh)
        self._rests = rests.Rests()
        self._closed = closedrunners.ClosedRunners(
            self._directory, self._rests
        )
        units = allowancebuilding.build_allowances(
            config,
            self.incarnation,
            self._mesh,
            self._candidates,
            lambda: self._catalogue,
            lambda: self._is_stopping,
            self._rng,
            now,
        )
        self._allowances = units.local
        self._shared_allowances = units.shared
        self._retry_budget = retrybudget.RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        placing = placebuilding.PlaceBuilder(
            config,
            self.incarnation,
            self._mesh,
            self._candidates,
            self._directory,
            self._latencies,
            self._health,
            self._limits,
            self._brittle,
            self._closed,
            self._rng,
            lambda: self._catalogue,
        )
        self._scheduler = placing.scheduler
        self._dispatcher = placing.build_dispatcher(
            lambda: self._is_stopping,
            lambda: records.has_all_topics(self._replica.positions),
        )
        self._dispatcher.subscribe(self._mesh)
        self._reports = reports.Reports(
            config.host,
            self._mesh,
            self._candidates,
            self._directory,
            self._limits,
            self._brittle,
            self._rng,
        )
        self._streams = streamorigins.StreamOrigins(
            config,
            self.incarnation,
            self._mesh,
            self._directory,
            self._telemetry,
            self._rng,
        )
        self._mesh.on_new_process = self._greet
        self._crash_detector = crashes.CrashDetector(
            self._directory,
            lambda now: self._freshness.is_current(dialect.RUNNERS, now),
            self._reports.crashes.record_crash,
            self._telemetry,
            self._relaying.paths,
            self._brittle.is_brittle,
            self._reports.parts.record_crash,
        )
        states = hoststates.HostStateBuilder(
            config,
            self.incarnation,
            self._replica,
            self._freshness,
            self._allowances,
            self._scheduler,
            self._mesh,
            lambda now: storereader.are_all_answered(self._readers, now),
            lambda: self._is_stopping,
        )
        self._mesh.make_state = states.make_state
        self._mesh.make_change = states.make_change
        crash_guard = self._reports.make_guard(
            self._crash_detector, self._telemetry
        )
        self._relaying.build_server(
            relayserver.Tools(
                http_dialect=self._dialect,
                starts=startindex.StartIndex(self._directory),
                find_client=self._clients.find,
                links=self._relaying.links,
                rests=self._rests,
                crash_guard=crash_guard,
                is_stopping=lambda: self._is_stopping,
                note=self._dispatcher.note_kind,
                on_unreadable=self._exchange.on_unreadable,
            )
        )
        shared = sharedstate.SharedState(
            http_dialect=self._dialect,
            allowances=self._allowances,
            shared_allowances=self._shared_allowances,
            retry_budget=self._retry_budget,
            dispatcher=self._dispatcher,
            directory=self._directory,
            latencies=self._latencies,
            telemetry=self._telemetry,
            find_catalogue=lambda: self._catalogue,
            paths=self._relaying.paths,
            count_hosts=self._mesh.count_hosts,
            contention=placing.knowledge.contention,
            held_answers=self._relaying.held_answers,
            is_stopping=lambda: self._is_stopping,
            on_change=self._announce_change,
            on_malformed_answer=functools.partial(
                self._input_errors.report, inputerrors.Source.ANSWER
            ),
            routestats=routestats.RouteStats(),
            departure_reports=self._reports.departures,
            rests=self._rests,
            closed=self._closed,
            limits=self._limits,
            limit_reports=self._reports.limits,
            brittle=self._brittle,
            brittle_reports=self._reports.brittle,
            participant=self._rollouts.participant,
            crash_guard=crash_guard,
            resumption=self._streams.resumption,
        )
        self._listener = listener.Listener(
            shared,
            config.readiness,
            config.metrics,
            self.is_ready,
            self._telemetry,
            placing.build_page(shared),
        )
        self._server = asgi.Server(
            self._listener,
            config.callers,
            internal=(config.readiness, config.metrics),
            descriptors=config.descriptors,
            on_refusal=self._listener.count_refusal,
        )
        self._telemetry.gauges = gauges.make_gauges(
            self._listener,
            self._mesh,
            self._relaying,
            self._reports,
            self._rollouts,
            self._replica,
            self._directory,
            self._rests,
            self._stalls,
            self._streams.exchange,
            placing,
            units.backlogs,
        )

    # Running.

    async def run(self) -> None:
        """Run until a graceful shutdown has completed."""
        async with supervisor.Supervisor('gateway') as tree:
            tree.start('callers', self._server.serve)
            for reader, topic in zip(
                self._readers, records.TOPICS, strict=True
            ):
                tree.start(topic, reader.run)
            tree.start('mesh', self._mesh.run)
            tree.start('records', lambda: self._exchange.run(self._socket))
            tree.start('catch-up', self._catch_up.run)
            tree.start(
                'join',
                lambda: joining.join_hosts(
                    self._publisher,
                    self._store,
                    self._mesh,
                    self._allowances,
                    self._input_errors,
                ),
            )
            tree.start('pump', self._pump_forever)
            tree.start('tidy', self._clean_up_forever)
            tree.start('restarts', self._clients.run)
            tree.start('relays', self._relaying.serve)
            tree.start('links', self._relaying.paths.run)
            tree.start('crashes', self._crash_detector.run)
            if self._settings.has_rollouts:
                tree.start('rollouts', self._rollouts.run)
            tree.start('signals', self._watch_signals)
            tree.start('settings', self._settings_watch.run)
            eliot.log_message('gateway:started', incarnation=self.incarnation)
            await self._stop_requested.wait()
            await self._drain()
        await self._clients.close()
        eliot.log_message('gateway:stopped')

    def is_ready(self) -> bool:
        """Tell whether the load balancer may send callers here."""
        if self._is_stopping or self._catalogue is None:
            return False
        if not self.knows_hosts():
            # It may not grant units of any allowance yet.
            return False
        return records.has_all_topics(self._replica.positions)

    def knows_hosts(self) -> bool:
        """Tell whether this host knows how many others there are."""
        return self._allowances.knows_hosts(clocks.read_monotonic())

    def stop(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""
        self._stop_requested.set()

    def count_peers(self) -> int:
        """Return the number of known peers."""
        return len(self._mesh.peers)

    @property
    def configuration_version(self) -> ids.Version | None:
        """Return the version in force; None before the first one."""
        return None if self._catalogue is None else self._catalogue.version

    def list_open_runners(self) -> list[ids.Runner]:
        """Return the runners that accept new requests."""
        return [
            ids.parse_runner(entry.start)
            for entry in self._directory.list_all()
            if not entry.is_draining
        ]

    # Records.

    def _handle_change(self, now: float) -> None:
        self._scheduler.schedule_all(now)
        if self._mesh.has_multiple_groups():
            # Few hosts read the store; the others depend on peers' messages.
            self._mesh.request_update()

    def _handle_new_era(self, topic: dialect.Topic, now: float) -> None:
        if topic == dialect.RUNNERS:
            self._directory.note_era(now)
            self._publisher.request()
        self._rollouts.note_era()
        self._mesh.request_update()

    def _apply_catalogue(self, found: catalogue.Catalogue) -> None:
        self._catalogue = found
        self._server.set_limits(found.limits)

    # States of hosts.

    def _announce_change(self) -> None:
        # In a large system, coordinators get messages of their own, and other
        # hosts learn of changes from the next heartbeat.
        if not self._mesh.has_multiple_groups():
            self._mesh.request_update()

    def _handle_state(self, state: messages.HostState, now: float) -> None:
        self._allowances.apply_state(state, now)
        self._shared_allowances.apply_usage(
            state.incarnation, state.usage, state.hosts == 0, now
        )
        if self._mesh.partition.is_near(state.host):
            self._freshness.update_near(
                state.host,
                state.answer_ages,
                state.positions,
                state.reads_store,
                now,
            )
        else:
            self._freshness.update_far(
                state.host, state.answer_ages, state.positions, now
            )
        if records.is_ahead(state.positions, self._replica.positions):
            self._catch_up.notify_ahead()
        if now - self._pumped_at >= MIN_PEER_PUMP_INTERVAL_S:
            self._pump(now)

    def _forget_peer(self, state: messages.HostState) -> None:
        self._allowances.forget(state.incarnation)
        self._shared_allowances.forget(state.incarnation)
        self._freshness.forget(state.host)

    def _greet(self, host: ids.Host, now: float) -> None:
        self._reports.greet(host, now)
        self._restatements.greet(host)
        self._streams.exchange.greet(host, now)

    # Runners.

    def _end_earlier_starts(self, later: ids.RunnerStart) -> None:
        for start, count in self._clients.retire_earlier(later).items():
            self._scheduler.held_slots.hand_over(start, later, count)

    async def _pump_forever(self) -> None:
        while True:
            due = clocks.read_monotonic() + PUMP_INTERVAL_S
            await anyio.sleep(PUMP_INTERVAL_S)
            now = clocks.read_monotonic()
            self._stalls.check(due, now)
            self._pump(now)
            self._dispatcher.tick(now)
            self._relaying.paths.tick(now)
            self._shared_allowances.tick(now)
            self._reports.tick(now)
            self._rollouts.tick(now)

    def _pump(self, now: float) -> None:
        self._pumped_at = now
        self._directory.expire(now)
        self._scheduler.schedule_all(now)

    async def _clean_up_forever(self) -> None:
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            now = clocks.read_monotonic()
            entries = self._directory.list_all()
            known = {entry.start for entry in entries}
            self._rests.expire(now)
            self._streams.tidy(now)
            self._relaying.retain_only(entries)
            self._health.retain_only(known)
            self._limits.retain_only(known)
            self._brittle.retain_only(known)
            self._crash_detector.retain_only(known)
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
                    self._settings_watch.read()
                    continue
                self.stop()

    def _apply_settings(self, found: settings.GatewaySettings) -> None:
        is_changed = found != self._settings
        port = self._settings.state.port
        for seed in found.seeds:
            self._mesh.probe_address(addresses.Address(seed.host, port))
        bounds = found.bounds
        self._directory.set_drain_time(bounds.drain_s)
        self._freshness.set_bounds(settings.find_topic_bounds(bounds))
        self._rollouts.set_bounds(settings.find_exposure_bounds(bounds))
        self._allowances.set_slack(bounds.quota_slack)
        self._shared_allowances.set_slack(bounds.quota_slack)
        self._retry_budget.set_bounds(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        # The addresses stay as they are, since the process is bound to them.
        self._settings = dataclasses.replace(
            self._settings, seeds=found.seeds, bounds=bounds
        )
        eliot.log_message('gateway:reloaded', is_changed=is_changed)

    async def _drain(self) -> None:
        grace_s = self._settings.bounds.stop_grace_s
        plan = shutdown.make_plan(grace_s, clocks.read_monotonic())
        self._is_stopping = True
        self._mesh.request_update()
        self._streams.exchange.hand_over(clocks.read_monotonic())
        await draining.drain(
            self._server, self._listener, self._relaying.server, plan
        )
