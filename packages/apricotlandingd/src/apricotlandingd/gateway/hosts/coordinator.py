"""This host as the coordinator of subsets of runners.

Any host coordinates a subset as soon as another one asks it to, so there is
nothing to agree on and nothing to take over: hosts state all that they hold in
each request, and a coordinator that is new to a subset knows its places when
the hosts have asked it once. Decisions are those of ``decisions.scheduler``,
with the runners of the subset and the requests of all hosts that ask.
"""

import collections.abc
import dataclasses
import random
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import observations
from apricotlandingd.gateway.runners import startindex

__all__ = ['Coordinator', 'Outgoing']

# Seconds without a message after which a host's places are given to others:
# it sends several times as often while it holds or wants any.
CLIENT_TIMEOUT = 1.2
# Seconds within which a second host that cannot reach a runner shows that the
# runner is the reason, and not the first host's link.
CONFIRM_TIME = 2.0


class Outgoing(ty.NamedTuple):
    """A reply, and where it goes."""

    address: addresses.Address
    reply: placemessages.PlaceReply


@ty.final
class _SubsetView:
    """What the scheduler of a subset asks about others: there are none."""

    def __init__(self, subset: subsets.Subset) -> None:
        self.partition = _SubsetRunners(subset)

    def count_running(self, runner: ids.RunnerStart) -> int:
        return 0

    def list_waiting(self, service: ids.Pool) -> list[waiting.Rank]:
        return []

    def find_silent_share(self) -> float:
        return 0.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _SubsetRunners:
    subset: subsets.Subset

    def select_runners(
        self, entries: list[dialect.RunnerEntry]
    ) -> list[dialect.RunnerEntry]:
        return subsets.select_runners(self.subset, entries)


@ty.final
@dataclasses.dataclass(slots=True)
class _Client:
    """A host's process that asks for places in a subset."""

    address: addresses.Address
    # Of its newest request.
    number: int
    heard_at: float
    # What waits or was decided, and places held, by number of the place.
    tickets: dict[int, waiting.Ticket] = dataclasses.field(
        default_factory=dict
    )
    held: dict[int, ids.RunnerStart] = dataclasses.field(default_factory=dict)


@ty.final
@dataclasses.dataclass(slots=True)
class _Schedule:
    """One subset, as this host coordinates it."""

    decisions: scheduler.Scheduler
    # By the digest of the process.
    clients: dict[int, _Client] = dataclasses.field(default_factory=dict)
    # What waits, by process and number of the place.
    open: dict[tuple[int, int], waiting.Ticket] = dataclasses.field(
        default_factory=dict
    )

    def take_decided(self) -> set[int]:
        """Return the processes for which there are new decisions."""
        decided = [
            key
            for key, ticket in self.open.items()
            if ticket.decision is not None
        ]
        for key in decided:
            del self.open[key]
        return {process for process, _ in decided}


