"""What a host keeps of its requests to coordinators."""

import dataclasses
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.runners import observations

__all__ = [
    'LaterReleases',
    'Link',
    'WaitingRequest',
    'find_release_time',
    'log_refusal',
]

# Duration of a long call, as a ratio to the mean one.
LONG_CALL_RATIO = 1.5
# Age of a host's message up to which a grant that answers it is used, where
# memory is counted: a coordinator that does not know of the grant may use the
# memory 0.6 s after the former one was last heard. Hosts that wait send every
# 0.1 s.
MAX_GRANT_AGE_S = 0.3
# Most observations that are kept for the next message to a coordinator.
MAX_UNSENT_OBSERVATIONS = 32
# Longest time for which a place is held after its call was broken off.
MAX_BROKEN_OFF_HOLD_S = 2.0


@ty.final
@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request for which coordinators are asked."""

    ticket: queueing.QueuedRequest
    since: float
    # Subsets whose coordinators are asked, and their refusals.
    asked: list[subsets.Subset]
    refusals: list[queueing.Refusal] = dataclasses.field(default_factory=list)
    # Digests of granted runners that are unknown here, or draining.
    unknown: set[int] = dataclasses.field(default_factory=set)
    is_local: bool = False


@ty.final
@dataclasses.dataclass(slots=True)
class Link:
    """Exchange of messages with the coordinator of one subset."""

    subset: subsets.Subset
    target: ids.Host
    sent_at: float = 0.0
    # Number of the newest message that wants a reply, and when the oldest
    # unanswered one was sent.
    awaited_number: int = 0
    unanswered_at: float | None = None
    wanted: set[int] = dataclasses.field(default_factory=set)
    # Observations that are not sent yet, and when they were made.
    unsent: list[tuple[float, placemessages.RunnerObservation]] = (
        dataclasses.field(default_factory=list)
    )
    # Free places according to the last reply, and when it arrived.
    free: int = 0
    heard_at: float | None = None
    # Consecutive coordinators that did not reply.
    silent_hosts: int = 0
    # When the newest messages to the target were sent, by number.
    sends: dict[int, float] = dataclasses.field(default_factory=dict)

    def note_sent(
        self, request: placemessages.PlaceRequest, now: float
    ) -> None:
        """Store that a message was sent to the target."""
        self.sent_at = now
        for known, at in list(self.sends.items()):
            if now - at <= MAX_GRANT_AGE_S:
                break
            del self.sends[known]
        self.sends[request.number] = now
        if request.wants_reply:
            self.awaited_number = request.number
            if self.unanswered_at is None:
                self.unanswered_at = now

    def note_reply(self, reply: placemessages.PlaceReply, now: float) -> None:
        """Store that the target has replied."""
        self.free, self.heard_at, self.silent_hosts = reply.free, now, 0
        if reply.answers >= self.awaited_number:
            self.unanswered_at = None
        elif self.unanswered_at is not None:
            self.unanswered_at = self.sent_at

    def note_observation(
        self,
        start: ids.RunnerStart,
        observation: observations.Observation,
        now: float,
    ) -> None:
        """Keep an observation for the next message, unless it is too much."""
        if len(self.unsent) < MAX_UNSENT_OBSERVATIONS:
            runner = messages.digest_start(start)
            made = placemessages.RunnerObservation(runner, *observation)
            self.unsent.append((now, made))

    def turn_to(self, target: ids.Host) -> None:
        """Exchange messages with another coordinator from now on."""
        self.target = target
        self.unanswered_at = None
        self.sends.clear()

    def is_recent(self, answers: int, now: float) -> bool:
        """Tell whether a reply answers a recent message to the target.

        Another one may have been sent before this host turned to another
        coordinator, or was paused.
        """
        at = self.sends.get(answers)
        return at is not None and now - at <= MAX_GRANT_AGE_S


def find_release_time(began_at: float, hold_s: float, now: float) -> float:
    """Return when most calls that began at a time have ended.

    ``hold_s`` is the mean duration of a call.
    """
    ends_at = began_at + hold_s * LONG_CALL_RATIO
    return min(ends_at, now + MAX_BROKEN_OFF_HOLD_S)


def log_refusal(
    item: WaitingRequest,
    refusal: queueing.Refusal,
    coordinator: ids.Host,
    place: str | None,
    now: float,
) -> None:
    """Log that coordinators refused a request.

    ``place`` is the name under which they log it, with the share of its
    organisation; None where organisations are not told apart.
    """
    sharing: dict[str, ty.Any] = {}
    if place is not None:
        sharing = {'organisation': item.ticket.organisation, 'place': place}
    eliot.log_message(
        'gateway:refused',
        attempt=item.ticket.attempt,
        service=item.ticket.service,
        waited_s=round(now - item.since, 4),
        wait_s=round(refusal.wait_s, 4),
        ahead=refusal.ahead,
        coordinator=coordinator,
        **sharing,
    )


@ty.final
class LaterReleases:
    """Places that are released after a time."""

    def __init__(self) -> None:
        """Start without places."""
        self._items: list[tuple[float, ids.Pool, queueing.Grant]] = []

    def add(self, at: float, service: ids.Pool, grant: queueing.Grant) -> None:
        """Have a place released at a time."""
        self._items.append((at, service, grant))

    def take_due(self, now: float) -> list[tuple[ids.Pool, queueing.Grant]]:
        """Return the places that are to be released now."""
        due = [item[1:] for item in self._items if now >= item[0]]
        if due:
            self._items = [item for item in self._items if now < item[0]]
        return due
