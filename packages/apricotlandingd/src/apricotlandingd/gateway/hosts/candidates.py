"""Which host is asked for what one host keeps for all.

For each name, such as a subset of runners, the first of the hosts that live is
asked, in the order of rendezvous hashing: a host that comes or goes moves only
what it was first for. A host that does not answer is passed over for a while;
it may be cut off from this host alone, so others may go on asking it.
"""

import collections.abc
import dataclasses
import typing as ty

import eliot
import xxhash

from apricotlanding import addresses, ids

__all__ = [
    'MAX_SILENT_HOSTS',
    'RESEND_INTERVAL_S',
    'REPLY_TIMEOUT_S',
    'Candidates',
    'Hosts',
    'rank_hosts',
]

# Seconds without a reply after which a message is sent again, and after which
# the host is passed over.
RESEND_INTERVAL_S = 0.015
REPLY_TIMEOUT_S = 0.09
# Silent hosts in a row after which a host decides by itself.
MAX_SILENT_HOSTS = 2
# Seconds for which a silent host is passed over, doubled each time up to the
# longest; and one that is about to stop.
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
STOPPING_BACKOFF_S = 10.0
# Hosts that may be asked for one name.
MAX_RANKED_HOSTS = 8


class Hosts(ty.Protocol):
    """What is asked about the other hosts, and how they are reached."""

    def has_multiple_groups(self) -> bool:
        """Tell whether there are too many hosts to share all they know."""

    @property
    def changes(self) -> int:
        """Return a number that changes with the hosts that are heard."""

    def list_coordinators(self) -> list[ids.Host]:
        """Return the hosts that may be asked, this one included."""

    def find_address(self, host: ids.Host) -> addresses.Address | None:
        """Return where another host takes messages."""

    def send(self, message: object, address: addresses.Address) -> None:
        """Send a message that may be lost."""


@ty.final
@dataclasses.dataclass(slots=True)
class _Backoff:
    until: float
    count: int


@ty.final
class Candidates:
    """The hosts that this one may ask."""

    def __init__(self, host: ids.Host, hosts: Hosts) -> None:
        """Start without having asked any."""
        self._host = host
        self._hosts = hosts
        self._backoffs: dict[ids.Host, _Backoff] = {}
        # Hosts in order by name, as of the changes of the hosts.
        self._ranked: dict[str, list[ids.Host]] = {}
        self._ranked_at = -1

    def choose(self, name: str, now: float) -> ids.Host:
        """Return the host to ask; this one if all are passed over."""
        for host in self._rank(name):
            backoff = self._backoffs.get(host)
            if backoff is None or now >= backoff.until:
                return host
        return self._host

    def list_first(self, name: str, count: int) -> list[ids.Host]:
        """Return the first hosts in the order, whether they answer or not."""
        return self._rank(name)[:count]

    def mark_silent(self, host: ids.Host, now: float) -> None:
        """Pass over a host that did not answer."""
        if host == self._host:
            return
        known = self._backoffs.get(host)
        count = 1 if known is None else known.count + 1
        seconds = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (count - 1))
        eliot.log_message(
            'gateway:coordinator_silent', peer=host, avoided_s=seconds
        )
        self._backoffs[host] = _Backoff(now + seconds, count)

    def mark_stopping(self, host: ids.Host, now: float) -> None:
        """Pass over a host that says that it is about to stop."""
        if host != self._host:
            self._backoffs[host] = _Backoff(now + STOPPING_BACKOFF_S, 1)

    def mark_reachable(self, host: ids.Host) -> None:
        """Ask a host again that has answered."""
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
    """Return hosts in the order in which they are to be asked."""
    return sorted(
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest(f'{name} {host}'.encode()),
    )
