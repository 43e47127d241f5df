"""Coordinator of subsets of runners, which grants their places to hosts.

Any host coordinates a subset as soon as another one asks it to, so there is no
election and no handover: each request states all places that its host holds,
and a new coordinator knows the places of a subset once all hosts have asked
it. Decisions are those of ``decisions.scheduler``, over the runners of the
subset and the requests of all hosts that ask.
"""

import collections.abc
import dataclasses
import math
import random
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import brittlelimits
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import memorybounds
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import ratelimits
from apricotlandingd.gateway.decisions import reserves
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import serviceshares
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.hosts import placerequests
from apricotlandingd.gateway.hosts import subsetviews
from apricotlandingd.gateway.hosts import takeovers
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import observations
from apricotlandingd.gateway.runners import startindex
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['AddressedReply', 'Coordinator', 'Shares']

# Seconds without a message after which a host's places are released: it sends
# several times as often while it holds or wants any.
CLIENT_TIMEOUT_S = 1.2
# Seconds within which a second host must fail to reach a runner too, to show
# that the runner is at fault and not the first host's link.
CONFIRMATION_WINDOW_S = 2.0
# Seconds for which an answer to one host shows that the runner is there, and
# that hosts which cannot reach it have lost their links. Hosts report answers
# several times in this time.
ANSWER_MAX_AGE_S = 1.0


class Shares(takeovers.Order, ty.Protocol):
    """Shares of the hosts, by which they divide what runners bear."""

    def find_equal(self) -> float:
        """Return the share of one host, if all have the same."""

    def find_heard(self) -> float:
        """Return the share of the hosts that is heard, this one included."""

    def is_first(self, subset: subsets.Subset) -> bool:
        """Tell whether this host is the first to coordinate a subset."""


class AddressedReply(ty.NamedTuple):
    """A reply, and the address that it goes to."""

    address: addresses.Address
    reply: placemessages.PlaceReply


