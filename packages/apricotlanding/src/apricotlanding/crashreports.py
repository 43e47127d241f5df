"""Shares the blame for crashes with the other hosts.

New rows go to all hosts at once, and again shortly after, because datagrams
may be lost. A crash is rare and concerns few hosts, so this costs little. For
hosts that were cut off or have just started, each host also sends what it
knows to a few others, chosen at random, once a second.
"""

import collections.abc
import dataclasses
import random
import typing as ty

import eliot

from apricotlanding import contentkeys
from apricotlanding import ids
from apricotlanding import quarantine

__all__ = ['MAX_ROWS', 'CrashReports', 'Peers', 'describe_verdict']

# Seconds after which new rows are sent to all hosts again.
REPEAT_DELAYS_S = (0.25, 1.0)
# Seconds between messages to hosts chosen at random, and their number.
GOSSIP_INTERVAL_S = 1.0
GOSSIP_HOSTS = 2
# Most rows of one message: a datagram with them is not fragmented.
MAX_ROWS: ty.Final = 24
# Hosts that may run one trial each of a contested request.
TRIAL_HOSTS = 2


class Peers(ty.Protocol):
    """The other hosts."""

    def list_hosts(self) -> list[ids.Host]:
        """Return the hosts that can be reached."""

    def send_blames(
        self, blames: list[quarantine.Blame], hosts: list[ids.Host]
    ) -> None:
        """Send some rows to hosts; they may be lost."""


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Repeat:
    at: float
    blames: list[quarantine.Blame]


@ty.final
class CrashReports:
    """This host's quarantine, and its exchange with other hosts."""

    def __init__(
        self,
        shared: quarantine.Quarantine,
        peers: Peers,
        list_trial_hosts: collections.abc.Callable[[str, int], list[ids.Host]],
        host: ids.Host,
        rng: random.Random,
        forwards: bool = False,
        subject: str = 'content',
    ) -> None:
        """Share a quarantine.

        ``list_trial_hosts`` returns a number of hosts for a name, the same on
        all hosts. With ``forwards``, rows that are new here are passed on,
        for systems in which a host reaches only some others. ``subject`` is
        the log field of what is blamed.
        """
        self._forwards = forwards
        self._subject = subject
        self._quarantine = shared
        self._peers = peers
        self._list_trial_hosts = list_trial_hosts
        self._host = host
        self._rng = rng
        self._trials = quarantine.Trials()
        # Requests in quarantine, according to the log.
        self._logged: set[ids.ContentKey] = set()
        self._repeats: list[_Repeat] = []
        self._gossip_at = 0.0

    def is_empty(self) -> bool:
        """Tell whether no request is blamed."""
        return self._quarantine.is_empty()

    def count_blamed(self) -> int:
        """Return the number of requests that are blamed."""
        return self._quarantine.count_contents()

    def count_quarantined(self) -> int:
        """Return the number of requests in quarantine."""
        return len(self._quarantine.list_quarantined())

    def record_crash(
        self, crash: ids.Crash, keys: set[ids.ContentKey], now: float
    ) -> None:
        """Blame the requests in progress for a crash."""
        self._publish(self._quarantine.record_crash(crash, keys, now), now)

    def record_completion(self, key: ids.ContentKey, now: float) -> None:
        """Clear a request that a runner completed."""
        self._publish(self._quarantine.record_completion(key, now), now)

    def find_verdict(
        self, key: ids.ContentKey, now: float
    ) -> quarantine.Verdict | None:
        """Return why a request may not be sent; None if it may be sent."""
        verdict = self._quarantine.find(key, now)
        if verdict is None or self._has_trial(key, verdict):
            return None
        return verdict

    def take_send(
        self, key: ids.ContentKey, now: float
    ) -> quarantine.Verdict | None:
        """Return as ``find_verdict``; use up the trial of one that is sent."""
        verdict = self._quarantine.find(key, now)
        if verdict is None:
            return None
        if not self._has_trial(key, verdict):
            return verdict
        self._trials.take(key)
        eliot.log_message(
            'quarantine:trial', content=contentkeys.format_key(key)
        )
        return None

    def handle_blames(
        self, blames: list[quarantine.Blame], now: float
    ) -> None:
        """Apply another host's rows."""
        changed = self._quarantine.merge(blames, now)
        self._log_changes({blame.key for blame in changed}, now)
        if self._forwards and changed:
            self._send_to_all(changed)

    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        due = [item for item in self._repeats if item.at <= now]
        if due:
            self._repeats = [item for item in self._repeats if item.at > now]
            for item in due:
                self._send_to_all(item.blames)
        if now < self._gossip_at:
            return
        self._gossip_at = now + GOSSIP_INTERVAL_S
        if self._quarantine.is_empty():
            return
        self._quarantine.expire(now)
        self._trials.retain_only(self._quarantine.list_quarantined())
        self._log_changes(set(self._logged), now)
        targets = self._peers.list_hosts()
        for host in self._rng.sample(targets, min(GOSSIP_HOSTS, len(targets))):
            self.greet(host, now)

    def greet(self, host: ids.Host, now: float) -> None:
        """Send what is known to one host."""
        rows = self._quarantine.list_rows(MAX_ROWS, self._rng, now)
        if rows:
            self._peers.send_blames(rows, [host])

    def _publish(self, blames: list[quarantine.Blame], now: float) -> None:
        if not blames:
            return
        self._log_changes({blame.key for blame in blames}, now)
        self._send_to_all(blames)
        for delay_s in REPEAT_DELAYS_S:
            self._repeats.append(_Repeat(now + delay_s, blames))

    def _send_to_all(self, blames: list[quarantine.Blame]) -> None:
        targets = self._peers.list_hosts()
        for first in range(0, len(blames), MAX_ROWS):
            part = blames[first : first + MAX_ROWS]
            self._peers.send_blames(part, targets)

    def _log_changes(self, keys: set[ids.ContentKey], now: float) -> None:
        for key in sorted(keys):
            verdict = self._quarantine.find(key, now)
            if verdict is not None and key not in self._logged:
                self._logged.add(key)
                eliot.log_message(
                    'quarantine:begun',
                    **{self._subject: contentkeys.format_key(key)},
                    **describe_verdict(verdict),
                )
            if verdict is None and key in self._logged:
                self._logged.remove(key)
                eliot.log_message(
                    'quarantine:ended',
                    **{self._subject: contentkeys.format_key(key)},
                )

    def _has_trial(
        self, key: ids.ContentKey, verdict: quarantine.Verdict
    ) -> bool:
        if not verdict.is_contested or not self._trials.is_available(key):
            return False
        name = f'content/{contentkeys.format_key(key)}'
        return self._host in self._list_trial_hosts(name, TRIAL_HOSTS)


def describe_verdict(verdict: quarantine.Verdict) -> dict[str, ty.Any]:
    """Return the log fields of a verdict."""
    return {
        'crashes': len(verdict.blames),
        'reported': [
            {
                'crash': f'{blame.crash:016x}',
                'by': blame.host,
                'age_s': blame.age_s,
            }
            for blame in verdict.blames
        ],
        'is_contested': verdict.is_contested,
        'left_s': round(verdict.left_s),
    }
