"""Runs requests from admission to their final answers.

Each request runs in a task of its own, independent of its caller's
connection: a caller that disconnects does not cancel a request that must not
be lost, and one that retries with the same key reads the same answer.

The order of the steps ensures that the reported outcome is correct:

1. An at-most-once request claims its key. Nothing is sent before the claim
   is granted.
2. The request waits for a runner. While it waits, the outcome is *not run*.
3. The state becomes SENT *before* the first byte is sent. From then on the
   outcome is not *not run* again, unless the runner itself reported that it
   did not accept the request.
"""

import collections.abc
import enum
import functools
import secrets
import typing as ty

import anyio
import anyio.abc
import eliot
from opentelemetry import context
from opentelemetry import trace

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import metrics
from apricotlanding import retrybudget
from apricotlanding import tracing
from apricotlanding import wire
from apricotlandingd.ownership import claims
from apricotlandingd.pools import poolclient
from apricotlandingd.requests import admission
from apricotlandingd.requests import answers
from apricotlandingd.requests import attaching
from apricotlandingd.requests import crashguard
from apricotlandingd.requests import relay

__all__ = ['Run', 'RunState', 'Runs']


# Retry budget of this daemon for each pool: a share of its requests in the
# window, plus a slack so that a daemon with few requests can retry at all.
RETRY_SHARE = 0.1
RETRY_SLACK_REQUESTS = 20.0
RETRY_WINDOW_S = 10.0
# A request whose claim takes longer than this is queued in the pool meanwhile.
# Without load a claim takes a few milliseconds; the delay then saves two
# messages for each request.
ENQUEUE_DELAY_S = 0.1
# How long to wait for the claim of a request that was shed meanwhile. Without
# the claim owner's reply, the caller of an at-most-once request gets "unknown"
# although it never ran, and may not send it under another key. A claim takes
# milliseconds, on a busy host a few tenths of a second; a claim owner that
# does not answer delays the refusal by no more than this.
CLAIM_GRACE_S = 0.25


class RunState(enum.Enum):
    """The progress of a request."""

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    SENT = 'sent'
    ENDED = 'ended'


@ty.final
class Run:
    """A request that this daemon runs."""

    def __init__(
        self,
        request: admission.Request,
        stored: answers.StoredRequest,
        deadline_at: float,
        parent: context.Context,
    ) -> None:
        """Create a run in the state CLAIMING."""
        self.request = request
        self.stored = stored
        self.deadline_at = deadline_at
        self.parent = parent
        self.state = RunState.CLAIMING
        # While this is set the outcome is not reported as "not run": until
        # the claim owner has replied, an earlier call under an at-most-once
        # key may have run elsewhere; and after a failed call to a runner the
        # request may have run although it is queued again.
        self.may_have_run = request.is_at_most_once
        # The problem to report when the scope is cancelled by ``stop``.
        self.stop_problem: errors.Problem | None = None
        self.scope = anyio.CancelScope()
        self.span: trace.Span = trace.INVALID_SPAN

    def stop(self, not_run: errors.Problem, unknown: errors.Problem) -> None:
        """Cancel the request and report the problem for its state."""
        is_sent = self.state is RunState.SENT
        self.stop_problem = unknown if is_sent else not_run
        self.scope.cancel()


