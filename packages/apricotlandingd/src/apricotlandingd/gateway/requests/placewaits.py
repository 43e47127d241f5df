"""The waits of one request for slots at runners, and their release."""

import typing as ty

import anyio

from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import queueentries
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['PlaceWaits']

# How long a request waits for a coordinator to grant it a slot of a release
# on trial. A coordinator that has a free slot grants it within a few
# milliseconds.
TRIAL_WAIT_S = 0.05


@ty.final
class PlaceWaits:
    """Obtains and releases the slots of one request."""

    def __init__(
        self, shared: sharedstate.SharedState, admitted: admission.Admission
    ) -> None:
        """Wait for no slot yet."""
        self._shared = shared
        self._admission = admitted
        # Where the request waits, or has the slot that it holds.
        self.pool = ids.Pool('')
        # Seconds spent waiting.
        self.waited_s = 0.0
        self.predicted_s: float | None = None
        # It waits for a release on trial, or waited and got no slot there.
        self._is_on_trial = False
        self._has_left_trial = False

    async def wait(
        self, progress: queueentries.Progress
    ) -> queueing.Grant | queueing.Refusal:
        """Wait until a slot is granted or refused.

        A request on trial is not refused for want of one of its few slots,
        but waits for those of the other release instead.
        """
        while True:
            decision = await self._wait_once(progress)
            if isinstance(decision, queueing.Grant):
                return decision
            if not self._is_on_trial:
                assert decision is not None
                return decision
            self._has_left_trial = True

    def release(self, grant: queueing.Grant) -> None:
        """Release a slot."""
        now = clocks.read_monotonic()
        self._shared.dispatcher.release(self.pool, grant, now)
        self._shared.on_change()

    def release_broken_off(
        self, grant: queueing.Grant, began_at: float
    ) -> None:
        """Release the slot of a call that was broken off."""
        now = clocks.read_monotonic()
        self._shared.dispatcher.release_broken_off(
            self.pool, grant, began_at, now
        )
        self._shared.on_change()

    async def _wait_once(
        self, progress: queueentries.Progress
    ) -> queueing.Grant | queueing.Refusal | None:
        # None if it has waited for long enough.
        now = clocks.read_monotonic()
        queue_entry = queueentries.make_queue_entry(
            self._shared,
            self._admission,
            now,
            progress,
            self._has_left_trial,
        )
        self.pool = queue_entry.service
        self._is_on_trial = self._find_on_trial()
        self._shared.dispatcher.enter(queue_entry, now)
        if queue_entry.decision is None:
            self._shared.on_change()
        try:
            if self._is_on_trial:
                with anyio.move_on_after(TRIAL_WAIT_S):
                    await queue_entry.decided.wait()
            else:
                await queue_entry.decided.wait()
        except BaseException:
            # The caller disconnected, or its deadline has passed.
            decision = queue_entry.decision
            if isinstance(decision, queueing.Grant):
                self.release(decision)
            raise
        finally:
            decided_at = clocks.read_monotonic()
            self._shared.dispatcher.leave(queue_entry, decided_at)
            self.waited_s += decided_at - now
        self.predicted_s = queue_entry.predicted_s
        return queue_entry.decision

    def _find_on_trial(self) -> bool:
        # Where coordinators grant slots, this host learns late that those of
        # a release are taken. Without contention, the hosts of a small system
        # know it, and others are served as before.
        if self._admission.release is not None or self._has_left_trial:
            return False
        service = self._admission.service
        contention = self._shared.dispatcher.knowledge.contention
        return self._shared.participant.is_trial(
            service, self.pool
        ) and contention.is_on(self.pool)
