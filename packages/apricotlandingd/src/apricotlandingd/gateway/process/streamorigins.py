"""Builds what a host knows of the origins of streams."""

import random
import typing as ty

from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.requests import resumption
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.streams import meshhosts
from apricotlandingd.gateway.streams import originexchange
from apricotlandingd.gateway.streams import releasehistory

__all__ = ['StreamOrigins']


@ty.final
class StreamOrigins:
    """The origins of streams, as this host knows them."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        incarnation: ids.Incarnation,
        hosts: mesh.Mesh,
        runners: directory.Directory,
        counts: telemetry.MetricRegistry,
        rng: random.Random,
    ) -> None:
        """Exchange origins with the hosts of a mesh."""
        self.exchange = originexchange.OriginExchange(
            config.host,
            config.state,
            incarnation,
            meshhosts.MeshHosts(hosts),
        )
        self._history = releasehistory.ReleaseHistory(
            runners, clocks.read_monotonic()
        )
        self.resumption = resumption.Resumption(
            self.exchange, self._history, counts, rng
        )
        for message_type, handler in self.exchange.list_handlers():
            hosts.subscribe(message_type, handler)

    def tidy(self, now: float) -> None:
        """Note the versions that are registered, and drop what is over."""
        self._history.update(now)
        self.exchange.expire(now)
