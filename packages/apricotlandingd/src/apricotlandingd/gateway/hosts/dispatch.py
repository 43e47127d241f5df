"""Places for this host's requests: from coordinators, or on its own.

Up to some twenty hosts share all places with each other, and each schedules
its own requests (``decisions.scheduler``). In a larger system a request asks
the coordinator of a subset of its service's runners (``decisions.subsets``),
and a second one when the first has no place at once.

A coordinator may be dead, frozen, or cut off from this host alone. One that
does not answer is passed over for a while and the next host in the order is
asked, with all that this one holds; when several in a row are silent, this
host decides by what it knows itself, beside asking on.
"""

import dataclasses
import random
import typing as ty

import eliot

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import observations
from apricotlandingd.gateway.runners import startindex

__all__ = ['Dispatcher']

# Seconds that a request waits before a second coordinator is asked.
SECOND_TIME = 0.03
# Seconds between messages while requests wait, and while places are held.
WAITING_INTERVAL = 0.1
HOLDING_INTERVAL = 0.3
# Seconds for which the free places that a coordinator states are used.
FREE_TIME = 1.0
# Observations that wait for the next message to a coordinator.
MOST_SEEN = 32


@ty.final
@dataclasses.dataclass(slots=True)
class _Waiting:
    """A request for which coordinators are asked."""

    ticket: waiting.Ticket
    since: float
    # Subsets that are asked, and those that refused.
    asked: list[subsets.Subset]
    refusals: list[waiting.Refusal] = dataclasses.field(default_factory=list)
    # Digests of runners that were granted and are not known here.
    unknown: set[int] = dataclasses.field(default_factory=set)
    is_local: bool = False


@ty.final
@dataclasses.dataclass(slots=True)
class _Link:
    """This host and the coordinator of one subset."""

    subset: subsets.Subset
    target: ids.Host
    sent_at: float = 0.0
    # Number of the newest message that wants a reply, and when the oldest one
    # was sent that has none.
    awaited: int = 0
    unanswered_at: float | None = None
    wanted: set[int] = dataclasses.field(default_factory=set)
    seen: list[placemessages.Seen] = dataclasses.field(default_factory=list)
    # Free places by the last reply, and when it came.
    free: int = 0
    heard_at: float | None = None
    # Coordinators in a row that did not answer.
    silent: int = 0