@ty.final
@dataclasses.dataclass(slots=True)
class _Client:
    """A host's process that asks for places in a subset."""

    address: addresses.Address
    # Number of its newest request.
    number: int
    heard_at: float
    # When it last asked this coordinator and no other, as far as it is known.
    asked_at: float = -math.inf
    # It has wanted a place, so it does not only ask who coordinates.
    has_wanted: bool = False
    # Requests that wait or were decided, and the runners of held places, by
    # number of the place.
    tickets: dict[int, queueing.QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    held: dict[int, queueing.Grant] = dataclasses.field(default_factory=dict)

    def is_asking(self, now: float) -> bool:
        """Tell whether it asks this coordinator and no other."""
        return now - self.asked_at <= takeovers.MAX_ANSWERED_AGE_S


@ty.final
@dataclasses.dataclass(slots=True)
class _Schedule:
    """State of one subset that this host coordinates."""

    decisions: scheduler.Scheduler
    # By the digest of the process.
    clients: dict[int, _Client] = dataclasses.field(default_factory=dict)
    # Undecided requests, by process and number of the place.
    undecided: dict[tuple[int, int], queueing.QueuedRequest] = (
        dataclasses.field(default_factory=dict)
    )

    def pop_decided(self) -> set[int]:
        """Remove decided requests, and return the processes they are from."""
        decided = [
            key
            for key, ticket in self.undecided.items()
            if ticket.decision is not None
        ]
        for key in decided:
            del self.undecided[key]
        return {process for process, _ in decided}


@ty.final
class Coordinator:
    """Grants the places of the subsets for which hosts ask this one."""

    def __init__(
        self,
        host: ids.Host,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        fitness: health.Health,
        rng: random.Random,
        is_stopping: collections.abc.Callable[[], bool],
        knows_runners: collections.abc.Callable[[], bool],
        find_hold_time: collections.abc.Callable[[ids.Pool], float],
        limits: statedlimits.StatedLimits | None = None,
        count_running: collections.abc.Callable[[ids.RunnerStart], int] = (
            lambda start: 0
        ),
        brittle: brittleness.Brittleness | None = None,
        shares: Shares | None = None,
        knowledge: capacity.RunnerKnowledge | None = None,
        sharing: serviceshares.ServiceShares | None = None,
    ) -> None:
        """Start without subsets.

        While ``knows_runners`` returns False, requests get no reply.
        ``find_hold_time`` returns the seconds for which this host's own
        requests hold a place of a service, as the first estimate for a new
        subset. ``count_running`` returns the requests at a runner that hosts
        report, those granted here included; 0 if hosts do not report them.
        ``shares`` tells which part of brittle runners is this host's to grant;
        without it, all. ``knowledge`` is of runners whose capacity is
        contended. Without ``sharing``, organisations are not told apart, and
        lower tiers do not expect requests of higher ones.
        """
        self._sharing = sharing
        self.knowledge = knowledge or capacity.make_knowledge()
        self._limits = limits or statedlimits.StatedLimits()
        self._brittle = brittle or brittleness.Brittleness()
        self._shares = shares or subsetviews.OnlyCoordinator()
        self._count_running = count_running
        self._host = host
        self._runners = runners
        self._starts = startindex.StartIndex(runners)
        self._latencies = latencies
        self._health = fitness
        self._rng = rng
        self._is_stopping = is_stopping
        self._knows_runners = knows_runners
        self._find_hold = find_hold_time
        self._schedules: dict[subsets.Subset, _Schedule] = {}
        self._take_overs = takeovers.TakeOvers(self._shares, self._is_current)
        # Runners of each service, for this value of the directory's changes.
        self._open_counts: dict[ids.Pool, int] = {}
        self._counted_at = -1
        # The last process that could not reach a runner, and when.
        self._unreachable_reports: dict[
            ids.RunnerStart, tuple[int, float]
        ] = {}
        # When a host last reported an answer of each runner.
        self._answered_at: dict[ids.RunnerStart, float] = {}

    def handle_request(
        self, request: placemessages.PlaceRequest, now: float
    ) -> list[AddressedReply]:
        """Handle a host's request; return the replies to it and others."""
        if request.place >= request.total or not self._knows_runners():
            return []
        subset = placerequests.read_subset(request)
        asks_for_clients = False
        if self.knowledge.counts_memory(subset.service):
            self._take_overs.note_run(now)
            asks_for_clients = self._take_overs.note_request(
                subset, request.host, now
            )
            if asks_for_clients and not self._must_answer(
                subset, request, now
            ):
                return []
        schedule = self._get_schedule(subset)
        client = schedule.clients.get(request.process)
        if client is None:
            address = messages.read_address(request.address)
            client = _Client(address, request.number, now)
            schedule.clients[request.process] = client
        elif request.number <= client.number:
            return []
        client.number = request.number
        client.heard_at = now
        client.has_wanted |= bool(request.wanted)
        # A host that turns to another coordinator says so without a question,
        # as one does that releases its last place.
        if request.wants_reply or request.wanted:
            client.asked_at = now
        else:
            client.asked_at = -math.inf
        for item in request.seen:
            self._apply_observation(schedule, request, item, now)
        self._reconcile_places(schedule, subset, client, request, now)
        self._enqueue(schedule, client, request, now)
        asking = request.process if request.wants_reply else None
        return self._make_replies(subset, schedule, asking, now)

    def pump(self, now: float) -> list[AddressedReply]:
        """Make the decisions that are due; return the replies."""
        found: list[AddressedReply] = []
        if self.knowledge.contention.is_configured:
            self._take_overs.note_run(now)
        for subset, schedule in list(self._schedules.items()):
            self._drop_silent(schedule, subset, now)
            if not schedule.clients:
                del self._schedules[subset]
                continue
            schedule.decisions.schedule_all(now)
            found.extend(self._make_replies(subset, schedule, None, now))
        self._take_overs.tidy(self._schedules)
        if self._sharing is not None:
            services = {subset.service for subset in self._schedules}
            self._sharing.tidy(services, now)
        return found

    def list_asked(self, now: float) -> list[tuple[subsets.Subset, ids.Host]]:
        """Return the hosts that are to be asked whether they coordinate."""
        return [
            (subset, host)
            for subset in self._schedules
            if self.knowledge.counts_memory(subset.service)
            for host in self._take_overs.list_asked(subset, now)
        ]

    def note_reply(self, reply: placemessages.PlaceReply, now: float) -> None:
        """Note that a host coordinates, by its reply; not one that stops."""
        subset = placerequests.read_subset(reply)
        if reply.host != self._host and not reply.is_stopping:
            self._take_overs.note_reply(subset, reply.host, now)

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Drop the state of all other runners."""
        for start in set(self._unreachable_reports) - runners:
            del self._unreachable_reports[start]
        for start in set(self._answered_at) - runners:
            del self._answered_at[start]
        if not self.knowledge.contention.is_configured:
            return
        for schedule in self._schedules.values():
            # A registration that is gone may come back: what its runner holds
            # counts until it is released.
            held = set(schedule.decisions.held_slots.running)
            schedule.decisions.keep_only(runners | held)

    def count_subsets(self) -> int:
        """Return the number of subsets that this host coordinates."""
        return len(self._schedules)

    def open_decisions(self, subset: subsets.Subset) -> scheduler.Scheduler:
        """Return the scheduler of a subset; a new one if there is none."""
        return self._get_schedule(subset).decisions

    def _get_schedule(self, subset: subsets.Subset) -> _Schedule:
        found = self._schedules.get(subset)
        if found is None:
            view = subsetviews.SubsetView(subset, self._count_running)
            parts = subsetviews.SubsetParts(
                subset, self._find_share, self._find_bounds
            )
            sharing, higher_tiers = None, None
            if self._sharing is not None:
                sharing = self._sharing.open(subset.service)
                higher_tiers = reserves.HigherTiers()
            found = _Schedule(
                scheduler.Scheduler(
                    self._runners,
                    self._latencies,
                    self._health,
                    view,
                    self._rng,
                    ratelimits.RateLimiter(
                        self._limits,
                        lambda: 1.0,
                        brittlelimits.BrittleLimits(
                            self._brittle, parts.find_share, self._rng
                        ),
                    ),
                    knowledge=dataclasses.replace(
                        self.knowledge, find_bounds=parts.find_bounds
                    ),
                    sharing=sharing,
                    higher_tiers=higher_tiers,
                )
            )
            view.held_slots = found.decisions.held_slots
            held_s = self._find_hold(subset.service)
            found.decisions.set_hold_time(subset.service, held_s)
            self._schedules[subset] = found
        return found

    def _find_share(self, subset: subsets.Subset) -> float:
        # Hosts that do not hear the first coordinator ask another one, which
        # does not know what the first one grants.
        heard = self._shares.find_heard()
        if self._shares.is_first(subset):
            return heard
        count = len(self._list_clients(subset))
        return min(heard, count * self._shares.find_equal())

    # Memory of runners.

    def _is_current(self, subset: subsets.Subset) -> bool:
        if self._counted_at != self._runners.changes:
            self._counted_at = self._runners.changes
            self._open_counts.clear()
        service = subset.service
        if service not in self._open_counts:
            count = len(self._runners.list_open(service))
            self._open_counts[service] = count
        return subsets.is_current(subset, self._open_counts[service])

    def _list_clients(self, subset: subsets.Subset) -> dict[int, _Client]:
        # By process.
        schedule = self._schedules.get(subset)
        return {} if schedule is None else schedule.clients

    def _must_answer(
        self,
        subset: subsets.Subset,
        request: placemessages.PlaceRequest,
        now: float,
    ) -> bool:
        # A host that comes first wants places here only while it is stopping.
        # Otherwise it asks whether this host has clients.
        return bool(request.wanted) or any(
            client.has_wanted
            if process == request.process
            else client.is_asking(now) and (client.held or client.tickets)
            for process, client in self._list_clients(subset).items()
        )

    def _find_bounds(
        self, subset: subsets.Subset, now: float
    ) -> memorybounds.Bounds:
        is_first = self._shares.is_first(subset)
        share = self._shares.find_heard()
        if is_first:
            share = max(memorybounds.MIN_HEARD_SHARE, share)
        else:
            clients = self._list_clients(subset).values()
            count = sum(client.is_asking(now) for client in clients)
            share = min(share, count * self._shares.find_equal())
        wait_s = self._take_overs.find_wait(subset, now)
        if self._is_stopping():
            wait_s = takeovers.TAKE_OVER_S
        return memorybounds.make_bounds(share, is_first, wait_s)

    # Held and wanted places.

    def _reconcile_places(
        self,
        schedule: _Schedule,
        subset: subsets.Subset,
        client: _Client,
        request: placemessages.PlaceRequest,
        now: float,
    ) -> None:
        for number, ticket in list(client.tickets.items()):
            if number in request.wanted:
                continue
            del client.tickets[number]
            schedule.undecided.pop((request.process, number), None)
            if isinstance(ticket.decision, queueing.Grant):
                client.held[number] = ticket.decision
            elif ticket.decision is None:
                schedule.decisions.leave(ticket)
        for number, grant in list(client.held.items()):
            if number in request.held:
                continue
            del client.held[number]
            schedule.decisions.release(
                subset.service, grant.runner, now, grant.load
            )
        for number, digest in request.held.items():
            if number in client.held:
                continue
            known = self._starts.find(digest)
            if known is None:
                continue
            # Granted by another coordinator, or before the subsets changed.
            load = placerequests.read_load(request.details.get(number), now)
            client.held[number] = queueing.Grant(known, load=load)
            schedule.decisions.take_over(known, load)

    def _enqueue(
        self,
        schedule: _Schedule,
        client: _Client,
        request: placemessages.PlaceRequest,
        now: float,
    ) -> None:
        for number, wanted in request.wanted.items():
            known = client.tickets.get(number)
            if known is not None:
                known.queue_weight = 1 / wanted.coordinators
                known.tried = self._find_excluded(wanted)
            if known is not None or number in client.held:
                continue
            ticket = self._make_ticket(request, number, wanted, now)
            client.tickets[number] = ticket
            schedule.undecided[request.process, number] = ticket
            schedule.decisions.enter(ticket, now)

    def _make_ticket(
        self,
        request: placemessages.PlaceRequest,
        number: int,
        wanted: placemessages.Wanted,
        now: float,
    ) -> queueing.QueuedRequest:
        return placerequests.read_ticket(
            request, number, self._find_excluded(wanted), now
        )

    def _find_excluded(
        self, wanted: placemessages.Wanted
    ) -> set[ids.RunnerStart]:
        found = (self._starts.find(item) for item in wanted.excluded)
        return {start for start in found if start is not None}

    def _drop_silent(
        self, schedule: _Schedule, subset: subsets.Subset, now: float
    ) -> None:
        for process, client in list(schedule.clients.items()):
            if now - client.heard_at <= CLIENT_TIMEOUT_S:
                continue
            del schedule.clients[process]
            for number, ticket in client.tickets.items():
                schedule.undecided.pop((process, number), None)
                if ticket.decision is None:
                    schedule.decisions.leave(ticket)
                elif isinstance(ticket.decision, queueing.Grant):
                    schedule.decisions.release(
                        subset.service,
                        ticket.decision.runner,
                        now,
                        ticket.decision.load,
                    )
            for grant in client.held.values():
                schedule.decisions.release(
                    subset.service, grant.runner, now, grant.load
                )

    # Replies.

    def _make_replies(
        self,
        subset: subsets.Subset,
        schedule: _Schedule,
        asking: int | None,
        now: float,
    ) -> list[AddressedReply]:
        recipients = schedule.pop_decided()
        if asking is not None:
            recipients.add(asking)
        if not recipients:
            return []
        free = schedule.decisions.count_free_slots(subset.service, now)
        found: list[AddressedReply] = []
        for process in sorted(recipients):
            client = schedule.clients[process]
            reply = self._make_reply(subset, process, client, free)
            found.append(AddressedReply(client.address, reply))
        return found

    def _make_reply(
        self,
        subset: subsets.Subset,
        process: int,
        client: _Client,
        free: int,
    ) -> placemessages.PlaceReply:
        granted: dict[int, int] = {}
        refused: dict[int, placemessages.Refused] = {}
        predicted: dict[int, float] = {}
        for number, ticket in client.tickets.items():
            decision = ticket.decision
            if decision is None:
                continue
            if isinstance(decision, queueing.Grant):
                granted[number] = messages.digest_start(decision.runner)
                if ticket.predicted_s is not None:
                    predicted[number] = min(
                        ticket.predicted_s, placemessages.MAX_SECONDS
                    )
                continue
            refused[number] = placemessages.Refused(
                decision.retry_after_s,
                min(decision.wait_s, placemessages.MAX_SECONDS),
                decision.ahead,
            )
        return placemessages.PlaceReply(
            host=self._host,
            process=process,
            answers=client.number,
            service=subset.service,
            place=subset.number,
            total=subset.total,
            granted=granted,
            refused=refused,
            free=free,
            is_stopping=self._is_stopping(),
            is_by_hash=subset.is_by_hash,
            predicted=predicted,
        )

    # Observations of runners.

    def _apply_observation(
        self,
        schedule: _Schedule,
        request: placemessages.PlaceRequest,
        item: placemessages.RunnerObservation,
        now: float,
    ) -> None:
        start = self._starts.find(item.runner)
        if start is None:
            return
        observation = observations.Observation(
            item.kind, item.amount, item.seconds, item.part
        )
        if item.kind is observations.Kind.SLOWNESS:
            if request.host != self._host:
                stated_at = now - item.seconds
                self.knowledge.apply(
                    observation, request.service, start, stated_at
                )
            return
        running = schedule.decisions.count_running(start)
        self.knowledge.apply(observation, request.service, start, now, running)
        if item.kind is observations.Kind.HOLD:
            schedule.decisions.note_hold_time(request.service, item.seconds)
            return
        if item.kind is observations.Kind.FIRST:
            schedule.decisions.note_cached_prefix(item.part, start, now)
        if item.kind in (
            observations.Kind.LIMIT,
            observations.Kind.LIMIT_ENDED,
        ):
            rate = None
            if item.kind is observations.Kind.LIMIT:
                rate = item.amount / observations.LIMIT_AMOUNT_PER_S
            self._limits.merge(start, statedlimits.Statement(rate, now))
            return
        if item.kind is observations.Kind.SUCCESS:
            self._answered_at[start] = now
        if request.host == self._host:
            # This host has applied its own observation already.
            return
        if (
            item.kind is observations.Kind.UNREACHABLE
            and not self._is_confirmed(start, request.process, now)
        ):
            # The host leaves the runner out of its own requests.
            return
        observations.apply(
            observation,
            request.service,
            start,
            self._latencies,
            self._health,
            now,
        )

    def _is_confirmed(
        self, start: ids.RunnerStart, process: int, now: float
    ) -> bool:
        # Hosts may have lost their own links to the runner.
        answered_at = self._answered_at.get(start)
        if answered_at is not None and now - answered_at < ANSWER_MAX_AGE_S:
            return False
        known = self._unreachable_reports.get(start)
        self._unreachable_reports[start] = (process, now)
        if known is None or known[0] == process:
            return False
        return now - known[1] < CONFIRMATION_WINDOW_S
