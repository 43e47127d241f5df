"""Fair sharing in all services that a host coordinates."""

import math
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import shareorders
from apricotlandingd.gateway.decisions import shares
from apricotlandingd.gateway.runners import latency

__all__ = ['ServiceShares']

# Seconds between two searches for organisations to forget.
TIDY_INTERVAL_S = 1.0


@ty.final
class ServiceShares:
    """The shares in all services that a host coordinates."""

    def __init__(
        self,
        latencies: latency.LatencyEstimates,
        find_organisation: shares.FindOrganisation,
        way: str = shareorders.WAY,
    ) -> None:
        """Start without services."""
        self._latencies = latencies
        self._find_organisation = find_organisation
        self._way = way
        self._tidied_at = -math.inf
        self._services: dict[ids.Pool, shares.OrganisationShares] = {}

    def open(self, service: ids.Pool) -> shares.OrganisationShares:
        """Return the shares in a service, which all its subsets use."""
        found = self._services.get(service)
        if found is None:
            found = shares.OrganisationShares(
                service, self._latencies, self._find_organisation, self._way
            )
            self._services[service] = found
        return found

    def tidy(self, services: set[ids.Pool], now: float) -> None:
        """Forget all other services, and idle organisations, at times."""
        if now - self._tidied_at < TIDY_INTERVAL_S:
            return
        self._tidied_at = now
        for service in set(self._services) - services:
            del self._services[service]
        for found in self._services.values():
            found.forget_idle(now)

    def count_active(self, now: float) -> int:
        """Return the number of organisations in all services."""
        return sum(
            len(found.list_active(now)) for found in self._services.values()
        )

    def count_above(self, now: float) -> int:
        """Return the number of those above their share."""
        return sum(
            len(found.list_above(now)) for found in self._services.values()
        )
