"""Explanation of where a request would go now, and why."""

import enum
import typing as ty

from apricotlanding import addresses
from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.explanations import logdiversion
from apricotlandingd.gateway.explanations import questions
from apricotlandingd.gateway.explanations import statecopies
from apricotlandingd.gateway.explanations import tables
from apricotlandingd.gateway.explanations import trials
from apricotlandingd.gateway.hosts import coordinator
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import placerequests
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import poolchoice
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.runners import health

__all__ = ['MIN_INTERVAL_S', 'PlacementExplainer', 'Verdict']

# Shortest time between two explanations of a host. An explanation takes the
# time of some decisions, in which the host decides nothing else.
MIN_INTERVAL_S = 0.5
# Most coordinators, log lines and runners outside the decision that an
# explanation lists.
MAX_COORDINATORS = 64
MAX_LINES = 8
MAX_CLOSED = 48

Description = dict[str, ty.Any]


class Verdict(enum.Enum):
    """What would become of a request."""

    GRANTED = 'would be granted now'
    WAITS = 'would wait'
    REFUSED = 'would be refused'
    ELSEWHERE = 'another host decides'


@ty.final
class PlacementExplainer:
    """Explains placements from the state of this host."""

    def __init__(
        self,
        host: ids.Host,
        operators: addresses.Address,
        state: addresses.Address,
        shared: sharedstate.SharedState,
        local: scheduler.Scheduler,
        own_coordinator: coordinator.Coordinator,
        knowledge: capacity.RunnerKnowledge,
        fitness: health.Health,
        peers: mesh.Mesh,
    ) -> None:
        """Explain from what decides about a host's requests.

        ``operators`` and ``state`` are this host's addresses for operators
        and for states of peers; they lie as far apart on every host.
        """
        self._host = host
        self._operators = operators
        self._port_offset = operators.port - state.port
        self._shared = shared
        self._local = local
        self._own_coordinator = own_coordinator
        self._knowledge = knowledge
        self._health = fitness
        self._peers = peers
        self._explained_at: float | None = None

    def explain(self, question: questions.Question, now: float) -> Description:
        """Return where a request would go now, as a JSON object.

        Raises errors.Refused if the question cannot be answered.
        """
        self._limit_rate(now)
        config = self._shared.find_catalogue()
        found: Description = {
            'host': self._host,
            'version': None if config is None else config.version,
            'verdict': Verdict.REFUSED.value,
        }
        try:
            with logdiversion.divert_log() as lines:
                outcome = self._decide(question, config, found, lines, now)
        except statecopies.Uncopyable as error:
            raise errors.Refused(
                errors.make_problem(
                    errors.Kind.NOT_EXPLAINED, detail=str(error)
                )
            ) from error
        if isinstance(outcome, errors.Problem):
            found['refusal'] = tables.describe_problem(outcome)
        else:
            found['verdict'] = outcome.value
        return found

    def _limit_rate(self, now: float) -> None:
        before = self._explained_at
        if before is not None and now - before < MIN_INTERVAL_S:
            raise errors.Refused(
                errors.make_problem(
                    errors.Kind.EXPLAINED_JUST_NOW,
                    MIN_INTERVAL_S,
                    interval_s=MIN_INTERVAL_S,
                )
            )
        self._explained_at = now

    def _decide(
        self,
        question: questions.Question,
        config: catalogue.Catalogue | None,
        found: Description,
        lines: list[Description],
        now: float,
    ) -> Verdict | errors.Problem:
        if config is None:
            return errors.make_problem(
                errors.Kind.NO_CONFIGURATION, admission.RETRY_AFTER_S
            )
        name = question.organisation
        if name is not None and name not in config.organisations:
            raise errors.Refused(
                errors.make_problem(
                    errors.Kind.BAD_QUESTION,
                    detail=f'the configuration has no organisation {name!r}',
                )
            )
        path = question.path.partition('?')[0]
        route = config.find_route(question.hostname, path)
        if route is None:
            return errors.make_problem(
                errors.Kind.NO_ROUTE, path=path, hostname=question.hostname
            )
        trial = trials.copy_state(
            self._host,
            self._shared,
            self._local,
            self._own_coordinator,
            self._peers,
        )
        admitted = trial.make_admission(question, config, route, now)
        found['route'] = route.name
        found['service'] = admitted.service
        found['organisation'] = name
        problem = trial.find_problem(admitted, config, now)
        if problem is None:
            problem = self._check_allowance(trial, admitted, found, now)
        if problem is None:
            problem = trial.find_late_problem(admitted, now)
        if problem is not None:
            return problem
        placed = trial.place(admitted, question.priority, now)
        self._describe(trial, placed, found, now)
        found['log'] = self._select_lines(placed.ticket, lines)
        return self._find_verdict(trial, admitted, placed, found)

    def _check_allowance(
        self,
        trial: trials.Trial,
        admitted: admission.Admission,
        found: Description,
        now: float,
    ) -> errors.Problem | None:
        holder = admitted.organisation
        if (
            holder is not None
            and holder.units_per_s > 0
            and not trial.shared.allowances.knows_hosts(now)
        ):
            return errors.make_problem(
                errors.Kind.NO_HOSTS, admission.HOSTS_RETRY_AFTER_S
            )
        asked = trial.ask_allowance(admitted, now)
        if asked is None:
            return None
        is_answered = asked.answered.is_set()
        found['allowance'] = {
            'units_per_s': round(asked.organisation.units_per_s, 3),
            'cost': round(asked.cost, 3),
            # None if another host grants it.
            'is_granted': asked.wait_s is None if is_answered else None,
            'wait_s': tables.round_number(asked.wait_s),
            **self._describe_host(asked.target or self._host),
        }
        if asked.wait_s is None:
            return None
        return errors.make_problem(
            errors.Kind.OVER_ALLOWANCE,
            asked.wait_s,
            organisation=asked.organisation.name,
        )

    def _find_verdict(
        self,
        trial: trials.Trial,
        admitted: admission.Admission,
        placed: trials.Placement,
        found: Description,
    ) -> Verdict | errors.Problem:
        decision = placed.ticket.decision
        if isinstance(decision, queueing.Grant):
            found['runner'] = ids.parse_runner(decision.runner)
            first_s = placed.ticket.predicted_s
            found['predicted_s'] = tables.round_number(first_s)
            return Verdict.GRANTED
        if isinstance(decision, queueing.Refusal):
            return poolchoice.explain_refusal(trial.shared, admitted, decision)
        if placed.asked:
            found['asked'] = [
                self._describe_host(placed.coordinators[subset])
                for subset in placed.asked
                if subset in placed.coordinators
            ]
            return Verdict.ELSEWHERE
        return Verdict.WAITS

    # Descriptions.

    def _describe(
        self,
        trial: trials.Trial,
        placed: trials.Placement,
        found: Description,
        now: float,
    ) -> None:
        ticket = placed.ticket
        found['tier'], found['route_tier'] = ticket.tier, ticket.route_tier
        found['pool'] = ticket.service
        found['tokens'] = ticket.memory_tokens
        contention = trial.shared.contention
        found['is_contended'] = contention.is_on(ticket.service)
        coordinators = list(placed.coordinators.items())
        found['coordinators'] = [
            {'subset': subset.number, **self._describe_host(host)}
            for subset, host in coordinators[:MAX_COORDINATORS]
        ]
        found['decisions'] = [
            {
                'subset': None if subset is None else subset.number,
                'queue': tables.describe_queue(ticket, examined),
                'share': examined.share,
                'runners': tables.describe_runners(
                    trial, ticket, examined, self._knowledge, now
                ),
                'runner_count': len(examined.runners)
                + len(examined.view.resting),
            }
            for subset, examined in placed.examinations.items()
        ]
        found['closed'] = self._list_closed(ticket, now)

    def _list_closed(
        self, ticket: queueing.QueuedRequest, now: float
    ) -> list[Description]:
        # Runners of the service that no decision considers.
        found: list[Description] = []
        leaving = self._shared.closed.describe_leaving(ticket.service, now)
        for item in leaving:
            found.append({**item, 'excluded': 'it said that it leaves'})
        told = {item['runner'] for item in leaving}
        service = ids.parse_service(ticket.service)
        for entry in self._shared.directory.list_all():
            runner = ids.parse_runner(entry.start)
            if entry.service != service or runner in told:
                continue
            if entry.is_draining:
                reason = 'it is draining'
            elif entry.pool != ticket.service:
                reason = f'it belongs to the pool {entry.pool}'
            elif self._health.is_unreachable(entry.start, now):
                reason = 'no connection to it can be made'
            else:
                continue
            found.append({'runner': runner, 'excluded': reason})
        return found[:MAX_CLOSED]

    def _describe_host(self, host: ids.Host) -> Description:
        if host == self._host:
            return {'host': host, 'address': str(self._operators)}
        state = self._peers.find_address(host)
        if state is None:
            return {'host': host, 'address': None}
        port = state.port + self._port_offset
        return {
            'host': host,
            'address': str(addresses.Address(state.host, port)),
        }

    def _select_lines(
        self, ticket: queueing.QueuedRequest, lines: list[Description]
    ) -> list[Description]:
        # Those about the request, by its own name or by that of its place.
        names = {
            ticket.attempt,
            placerequests.name_place(self._host, ticket.number),
        }
        found = [
            tables.limit_line(line)
            for line in lines
            if line.get('attempt') in names
        ]
        return found[:MAX_LINES]
