"""How long a runner is used whose registration has disappeared.

A registration disappears when its runner leaves, and when the store was away
for so long that the runner could not renew it. A runner that left must get
nothing after its drain time, which counts from when the store accepted the
removal. One whose registration lapsed serves on, and registers again within
``LAPSE_WINDOW_S`` of the store's return.

A host reads a removal later than the store accepted it, by up to the time for
which reads may be lost. So nothing here counts from that moment. The newest
answer that lacks a removal is the earliest time at which it can have been
accepted, and the first answer after an outage, to whichever host, is the
store's return. Hosts tell each other the ages of answers, so both are about
the same on all hosts, however late each of them reads the removal.
"""

import typing as ty

__all__ = ['LAPSE_WINDOW_S', 'Lapses']

# Seconds after the store's return in which it may still lack a live runner;
# the platform promises about two.
LAPSE_WINDOW_S = 2.2
# A runner is dropped this long before its drain time ends, so that requests
# sent just before arrive in time.
DRAIN_MARGIN_S = 0.5
# A registration lapses after three heartbeats, of which the runner may have
# sent the last one a whole interval before the store went away.
MIN_MISSED_HEARTBEATS = 2
# Shortest time without an answer that counts as an outage, as a share of the
# drain time: lost reads are noticed after half of it, and some time passes
# until a host is answered.
MIN_OUTAGE_SHARE = 0.75


@ty.final
class Lapses:
    """When the store served, and which removals may be lapses."""

    def __init__(self, drain_s: float, heartbeat_s: float) -> None:
        """Start without an answer of the store.

        ``drain_s`` is the time in seconds after which a runner that has left
        receives no more requests, ``heartbeat_s`` the interval at which
        runners renew their registrations.
        """
        self._heartbeat_s = heartbeat_s
        self._keep_s = 0.0
        self._min_outage_s = 0.0
        self.set_drain_time(drain_s)
        # The newest answer to any host.
        self._served_at: float | None = None
        # The first answer after the latest outage.
        self._returned_at: float | None = None
        # The latest failure of this host's own calls.
        self._failed_at: float | None = None

    def set_drain_time(self, drain_s: float) -> None:
        """Set the operators' drain time, in seconds."""
        self._keep_s = max(0.0, drain_s - DRAIN_MARGIN_S)
        self._min_outage_s = max(
            MIN_MISSED_HEARTBEATS * self._heartbeat_s,
            MIN_OUTAGE_SHARE * drain_s,
        )

    def note_answer(self, at: float) -> None:
        """Note that the store answered a host at a time."""
        if self._served_at is None:
            self._served_at = at
            return
        if at - self._served_at >= self._min_outage_s:
            self.note_return(at)
        self._served_at = max(self._served_at, at)

    def note_return(self, at: float) -> None:
        """Note that the store served again from a time on."""
        if self._returned_at is None or at > self._returned_at:
            self._returned_at = at

    def note_failure(self, now: float) -> None:
        """Note that the store has just failed a call of this host."""
        self._failed_at = now

    def find_end(self, accepted_after: float, read_at: float) -> float:
        """Return until when a runner is used whose registration is gone.

        ``accepted_after`` is the earliest time at which the store can have
        accepted the removal, and ``read_at`` the time at which this host read
        it. The result may be in the past.
        """
        end = accepted_after
        if self._failed_at is not None:
            # The store may be away for some callers, such as the runner, so it
            # may have lapsed; it may also have left, so the drain time holds.
            end = min(
                accepted_after + self._keep_s,
                self._failed_at + LAPSE_WINDOW_S,
            )
        returned_at = self._find_return(read_at)
        if returned_at is not None:
            window_end = returned_at + LAPSE_WINDOW_S
            if accepted_after < window_end:
                end = max(end, window_end)
        return end

    def _find_return(self, read_at: float) -> float | None:
        # A record is applied before the answer that brought it is noted.
        if (
            self._served_at is not None
            and read_at - self._served_at >= self._min_outage_s
        ):
            return read_at
        return self._returned_at
