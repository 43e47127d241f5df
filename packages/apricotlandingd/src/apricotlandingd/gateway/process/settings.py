"""Settings of a gateway host, as an adapter reads them.

Addresses and bounds come from the platform; what this project chooses itself
stands as named constants where it is used.
"""

import dataclasses
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids

__all__ = ['Bounds', 'GatewaySettings']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the platform's operators hold all hosts to."""

    # Seconds between SIGTERM and SIGKILL.
    stop_grace_s: float
    # Seconds after which a leaving runner gets nothing more.
    drain_s: float
    # Seconds after which a configuration is in force on every host.
    apply_s: float
    # Retries at a service that are free of charge in a window, of all
    # hosts together; further ones are a share of the requests.
    retry_share: float
    retry_slack: float
    retry_window_s: float
    # Units that all hosts together may hand out beyond an allowance.
    quota_slack: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """One host's settings."""

    host: ids.Host
    domain: ids.Domain
    # Where callers connect, and where the balancer asks for readiness.
    callers: addresses.Address
    readiness: addresses.Address
    # Where peers fetch records (TCP) and send their state (UDP).
    peers: addresses.Address
    state: addresses.Address
    # Where counters and histograms are read.
    metrics: addresses.Address
    # Hosts that may help at the start; stale or down at times.
    seeds: tuple[addresses.Address, ...]
    store: addresses.Address
    bounds: Bounds