@ty.final
class Coordinator:
    """The subsets of runners that other hosts leave to this one."""

    def __init__(
        self,
        host: ids.Host,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        fitness: health.Health,
        spread: random.Random,
        is_stopping: collections.abc.Callable[[], bool],
        knows_runners: collections.abc.Callable[[], bool],
        find_hold: collections.abc.Callable[[ids.Pool], float],
    ) -> None:
        """Start without subsets.

        While ``knows_runners`` says no, this host answers nobody.
        ``find_hold`` returns how long this host's own requests hold a place
        of a service, for subsets of which nothing is known yet.
        """
        self._host = host
        self._runners = runners
        self._starts = startindex.StartIndex(runners)
        self._latencies = latencies
        self._health = fitness
        self._spread = spread
        self._is_stopping = is_stopping
        self._knows_runners = knows_runners
        self._find_hold = find_hold
        self._schedules: dict[subsets.Subset, _Schedule] = {}
        # The last host that could not reach a runner, and when.
        self._missed: dict[ids.RunnerStart, tuple[int, float]] = {}

    def take(
        self, request: placemessages.PlaceRequest, now: float
    ) -> list[Outgoing]:
        """Take a host's request; return the replies to it and to others."""
        if request.place >= request.total or not self._knows_runners():
            return []
        subset = subsets.Subset(request.service, request.place, request.total)
        schedule = self._open(subset)
        client = schedule.clients.get(request.process)
        if client is None:
            address = messages.read_address(request.address)
            client = _Client(address, request.number, now)
            schedule.clients[request.process] = client
        elif request.number <= client.number:
            return []
        client.number = request.number
        client.heard_at = now
        for item in request.seen:
            self._learn(schedule, request, item, now)
        self._settle(schedule, subset, client, request, now)
        self._enter(schedule, client, request, now)
        asking = request.process if request.wants_reply else None
        return self._answer(subset, schedule, asking, now)

    def pump(self, now: float) -> list[Outgoing]:
        """Decide by time; return the replies."""
        found: list[Outgoing] = []
        for subset, schedule in list(self._schedules.items()):
            self._drop_silent(schedule, subset, now)
            if not schedule.clients:
                del self._schedules[subset]
                continue
            schedule.decisions.pump(now)
            found.extend(self._answer(subset, schedule, None, now))
        return found

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget runners that are gone."""
        for start in set(self._missed) - runners:
            del self._missed[start]

    def count_subsets(self) -> int:
        """Return the subsets that hosts have left to this one."""
        return len(self._schedules)

    def _open(self, subset: subsets.Subset) -> _Schedule:
        found = self._schedules.get(subset)
        if found is None:
            found = _Schedule(
                scheduler.Scheduler(
                    self._runners,
                    self._latencies,
                    self._health,
                    _SubsetView(subset),
                    self._spread,
                )
            )
            held_s = self._find_hold(subset.service)
            found.decisions.assume_hold(subset.service, held_s)
            self._schedules[subset] = found
        return found

    # What hosts hold and want.

    def _settle(
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
            schedule.open.pop((request.process, number), None)
            if isinstance(ticket.decision, waiting.Grant):
                client.held[number] = ticket.decision.runner
            elif ticket.decision is None:
                schedule.decisions.leave(ticket)
        for number, start in list(client.held.items()):
            if number in request.held:
                continue
            del client.held[number]
            schedule.decisions.release(subset.service, start, now)
        for number, digest in request.held.items():
            if number in client.held:
                continue
            known = self._starts.find(digest)
            if known is None:
                continue
            # Granted by another coordinator, or before the subsets changed.
            client.held[number] = known
            schedule.decisions.places.take(known)

    def _enter(
        self,
        schedule: _Schedule,
        client: _Client,
        request: placemessages.PlaceRequest,
        now: float,
    ) -> None:
        for number, wanted in request.wanted.items():
            known = client.tickets.get(number)
            if known is not None:
                known.share = 1 / wanted.coordinators
            if known is not None or number in client.held:
                continue
            ticket = self._make_ticket(request, number, wanted, now)
            client.tickets[number] = ticket
            schedule.open[request.process, number] = ticket
            schedule.decisions.enter(ticket, now)

    def _make_ticket(
        self,
        request: placemessages.PlaceRequest,
        number: int,
        wanted: placemessages.Wanted,
        now: float,
    ) -> waiting.Ticket:
        excluded = (self._starts.find(item) for item in wanted.excluded)
        return waiting.Ticket(
            attempt=f'{request.host}/{number}',
            service=request.service,
            tier=ids.Tier(wanted.tier),
            route_tier=ids.Tier(wanted.route_tier),
            arrived_at=now,
            on_time_by=now + wanted.on_time_in,
            useful_until=now + wanted.useful_in,
            ends_at=now + wanted.ends_in,
            prompt_tokens=wanted.prompt_tokens,
            events=wanted.events,
            last_part=wanted.last_part,
            tried={start for start in excluded if start is not None},
            share=1 / wanted.coordinators,
        )

    def _drop_silent(
        self, schedule: _Schedule, subset: subsets.Subset, now: float
    ) -> None:
        for process, client in list(schedule.clients.items()):
            if now - client.heard_at <= CLIENT_TIMEOUT:
                continue
            del schedule.clients[process]
            for number, ticket in client.tickets.items():
                schedule.open.pop((process, number), None)
                if ticket.decision is None:
                    schedule.decisions.leave(ticket)
                elif isinstance(ticket.decision, waiting.Grant):
                    schedule.decisions.release(
                        subset.service, ticket.decision.runner, now
                    )
            for start in client.held.values():
                schedule.decisions.release(subset.service, start, now)

    # What hosts are told.

    def _answer(
        self,
        subset: subsets.Subset,
        schedule: _Schedule,
        asking: int | None,
        now: float,
    ) -> list[Outgoing]:
        told = schedule.take_decided()
        if asking is not None:
            told.add(asking)
        if not told:
            return []
        free = schedule.decisions.count_free(subset.service, now)
        found: list[Outgoing] = []
        for process in sorted(told):
            client = schedule.clients[process]
            reply = self._make_reply(subset, process, client, free)
            found.append(Outgoing(client.address, reply))
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
        for number, ticket in client.tickets.items():
            decision = ticket.decision
            if decision is None:
                continue
            if isinstance(decision, waiting.Grant):
                granted[number] = messages.digest_start(decision.runner)
                continue
            refused[number] = placemessages.Refused(
                decision.return_s,
                min(decision.wait_s, placemessages.LONGEST),
                decision.ahead,
            )
        return placemessages.PlaceReply(
            host=self._host,
            process=process,
            answers=client.number,
            service=subset.service,
            place=subset.place,
            total=subset.total,
            granted=granted,
            refused=refused,
            free=free,
            is_stopping=self._is_stopping(),
        )

    # What hosts have seen.

    def _learn(
        self,
        schedule: _Schedule,
        request: placemessages.PlaceRequest,
        item: placemessages.Seen,
        now: float,
    ) -> None:
        start = self._starts.find(item.runner)
        if start is None:
            return
        if item.kind is observations.Kind.HOLD:
            schedule.decisions.note_hold(request.service, item.seconds)
            return
        if item.kind is observations.Kind.FIRST:
            schedule.decisions.note_part(item.part, start, now)
        if request.host == self._host:
            # This host has learned from it already.
            return
        kind = item.kind
        if kind is observations.Kind.UNREACHABLE and not self._is_confirmed(
            start, request.process, now
        ):
            kind = observations.Kind.FAILURE
        observations.apply(
            observations.Observation(
                kind, item.amount, item.seconds, item.part
            ),
            request.service,
            start,
            self._latencies,
            self._health,
            now,
        )

    def _is_confirmed(
        self, start: ids.RunnerStart, process: int, now: float
    ) -> bool:
        # One host alone may itself be cut off from the runner.
        known = self._missed.get(start)
        self._missed[start] = (process, now)
        if known is None or known[0] == process:
            return False
        return now - known[1] < CONFIRM_TIME
