"""Terms of new coordinators of subsets, for the memory of runners.

The coordinator of a subset changes without a handover. A new one knows what
hosts hold at runners once each of them has asked it, and no other coordinator
grants to hosts that have not. Until then it is not established, and grants
from the reserve only (``decisions.memorybounds``). This term begins

* when it is first asked, and when its process resumes after a pause;
* when a host that comes before it in the order answers it, or asks it;
* while it is first in the order, when one behind it answers that hosts still
  ask that one.

It asks these hosts during a term, and those before it afterwards, too. So of
two coordinators that reach each other, one is not established.
"""

import collections.abc
import dataclasses
import enum
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.decisions import subsets

__all__ = ['MAX_ANSWERED_AGE_S', 'TAKE_OVER_S', 'Order', 'TakeOvers']

# Hosts that hold slots tell a new coordinator so within this time: they send
# every 0.3 s, turn to another coordinator after 0.09 s without a reply, and
# may need to try two.
TAKE_OVER_S = 0.6
# Seconds for which a host before this one in the order must not have answered.
# Its own requests are not told here; those of a host that is silent for so
# long are not counted any more.
SILENT_S = 1.2
# Pause of the process after which a term begins. Others are established, and
# hosts' places are released, only when it has been silent for four times as
# long.
MAX_PAUSE_S = 0.3
# Seconds between two questions during a term, and afterwards.
TERM_INTERVAL_S = 0.1
ESTABLISHED_INTERVAL_S = 0.3
# Hosts behind the first one that it asks: one that coordinated before it
# joined is the next, unless that one does not answer either.
ASKED_BEHIND = 2
# Age of the newest message of a host that holds places, up to which it is
# known to ask this coordinator and no other.
MAX_ANSWERED_AGE_S = 0.4


class Order(ty.Protocol):
    """The order of the hosts that may coordinate."""

    def list_ahead(self, subset: subsets.Subset) -> list[ids.Host]:
        """Return the hosts that come before this one."""

    def list_behind(
        self, subset: subsets.Subset, count: int
    ) -> list[ids.Host]:
        """Return the first hosts that come after this one."""

    def comes_before(self, subset: subsets.Subset, host: ids.Host) -> bool:
        """Tell whether a host comes before this one, known or not."""


class _Reason(enum.StrEnum):
    BEGAN = 'first request'
    PAUSED = 'pause of this process'
    AHEAD = 'another host comes first'
    BEHIND = 'hosts still ask another one'
    REPLACED = 'the runners were divided anew'


@ty.final
@dataclasses.dataclass(slots=True)
class _Term:
    ends_at: float
    # Hosts before this one, as of the last look.
    ahead: list[ids.Host]
    # When other hosts were last asked whether they coordinate.
    asked_at: float


@ty.final
class TakeOvers:
    """Terms of one host in the subsets that it coordinates."""

    def __init__(
        self,
        order: Order,
        is_current: collections.abc.Callable[[subsets.Subset], bool],
    ) -> None:
        """Start without subsets.

        ``is_current`` tells whether the runners of a service are divided into
        as many subsets now.
        """
        self._order = order
        self._is_current = is_current
        self._terms: dict[subsets.Subset, _Term] = {}
        self._ran_at: float | None = None
        self._log_limit = logratelimit.LogRateLimit()

    def note_run(self, now: float) -> None:
        """Note that the process runs, at each timer and request.

        Terms begin if it did not for longer than ``MAX_PAUSE_S``.
        """
        if self._ran_at is not None and now - self._ran_at > MAX_PAUSE_S:
            for subset in self._terms:
                self._restart(subset, _Reason.PAUSED, now)
        self._ran_at = now

    def note_request(
        self, subset: subsets.Subset, host: ids.Host, now: float
    ) -> bool:
        """Note that a host asks; tell whether it comes before this one.

        Such a host is a coordinator that asks whether this one has clients,
        unless it is stopping and this host does not know that yet.
        """
        if self._order.comes_before(subset, host):
            if subset in self._terms:
                self._restart(subset, _Reason.AHEAD, now)
            return True
        self.find_wait(subset, now)
        return False

    def note_reply(
        self, subset: subsets.Subset, host: ids.Host, now: float
    ) -> None:
        """Note that a host answered a question, so it coordinates too."""
        if subset not in self._terms:
            return
        reason = _Reason.BEHIND
        if self._order.comes_before(subset, host):
            reason = _Reason.AHEAD
        self._restart(subset, reason, now)

    def find_wait(self, subset: subsets.Subset, now: float) -> float:
        """Return the expected seconds until this host is established.

        0 if it is.
        """
        term = self._terms.get(subset)
        ahead = self._order.list_ahead(subset)
        if term is None:
            term = _Term(now, ahead, now - TERM_INTERVAL_S)
            self._terms[subset] = term
            self._restart(subset, _Reason.BEGAN, now)
        if ahead != term.ahead:
            is_longer = bool(set(ahead) - set(term.ahead))
            term.ahead = ahead
            if is_longer:
                self._restart(subset, _Reason.AHEAD, now)
        if not self._is_current(subset):
            self._restart(subset, _Reason.REPLACED, now)
        return max(0.0, term.ends_at - now)

    def list_asked(self, subset: subsets.Subset, now: float) -> list[ids.Host]:
        """Return the hosts to be asked now whether they coordinate.

        Those before this one. A host that is first asks the next ones, during
        its term only.
        """
        is_established = self.find_wait(subset, now) <= 0
        term = self._terms[subset]
        interval_s = TERM_INTERVAL_S
        if is_established:
            interval_s = ESTABLISHED_INTERVAL_S
        if now - term.asked_at < interval_s:
            return []
        term.asked_at = now
        if term.ahead or is_established:
            return term.ahead
        return self._order.list_behind(subset, ASKED_BEHIND)

    def tidy(
        self, coordinated: collections.abc.Container[subsets.Subset]
    ) -> None:
        """Forget subsets that are not coordinated here, unless first there.

        The first host is asked by all hosts that hold a place, so it knows
        that there is none. This ends when another host comes first, also while
        no host asks this one: that other host may grant places and leave.
        """
        for subset in list(self._terms):
            if subset in coordinated:
                continue
            is_first = not self._order.list_ahead(subset)
            if not is_first or not self._is_current(subset):
                del self._terms[subset]

    def _restart(
        self, subset: subsets.Subset, reason: _Reason, now: float
    ) -> None:
        term = self._terms[subset]
        if now >= term.ends_at:
            self._log(subset, reason, now)
        is_behind = term.ahead or reason is _Reason.AHEAD
        seconds = SILENT_S if is_behind else TAKE_OVER_S
        term.ends_at = max(term.ends_at, now + seconds)

    def _log(
        self, subset: subsets.Subset, reason: _Reason, now: float
    ) -> None:
        held = self._log_limit.admit(f'{subset.service} {reason}', now)
        if held is not None:
            eliot.log_message(
                'gateway:memory_reserve',
                service=subset.service,
                subset=subset.number,
                reason=reason.value,
                held_back=held,
            )
