"""Settings of a gateway host, as read by an adapter.

Addresses and bounds come from the platform; values that this project chooses
are named constants in the modules that use them.
"""

import dataclasses
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import directory

__all__ = [
    'Bounds',
    'GatewaySettings',
    'find_exposure_bounds',
    'find_topic_bounds',
]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform's operators set for all hosts."""

    # Seconds between SIGTERM and SIGKILL.
    stop_grace_s: float
    # Seconds after which a draining runner gets no more requests.
    drain_s: float
    # Seconds within which every host applies a new configuration.
    apply_s: float
    # Retry budget of a service, for all hosts together: ``retry_slack``
    # retries in each window, and beyond them a share of the requests.
    retry_share: float
    retry_slack: float
    retry_window_s: float
    # Units that all hosts together may grant beyond an allowance.
    quota_slack: float
    # Requests that a new release of a service may get while it may still turn
    # out to be bad, for all hosts together: a share of the service's, and
    # ``exposure_slack`` beyond it.
    exposure_share: float = 0.0
    exposure_slack: float = 0.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """One host's settings."""

    host: ids.Host
    domain: ids.Domain
    # Addresses for callers, and for readiness checks of the load balancer.
    callers: addresses.Address
    readiness: addresses.Address
    # Addresses at which peers fetch records (TCP) and send states (UDP).
    peers: addresses.Address
    state: addresses.Address
    # Address that serves the metrics.
    metrics: addresses.Address
    # Hosts to contact at the start; some may be stale or down.
    seeds: tuple[addresses.Address, ...]
    store: addresses.Address
    bounds: Bounds
    # Operators order which releases of a service may get requests.
    has_rollouts: bool = False
    # Interval at which runners renew their registrations, in seconds.
    heartbeat_s: float = directory.DEFAULT_HEARTBEAT_S
    # Callers compete for the runners; see ``runners.contention``.
    has_contention: bool = False
    # Memory of this host in bytes; None if not stated.
    memory_bytes: int | None = None
    # Descriptors that the process may open; None if not stated.
    descriptors: int | None = None
    # The process holds nothing but this host. No part of the settings file.
    has_own_process: bool = dataclasses.field(default=False, compare=False)
    # Figures that are treated as not stated, and why.
    ignored: tuple[str, ...] = ()


def find_topic_bounds(bounds: Bounds) -> dict[dialect.Topic, float]:
    """Return the seconds within which changes of each topic take effect."""
    return {dialect.CONFIG: bounds.apply_s, dialect.RUNNERS: bounds.drain_s}


def find_exposure_bounds(bounds: Bounds) -> rolloutplan.Bounds:
    """Return the bound on the requests that a bad release may get."""
    return rolloutplan.Bounds(bounds.exposure_share, bounds.exposure_slack)
