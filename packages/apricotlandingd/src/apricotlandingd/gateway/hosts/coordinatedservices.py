"""The services whose places are granted by coordinators."""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import contention
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['CoordinatedServices']


@ty.final
class CoordinatedServices:
    """Tells which services' places this host does not grant alone."""

    def __init__(
        self,
        hosts: candidates.Hosts,
        runners: directory.Directory,
        limits: statedlimits.StatedLimits,
        brittle: brittleness.Brittleness,
        contended: contention.Contention,
    ) -> None:
        """Decide by the hosts, and by what is known of the runners."""
        self._hosts = hosts
        self._runners = runners
        self._limits = limits
        self._brittle = brittle
        self._contention = contended

    def includes(self, service: ids.Pool) -> bool:
        """Tell whether coordinators grant the places of a service.

        They do in a large system. A limit holds for all hosts together, and a
        small system's hosts may have very different shares of the requests.
        Hosts that each grant places overfill a runner for moments, which a
        brittle one may not bear. And what contended runners can serve is
        learned from the requests of all hosts.
        """
        if self._hosts.has_multiple_groups():
            return True
        if self._contention.is_on(service):
            return True
        limited = [start for start, _ in self._limits.list_limited()]
        for start in limited + self._brittle.list_brittle():
            entry = self._runners.find(start)
            if entry is not None and entry.pool == service:
                return True
        return False
