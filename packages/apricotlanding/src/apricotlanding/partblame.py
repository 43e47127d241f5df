"""Parts of prompts that crash the runners which answer them.

A request may be new each time and still crash each runner, because of a part
that its prompt shares with others. The parts of all requests that a crash cut
are blamed, but the last one of each, which belongs to the request itself.

Sound requests share most of the parts, and their answers clear them: a part
that was part of a complete answer a short time before is not blamed at all.
What is left is explained by the narrowest set: a request is refused for a part
unless another part, which it lacks, may be the cause of the same crashes. So
requests without the bad part go on, and clear the parts that they share with
the bad requests.

A part in quarantine gets a trial after a while without crashes, by one host:
runners that end by themselves must convict no part for long.
"""

import collections
import collections.abc
import typing as ty

import eliot

from apricotlanding import contentkeys
from apricotlanding import crashreports
from apricotlanding import ids
from apricotlanding import quarantine

__all__ = ['PartBlame', 'PartVerdict']

# Seconds for which a complete answer speaks for the parts that it had.
ANSWER_MAX_AGE_S: ty.Final = 15.0
# Parts with such an answer that are remembered.
MAX_ANSWERED: ty.Final = 8192
# Crashes of a part after which a request that was cut is not sent again.
RESEND_LIMIT: ty.Final = 2
# Seconds without a crash before a part in quarantine gets a trial, for each
# host in the order; and trials that may fail.
TRIAL_DELAY_S: ty.Final = 20.0
TRIAL_HOSTS: ty.Final = 2

Keys = frozenset[ids.ContentKey]


class PartVerdict(ty.NamedTuple):
    """Why a request is refused for a part of its prompt."""

    key: ids.ContentKey
    verdict: quarantine.Verdict


@ty.final
class PartBlame:
    """Decides which requests are refused for their parts."""

    def __init__(
        self,
        shared: quarantine.Quarantine,
        reports: crashreports.CrashReports,
        list_hosts: collections.abc.Callable[[str, int], list[ids.Host]],
        host: ids.Host,
    ) -> None:
        """Use a quarantine of parts, and its exchange with other hosts.

        ``list_hosts`` returns a number of hosts for a name, the same on all
        hosts.
        """
        self._quarantine = shared
        self._reports = reports
        self._list_hosts = list_hosts
        self._host = host
        # When a complete answer had a part, the latest last.
        self._answered: collections.OrderedDict[ids.ContentKey, float] = (
            collections.OrderedDict()
        )
        self._tried: set[ids.ContentKey] = set()

    def record_answer(self, keys: Keys, now: float) -> None:
        """Note the parts of a complete answer."""
        for key in keys:
            self._answered[key] = now
            self._answered.move_to_end(key)
            if not self._reports.is_empty():
                self._reports.record_completion(key, now)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def record_crash(
        self, crash: ids.Crash, keys: set[ids.ContentKey], now: float
    ) -> None:
        """Blame the parts of the requests that a crash cut."""
        blamed = {key for key in keys if not self._is_answered(key, now)}
        if blamed:
            self._reports.record_crash(crash, blamed, now)

    def handle_blames(
        self, blames: list[quarantine.Blame], now: float
    ) -> None:
        """Apply another host's rows."""
        self._reports.handle_blames(blames, now)
        for key in {blame.key for blame in blames}:
            if self._is_answered(key, now):
                # Known here only: the others have their own answers.
                self._quarantine.record_completion(key, now)

    def find(self, keys: Keys, now: float) -> PartVerdict | None:
        """Return why a request may not be sent; None if it may be sent."""
        found = self._find_convicted(keys, now)
        if found is None or self._has_trial(found, now):
            return None
        return found

    def take_send(self, keys: Keys, now: float) -> PartVerdict | None:
        """Return as ``find``; use up the trial of a part that is sent."""
        found = self._find_convicted(keys, now)
        if found is None:
            return None
        if not self._has_trial(found, now):
            return found
        self._tried.add(found.key)
        eliot.log_message(
            'quarantine:trial', part=contentkeys.format_key(found.key)
        )
        return None

    def may_resend(self, keys: Keys) -> bool:
        """Tell whether a request that a crash cut may be sent again."""
        return all(
            self._quarantine.count_crashes(key) < RESEND_LIMIT for key in keys
        )

    def _find_convicted(self, keys: Keys, now: float) -> PartVerdict | None:
        if self._quarantine.is_empty():
            return None
        for key in sorted(keys):
            verdict = self._quarantine.find(key, now)
            if verdict is None:
                continue
            if self._quarantine.list_rivals(key) - keys:
                # A part that this request lacks may be the cause.
                continue
            return PartVerdict(key, verdict)
        return None

    def _is_answered(self, key: ids.ContentKey, now: float) -> bool:
        at = self._answered.get(key)
        return at is not None and now - at < ANSWER_MAX_AGE_S

    def _has_trial(self, found: PartVerdict, now: float) -> bool:
        if found.key in self._tried:
            return False
        ages = sorted(blame.age_s for blame in found.verdict.blames)
        if ages[0] < TRIAL_DELAY_S or _count_failed(ages) >= TRIAL_HOSTS:
            return False
        name = f'part/{contentkeys.format_key(found.key)}'
        hosts = self._list_hosts(name, TRIAL_HOSTS)
        if self._host not in hosts:
            return False
        return ages[0] >= (hosts.index(self._host) + 1) * TRIAL_DELAY_S


def _count_failed(ages: list[int]) -> int:
    # Crashes after a while without any are those of trials.
    return sum(
        earlier - later >= TRIAL_DELAY_S
        for later, earlier in zip(ages, ages[1:], strict=False)
    )
