"""What a caller requests, and whether it is admitted.

Route, organisation and allowance are checked before anything is queued or
sent, so each refusal here says "not run". ``exchange`` continues from here.
"""

import functools
import typing as ty

import anyio
import eliot

from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import contentkeys
from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import sharedallowances
from apricotlandingd.gateway.requests import arrivingbodies
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import heldsends
from apricotlandingd.gateway.requests import memoryneeds
from apricotlandingd.gateway.requests import runnerclient
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['RETRY_AFTER_S', 'Admission']

# A host that has just started knows the others after this time.
HOSTS_RETRY_AFTER_S = 0.2
# Sent to callers whose request found no configuration or no runner.
RETRY_AFTER_S = 0.5


@ty.final
class Admission:
    """One request as its caller sent it."""

    def __init__(
        self, shared: sharedstate.SharedState, scope: asgi.Scope
    ) -> None:
        """Read the request line; ``admit`` reads the rest."""
        self._shared = shared
        self.arrived_at = clocks.read_monotonic()
        self.method: str = scope['method']
        self.target = _find_target(scope)
        self.body = b''
        # What this host holds for the caller.
        self.held: heldanswers.HeldAnswer = scope.get(
            heldanswers.SCOPE_KEY
        ) or heldanswers.HeldAnswer(None, heldanswers.Kind.ONCE)
        # Most bytes that are read from a runner at once.
        self.read_bytes = runnerclient.READ_BYTES
        # Bytes of an incomplete event that are counted.
        self._partial_bytes = 0
        if shared.held_answers.is_counting:
            self.read_bytes = heldanswers.FREE_ANSWER_BYTES
        self.head = _make_nameless_head()
        self.route: catalogue.Route
        # '' until the route is known.
        self.service = ids.Pool('')
        self.organisation: catalogue.Organisation | None = None
        # Version of the software at which its stream began, and has to go on;
        # None while it may begin at any.
        self.release: ids.Release | None = None
        # What was taken from the organisation's allowance, until returned.
        self._allowance_request: sharedallowances.UnitRequest | None = None
        self.event_tokens = 1.0
        # Tokens that it takes in a runner's memory; 0 if not counted.
        self.memory_tokens = 0
        # Version of the configuration that the request was admitted under.
        self.version: ids.Version | None = None
        # The caller's timeout, and the earlier of its and the route's
        # deadline.
        self.caller_timeout_s = 0.0
        self.deadline_at = 0.0

    @functools.cached_property
    def content_key(self) -> ids.ContentKey:
        """The key that all attempts with this content share."""
        holder = self.organisation
        return contentkeys.derive_key(
            None if holder is None else holder.name,
            f'{self.method} {self.head.hostname}{self.target}',
            self.body,
        )

    @functools.cached_property
    def part_keys(self) -> frozenset[ids.ContentKey]:
        """The keys of the parts that other prompts may share."""
        holder = self.organisation
        return contentkeys.derive_part_keys(
            None if holder is None else holder.name,
            [part for part, _ in self.head.prefix],
        )

    def is_streamed(self, status: int) -> bool:
        """Tell whether an answer with a status is a stream of events."""
        return self.route.is_stream and 200 <= status < 300

    def return_allowance(self) -> None:
        """Return what was taken from the allowance; nothing has run."""
        question, self._allowance_request = self._allowance_request, None
        if question is not None:
            self._shared.shared_allowances.give_back(
                question, clocks.read_monotonic()
            )

    async def hold(self, before: int, size: int) -> None:
        """Count bytes of a buffered answer, as soon as there is room."""
        await heldsends.wait_for_room(self._shared.held_answers, before, size)
        self.held.hold(size)

    async def hold_partial(self, size: int) -> None:
        """Count the bytes of an incomplete event, as soon as there is room."""
        growth = size - self._partial_bytes
        if growth > 0:
            # A call that is cancelled while it waits has counted nothing.
            await self.hold(self.held.answer_bytes, growth)
        else:
            self.held.drop(-growth)
        self._partial_bytes = size

    def drop_body(self) -> None:
        """Release the body at the end of the request.

        Tracebacks of cancelled tasks refer to the request until the garbage
        collector finds them.
        """
        self.body = b''

    async def admit(
        self, headers: dialect.HeaderList, receive: asgi.Receive
    ) -> errors.Problem | None:
        """Read the request; return the problem if it is not admitted.

        Raises asgi.Disconnected if the caller disconnects before the request
        has arrived.
        """
        try:
            head = self._shared.http_dialect.read_request(
                self.method, self.target, headers
            )
        except dialect.Unreadable as error:
            return errors.make_problem(errors.Kind.BAD_HEAD, detail=str(error))
        if head is None:
            return errors.make_problem(errors.Kind.NO_ATTEMPT)
        self.head = head
        config = self._shared.find_catalogue()
        if config is None:
            return errors.make_problem(
                errors.Kind.NO_CONFIGURATION, RETRY_AFTER_S
            )
        self.version = config.version
        path = self.target.partition('?')[0]
        route = config.find_route(head.hostname, path)
        if route is None:
            return errors.make_problem(
                errors.Kind.NO_ROUTE, path=path, hostname=head.hostname
            )
        self.route = route
        self.service = route.find_service(head.attempt)
        service = config.services.get(self.service)
        if service is not None:
            self.event_tokens = service.event_tokens
        holder = config.organisations_by_key.get(head.key or '')
        if holder is None and not route.is_public:
            return errors.make_problem(errors.Kind.UNKNOWN_KEY)
        self.organisation = holder
        self._set_deadline()
        problem = await self._read_body_in_time(
            headers, receive, config.limits.max_body_bytes
        )
        if problem is not None:
            return problem
        self._note_arrival(clocks.read_monotonic())
        self.memory_tokens = memoryneeds.find_tokens(
            self._shared, head, route, service
        )
        problem = memoryneeds.find_problem(
            self._shared, service, self.memory_tokens
        )
        if problem is not None:
            return problem
        return await self._take_units(clocks.read_monotonic())

    async def _read_body_in_time(
        self, headers: dialect.HeaderList, receive: asgi.Receive, limit: int
    ) -> errors.Problem | None:
        # A body that does not arrive would keep its room from others.
        left_s = self.deadline_at - clocks.read_monotonic()
        with anyio.move_on_after(left_s):
            return await self._read_body(headers, receive, limit)
        self.held.shrink(self.held.bytes)
        return errors.make_problem(errors.Kind.BODY_LATE, 0.0)

    async def _read_body(
        self, headers: dialect.HeaderList, receive: asgi.Receive, limit: int
    ) -> errors.Problem | None:
        answers = self._shared.held_answers
        body = arrivingbodies.ArrivingBody(answers, self.held, headers, limit)
        if body.is_too_large():
            return errors.make_problem(errors.Kind.BODY_TOO_LARGE, limit=limit)
        open_size = heldanswers.OPEN_BYTES + heldanswers.weigh_head(headers)
        size = open_size + body.counted
        if not answers.may_admit(size, clocks.read_monotonic()):
            return self._make_full_problem(size)
        self.held.grow(size)
        self.held.attempt = self.head.attempt
        if self.route.is_repeatable():
            self.held.kind = heldanswers.Kind.REPEATABLE
        try:
            self.body = await asgi.read_body(body.count(receive), limit)
        except asgi.BodyTooLarge:
            return errors.make_problem(errors.Kind.BODY_TOO_LARGE, limit=limit)
        except arrivingbodies.HostFull:
            size = open_size + body.counted
            answers.note_refusal(size, clocks.read_monotonic())
            self.held.shrink(self.held.bytes)
            return self._make_full_problem(size)
        return None

    def _make_full_problem(self, size: int) -> errors.Problem:
        now = clocks.read_monotonic()
        return errors.make_problem(
            errors.Kind.HOST_MEMORY_FULL,
            self._shared.held_answers.choose_return(size, now),
        )

    def _set_deadline(self) -> None:
        deadline = self.head.deadline_s
        self.caller_timeout_s = (
            self.route.timeout_s if deadline is None else deadline
        )
        limit = min(self.caller_timeout_s, self.route.timeout_s)
        self.deadline_at = self.arrived_at + limit
        self.held.deadline_at = self.deadline_at

    def _note_arrival(self, now: float) -> None:
        self._shared.routestats.note_caller_timeout(
            self.route.name, self.caller_timeout_s
        )
        self._shared.retry_budget.record_request(self.service, now)

    async def _take_units(self, now: float) -> errors.Problem | None:
        holder = self.organisation
        if holder is None:
            return None
        tokens = None
        if self.head.has_token_counts:
            tokens = self.head.prompt_tokens + self.head.output_tokens
        allowances = self._shared.allowances
        if holder.units_per_s > 0 and not allowances.knows_hosts(now):
            # Not "over the allowance": that is unknown without the others.
            return errors.make_problem(
                errors.Kind.NO_HOSTS, HOSTS_RETRY_AFTER_S
            )
        cost = allowances.buckets.find_cost(holder, tokens)
        question = self._shared.shared_allowances.ask(holder, cost, now)
        try:
            await question.answered.wait()
        except BaseException:
            # The caller has disconnected.
            self._shared.shared_allowances.give_back(
                question, clocks.read_monotonic()
            )
            raise
        if question.wait_s is None:
            self._allowance_request = question
            return None
        return errors.make_problem(
            errors.Kind.OVER_ALLOWANCE,
            self._choose_return_time(question, question.wait_s),
            organisation=holder.name,
        )

    def _choose_return_time(
        self, question: sharedallowances.UnitRequest, wait_s: float
    ) -> float:
        left_s = self.deadline_at - clocks.read_monotonic()
        chosen_s = self._shared.shared_allowances.choose_return_time(
            wait_s, left_s
        )
        stated: dict[str, float] = {}
        if chosen_s is not None:
            stated['retry_after_s'] = round(chosen_s, 3)
            stated['left_s'] = round(left_s, 3)
            self._shared.telemetry.count('over_allowance_total')
            self._shared.telemetry.time(
                'over_allowance_delay_seconds', chosen_s
            )
        eliot.log_message(
            'gateway:over_allowance',
            attempt=self.head.attempt,
            organisation=question.organisation.name,
            cost=question.cost,
            wait_s=round(wait_s, 3),
            keeper=question.target,
            version=self.version,
            **stated,
        )
        return wait_s if chosen_s is None else chosen_s


def _find_target(scope: asgi.Scope) -> str:
    target: bytes = scope['raw_path']
    if scope['query_string']:
        target = target + b'?' + scope['query_string']
    return target.decode('latin-1')


def _make_nameless_head() -> dialect.RequestHead:
    return dialect.RequestHead(
        '', '', None, None, 0, 0, None, False, (), '', ()
    )
