"""Places at runners for this host's requests.

Up to some twenty hosts share the state of all places, and each schedules its
own requests (``decisions.scheduler``). In a larger system, and while a runner
of the service states a limit, the coordinator of a subset of the service's
runners is asked for a place (``decisions.subsets``), and a second one if the
first has none at once.

A coordinator may be dead, frozen, or unreachable from this host alone. One
that does not reply is skipped for a while, and the next host in the order is
asked and told all places that this host holds. When several in a row do not
reply, this host also decides locally while it goes on asking.
"""

import dataclasses
import random
import typing as ty

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import coordinatedservices
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import heldplaces
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placelinks
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.hosts import placerequests
from apricotlandingd.gateway.hosts import subsetindex
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import observations
from apricotlandingd.gateway.runners import rests
from apricotlandingd.gateway.runners import startindex
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Dispatcher']

# Seconds that a request waits before a second coordinator is asked.
SECOND_COORDINATOR_DELAY_S = 0.03
# Seconds between messages while requests wait, and while places are held.
WAITING_INTERVAL_S = 0.1
HOLDING_INTERVAL_S = 0.3
# Seconds for which the free places in a coordinator's reply are used.
FREE_PLACES_MAX_AGE_S = 1.0


@ty.final
class Dispatcher:
    """Obtains and releases the places of this host's requests."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        process: ids.Incarnation,
        local: scheduler.Scheduler,
        own_coordinator: coordinator.Coordinator,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        fitness: health.Health,
        hosts: candidates.Hosts,
        candidate_hosts: candidates.Candidates,
        rng: random.Random,
        limits: statedlimits.StatedLimits | None = None,
        closed: closedrunners.ClosedRunners | None = None,
        brittle: brittleness.Brittleness | None = None,
        knowledge: capacity.RunnerKnowledge | None = None,
    ) -> None:
        """Start without requests.

        ``own_coordinator`` serves the subsets that this host coordinates;
        ``closed`` are the runners that this host may not use now;
        ``knowledge`` is of those whose capacity is contended.
        """
        self.knowledge = knowledge or capacity.make_knowledge()
        self._closed = closed or closedrunners.ClosedRunners(
            runners, rests.Rests()
        )
        self._brittle = brittle or brittleness.Brittleness()
        self._host = host
        self._address = str(address)
        self.process = messages.digest_process(process)
        self._local = local
        self._own_coordinator = own_coordinator
        self._runners = runners
        self._coordinated = coordinatedservices.CoordinatedServices(
            hosts,
            runners,
            limits or statedlimits.StatedLimits(),
            self._brittle,
            self.knowledge.contention,
        )
        self._starts = startindex.StartIndex(runners)
        self._latencies = latencies
        self._health = fitness
        self._hosts = hosts
        self._candidates = candidate_hosts
        self._rng = rng
        self._place_count = 0
        self._message_count = 0
        self._waiting: dict[int, placelinks.WaitingRequest] = {}
        self._later = placelinks.LaterReleases()
        self._links: dict[subsets.Subset, placelinks.Link] = {}
        self._subsets = subsetindex.SubsetIndex(
            runners, self.knowledge.contention
        )
        self._held = heldplaces.HeldPlaces(self._subsets.find)

    # Requests.

    def enter(self, ticket: queueing.QueuedRequest, now: float) -> None:
        """Add a request that waits for a place; it may be decided at once."""
        subset = None
        if self._coordinated.includes(ticket.service):
            subset = self._subsets.choose(ticket, (), self._rng)
        if subset is None or self._closed.waits_for_rest(ticket, now):
            self._local.enter(ticket, now)
            return
        self._place_count += 1
        ticket.number = self._place_count
        self._waiting[ticket.number] = placelinks.WaitingRequest(
            ticket, now, []
        )
        self._ask(ticket.number, subset, now)

    def leave(self, ticket: queueing.QueuedRequest, now: float) -> None:
        """Remove a request that no longer waits."""
        self._local.leave(ticket)
        if ticket.number in self._waiting:
            self._withdraw(ticket.number, None, now)

    def release(
        self, service: ids.Pool, grant: queueing.Grant, now: float
    ) -> None:
        """Release a place."""
        if not grant.number:
            self._local.release(service, grant.runner, now, grant.load)
            return
        held = self._held.pop(grant.number)
        if held is None:
            return
        self._local.return_slot(held.runner, held.load, now)
        subset = self._subsets.find(held.runner)
        if subset is not None:
            self._send(self._get_link(subset, now), now, wants_reply=False)

    def release_broken_off(
        self,
        service: ids.Pool,
        grant: queueing.Grant,
        began_at: float,
        now: float,
    ) -> None:
        """Release the place of a call that was broken off.

        A brittle runner may work on, so the place is held for as long as most
        calls take.
        """
        hold_s = self._local.find_hold_time(service)
        ends_at = placelinks.find_release_time(began_at, hold_s, now)
        if ends_at <= now or not self._brittle.is_brittle(grant.runner):
            self.release(service, grant, now)
            return
        self._later.add(ends_at, service, grant)

    def has_place(
        self,
        service: ids.Pool,
        tried: set[ids.RunnerStart],
        now: float,
        release: ids.Release | None = None,
    ) -> bool:
        """Tell whether an untried runner, of a release, may have a place."""
        if not self._coordinated.includes(service):
            return self._local.has_free_slot(service, tried, now, release)
        if all(
            entry.start in tried
            or (release is not None and entry.release != release)
            or self._closed.is_resting(entry.start, now)
            for entry in self._runners.list_open(service)
        ):
            return False
        heard = [
            link
            for link in self._links.values()
            if link.subset.service == service
            and link.heard_at is not None
            and now - link.heard_at < FREE_PLACES_MAX_AGE_S
        ]
        return not heard or any(link.free > 0 for link in heard)

    def list_coordinators(
        self, ticket: queueing.QueuedRequest, now: float
    ) -> dict[subsets.Subset, ids.Host]:
        """Return who grants which places; empty if this host does alone."""
        if not self._coordinated.includes(ticket.service):
            return {}
        usable = self._subsets.list_usable(ticket)
        return {subset: self._choose_target(subset, now) for subset in usable}

    def note(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        observation: observations.Observation,
        now: float,
        is_reported: bool = True,
    ) -> None:
        """Apply an observation of a runner, and report it if asked."""
        observations.apply(
            observation, service, start, self._latencies, self._health, now
        )
        if observation.kind is observations.Kind.HOLD:
            self._local.note_hold_time(service, observation.seconds)
        self.knowledge.apply_statement(observation, service, start, now)
        if observation.kind is observations.Kind.FIRST:
            self._local.note_cached_prefix(observation.part, start, now)
        if not is_reported or not self._coordinated.includes(service):
            return
        subset = self._subsets.find(start)
        if subset is None:
            return
        self._get_link(subset, now).note_observation(start, observation, now)

    def note_kind(
        self, entry: dialect.RunnerEntry, kind: observations.Kind
    ) -> None:
        """Apply an observation without an amount, and report it."""
        observation = observations.Observation(kind)
        now = clocks.read_monotonic()
        self.note(entry.pool, entry.start, observation, now)

    def note_load(
        self, start: ids.RunnerStart, load: tuple[int, int], now: float
    ) -> None:
        """Apply a runner's own counts of running and waiting requests."""
        self._local.note_load(start, load, now)

    # Messages and timers.

    def subscribe(self, peers: mesh.Mesh) -> None:
        """Take the messages that arrive at a mesh."""
        peers.subscribe(placemessages.PlaceRequest, self.handle_request)
        peers.subscribe(placemessages.PlaceReply, self.handle_reply)

    def handle_request(
        self, request: placemessages.PlaceRequest, now: float
    ) -> None:
        """Handle a request of a host that this one coordinates for."""
        self._deliver(self._own_coordinator.handle_request(request, now), now)

    def handle_reply(
        self, reply: placemessages.PlaceReply, now: float
    ) -> None:
        """Handle a coordinator's reply, and apply its decisions."""
        subset = placerequests.read_subset(reply)
        link = self._links.get(subset)
        if reply.process != self.process:
            return
        self._own_coordinator.note_reply(reply, now)
        if link is None:
            return
        if reply.host != link.target:
            # It was skipped; another coordinator has all requests by now.
            if self.knowledge.counts_memory(subset.service):
                self._candidates.mark_late(reply.host, now)
            return
        link.note_reply(reply, now)
        self._candidates.mark_reachable(reply.host)
        granted = reply.granted
        counts_memory = self.knowledge.counts_memory(subset.service)
        if counts_memory and not link.is_recent(reply.answers, now):
            granted = {}
        for number, digest in granted.items():
            if number in link.wanted:
                ticket = self._waiting[number].ticket
                ticket.predicted_s = reply.predicted.get(number)
                self._apply_grant(number, digest, subset, now)
        for number, refused in reply.refused.items():
            if number in link.wanted:
                self._apply_refusal(number, refused, subset, now)
        if reply.is_stopping and reply.host != self._host:
            self._candidates.mark_stopping(reply.host, now)
            self._switch_target(link, now)
        elif reply.is_stopping and counts_memory:
            # The next coordinator has to count what this host holds, too.
            self._candidates.mark_stopping(self._host, now)

    def tick(self, now: float) -> None:
        """Send the messages and make the decisions that are due."""
        self._deliver(self._own_coordinator.pump(now), now)
        for service, grant in self._later.take_due(now):
            self.release(service, grant, now)
        for number, item in list(self._waiting.items()):
            if number in self._waiting:
                self._check_waiting(number, item, now)
        for subset, host in self._own_coordinator.list_asked(now):
            self._ask_coordinator(subset, host, now)
        held = self._list_held_subsets(now)
        for subset, link in list(self._links.items()):
            self._check_link(subset, link, subset in held, now)

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Drop the state of all other runners."""
        self._own_coordinator.keep_only(runners)
        self.knowledge.retain_only(runners)

    def _deliver(
        self, replies: list[coordinator.AddressedReply], now: float
    ) -> None:
        for item in replies:
            if item.reply.process == self.process:
                self.handle_reply(item.reply, now)
                continue
            self._hosts.send(item.reply, item.address)

    def _check_waiting(
        self, number: int, item: placelinks.WaitingRequest, now: float
    ) -> None:
        if item.ticket.decision is not None:
            # Decided locally.
            self._withdraw(number, None, now)
            return
        if (
            now - item.since > SECOND_COORDINATOR_DELAY_S
            and len(item.asked) == 1
        ):
            self._ask_second(number, item, now)
        if item.is_local:
            return
        if (
            self._closed.waits_for_rest(item.ticket, now)
            or not self._has_runner(item.ticket, now)
            or all(
                subset not in self._links
                or self._links[subset].silent_hosts
                >= candidates.MAX_SILENT_HOSTS
                for subset in item.asked
            )
        ):
            item.is_local = True
            self._local.enter(item.ticket, now)

    def _has_runner(self, ticket: queueing.QueuedRequest, now: float) -> bool:
        # Coordinators cannot tell that the release which a request waits for
        # has left; this host refuses it as one whose service has no runner.
        return ticket.release is None or any(
            ticket.has_release(entry)
            and not self._health.is_unreachable(entry.start, now)
            for entry in self._runners.list_open(ticket.service)
        )

    def _list_held_subsets(self, now: float) -> set[subsets.Subset]:
        found = self._held.list_subsets()
        for subset in found:
            if self.knowledge.contention.is_on(subset.service):
                # When runners come and go, a runner may have a new
                # coordinator, which takes its places for free until told.
                self._get_link(subset, now)
        return found

    def _check_link(
        self,
        subset: subsets.Subset,
        link: placelinks.Link,
        has_held: bool,
        now: float,
    ) -> None:
        if not link.wanted and not has_held and not link.unsent:
            if (
                link.heard_at is None
                or now - link.heard_at > FREE_PLACES_MAX_AGE_S
            ):
                del self._links[subset]
            return
        if self._choose_target(subset, now) != link.target:
            self._release_all(link, now)
            self._switch_target(link, now)
            return
        if link.unanswered_at is not None:
            if now - link.unanswered_at > candidates.REPLY_TIMEOUT_S:
                link.silent_hosts += 1
                self._candidates.mark_silent(link.target, now)
                self._switch_target(link, now)
            elif now - link.sent_at > candidates.RESEND_INTERVAL_S:
                self._send(link, now)
            return
        pause = WAITING_INTERVAL_S if link.wanted else HOLDING_INTERVAL_S
        if now - link.sent_at > pause:
            self._send(link, now)

    # Requests to coordinators.

    def _ask(self, number: int, subset: subsets.Subset, now: float) -> None:
        self._waiting[number].asked.append(subset)
        link = self._get_link(subset, now)
        link.wanted.add(number)
        self._send(link, now)

    def _ask_second(
        self, number: int, item: placelinks.WaitingRequest, now: float
    ) -> None:
        subset = self._subsets.choose(item.ticket, item.asked, self._rng)
        if subset is not None:
            self._ask(number, subset, now)

    def _withdraw(
        self, number: int, granted: subsets.Subset | None, now: float
    ) -> None:
        # A grant may be in flight, so other coordinators are told at once
        # that their places are not wanted.
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

    def _apply_grant(
        self, number: int, digest: int, subset: subsets.Subset, now: float
    ) -> None:
        item = self._waiting[number]
        entry = self._starts.find_entry(digest)
        if (
            entry is None
            or entry.is_draining
            or not item.ticket.has_release(entry)
            or self._closed.is_resting(entry.start, now)
        ):
            # The coordinator's directory is older or newer than this host's,
            # or the runner has asked this host for rest.
            self._ask_again(number, item, digest, now)
            return
        self._withdraw(number, subset, now)
        ticket = item.ticket
        load = placerequests.make_load(ticket, now)
        grant = queueing.Grant(entry.start, number, load)
        self._held.add(grant, subset)
        # Counts in local decisions, and is reported to this host's group.
        self._local.take_over(entry.start, load)
        ticket.decide(grant)

    def _ask_again(
        self,
        number: int,
        item: placelinks.WaitingRequest,
        digest: int,
        now: float,
    ) -> None:
        self._withdraw(number, None, now)
        self._place_count += 1
        item.ticket.number = self._place_count
        unknown = item.unknown | {digest}
        asked, item.asked = item.asked, []
        self._waiting[self._place_count] = dataclasses.replace(
            item, unknown=unknown, refusals=[], is_local=False
        )
        for subset in asked:
            if item.ticket.number in self._waiting:
                self._ask(item.ticket.number, subset, now)

    def _apply_refusal(
        self,
        number: int,
        refused: placemessages.Refused,
        subset: subsets.Subset,
        now: float,
    ) -> None:
        item = self._waiting[number]
        link = self._links[subset]
        link.wanted.discard(number)
        item.refusals.append(queueing.Refusal(*refused))
        self._send(link, now, wants_reply=False)
        if len(item.asked) == 1:
            self._ask_second(number, item, now)
        if number not in self._waiting:
            # The second coordinator is this host, and has decided at once.
            return
        if len(item.refusals) < len(item.asked):
            return
        best = min(item.refusals, key=lambda refusal: refusal.wait_s)
        self._withdraw(number, None, now)
        place = None
        if self.knowledge.contention.is_configured:
            place = placerequests.name_place(self._host, number)
        placelinks.log_refusal(item, best, link.target, place, now)
        item.ticket.decide(best)

    def _send(
        self, link: placelinks.Link, now: float, wants_reply: bool = True
    ) -> None:
        request = self._make_request(link.subset, wants_reply)
        link.note_sent(request, now)
        has_details = self.knowledge.contention.is_on(link.subset.service)
        for number in link.wanted:
            item = self._waiting[number]
            request.wanted[number] = self._make_wanted(item, link.subset, now)
            if has_details:
                detail = placerequests.make_detail(item.ticket, now)
                request.details[number] = detail
        counts_memory = self.knowledge.counts_memory(link.subset.service)
        self._held.fill(request, has_details, counts_memory)
        request.seen.extend(placerequests.list_seen(link.unsent, now))
        link.unsent.clear()
        self._send_request(link.target, request, now)

    def _release_all(self, link: placelinks.Link, now: float) -> None:
        # Names no place, so the coordinator may grant all of them to others;
        # where memory is counted, it does so when it hears of them no longer.
        request = self._make_request(link.subset, wants_reply=False)
        if self.knowledge.counts_memory(link.subset.service):
            self._held.fill(request, True, True)
        self._send_request(link.target, request, now)

    def _ask_coordinator(
        self, subset: subsets.Subset, host: ids.Host, now: float
    ) -> None:
        # For this host's coordinator, which learns whether it is the only one.
        link = self._links.get(subset)
        if link is not None and link.target == host:
            self._send(link, now)
            return
        request = self._make_request(subset, wants_reply=True)
        self._held.fill(request, True, True)
        self._send_request(host, request, now)

    def _make_request(
        self, subset: subsets.Subset, wants_reply: bool
    ) -> placemessages.PlaceRequest:
        self._message_count += 1
        return placerequests.make_request(
            placerequests.Sender(self._host, self._address, self.process),
            self._message_count,
            subset,
            wants_reply,
        )

    def _send_request(
        self,
        target: ids.Host,
        request: placemessages.PlaceRequest,
        now: float,
    ) -> None:
        if target == self._host:
            self.handle_request(request, now)
            return
        address = self._hosts.find_address(target)
        if address is not None:
            self._hosts.send(request, address)

    def _make_wanted(
        self,
        item: placelinks.WaitingRequest,
        subset: subsets.Subset,
        now: float,
    ) -> placemessages.Wanted:
        ticket = item.ticket
        closed = [
            entry.start
            for entry in self._runners.list_open(ticket.service)
            if self._health.is_unreachable(entry.start, now)
            or self._closed.is_resting(entry.start, now)
        ]
        # The coordinator may not know yet that they leave.
        closed += [
            start for start, _ in self._runners.list_leaving(ticket.service)
        ]
        closed += self._subsets.list_unusable(ticket, subset)
        excluded = {
            messages.digest_start(start) for start in (*ticket.tried, *closed)
        }
        return placerequests.make_wanted(
            ticket, len(item.asked), excluded | item.unknown, now
        )

    # Subsets and their coordinators.

    def _get_link(self, subset: subsets.Subset, now: float) -> placelinks.Link:
        link = self._links.get(subset)
        if link is None:
            link = placelinks.Link(subset, self._choose_target(subset, now))
            self._links[subset] = link
        return link

    def _switch_target(self, link: placelinks.Link, now: float) -> None:
        link.turn_to(self._choose_target(link.subset, now))
        self._send(link, now)

    def _choose_target(self, subset: subsets.Subset, now: float) -> ids.Host:
        return self._candidates.choose(subset.find_name(), now)