@ty.final
class Runs:
    """All requests that this daemon runs."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        store: answers.AnswerStore,
        claim_client: claims.ClaimClient,
        pool_client: poolclient.PoolClient,
        attacher: attaching.Attacher,
        runner_relay: relay.Relay,
        crash_guard: crashguard.CrashGuard,
        counts: metrics.Metrics,
        tracer: tracing.Tracer,
    ) -> None:
        """Create the manager; ``run`` serves."""
        self._incarnation = incarnation
        self._store = store
        self._claims = claim_client
        self._pools = pool_client
        self._attacher = attacher
        self._relay = runner_relay
        self._guard = crash_guard
        self._metrics = counts
        self._tracer = tracer
        self._budget = retrybudget.RetryBudget(
            RETRY_SHARE, RETRY_SLACK_REQUESTS, RETRY_WINDOW_S
        )
        self._runs: dict[str, Run] = {}
        self._ticket_number = 0
        self._group: anyio.abc.TaskGroup | None = None
        self.find_bundle: collections.abc.Callable[
            [], bundle.Bundle | None
        ] = lambda: None
        self.idle = anyio.Event()

    async def run(self) -> None:
        """Run requests until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def count(self) -> int:
        """Return how many requests are open."""
        return len(self._runs)

    def list_runs(self) -> list[Run]:
        """Return the requests that are open."""
        return list(self._runs.values())

    def start(
        self,
        request: admission.Request,
        deadline_at: float,
        parent: context.Context,
    ) -> Run:
        """Start the task that runs a request."""
        self._ticket_number += 1
        head = request.head
        shard = request.shard if request.is_at_most_once else None
        stored = answers.StoredRequest(
            organisation=head.organisation,
            key=head.key,
            digest=request.digest,
            ticket=f'{self._incarnation}/{self._ticket_number}',
            shard=shard,
            answer=answers.Answer(),
        )
        run = Run(request, stored, deadline_at, parent)
        self._store.add(stored)
        self._runs[stored.ticket] = run
        assert self._group is not None
        self._group.start_soon(self._handle_request, run)
        return run

    def stop_all(self) -> None:
        """Cancel every open request with the outcome for its state."""
        for run in self.list_runs():
            run.stop(
                errors.make_problem(errors.Kind.STOPPING, 0.0),
                errors.make_problem(errors.Kind.STOPPED_RUNNING),
            )

    def find_lowest_waiting(self, above: ids.Tier) -> Run | None:
        """Return the newest waiting request of the lowest tier.

        Returns None if no waiting request has a lower tier than ``above``.
        """
        lowest: Run | None = None
        for run in self._runs.values():
            if run.state is not RunState.WAITING:
                continue
            tier = run.request.head.tier
            if tier <= above:
                continue
            if lowest is None or tier >= lowest.request.head.tier:
                lowest = run
        return lowest

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        while self._runs:
            self.idle = anyio.Event()
            await self.idle.wait()

    # Handling of one request.

    async def _handle_request(self, run: Run) -> None:
        head = run.request.head
        action = eliot.start_action(
            action_type='request',
            organisation=head.organisation,
            route=head.route.name,
            key=head.key,
        )
        span = self._tracer.start_span('entry', run.parent)
        run.span = span
        problem: errors.Problem | None
        try:
            with action.context():
                problem = await self._run_until_end(run)
        except Exception as error:
            eliot.write_traceback()
            problem = self._describe_internal_error(run, error)
        if problem is not None and run.may_have_run:
            problem = errors.mark_outcome_unknown(problem)
        self._finish(run, problem)
        span.set_attribute('outcome', _get_outcome_value(problem))
        span.end()
        with action.context():
            eliot.log_message(
                'request:end',
                outcome=_get_outcome_value(problem),
                code=problem.code if problem else None,
                runner=run.stored.answer.runner,
            )
        action.finish()

    async def _run_until_end(self, run: Run) -> errors.Problem | None:
        problem: errors.Problem | None = None
        timeout = run.deadline_at - clocks.read_monotonic()
        with run.scope, anyio.move_on_after(timeout) as limit:
            try:
                return await self._claim_and_dispatch(run)
            except errors.Refused as error:
                return error.problem
        if limit.cancelled_caught:
            is_sent = run.state is RunState.SENT
            problem = errors.make_problem(
                errors.Kind.DEADLINE_RUNNING
                if is_sent
                else errors.Kind.DEADLINE_PASSED
            )
        if run.stop_problem is not None:
            problem = run.stop_problem
        assert problem is not None
        return problem

    async def _claim_and_dispatch(self, run: Run) -> errors.Problem | None:
        request = run.request
        ticket = self._make_ticket(run)
        try:
            if request.is_at_most_once:
                with self._start_span('claim', run):
                    holder_reply = await self._claim_while_queued(run, ticket)
                if holder_reply is not None:
                    self._pools.remove(ticket)
                    return await self._copy_answer(run, holder_reply)
            run.stored.is_claimed = True
            self._metrics.count(f'admitted.{request.head.tier_name}')
            ticket.is_ready = True
            self._pools.add(ticket)
            return await self._dispatch(run, ticket)
        finally:
            self._pools.remove(ticket)

    async def _claim_while_queued(
        self, run: Run, ticket: poolclient.Ticket
    ) -> wire.ClaimReply | None:
        # Claims the key. If that takes long, the request is queued in the
        # pool meanwhile, where it can be shed.
        refusal: errors.Refused | None = None
        holder_reply: wire.ClaimReply | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._enqueue_after_delay, ticket, group.cancel_scope
            )
            try:
                holder_reply = await self._claim(run)
            except errors.Refused as error:
                refusal = error
            group.cancel_scope.cancel()
        if refusal is not None:
            raise refusal
        if holder_reply is None and ticket.problem is not None:
            raise errors.Refused(ticket.problem)
        return holder_reply

    async def _enqueue_after_delay(
        self, ticket: poolclient.Ticket, scope: anyio.CancelScope
    ) -> None:
        await anyio.sleep(ENQUEUE_DELAY_S)
        self._pools.add(ticket)
        await self._pools.wait_until_shed(ticket)
        # Confirm the shedding at once, whatever the claim's result: the
        # request will not run, and until the confirmation the scheduler may
        # shed nothing of a higher tier.
        self._pools.remove(ticket)
        await anyio.sleep(CLAIM_GRACE_S)
        scope.cancel()

    async def _claim(self, run: Run) -> wire.ClaimReply | None:
        # Returns None if the claim is granted, else the reply that names the
        # holder.
        request = run.request
        assert run.stored.shard is not None
        message = wire.ClaimRequest(
            run.stored.shard,
            request.head.organisation,
            request.head.key,
            request.digest,
            run.stored.ticket,
        )
        reply = await self._claims.claim(message, run.deadline_at)
        run.may_have_run = reply.verdict is wire.ClaimVerdict.CLOCK_OFF
        if reply.verdict is wire.ClaimVerdict.GRANTED:
            return None
        if reply.verdict in (
            wire.ClaimVerdict.HELD,
            wire.ClaimVerdict.FINISHED,
        ):
            return reply
        raise errors.Refused(_describe_verdict(reply))

    async def _copy_answer(
        self, run: Run, reply: wire.ClaimReply
    ) -> errors.Problem | None:
        assert run.stored.shard is not None
        # The request runs at the holder. In the state SENT a stop of this
        # daemon reports "unknown", which is correct in any case.
        run.state = RunState.SENT
        return await self._attacher.copy(run.stored, run.stored.shard, reply)

    def _make_ticket(self, run: Run) -> poolclient.Ticket:
        request = run.request
        return poolclient.Ticket(
            name=run.stored.ticket,
            pool=ids.Pool(request.head.route.pool),
            organisation=request.head.organisation,
            tier=request.head.tier,
            weight=request.head.weight,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.max_tokens,
            prefix=request.prefix,
            arrived_at=clocks.read_monotonic(),
            deadline_at=run.deadline_at,
        )

    async def _dispatch(
        self, run: Run, ticket: poolclient.Ticket
    ) -> errors.Problem | None:
        self._budget.record_request(ticket.pool, clocks.read_monotonic())
        while True:
            run.state = RunState.WAITING
            refusal = self._guard.find_problem(
                run.request, clocks.read_monotonic()
            )
            if refusal is not None:
                return refusal
            with self._start_span('schedule', run):
                runner = await self._pools.wait(ticket)
            waited = clocks.read_monotonic() - ticket.arrived_at
            self._metrics.time('queued', waited)
            refusal = self._guard.admit_send(
                run.request, clocks.read_monotonic()
            )
            if refusal is not None:
                # It was put in quarantine while it waited.
                self._report_attempt(
                    ticket, relay.Attempt(relay.AttemptEnd.NOT_TAKEN)
                )
                return refusal
            attempt = await self._call_runner(run, ticket, runner)
            if attempt.end is relay.AttemptEnd.COMPLETE:
                self._guard.note_answer(run.request, clocks.read_monotonic())
                return None
            eliot.log_message(
                'runner:failed',
                runner=runner,
                end=attempt.end.value,
                detail=attempt.detail,
            )
            await self._report_failure(run, runner, attempt)
            now = clocks.read_monotonic()
            if not self._may_retry(run, attempt, ticket.pool, now):
                return errors.make_problem(
                    errors.Kind.RUNNER_LOST,
                    detail=f'{runner}: {attempt.detail}',
                )
            self._metrics.count('retried')
            ticket.avoid = [*ticket.avoid, runner]
            self._pools.requeue(ticket)

    async def _call_runner(
        self, run: Run, ticket: poolclient.Ticket, runner: ids.Runner
    ) -> relay.Attempt:
        config = self.find_bundle()
        model = None if config is None else _find_runner(config, runner)
        if model is None:
            # A newer bundle has removed the runner since the grant.
            attempt = relay.Attempt(relay.AttemptEnd.NOT_TAKEN, 'removed')
            self._report_attempt(ticket, attempt)
            return attempt
        name = f'{run.request.head.key}.{secrets.token_hex(4)}'
        answer = run.stored.answer
        attempt = relay.Attempt()
        is_over = False
        started_at = clocks.read_monotonic()
        with self._start_span('runner', run) as span:
            span.set_attribute('runner', runner)
            headers = tracing.inject_context(trace.set_span_in_context(span))
            run.state = RunState.SENT
            answer.runner = runner
            scope = anyio.CancelScope()
            ticket.on_runner_lost = functools.partial(
                _cancel_if_repeatable, run, scope
            )
            try:
                with scope:
                    attempt = await self._relay.run(
                        run.request, name, model, answer, headers
                    )
                if scope.cancelled_caught:
                    attempt = relay.Attempt(
                        detail='it no longer answers', started_at=started_at
                    )
                is_over = True
            finally:
                if not is_over:
                    await self._cancel_on_engine(name, model)
                if attempt.end is relay.AttemptEnd.FAILED:
                    run.may_have_run = True
                    # An upper bound: the engine may not have begun.
                    self._metrics.count(
                        'prefill.wasted', run.request.prompt_tokens
                    )
                self._report_attempt(ticket, attempt)
        if attempt.end is relay.AttemptEnd.NOT_TAKEN:
            run.state = RunState.WAITING
        return attempt

    async def _report_failure(
        self, run: Run, runner: ids.Runner, attempt: relay.Attempt
    ) -> None:
        config = self.find_bundle()
        model = None if config is None else _find_runner(config, runner)
        if attempt.end is relay.AttemptEnd.FAILED and model is not None:
            await self._guard.report_failure(run.request, model)

    async def _cancel_on_engine(
        self, name: str, model: bundle.RunnerModel
    ) -> None:
        # The deadline or a stop has cancelled this request. Without a cancel
        # request the engine would go on computing an answer that nobody
        # reads.
        if model.kind is not bundle.RunnerKind.ENGINE:
            return
        with anyio.move_on_after(1.0, shield=True):
            await self._relay.cancel(name, model)

    def _report_attempt(
        self, ticket: poolclient.Ticket, attempt: relay.Attempt
    ) -> None:
        now = clocks.read_monotonic()
        first_s = None
        if attempt.first_byte_at is not None:
            first_s = attempt.first_byte_at - attempt.started_at
        self._pools.release(
            ticket,
            wire.Finished(
                ticket.pool,
                ticket.name,
                attempt.end is relay.AttemptEnd.COMPLETE,
                first_s,
                now - attempt.started_at,
                attempt.output_tokens,
            ),
        )

    def _may_retry(
        self, run: Run, attempt: relay.Attempt, pool: ids.Pool, now: float
    ) -> bool:
        if attempt.end is relay.AttemptEnd.NOT_TAKEN:
            return True
        if run.request.is_at_most_once or run.stored.answer.chunks:
            return False
        return self._budget.take(pool, 1, now)

    # Completion.

    def _finish(self, run: Run, problem: errors.Problem | None) -> None:
        stored = run.stored
        run.state = RunState.ENDED
        stored.answer.finish(problem)
        outcome = _get_outcome_value(problem)
        self._metrics.count(f'{outcome}.{run.request.head.tier_name}')
        self._settle(stored, problem)
        del self._runs[stored.ticket]
        if not self._runs:
            self.idle.set()

    def _settle(
        self, stored: answers.StoredRequest, problem: errors.Problem | None
    ) -> None:
        if stored.shard is None:
            stored.is_settled = True
            if problem is None:
                self._store.close(stored)
            else:
                self._store.drop(stored)
            return
        if problem is not None and not stored.is_claimed:
            # Refused by the claim owner, or copied from the holder. A claim
            # that the owner granted after the request had ended is released.
            self._claims.report_outcome(stored, wire.ClaimState.RELEASED)
            self._store.drop(stored)
            return
        if problem is None and not stored.is_claimed:
            # The answer is a copy; the holder stores the original.
            stored.is_settled = True
            self._store.drop(stored)
            return
        self._store.close(stored)
        if problem is None:
            self._claims.report_outcome(stored, wire.ClaimState.FINISHED)
        elif problem.outcome is errors.Outcome.NOT_RUN:
            self._claims.report_outcome(stored, wire.ClaimState.RELEASED)
        else:
            self._claims.report_outcome(stored, wire.ClaimState.UNKNOWN)

    def _describe_internal_error(
        self, run: Run, error: Exception
    ) -> errors.Problem:
        # An internal error, not the caller's. The outcome depends only on
        # the state that the request had reached.
        if run.state is RunState.SENT:
            return errors.make_problem(
                errors.Kind.OUTCOME_UNKNOWN, detail=repr(error)
            )
        return errors.make_problem(errors.Kind.NO_RUNNER, 1.0)

    def _start_span(
        self, name: str, run: Run
    ) -> ty.ContextManager[trace.Span]:
        parent_context = trace.set_span_in_context(run.span)
        return self._tracer.start_as_current_span(name, parent_context)


