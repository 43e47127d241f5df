"""Choice of the host through which a request goes.

Hosts that gave a reservation for a service a short time ago come first, so
that a request seldom waits for one that is cut itself. Among them, one by
which no more bytes cross between failure domains than on the direct way is
preferred, unless it carries clearly more than another one.
"""

import collections.abc
import dataclasses
import random
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.relays import relayframes

__all__ = ['Candidate', 'Peers', 'RelayChoice']

# Seconds for which a host counts as proven after a reservation.
PROVEN_MAX_AGE_S = 2.0
# Calls that one domain boundary is worth.
CROSSING_CALLS = 4
# Seconds for which a host is not asked, by the reason that it gave.
BACKOFFS_S: ty.Final = {
    relayframes.DeclineReason.CUT: 1.0,
    relayframes.DeclineReason.BUSY: 0.2,
    relayframes.DeclineReason.STOPPING: 10.0,
}
# Seconds for which a host that cannot be reached is not asked, doubled each
# time up to the maximum: it may run a build without relays.
UNREACHABLE_BACKOFF_S = 1.0
MAX_UNREACHABLE_BACKOFF_S = 8.0
# The same for a host that has given reservations.
PROVEN_BACKOFF_S = 0.2
# Calls by which a proven host may carry more than one that is not proven,
# which may turn out to be cut too.
UNPROVEN_CALLS = 16


class Peers(ty.Protocol):
    """The other hosts."""

    def list_heard_hosts(
        self,
    ) -> collections.abc.Mapping[ids.Host, addresses.Address]:
        """Return the hosts that are heard and not stopping."""


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A host that may be asked, and where it takes calls."""

    host: ids.Host
    address: addresses.Address


@ty.final
@dataclasses.dataclass(slots=True)
class _Record:
    # When it last gave a reservation for each service.
    proven: dict[ids.Pool, float] = dataclasses.field(default_factory=dict)
    avoided_until: float = 0.0
    failures: int = 0
    # Calls of this host that it carries, and all that it reported.
    active: int = 0
    load: int = 0
    domain: ids.Domain | None = None


@ty.final
class RelayChoice:
    """What this host knows of the others as relay hosts."""

    def __init__(
        self, peers: Peers, domain: ids.Domain, rng: random.Random
    ) -> None:
        """Choose for a host in a failure domain."""
        self._peers = peers
        self._domain = domain
        self._rng = rng
        self._records: dict[ids.Host, _Record] = {}

    def rank(
        self, service: ids.Pool, runner_domain: ids.Domain, now: float
    ) -> list[Candidate]:
        """Return the hosts that may be asked, the best first."""
        found: list[tuple[float, Candidate]] = []
        for host, address in self._peers.list_heard_hosts().items():
            record = self._records.get(host)
            candidate = Candidate(host, address)
            if record is None:
                cost = UNPROVEN_CALLS + self._rng.random()
                found.append((cost, candidate))
                continue
            if now < record.avoided_until:
                continue
            cost = self._rng.random()
            if not self._is_proven(record, service, now):
                cost += UNPROVEN_CALLS
            else:
                cost += max(record.active, record.load)
                cost += CROSSING_CALLS * self._count_crossings(
                    record, runner_domain
                )
            found.append((cost, candidate))
        found.sort(key=_find_cost)
        return [candidate for _, candidate in found]

    def count_proven(self, service: ids.Pool, now: float) -> int:
        """Return the hosts that gave a reservation a short time ago."""
        return sum(
            self._is_proven(record, service, now)
            for record in self._records.values()
        )

    def is_proven(self, host: ids.Host, service: ids.Pool, now: float) -> bool:
        """Tell whether a host gave a reservation a short time ago."""
        record = self._records.get(host)
        return record is not None and self._is_proven(record, service, now)

    def note_reserved(
        self,
        host: ids.Host,
        service: ids.Pool,
        load: int,
        domain: ids.Domain | None,
        now: float,
    ) -> None:
        """Note a reservation, and the calls that the host carries."""
        record = self._find(host)
        record.proven[service] = now
        record.load = load
        record.domain = domain
        record.failures = 0

    def note_declined(
        self,
        host: ids.Host,
        service: ids.Pool,
        reason: relayframes.DeclineReason,
        now: float,
    ) -> None:
        """Note that a host took no call."""
        record = self._find(host)
        backoff_s = BACKOFFS_S.get(reason)
        if backoff_s is not None:
            record.proven.pop(service, None)
            record.avoided_until = now + backoff_s

    def note_unreachable(self, host: ids.Host, now: float) -> None:
        """Note that a host gave no reply, or was lost during a call."""
        record = self._find(host)
        if record.proven:
            # It relays calls, and may only have been short of time.
            record.proven.clear()
            record.avoided_until = now + PROVEN_BACKOFF_S
            return
        record.failures += 1
        record.avoided_until = now + min(
            MAX_UNREACHABLE_BACKOFF_S,
            UNREACHABLE_BACKOFF_S * 2 ** (record.failures - 1),
        )

    def note_active(self, host: ids.Host, change: int) -> None:
        """Count a call that begins (1) or ends (-1)."""
        record = self._find(host)
        record.active += change

    def retain_only(self, hosts: collections.abc.Iterable[ids.Host]) -> None:
        """Forget all other hosts that carry nothing."""
        known = set(hosts)
        for host, record in list(self._records.items()):
            if host not in known and not record.active:
                del self._records[host]

    def _find(self, host: ids.Host) -> _Record:
        return self._records.setdefault(host, _Record())

    def _is_proven(
        self, record: _Record, service: ids.Pool, now: float
    ) -> bool:
        proven_at = record.proven.get(service)
        return proven_at is not None and now - proven_at < PROVEN_MAX_AGE_S

    def _count_crossings(
        self, record: _Record, runner_domain: ids.Domain
    ) -> int:
        # Beyond those of the direct way.
        direct = self._domain != runner_domain
        return (
            (self._domain != record.domain)
            + (record.domain != runner_domain)
            - direct
        )


def _find_cost(item: tuple[float, Candidate]) -> float:
    return item[0]
