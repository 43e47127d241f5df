"""Builds what grants the places at runners to a host's requests."""

import collections.abc
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import brittlelimits
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway.decisions import ratelimits
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import serviceshares
from apricotlandingd.gateway.explanations import explainer
from apricotlandingd.gateway.explanations import page
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import dispatch
from apricotlandingd.gateway.hosts import hostshares
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['PlaceBuilder']


@ty.final
class PlaceBuilder:
    """The scheduler of a host, and what its dispatcher is built from."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        incarnation: ids.Incarnation,
        peers: mesh.Mesh,
        ranked: candidates.Candidates,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        runner_health: health.Health,
        limits: statedlimits.StatedLimits,
        brittle: brittleness.Brittleness,
        closed: closedrunners.ClosedRunners,
        rng: random.Random,
        find_catalogue: collections.abc.Callable[
            [], catalogue.Catalogue | None
        ],
    ) -> None:
        """Build the scheduler; organisations have the weight they are granted.

        Without contended capacity, they are not told apart.
        """
        self.sharing: serviceshares.ServiceShares | None = None
        if config.has_contention:
            self.sharing = serviceshares.ServiceShares(
                latencies,
                lambda name: catalogue.find_organisation(
                    find_catalogue(), name
                ),
            )
        self._find_catalogue = find_catalogue
        self.knowledge = capacity.make_knowledge(
            config.has_contention, self._find_memory
        )
        self._config = config
        self._incarnation = incarnation
        self._mesh = peers
        self._candidates = ranked
        self._runners = runners
        self._latencies = latencies
        self._health = runner_health
        self.limits = limits
        self.brittle = brittle
        self._closed = closed
        self._rng = rng
        self._shares = hostshares.HostShares(config.host, peers, ranked)
        find_share = self._shares.find_equal
        self.scheduler = scheduler.Scheduler(
            runners,
            latencies,
            runner_health,
            peers,
            rng,
            ratelimits.RateLimiter(
                limits,
                find_share,
                brittlelimits.BrittleLimits(brittle, find_share, rng),
            ),
            closed=closed,
            knowledge=self.knowledge,
        )

    def build_dispatcher(
        self,
        is_stopping: collections.abc.Callable[[], bool],
        knows_runners: collections.abc.Callable[[], bool],
    ) -> dispatch.Dispatcher:
        """Build the dispatcher, and the coordinator that it serves."""
        self._coordinator = coordinator.Coordinator(
            self._config.host,
            self._runners,
            self._latencies,
            self._health,
            self._rng,
            is_stopping,
            knows_runners,
            self.scheduler.find_hold_time,
            self.limits,
            self._count_running,
            self.brittle,
            self._shares,
            self.knowledge,
            self.sharing,
        )
        return dispatch.Dispatcher(
            self._config.host,
            self._config.state,
            self._incarnation,
            self.scheduler,
            self._coordinator,
            self._runners,
            self._latencies,
            self._health,
            self._mesh,
            self._candidates,
            self._rng,
            self.limits,
            self._closed,
            self.brittle,
            self.knowledge,
        )

    def build_page(
        self, shared: sharedstate.SharedState
    ) -> page.PlacementPage:
        """Build what explains placements, after the dispatcher."""
        return page.PlacementPage(
            explainer.PlacementExplainer(
                self._config.host,
                self._config.metrics,
                self._config.state,
                shared,
                self.scheduler,
                self._coordinator,
                self.knowledge,
                self._health,
                self._mesh,
            )
        )

    def _find_memory(self, service: ids.Pool) -> int | None:
        config = self._find_catalogue()
        found = None if config is None else config.services.get(service)
        return None if found is None else found.memory_tokens

    def _count_running(self, runner: ids.RunnerStart) -> int:
        own = self.scheduler.held_slots.running[runner]
        if self._mesh.has_multiple_groups():
            # Far hosts do not report what they run.
            return own
        return own + self._mesh.count_running(runner)
