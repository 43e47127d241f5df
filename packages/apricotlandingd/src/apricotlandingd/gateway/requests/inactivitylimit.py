"""Gives up a runner that stays silent while another one may be asked."""

import collections.abc
import contextlib
import typing as ty

import anyio

from apricotlanding import clocks
from apricotlanding import ids
from apricotlanding import taskgroups
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import inactivity
from apricotlandingd.gateway.requests import sendcounts
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['InactivityLimit']


@ty.final
class InactivityLimit:
    """Limits the silence of the runners of one request."""

    def __init__(
        self,
        shared: sharedstate.SharedState,
        admitted: admission.Admission,
        sends: sendcounts.SendCounts,
    ) -> None:
        """Limit the sends of an admitted request."""
        self._shared = shared
        self._admission = admitted
        self._sends = sends

    @contextlib.asynccontextmanager
    async def limit(
        self, entry: dialect.RunnerEntry, tried: set[ids.RunnerStart]
    ) -> collections.abc.AsyncIterator[inactivity.Timeout]:
        """Yield the timeout of a send; raises Silent when it is over.

        ``tried`` are the runners that the request was sent to, this one
        included.
        """
        timeout = inactivity.Timeout()
        if not self._sends.may_abandon():
            yield timeout
            return
        estimate = self._shared.latencies.find(entry.pool, entry.start)
        first = estimate.predict_first_event(
            self._admission.head.prompt_tokens
        )
        timeout.extend(
            inactivity.find_first_timeout(
                self._admission.route.objective_s, first
            )
        )
        async with taskgroups.open_group() as group:
            group.start_soon(self._watch, timeout, tried)
            with timeout.scope:
                yield timeout
        if timeout.scope.cancelled_caught:
            raise inactivity.Silent('the runner fell silent')

    async def _watch(
        self, timeout: inactivity.Timeout, tried: set[ids.RunnerStart]
    ) -> None:
        # An inactive runner may still answer. It is abandoned only if another
        # one may be asked; otherwise its late answer would be lost for
        # nothing.
        while True:
            await anyio.sleep_until(timeout.ends_at)
            if anyio.current_time() < timeout.ends_at:
                continue
            now = clocks.read_monotonic()
            has_other = self._shared.dispatcher.has_place(
                self._sends.find_retry_pool(now),
                tried,
                now,
                self._admission.release,
            )
            if has_other and self._sends.reserve_retry(now):
                timeout.scope.cancel()
                return
            timeout.extend(inactivity.MIN_FIRST_TIMEOUT_S)