@ty.final
class Dispatcher:
    """The places that this host's requests wait for and hold."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        process: ids.Incarnation,
        local: scheduler.Scheduler,
        own: coordinator.Coordinator,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        fitness: health.Health,
        hosts: candidates.Hosts,
        asked: candidates.Candidates,
        spread: random.Random,
    ) -> None:
        """Start without requests.

        ``own`` serves the subsets that this host coordinates itself.
        """
        self._host = host
        self._address = str(address)
        # Stands for this process in messages.
        self.process = messages.digest_process(process)
        self._local = local
        self._own = own
        self._runners = runners
        self._starts = startindex.StartIndex(runners)
        self._latencies = latencies
        self._health = fitness
        self._hosts = hosts
        self._candidates = asked
        self._spread = spread
        self._count = 0
        self._message = 0
        self._waiting: dict[int, _Waiting] = {}
        self._held: dict[int, ids.RunnerStart] = {}
        self._links: dict[subsets.Subset, _Link] = {}
        # Subsets by service and by runner, as of the directory's changes.
        self._subsets: dict[ids.Pool, list[subsets.Subset]] = {}
        self._subset_of: dict[ids.RunnerStart, subsets.Subset] = {}
        self._changes = -1

    # Requests.

    def enter(self, ticket: waiting.Ticket, now: float) -> None:
        """Let a request wait; it may be decided at once."""
        found = self._list_subsets(ticket.service)
        if not self._hosts.is_divided() or not found:
            self._local.enter(ticket, now)
            return
        self._count += 1
        ticket.number = self._count
        self._waiting[ticket.number] = _Waiting(ticket, now, [])
        self._ask(ticket.number, self._spread.choice(found), now)

    def leave(self, ticket: waiting.Ticket, now: float) -> None:
        """Drop a request that waits no more."""
        self._local.leave(ticket)
        if ticket.number in self._waiting:
            self._withdraw(ticket.number, None, now)

    def release(
        self, service: ids.Pool, grant: waiting.Grant, now: float
    ) -> None:
        """Give a place back."""
        if not grant.number:
            self._local.release(service, grant.runner, now)
            return
        start = self._held.pop(grant.number, None)
        if start is None:
            return
        self._local.places.release(start)
        subset = self._find_subset(start)
        if subset is not None:
            self._send(self._open(subset, now), now, wants_reply=False)

    def has_place(
        self, service: ids.Pool, tried: set[ids.RunnerStart], now: float
    ) -> bool:
        """Tell whether a runner that was not tried may have a free place."""
        if not self._hosts.is_divided():
            return self._local.has_place(service, tried, now)
        if all(
            entry.start in tried for entry in self._runners.list_open(service)
        ):
            return False
        heard = [
            link
            for link in self._links.values()
            if link.subset.service == service
            and link.heard_at is not None
            and now - link.heard_at < FREE_TIME
        ]
        return not heard or any(link.free > 0 for link in heard)

    def note(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        seen: observations.Observation,
        now: float,
    ) -> None:
        """Learn from what was seen of a runner, and report it."""
        observations.apply(
            seen, service, start, self._latencies, self._health, now
        )
        if seen.kind is observations.Kind.HOLD:
            self._local.note_hold(service, seen.seconds)
        if seen.kind is observations.Kind.FIRST:
            self._local.note_part(seen.part, start, now)
        if not self._hosts.is_divided():
            return
        subset = self._find_subset(start)
        if subset is None:
            return
        link = self._open(subset, now)
        if len(link.seen) < MOST_SEEN:
            runner = messages.digest_start(start)
            link.seen.append(placemessages.Seen(runner, *seen))

    def note_load(
        self, start: ids.RunnerStart, load: tuple[int, int], now: float
    ) -> None:
        """Take a runner's own statement of what runs and waits there."""
        self._local.note_load(start, load, now)

    # Replies, and what time brings.

    def take(self, request: placemessages.PlaceRequest, now: float) -> None:
        """Take the request of a host that this one coordinates for."""
        self._deliver(self._own.take(request, now), now)

    def take_reply(self, reply: placemessages.PlaceReply, now: float) -> None:
        """Take the decisions of a coordinator."""
        subset = subsets.Subset(reply.service, reply.place, reply.total)
        link = self._links.get(subset)
        if reply.process != self.process or link is None:
            return
        if reply.host != link.target:
            # It was passed over; another one has all requests by now.
            return
        link.free, link.heard_at, link.silent = reply.free, now, 0
        if reply.answers >= link.awaited:
            link.unanswered_at = None
        elif link.unanswered_at is not None:
            link.unanswered_at = link.sent_at
        self._candidates.note_heard(reply.host)
        for number, digest in reply.granted.items():
            if number in link.wanted:
                self._take_grant(number, digest, subset, now)
        for number, refused in reply.refused.items():
            if number in link.wanted:
                self._take_refusal(number, refused, subset, now)
        if reply.is_stopping and reply.host != self._host:
            self._candidates.note_stopping(reply.host, now)
            self._retarget(link, now)

    def tick(self, now: float) -> None:
        """Send what is due, and decide by time."""
        self._deliver(self._own.pump(now), now)
        for number, item in list(self._waiting.items()):
            if number in self._waiting:
                self._advance(number, item, now)
        for subset, link in list(self._links.items()):
            self._maintain(subset, link, now)

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget what is kept about runners that are gone."""
        self._own.keep_only(runners)

    def _deliver(
        self, replies: list[coordinator.Outgoing], now: float
    ) -> None:
        for item in replies:
            if item.reply.process == self.process:
                self.take_reply(item.reply, now)
                continue
            self._hosts.send(item.reply, item.address)

    def _advance(self, number: int, item: _Waiting, now: float) -> None:
        if item.ticket.decision is not None:
            # Decided by this host alone.
            self._withdraw(number, None, now)
            return
        if now - item.since > SECOND_TIME and len(item.asked) == 1:
            self._ask_second(number, item, now)
        if item.is_local:
            return
        if all(
            subset not in self._links
            or self._links[subset].silent >= candidates.MOST_SILENT
            for subset in item.asked
        ):
            item.is_local = True
            self._local.enter(item.ticket, now)

    def _maintain(
        self, subset: subsets.Subset, link: _Link, now: float
    ) -> None:
        has_held = any(
            self._find_subset(start) == subset for start in self._held.values()
        )
        if not link.wanted and not has_held and not link.seen:
            if link.heard_at is None or now - link.heard_at > FREE_TIME:
                del self._links[subset]
            return
        if self._choose_target(subset, now) != link.target:
            self._say_goodbye(link, now)
            self._retarget(link, now)
            return
        if link.unanswered_at is not None:
            if now - link.unanswered_at > candidates.SILENT_TIME:
                link.silent += 1
                self._candidates.note_silent(link.target, now)
                self._retarget(link, now)
            elif now - link.sent_at > candidates.RESEND_TIME:
                self._send(link, now)
            return
        pause = WAITING_INTERVAL if link.wanted else HOLDING_INTERVAL
        if now - link.sent_at > pause:
            self._send(link, now)

    # Asking.

    def _ask(self, number: int, subset: subsets.Subset, now: float) -> None:
        self._waiting[number].asked.append(subset)
        link = self._open(subset, now)
        link.wanted.add(number)
        self._send(link, now)

    def _ask_second(self, number: int, item: _Waiting, now: float) -> None:
        others = [
            subset
            for subset in self._list_subsets(item.ticket.service)
            if subset not in item.asked
        ]
        if others:
            self._ask(number, self._spread.choice(others), now)

    def _withdraw(
        self, number: int, granted: subsets.Subset | None, now: float
    ) -> None:
        # A grant may be on its way: other coordinators hear at once that
        # their places are not wanted.
        item = self._waiting.pop(number)
        if item.is_local:
            self._local.leave(item.ticket)
        for subset in item.asked:
            link = self._links.get(subset)
            if link is None:
                continue
            link.wanted.discard(number)
            if subset != granted:
                self._send(link, now, wants_reply=False)

    def _take_grant(
        self, number: int, digest: int, subset: subsets.Subset, now: float
    ) -> None:
        item = self._waiting[number]
        entry = self._starts.find_entry(digest)
        if entry is None or entry.is_draining:
            # The coordinator's directory is behind this one, or ahead.
            self._renew(number, item, digest, now)
            return
        self._withdraw(number, subset, now)
        self._held[number] = entry.start
        # Counts when this host decides by itself, and is told to its group.
        self._local.places.take(entry.start)
        item.ticket.decide(waiting.Grant(entry.start, number))

    def _renew(
        self, number: int, item: _Waiting, digest: int, now: float
    ) -> None:
        self._withdraw(number, None, now)
        self._count += 1
        item.ticket.number = self._count
        unknown = item.unknown | {digest}
        asked, item.asked = item.asked, []
        self._waiting[self._count] = dataclasses.replace(
            item, unknown=unknown, refusals=[], is_local=False
        )
        for subset in asked:
            if item.ticket.number in self._waiting:
                self._ask(item.ticket.number, subset, now)

    def _take_refusal(
        self,
        number: int,
        refused: placemessages.Refused,
        subset: subsets.Subset,
        now: float,
    ) -> None:
        item = self._waiting[number]
        link = self._links[subset]
        link.wanted.discard(number)
        item.refusals.append(waiting.Refusal(*refused))
        self._send(link, now, wants_reply=False)
        if len(item.asked) == 1:
            self._ask_second(number, item, now)
        if number not in self._waiting:
            # The second one is this host, and has decided at once.
            return
        if len(item.refusals) < len(item.asked):
            return
        best = min(item.refusals, key=lambda refusal: refusal.wait_s)
        self._withdraw(number, None, now)
        eliot.log_message(
            'gateway:refused',
            attempt=item.ticket.attempt,
            service=item.ticket.service,
            waited_s=round(now - item.since, 4),
            wait_s=round(best.wait_s, 4),
            ahead=best.ahead,
            coordinator=link.target,
        )
        item.ticket.decide(best)

    def _send(self, link: _Link, now: float, wants_reply: bool = True) -> None:
        request = self._make_request(link, wants_reply)
        link.sent_at = now
        if wants_reply:
            link.awaited = request.number
            if link.unanswered_at is None:
                link.unanswered_at = now
        for number in link.wanted:
            request.wanted[number] = self._state_wanted(
                self._waiting[number], now
            )
        for number, start in self._held.items():
            if self._find_subset(start) == link.subset:
                request.held[number] = messages.digest_start(start)
        request.seen.extend(link.seen)
        link.seen.clear()
        self._pass_request(link.target, request, now)

    def _say_goodbye(self, link: _Link, now: float) -> None:
        # Names no place: the coordinator may give all of them to others.
        request = self._make_request(link, wants_reply=False)
        self._pass_request(link.target, request, now)

    def _make_request(
        self, link: _Link, wants_reply: bool
    ) -> placemessages.PlaceRequest:
        self._message += 1
        return placemessages.PlaceRequest(
            host=self._host,
            address=self._address,
            process=self.process,
            number=self._message,
            service=link.subset.service,
            place=link.subset.place,
            total=link.subset.total,
            wanted={},
            held={},
            seen=[],
            wants_reply=wants_reply,
        )

    def _pass_request(
        self,
        target: ids.Host,
        request: placemessages.PlaceRequest,
        now: float,
    ) -> None:
        if target == self._host:
            self.take(request, now)
            return
        address = self._hosts.find_address(target)
        if address is not None:
            self._hosts.send(request, address)

    def _state_wanted(
        self, item: _Waiting, now: float
    ) -> placemessages.Wanted:
        ticket = item.ticket
        closed = [
            entry.start
            for entry in self._runners.list_open(ticket.service)
            if self._health.is_unreachable(entry.start, now)
        ]
        excluded = {
            messages.digest_start(start) for start in (*ticket.tried, *closed)
        }
        return placemessages.Wanted(
            tier=ticket.tier,
            route_tier=ticket.route_tier,
            on_time_in=ticket.on_time_by - now,
            useful_in=ticket.useful_until - now,
            ends_in=ticket.ends_at - now,
            prompt_tokens=ticket.prompt_tokens,
            events=ticket.events,
            last_part=ticket.last_part[: placemessages.PART_LENGTH],
            coordinators=len(item.asked),
            excluded=sorted(excluded | item.unknown),
        )

    # Who is asked.

    def _open(self, subset: subsets.Subset, now: float) -> _Link:
        link = self._links.get(subset)
        if link is None:
            link = _Link(subset, self._choose_target(subset, now))
            self._links[subset] = link
        return link

    def _retarget(self, link: _Link, now: float) -> None:
        link.target = self._choose_target(link.subset, now)
        link.unanswered_at = None
        self._send(link, now)

    def _choose_target(self, subset: subsets.Subset, now: float) -> ids.Host:
        return self._candidates.choose(subset.find_name(), now)

    def _list_subsets(self, service: ids.Pool) -> list[subsets.Subset]:
        self._divide()
        return self._subsets.get(service, [])

    def _find_subset(self, start: ids.RunnerStart) -> subsets.Subset | None:
        self._divide()
        return self._subset_of.get(start)

    def _divide(self) -> None:
        if self._changes == self._runners.changes:
            return
        self._changes = self._runners.changes
        self._subsets.clear()
        self._subset_of.clear()
        for service in self._runners.list_services():
            entries = self._runners.list_open(service)
            found = subsets.list_subsets(service, len(entries))
            self._subsets[service] = found
            for subset in found:
                for entry in subsets.select_runners(subset, entries):
                    self._subset_of[entry.start] = subset
