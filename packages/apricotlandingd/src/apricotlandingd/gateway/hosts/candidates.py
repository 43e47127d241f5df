"""Choice of the host that coordinates something for all hosts.

Each name, such as that of a subset of runners, is coordinated by the first
live host in the order of rendezvous hashing, so a host that joins or leaves
moves only the names for which it is first. A host that does not reply is
skipped for a backoff time. It may be unreachable from this host alone, so
other hosts may go on asking it.
"""

import collections.abc
import dataclasses
import typing as ty

import eliot
import xxhash

from apricotlanding import addresses
from apricotlanding import ids

__all__ = [
    'MAX_SILENT_HOSTS',
    'RESEND_INTERVAL_S',
    'REPLY_TIMEOUT_S',
    'Candidates',
    'Hosts',
    'rank_hosts',
]

# Seconds without a reply after which a message is resent, and after which the
# host is skipped.
RESEND_INTERVAL_S = 0.015
REPLY_TIMEOUT_S = 0.09
# Consecutive silent hosts after which a host decides locally.
MAX_SILENT_HOSTS = 2
# Seconds for which a silent host is skipped, doubled each time up to the
# maximum; and for which a host that is stopping is skipped.
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
STOPPING_BACKOFF_S = 10.0
# Seconds for which a host is skipped that was silent and has replied late. It
# coordinates again, and hosts that ask others keep it from using the memory
# of runners; one that is always late costs a request in four 0.09 s.
LATE_BACKOFF_S = 0.3
# Hosts of the order that may be asked for one name.
MAX_RANKED_HOSTS = 8


class Hosts(ty.Protocol):
    """View of the other hosts, and a way to send to them."""

    def has_multiple_groups(self) -> bool:
        """Tell whether there are too many hosts to share all state."""

    @property
    def changes(self) -> int:
        """Return a number that changes with the hosts that may be asked."""

    def list_coordinators(self) -> list[ids.Host]:
        """Return the hosts that may coordinate, this one included."""

    def find_address(self, host: ids.Host) -> addresses.Address | None:
        """Return the address at which another host takes messages."""

    def send(self, message: object, address: addresses.Address) -> None:
        """Send a datagram, which may be lost."""


@ty.final
@dataclasses.dataclass(slots=True)
class _Backoff:
    until: float
    count: int
    # It did not reply; otherwise it reports that it is stopping.
    is_silent: bool = True


@ty.final
class Candidates:
    """The hosts that this one may ask to coordinate."""

    def __init__(self, host: ids.Host, hosts: Hosts) -> None:
        """Start without a host in backoff."""
        self._host = host
        self._hosts = hosts
        self._backoffs: dict[ids.Host, _Backoff] = {}
        # Ranked hosts by name, for the value of ``Hosts.changes`` below.
        self._ranked: dict[str, list[ids.Host]] = {}
        self._ranked_at = -1

    def choose(self, name: str, now: float) -> ids.Host:
        """Return the host to ask; this one if all others are skipped."""
        for host in self._rank(name):
            backoff = self._backoffs.get(host)
            if backoff is None or now >= backoff.until:
                return host
        return self._host

    def list_first(self, name: str, count: int) -> list[ids.Host]:
        """Return the first hosts in the order, also those in backoff."""
        return self._rank(name)[:count]

    def list_ahead(self, name: str) -> list[ids.Host]:
        """Return the hosts before this one, also those in backoff."""
        ranked = self._rank(name)
        if self._host not in ranked:
            return ranked
        return ranked[: ranked.index(self._host)]

    def list_behind(self, name: str, count: int) -> list[ids.Host]:
        """Return the first hosts after this one, also those in backoff."""
        ranked = self._rank(name)
        if self._host not in ranked:
            return []
        first = ranked.index(self._host) + 1
        return ranked[first : first + count]

    def mark_silent(self, host: ids.Host, now: float) -> None:
        """Skip a host that did not reply; longer each time."""
        if host == self._host:
            return
        known = self._backoffs.get(host)
        count = 1 if known is None else known.count + 1
        seconds = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (count - 1))
        eliot.log_message(
            'gateway:coordinator_silent', peer=host, avoided_s=seconds
        )
        self._backoffs[host] = _Backoff(now + seconds, count)

    def mark_late(self, host: ids.Host, now: float) -> None:
        """Skip a silent host for a shorter time, as it has replied late."""
        known = self._backoffs.get(host)
        if known is not None and known.is_silent:
            known.until = min(known.until, now + LATE_BACKOFF_S)

    def mark_stopping(self, host: ids.Host, now: float) -> None:
        """Skip a host that reports that it is stopping; also this one."""
        self._backoffs[host] = _Backoff(
            now + STOPPING_BACKOFF_S, 1, is_silent=False
        )

    def mark_reachable(self, host: ids.Host) -> None:
        """End the backoff of a host that has replied."""
        self._backoffs.pop(host, None)

    def _rank(self, name: str) -> list[ids.Host]:
        if self._ranked_at != self._hosts.changes:
            self._ranked_at = self._hosts.changes
            self._ranked.clear()
        found = self._ranked.get(name)
        if found is None:
            hosts = self._hosts.list_coordinators()
            found = rank_hosts(name, hosts)[:MAX_RANKED_HOSTS]
            self._ranked[name] = found
        return found


def rank_hosts(
    name: str, hosts: collections.abc.Iterable[ids.Host]
) -> list[ids.Host]:
    """Return hosts in the order of rendezvous hashing for a name."""
    return sorted(
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest(f'{name} {host}'.encode()),
    )
