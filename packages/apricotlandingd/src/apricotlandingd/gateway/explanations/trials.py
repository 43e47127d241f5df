"""Trial of one request: its admission and placement, on copies of the state.

The steps are those of ``requests.admission`` and ``requests.exchange``,
without those that need the body, wait for another host, or change what is
shared.
"""

import dataclasses
import typing as ty

from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import examination
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import roomschedule
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.explanations import questions
from apricotlandingd.gateway.explanations import silentmesh
from apricotlandingd.gateway.explanations import statecopies
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import placemessages
from apricotlandingd.gateway.hosts import placerequests
from apricotlandingd.gateway.hosts import sharedallowances
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.relays import runnerpaths
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import memoryneeds
from apricotlandingd.gateway.requests import queueentries
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['Placement', 'Trial', 'copy_state']

# Most subsets that are examined, of those that this host coordinates.
MAX_SUBSETS = 4
METHOD = 'POST'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The decision on a request, and what it was made from."""

    ticket: queueing.QueuedRequest
    # Who grants the slots of each subset; empty if this host does alone.
    coordinators: dict[subsets.Subset, ids.Host]
    # By subset, of those that this host decides; None for all runners.
    examinations: dict[subsets.Subset | None, examination.Examination]
    # Subsets whose coordinators on other hosts were asked.
    asked: list[subsets.Subset]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Copies of what decides about a request."""

    host: ids.Host
    shared: sharedstate.SharedState
    local: scheduler.Scheduler
    own_coordinator: coordinator.Coordinator
    peers: silentmesh.SilentMesh

    def make_admission(
        self,
        question: questions.Question,
        config: catalogue.Catalogue,
        route: catalogue.Route,
        now: float,
    ) -> admission.Admission:
        """Return the request of a question as it is after its arrival."""
        admitted = admission.Admission(
            self.shared,
            {
                'method': METHOD,
                'raw_path': question.path.encode(),
                'query_string': b'',
            },
        )
        admitted.arrived_at = now
        admitted.head = _make_head(question)
        admitted.route = route
        admitted.service = route.find_service(question.attempt)
        admitted.version = config.version
        if question.organisation is not None:
            admitted.organisation = config.organisations[question.organisation]
        service = config.services.get(admitted.service)
        if service is not None:
            admitted.event_tokens = service.event_tokens
        admitted.memory_tokens = memoryneeds.find_tokens(
            self.shared, admitted.head, route, service
        )
        admitted.caller_timeout_s = question.deadline_s or route.timeout_s
        limit_s = min(admitted.caller_timeout_s, route.timeout_s)
        admitted.deadline_at = now + limit_s
        return admitted

    def find_problem(
        self,
        admitted: admission.Admission,
        config: catalogue.Catalogue,
        now: float,
    ) -> errors.Problem | None:
        """Return why a request would be refused before its allowance."""
        if admitted.organisation is None and not admitted.route.is_public:
            return errors.make_problem(errors.Kind.UNKNOWN_KEY)
        if not self.shared.held_answers.has_room(heldanswers.OPEN_BYTES):
            return errors.make_problem(
                errors.Kind.HOST_MEMORY_FULL, roomschedule.MAX_DELAY_S
            )
        return memoryneeds.find_problem(
            self.shared,
            config.services.get(admitted.service),
            admitted.memory_tokens,
        )

    def ask_allowance(
        self, admitted: admission.Admission, now: float
    ) -> sharedallowances.UnitRequest | None:
        """Return the request for an allowance; None without an organisation.

        It has no answer if another host grants the allowance.
        """
        holder, head = admitted.organisation, admitted.head
        if holder is None:
            return None
        tokens = None
        if head.has_token_counts:
            tokens = head.prompt_tokens + head.output_tokens
        cost = self.shared.allowances.buckets.find_cost(holder, tokens)
        return self.shared.shared_allowances.ask(holder, cost, now)

    def find_late_problem(
        self, admitted: admission.Admission, now: float
    ) -> errors.Problem | None:
        """Return why a request would be refused after its allowance."""
        guard = self.shared.crash_guard
        problem = guard.explain_parts(admitted.part_keys, now)
        if problem is None and self.shared.paths.is_lost(admitted.service):
            return errors.make_problem(
                errors.Kind.NO_LINKS, runnerpaths.LOST_RETRY_AFTER_S
            )
        return problem

    def place(
        self,
        admitted: admission.Admission,
        priority: ids.Tier | None,
        now: float,
    ) -> Placement:
        """Decide where a request would go."""
        ticket = queueentries.make_queue_entry(
            self.shared,
            admitted,
            now,
            queueentries.Progress(has_begun=False, sends=0, tried=set()),
        )
        if priority is not None:
            ticket.tier = priority
        dispatcher = self.shared.dispatcher
        coordinators = dispatcher.list_coordinators(ticket, now)
        if self.shared.closed.waits_for_rest(ticket, now):
            # This host decides, as the rest was asked of it alone.
            coordinators = {}
        examinations = self._examine(ticket, coordinators, now)
        dispatcher.enter(ticket, now)
        asked: list[subsets.Subset] = []
        for message in self.peers.sent:
            if not isinstance(message, placemessages.PlaceRequest):
                continue
            if ticket.number in message.wanted:
                asked.append(placerequests.read_subset(message))
        return Placement(ticket, coordinators, examinations, asked)

    def _examine(
        self,
        ticket: queueing.QueuedRequest,
        coordinators: dict[subsets.Subset, ids.Host],
        now: float,
    ) -> dict[subsets.Subset | None, examination.Examination]:
        if not coordinators:
            return {None: self.local.examine(ticket, now)}
        found: dict[subsets.Subset | None, examination.Examination] = {}
        for subset, host in coordinators.items():
            if host != self.host or len(found) == MAX_SUBSETS:
                continue
            decisions = self.own_coordinator.open_decisions(subset)
            found[subset] = decisions.examine(ticket, now)
        return found


def copy_state(
    host: ids.Host,
    shared: sharedstate.SharedState,
    local: scheduler.Scheduler,
    own_coordinator: coordinator.Coordinator,
    peers: mesh.Mesh,
) -> Trial:
    """Return a trial on copies; raises statecopies.Uncopyable."""
    silent = silentmesh.SilentMesh(peers)
    copier = statecopies.StateCopier(
        ((peers, silent), (shared.directory, shared.directory))
    )
    return Trial(
        host,
        dataclasses.replace(
            shared,
            allowances=copier.copy(shared.allowances),
            shared_allowances=copier.copy(shared.shared_allowances),
            dispatcher=copier.copy(shared.dispatcher),
            latencies=copier.copy(shared.latencies),
            telemetry=telemetry.MetricRegistry(),
            contention=copier.copy(shared.contention),
            closed=copier.copy(shared.closed),
            participant=copier.copy(shared.participant),
        ),
        copier.copy(local),
        copier.copy(own_coordinator),
        silent,
    )


def _make_head(question: questions.Question) -> dialect.RequestHead:
    return dialect.RequestHead(
        attempt=question.attempt,
        hostname=question.hostname,
        key=None,
        deadline_s=question.deadline_s,
        prompt_tokens=question.prompt_tokens or 0,
        output_tokens=question.output_tokens or 0,
        expected_tokens=question.expected_tokens,
        has_token_counts=question.prompt_tokens is not None,
        # Decisions use the digests alone.
        prefix=tuple((part, 0) for part in question.prompt_parts),
        last_event='',
        passed=(),
    )
