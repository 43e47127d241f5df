"""Builds what a gateway needs to reach runners, by itself or by others."""

import random
import typing as ty


from apricotlanding import acceptance
from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import connectionlimits
from apricotlanding import dialing
from apricotlanding import ids
from apricotlanding import openconnections
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import processmemory
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.relays import relaychoice
from apricotlandingd.gateway.relays import relayhandshake
from apricotlandingd.gateway.relays import relaykeys
from apricotlandingd.gateway.relays import relayserver
from apricotlandingd.gateway.relays import runnerpaths
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import runnerclients
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import ownlinks

__all__ = ['Relaying']


@ty.final
class Relaying:
    """The connections to runners, and the calls between hosts."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        incarnation: ids.Incarnation,
        dial: dialing.Dial,
        peers: mesh.Mesh,
        runners: directory.Directory,
        runner_health: health.Health,
        counts: telemetry.MetricRegistry,
        rng: random.Random,
    ) -> None:
        """Bind the address for calls of other hosts; raises OSError."""
        self._runners = runners
        self._health = runner_health
        self._socket = asgi.bind_address(config.state)
        # Counts what is held for callers, and for calls of other hosts.
        self.held_answers = heldanswers.HeldAnswers(
            config.memory_bytes, config.has_contention
        )
        if config.has_own_process:
            self.held_answers.memory = processmemory.ProcessMemory()
        self.keys = relaykeys.RelayKeys()
        self._most_connections = openconnections.count_for_hosts(
            connectionlimits.count_descriptors(config.descriptors)
        )
        self.links = ownlinks.OwnLinks(self._handle_change)
        self.clients = runnerclients.RunnerClients(dial, self._note_dialed)
        self._identity = relayhandshake.Identity(
            config.host, incarnation, config.domain, self.keys
        )
        hosts = runnerpaths.HeardHosts(peers)
        self.paths = runnerpaths.RunnerPaths(
            config.state.host,
            self._identity,
            self.links,
            runners,
            relaychoice.RelayChoice(hosts, config.domain, rng),
            hosts,
            self.clients.find,
            counts,
            rng,
            dial,
        )
        self.server: relayserver.RelayServer

    def build_server(self, tools: relayserver.Tools) -> None:
        """Build the part that makes calls for other hosts."""
        self.server = relayserver.RelayServer(
            self._identity,
            tools,
            self.held_answers if self.held_answers.is_counting else None,
            self._most_connections,
        )

    async def serve(self) -> None:
        """Make calls for other hosts until cancelled."""
        await acceptance.serve_socket(self._socket, self.server.serve)

    def retain_only(self, entries: list[dialect.RunnerEntry]) -> None:
        """Forget the links to all other runners."""
        self.links.retain_only(
            {entry.service for entry in entries},
            {entry.start for entry in entries},
        )

    def _note_dialed(
        self, entry: dialect.RunnerEntry, is_connected: bool
    ) -> None:
        now = clocks.read_monotonic()
        self.links.note_dialed(entry.service, entry.start, is_connected, now)

    def _handle_change(self, service: ids.Pool, state: ownlinks.State) -> None:
        # There is another way to the runners now, so none is unreachable by
        # what the last one showed.
        if state is ownlinks.State.RELAYED:
            self.paths.handle_change(service)
        if state is ownlinks.State.LOST:
            return
        for entry in self._runners.list_all():
            if entry.service == service:
                self._health.note_new_path(entry.start)
