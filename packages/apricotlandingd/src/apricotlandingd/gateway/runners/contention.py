"""Where capacity is treated as contended.

The settings of a deployment may say so for all services. Besides, the runners
of a service may state how slow their machines are, which calls for the same
treatment of this service. Elsewhere nothing changes.
"""

import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.runners import slowness

__all__ = ['Contention']


@ty.final
class Contention:
    """The services whose capacity is contended."""

    def __init__(
        self, is_configured: bool, stated: slowness.StatedSlowness
    ) -> None:
        """Include all services if the settings say so."""
        self.is_configured = is_configured
        self._stated = stated
        # Pools that were found to be contended, and their services.
        self._pools: set[ids.Pool] = set()
        self._services: set[ids.Pool] = set()

    @property
    def changes(self) -> int:
        """Return a number that changes with the contended services."""
        return self._stated.count_services()

    def is_on(self, service: ids.Pool) -> bool:
        """Tell whether a service's capacity is contended."""
        if not self.is_configured and not self._stated.is_stated(service):
            return False
        if service not in self._pools:
            self._note_first(service)
        return True

    def count(self) -> int:
        """Return the number of services treated as contended so far."""
        return len(self._services)

    def _note_first(self, pool: ids.Pool) -> None:
        self._pools.add(pool)
        service = ids.parse_service(pool)
        if service in self._services:
            return
        self._services.add(service)
        reason = 'a runner states its slowness'
        if self.is_configured:
            reason = 'the settings name the contract'
        eliot.log_message('gateway:contended', service=service, reason=reason)
