"""How often a request was sent to runners, and whether it may be again."""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['SendCounts']


@ty.final
class SendCounts:
    """The sends of one request."""

    def __init__(
        self, shared: sharedstate.SharedState, admitted: admission.Admission
    ) -> None:
        """Start without sends."""
        self._shared = shared
        self._admission = admitted
        # Number of runners that bytes of this request were sent to.
        self.count = 0
        # The same, including runners that were found at another one's
        # address: these are no sends, but count against the retry budget.
        self._deliveries = 0
        self._has_retry = False

    def begin(self) -> None:
        """Count a send that begins."""
        self.count += 1
        self._deliveries += 1

    def take_back(self) -> None:
        """Uncount a send of which no byte was sent."""
        self.count -= 1
        self._deliveries -= 1

    def may_abandon(self) -> bool:
        """Tell whether the request may run at another runner as well."""
        route = self._admission.route
        return route.is_repeatable() and self.count < route.max_sends

    def may_send_again(self, may_have_run: bool, now: float) -> bool:
        """Tell whether to send again, and take a retry from the budget.

        ``may_have_run`` tells whether the last send may have run.
        """
        route = self._admission.route
        if may_have_run and not route.is_repeatable():
            return False
        if self.count >= route.max_sends:
            return False
        if self._deliveries == 0:
            # Nothing has reached a runner, so this is no retry.
            return True
        if self._has_retry:
            # Taken when the inactive runner was abandoned.
            self._has_retry = False
            return True
        return self._take_retry(now)

    def reserve_retry(self, now: float) -> bool:
        """Take a retry for the next ``may_send_again``."""
        self._has_retry = self._has_retry or self._take_retry(now)
        return self._has_retry

    def find_retry_pool(self, now: float) -> ids.Pool:
        """Return the pool at which the request would run again."""
        admitted, participant = self._admission, self._shared.participant
        if admitted.release is not None:
            return participant.find_pool(admitted.service, admitted.release)
        return participant.choose_pool(
            admitted.service, admitted.head.attempt, True, now
        )

    def _take_retry(self, now: float) -> bool:
        return self._shared.retry_budget.take(
            self._admission.service, self._shared.count_hosts(), now
        )