def _cancel_if_repeatable(run: Run, scope: anyio.CancelScope) -> None:
    # Called when the runner no longer answers the scheduler. At-most-once
    # requests are not cancelled: the runner may be well and only its
    # connection to the scheduler be lost.
    if not run.request.is_at_most_once and not run.stored.answer.chunks:
        scope.cancel()


def _get_outcome_value(problem: errors.Problem | None) -> str:
    if problem is None:
        return errors.Outcome.COMPLETE.value
    return problem.outcome.value


def _find_runner(
    config: bundle.Bundle, name: ids.Runner
) -> bundle.RunnerModel | None:
    for pool in config.pools.values():
        for model in pool.runners:
            if model.name == name:
                return model
    return None


def _describe_verdict(reply: wire.ClaimReply) -> errors.Problem:
    verdict = reply.verdict
    if verdict is wire.ClaimVerdict.KEY_REUSED:
        return errors.make_problem(errors.Kind.KEY_REUSED)
    if verdict is wire.ClaimVerdict.KEY_FROM_FUTURE:
        return errors.make_problem(
            errors.Kind.KEY_FROM_FUTURE, ahead_s=reply.seconds
        )
    if verdict is wire.ClaimVerdict.KEY_EXPIRED:
        return errors.make_problem(
            errors.Kind.KEY_EXPIRED, window_s=reply.seconds
        )
    if verdict is wire.ClaimVerdict.CLOCK_OFF:
        return errors.make_problem(
            errors.Kind.CLOCK_OFF,
            claims.RETRY_AFTER_S,
            host='the claim owner',
        )
    return errors.make_problem(
        errors.Kind.OUTCOME_UNKNOWN,
        detail='its claim owner changed while it may have been granted',
    )
