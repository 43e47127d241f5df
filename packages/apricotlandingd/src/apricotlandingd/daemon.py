"""Builds the components of the daemon, connects them and runs their tasks.

    daemon
    ├── callers      HTTP listener, one task for each connection
    ├── operators    HTTP listener
    ├── log          reads the platform's log
    ├── peers        listener, and one task for each peer that it dials
    ├── owners       acquires, renews and releases shards
    ├── claim desk   answers claims for the shards that it owns
    ├── pool desk    schedules the queues of the pools that it owns
    ├── claims, pools, runs   the requests that it runs
    ├── reports      reports the claims that it holds to new owners
    ├── fetch        fetches newer bundles from peers
    ├── restate      appends state again before the log's retention ends
    └── metrics      sends metrics

A graceful stop (SIGTERM, or ``apricotctl drain``) has these steps: /readyz
reports not ready to the load balancer; shards are handed over; after a grace
period new requests are rejected; open requests end; the process exits. A
second signal, or ``stop_limit_s`` of the settings, cancels the remaining
requests, each with the outcome for its state.
"""

import functools
import random
import signal
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import crashreports
from apricotlanding import hostlist
from apricotlanding import ids
from apricotlanding import metrics
from apricotlanding import platformlog
from apricotlanding import quarantine
from apricotlanding import refusals
from apricotlanding import shutdown
from apricotlanding import supervisor
from apricotlanding import tracing
from apricotlanding import wire
from apricotlandingd.configuration import bundlestore
from apricotlandingd.configuration import logfollower
from apricotlandingd.configuration import restating
from apricotlandingd.operators import operatorapi
from apricotlandingd.ownership import claims
from apricotlandingd.ownership import leases
from apricotlandingd.ownership import owners
from apricotlandingd.ownership import shardview
from apricotlandingd.peering import peerlink
from apricotlandingd.peering import peers
from apricotlandingd.pools import poolclient
from apricotlandingd.pools import poolservice
from apricotlandingd.requests import answers
from apricotlandingd.requests import attaching
from apricotlandingd.requests import crashguard
from apricotlandingd.requests import entry
from apricotlandingd.requests import relay
from apricotlandingd.requests import runs
from apricotlandingd import settings

__all__ = ['Daemon']

CALL_TIMEOUT_S = 1.0
REPORT_INTERVAL_S = 1.0
# Timeout for callers to read their final answers before the exit. A caller
# that needs longer for 64 KB is slower than any link in use.
CLOSE_TIMEOUT_S = 2.0


@ty.final
class Daemon:
    """One daemon process."""

    def __init__(self, config: settings.Settings) -> None:
        """Build all components and bind the HTTP addresses.

        Raises OSError if an address cannot be bound.
        """
        self.settings = config
        self.host = ids.Host(config.host)
        # Bound before the incarnation is named, because its name implies
        # that no other process listens on this address. See ``ids``.
        self._peer_socket = asgi.bind_address(config.peers)
        self.incarnation = ids.make_incarnation(
            self.host,
            f'{clocks.read_boot_id()} {config.peers}',
            clocks.read_monotonic(),
        )
        self.metrics = metrics.Metrics(config.statsd)
        self.tracer, self._close_tracer = tracing.make_tracer(
            config.host, config.trace_file
        )
        self.is_draining = False
        self._drain_requested = anyio.Event()
        # A peer that has a newer bundle than this daemon.
        self._newer_bundle_peer: ids.Incarnation | None = None
        self._newer_bundle_seen = anyio.Event()
        self._build_shared_state()
        self._build_requests()
        self._connect_components()
        self._callers = asgi.Server(
            self.entry, config.callers, on_refusal=self._count_refusal
        )
        self._operators = asgi.Server(
            self.operators,
            internal=(config.operators_listen,),
            on_refusal=self._count_refusal,
        )

    def _count_refusal(self, refusal: refusals.Refusal) -> None:
        self.metrics.count(f'connection_refused.{refusal.value}')

    def _build_shared_state(self) -> None:
        config = self.settings
        self.log = platformlog.PlatformLog(config.log)
        self.follower = logfollower.LogFollower(self.log, self.incarnation)
        self.view = shardview.ShardView()
        self.bundles = bundlestore.BundleStore(config.read_operator_keys())
        self.router = peerlink.Router()
        self.host_list = hostlist.HostList(config.host_list)
        self.peers = peers.Peers(
            self.host,
            self.incarnation,
            ids.Domain(config.domain),
            config.peer_key.encode(),
            self.host_list,
            self.router,
        )
        self.owners = owners.OwnershipManager(
            self.incarnation,
            self.follower,
            self.view,
            leases.PromiseTable(),
            self.peers,
        )
        self.restater = restating.Restater(
            config.log_retention_s,
            self.follower,
            self.view,
            self.bundles,
            self.peers,
        )

    def _build_requests(self) -> None:
        config = self.settings
        self.store = answers.AnswerStore(config.kept_answer_bytes)
        self.claim_server = claims.ClaimServer(self.peers)
        self.claim_client = claims.ClaimClient(
            self.incarnation,
            self.view,
            self.peers,
            self.claim_server,
            self.store,
        )
        self.pool_scheduler = poolservice.PoolScheduler(
            self.peers, self.metrics
        )
        self.pool_client = poolclient.PoolClient(
            self.incarnation,
            self.view,
            self._push,
            self._call,
            functools.partial(logfollower.wait_for_change, self.follower),
        )
        self.attacher = attaching.Attacher(
            self.store, self.claim_client, self.peers
        )
        self.relay = relay.Relay()
        self.crash_reports = crashreports.CrashReports(
            quarantine.Quarantine(self.host),
            crashguard.PeerHosts(self.peers),
            self._list_trial_hosts,
            self.host,
            random.Random(),
            forwards=True,
        )
        self.crash_guard = crashguard.CrashGuard(
            self.crash_reports, self.peers, self.metrics
        )
        self.runs = runs.Runs(
            self.incarnation,
            self.store,
            self.claim_client,
            self.pool_client,
            self.attacher,
            self.relay,
            self.crash_guard,
            self.metrics,
            self.tracer,
        )
        self.entry = entry.Entry(
            self.runs,
            self.store,
            self.tracer,
            config.open_requests,
            config.open_body_bytes,
        )
        self.operators = operatorapi.OperatorApi(
            config.operator_token_sha256,
            self.bundles,
            self.follower,
            self.claim_client,
            self.peers,
            self.describe,
            self.start_drain,
        )

    def _connect_components(self) -> None:
        self.follower.add_observer(self.bundles)
        self.follower.add_observer(self.view)
        self.follower.add_observer(self.restater)
        get_bundle = self.bundles.get
        self.owners.find_bundle = get_bundle
        self.claim_server.find_bundle = get_bundle
        self.pool_scheduler.find_bundle = get_bundle
        self.runs.find_bundle = get_bundle
        self.entry.find_bundle = get_bundle
        self.entry.is_ready = self.is_ready
        self.owners.may_take = self._may_own_shards
        self.owners.roles = {
            owners.CLAIMS_KIND: self.claim_server,
            owners.POOL_KIND: self.pool_scheduler,
        }
        self.pool_scheduler.deliver = self._push
        self.bundles.on_change.append(self.pool_scheduler.update_bundle)
        self.peers.make_ping = self._make_ping
        self.peers.on_pong = self._handle_pong
        self.peers.on_lost = self._handle_lost_connection
        self.peers.find_needed = self.owners.find_needed_hosts
        self._register_handlers()

    def _register_handlers(self) -> None:
        router = self.router
        router.sync_handlers |= {
            wire.Ping: self._answer_ping,
            wire.PromiseRequest: self.owners.answer_promise,
            wire.ClaimEnd: self.claim_server.answer_end,
            wire.ClaimReport: self.claim_server.answer_report,
            wire.ClaimQuery: self.claim_server.answer_query,
            wire.Register: self.pool_scheduler.answer_register,
            wire.FetchState: self._answer_fetch,
            wire.Drain: self._answer_drain,
        }
        router.async_handlers[wire.ClaimRequest] = (
            self.claim_server.answer_claim
        )
        router.stream_handlers[wire.Attach] = self.attacher.serve
        router.push_handlers |= {
            wire.Register: self.pool_scheduler.handle_register,
            wire.Started: self.pool_scheduler.handle_started,
            wire.Finished: self.pool_scheduler.handle_finished,
            wire.Withdraw: self.pool_scheduler.handle_withdraw,
            wire.Grant: self.pool_client.handle_grant,
            wire.Shed: self.pool_client.handle_shed,
            wire.Withdrawn: self.pool_client.handle_withdrawn,
            wire.CrashReport: self.crash_guard.handle_report,
        }

    # Tasks.

    async def run(self) -> None:
        """Run until a graceful stop has completed."""
        self._peer_socket.setblocking(False)
        listener = await anyio.abc.SocketListener.from_socket(
            self._peer_socket
        )
        async with supervisor.Supervisor('daemon') as tree:
            tree.start('log', self.follower.follow)
            tree.start('peers', lambda: self.peers.run(listener))
            tree.start('owners', self.owners.run)
            tree.start('claim desk', self.claim_server.run)
            tree.start('pool desk', self.pool_scheduler.run)
            tree.start('claims', self.claim_client.run)
            tree.start('pools', self._run_pools)
            tree.start('runs', self.runs.run)
            tree.start('crashes', lambda: self.crash_guard.run(anyio.sleep))
            tree.start('reports', self._report_forever)
            tree.start('fetch', self._fetch_forever)
            tree.start('restate', self.restater.run)
            tree.start('metrics', self.metrics.flush_forever)
            tree.start('operators', self._operators.serve)
            tree.start('callers', self._callers.serve)
            tree.start('signals', self._watch_signals)
            eliot.log_message('daemon:started', incarnation=self.incarnation)
            await self._drain_requested.wait()
            await self._drain()
        await self._close()

    def is_ready(self) -> bool:
        """Tell whether the load balancer may send requests here."""
        if self.is_draining or self.bundles.bundle is None:
            return False
        return self.view.entries != {}

    def start_drain(self) -> None:
        """Begin a graceful stop."""
        self._drain_requested.set()

    def describe(self) -> dict[str, ty.Any]:
        """Return the daemon's state for operators."""
        return {
            'host': self.host,
            'incarnation': self.incarnation,
            'draining': self.is_draining,
            'bundle': self.bundles.version,
            'log_next': self.follower.next,
            'clock_offset_s': round(self.peers.find_clock_offset(), 3),
            'open_requests': self.runs.count(),
            'claims': self.claim_server.count_claims(),
            'peers': sorted(
                str(item.host) for item in self.peers.list_dialed()
            ),
            'shards': {
                str(shard): {
                    'epoch': item.epoch,
                    'owner': ids.parse_host(item.owner),
                    'serving': item.is_serving,
                    'reachable': item.owner == self.incarnation
                    or self.peers.find(item.owner) is not None,
                    'successor': None
                    if item.successor is None
                    else ids.parse_host(item.successor),
                }
                for shard, item in sorted(self.view.entries.items())
            },
            'pools': self.pool_scheduler.describe(),
            'counts': self.metrics.counts,
        }

    def _list_trial_hosts(self, name: str, count: int) -> list[ids.Host]:
        return peers.rank_hosts(name, self.peers.list_live())[:count]

    async def _run_pools(self) -> None:
        await self.pool_client.run(self._list_pools)

    def _list_pools(self) -> list[ids.Pool]:
        config = self.bundles.bundle
        return [] if config is None else list(config.pools)

    async def _report_forever(self) -> None:
        while True:
            for shard in list(self.view.entries):
                kind, _ = owners.parse_shard(shard)
                if kind == owners.CLAIMS_KIND:
                    self.claim_client.report_claims(shard)
            await logfollower.wait_for_change(self.follower, REPORT_INTERVAL_S)

    # Shutdown.

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as received:
            async for _ in received:
                if not self._drain_requested.is_set():
                    self.start_drain()
                    continue
                eliot.log_message('daemon:second-signal')
                self.runs.stop_all()

    async def _drain(self) -> None:
        eliot.log_message('daemon:drain', open=self.runs.count())
        self.is_draining = True
        async with anyio.create_task_group() as group:
            group.start_soon(self._hand_over)
            await anyio.sleep(self.settings.drain_grace_s)
            self.entry.is_admitting = False
            with anyio.move_on_after(self.settings.stop_limit_s) as limit:
                await self.runs.wait_until_idle()
            if limit.cancelled_caught:
                self.runs.stop_all()
                await self.runs.wait_until_idle()
        # No request is open; send what callers have not read yet.
        async with anyio.create_task_group() as group:
            for listener in (self._callers, self._operators):
                group.start_soon(
                    shutdown.close_listener, listener, CLOSE_TIMEOUT_S
                )
        eliot.log_message('daemon:stopped')

    async def _hand_over(self) -> None:
        with anyio.move_on_after(self.settings.stop_limit_s):
            await self.owners.drain()

    async def _close(self) -> None:
        await self.relay.close()
        await self.log.close()
        await self.host_list.close()
        self._close_tracer()

    # Calls between the components.

    def _may_own_shards(self) -> bool:
        config = self.bundles.bundle
        if self.is_draining or config is None:
            return False
        offset = abs(self.peers.find_clock_offset())
        return offset <= config.limits.clock_skew_s

    def _push(self, receiver: ids.Incarnation, message: object) -> None:
        if receiver == self.incarnation:
            self.router.push_handlers[type(message)](message, self.incarnation)
            return
        connection = self.peers.find(receiver)
        if connection is not None:
            connection.push(message)

    async def _call(
        self, receiver: ids.Incarnation, message: object
    ) -> object:
        if receiver == self.incarnation:
            return self.router.sync_handlers[type(message)](
                message, self.incarnation
            )
        connection = self.peers.find(receiver)
        if connection is None:
            return None
        try:
            return await connection.call(message, CALL_TIMEOUT_S)
        except peerlink.PeerLost:
            return None

    def _handle_lost_connection(self, incarnation: ids.Incarnation) -> None:
        self.pool_client.mark_unregistered(incarnation)
        if self.peers.find(incarnation) is None:
            self.pool_scheduler.drop_sender(incarnation)

    def _make_ping(self) -> wire.Ping:
        return wire.Ping(
            clocks.read_wall(), self.bundles.version, self.follower.next
        )

    def _answer_ping(
        self, ping: wire.Ping, sender: ids.Incarnation
    ) -> wire.Pong:
        self._check_peer_version(ping.version, sender)
        return wire.Pong(
            clocks.read_wall(),
            self.bundles.version,
            self.follower.next,
            self.is_draining,
        )

    def _handle_pong(
        self, pong: wire.Pong, connection: peerlink.Connection
    ) -> None:
        self._check_peer_version(pong.version, connection.incarnation)

    def _check_peer_version(
        self, version: ids.Version, peer: ids.Incarnation
    ) -> None:
        # If the peer has a newer bundle, the log is unreachable from here or
        # slow. An accepted bundle must not wait for it, so it is fetched.
        if version > self.bundles.version:
            self._newer_bundle_peer = peer
            self._newer_bundle_seen.set()

    async def _fetch_forever(self) -> None:
        while True:
            await self._newer_bundle_seen.wait()
            self._newer_bundle_seen = anyio.Event()
            assert self._newer_bundle_peer is not None
            reply = await self._call(
                self._newer_bundle_peer, wire.FetchState(self.bundles.version)
            )
            if isinstance(reply, wire.StateReply) and reply.bundle:
                self.bundles.adopt(reply.bundle)

    def _answer_fetch(
        self, message: wire.FetchState, sender: ids.Incarnation
    ) -> wire.StateReply:
        record = self.bundles.record
        if record is not None and record.version <= message.version:
            record = None
        return wire.StateReply(record, self.view.describe())

    def _answer_drain(
        self, message: wire.Drain, sender: ids.Incarnation
    ) -> wire.Ack:
        self.start_drain()
        return wire.Ack()
