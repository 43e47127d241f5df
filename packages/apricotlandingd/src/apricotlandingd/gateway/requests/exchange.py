"""One request of a caller, from its head to its final answer.

    admit     route, organisation, allowance
    wait      for a place at a runner
    send      to the runner, and pass its answer on
    again     at another runner, if that can do no harm

What may be said at the end follows from what was sent. As long as no runner
can have worked on the request, a refusal says "not run" (503, 429). From the
moment that bytes have left for a runner, only the runner's own word that it
did not take the request leads back there; everything else is "may have run"
(502, 504), and only a request that may be repeated is sent again.

A stream that breaks off goes on at another runner after the last whole event
that the caller has, if its route allows that.
"""

import collections.abc
import contextlib
import enum
import typing as ty

import anyio
import eliot

from apricotlanding import asgi
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import taskgroups
from apricotlanding import webclient
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import parts
from apricotlandingd.gateway.requests import replies
from apricotlandingd.gateway.requests import runnerclient
from apricotlandingd.gateway.requests import silence
from apricotlandingd.gateway.requests import streams
from apricotlandingd.gateway.requests import tickets
from apricotlandingd.gateway.runners import observations

__all__ = ['Exchange']

# Seconds past a request's limit in which the runner's own answer about the
# timeout may still arrive.
LIMIT_SLACK = 0.1
# Largest answer that is held back until it is whole, so that a broken one
# can be had from another runner; larger ones are passed on as they come.
HELD_BYTES = 256 * 1024
FAILED_STATUS = 500


class _End(enum.Enum):
    # How one send to a runner ended.
    DONE = 'done'
    NOT_RUN = 'not run'
    FAILED = 'failed'


@ty.final
class Exchange:
    """One request."""

    def __init__(
        self,
        shared: parts.Parts,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Take an ASGI request."""
        self._parts = shared
        self._scope = scope
        self._receive = receive
        self._reply = replies.Reply(send, shared.spoken, shared.is_stopping)
        self._asked = admission.Admission(shared, scope)
        # Runners that bytes of this request went to.
        self._sends = 0
        # The same, with those that were found at another one's address: they
        # are no sends, but count against the budget of retries.
        self._arrivals = 0
        self._may_have_run = False
        self._has_retry = False
        self._tried: set[ids.RunnerStart] = set()
        # A failure that a runner answered, for when no other does better.
        self._fallback: tuple[dialect.AnswerHead, bytes] | None = None
        self._reader: streams.EventReader | None = None
        self._first_at: float | None = None
        # Seconds spent waiting for places.
        self._waited_s = 0.0
        # All work on the request; cancelled by ``end``.
        self._work = anyio.CancelScope()
        self._runner: ids.RunnerStart | None = None
        self._detail = ''

    async def run(self) -> None:
        """Answer the request."""
        try:
            with self._work:
                await self._answer()
            if self._work.cancelled_caught:
                await self._end_with_host()
        except asgi.Disconnected:
            # The caller left before its request had arrived.
            return
        except anyio.get_cancelled_exc_class():
            # Only the end of the process cancels this task. Without a word
            # of its own, the log would say that the caller left.
            self._reply.outcome = 'stopped'
            raise
        finally:
            self._finish(clocks.read_monotonic())

    def end(self) -> None:
        """Give the request up, because the process is about to end."""
        self._work.cancel()

    async def _answer(self) -> None:
        problem = await self._asked.admit(
            self._scope['headers'], self._receive
        )
        if problem is not None:
            await self._refuse(problem)
            return
        await self._serve_until_gone()

    async def _end_with_host(self) -> None:
        # Left to the end of the process, the caller would get an error of
        # the HTTP server, which says nothing of what became of its request.
        if self._may_have_run:
            await self._fail(errors.make_problem(errors.Kind.HOST_STOPPED))
            return
        # Another host takes it at once.
        await self._refuse(errors.make_problem(errors.Kind.STOPPING, 0.0))

    # Serving.

    async def _serve_until_gone(self) -> None:
        async with taskgroups.open_group() as group:
            group.start_soon(self._watch_caller, group.cancel_scope)
            await self._serve_in_time()

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        # A caller that leaves must not keep a runner at work: leaving the
        # scope closes the connection to it.
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                scope.cancel()
                return

    async def _serve_in_time(self) -> None:
        left = self._asked.limit_at - clocks.read_monotonic()
        with anyio.move_on_after(left + LIMIT_SLACK) as limit:
            await self._serve()
        if not limit.cancelled_caught:
            return
        if self._may_have_run:
            await self._fail(errors.make_problem(errors.Kind.TIMED_OUT))
        else:
            await self._refuse(
                errors.make_problem(errors.Kind.NO_PLACE, admission.SOON)
            )

    async def _serve(self) -> None:
        while True:
            decision = await self._wait_for_place()
            if isinstance(decision, waiting.Refusal):
                await self._give_up(
                    errors.make_problem(
                        errors.Kind.NO_PLACE, decision.return_s
                    )
                )
                return
            end = await self._try(decision)
            if end is _End.DONE:
                return
            if not self._may_send_again(end, clocks.read_monotonic()):
                break
        problem = errors.make_problem(
            errors.Kind.NOT_TAKEN, admission.SOON, detail=self._detail
        )
        await self._give_up(problem)

    def _may_send_again(self, end: _End, now: float) -> bool:
        if end is _End.FAILED and not self._asked.route.is_repeatable():
            return False
        if self._sends >= self._asked.route.max_sends:
            return False
        if self._arrivals == 0:
            # Nothing has reached a runner: no retry.
            return True
        return self._take_retry(now)

    async def _give_up(self, problem: errors.Problem) -> None:
        # The last word when no runner answers: the failure that a runner
        # answered, "may have run", or the problem, which says "not run".
        if self._fallback is not None and not self._reply.is_begun:
            head, body = self._fallback
            await self._reply.deliver(head, body)
            return
        if self._may_have_run:
            await self._fail(
                errors.make_problem(
                    errors.Kind.RUNNER_FAILED, detail=self._detail
                )
            )
            return
        await self._refuse(problem)

    # Waiting.

    async def _wait_for_place(self) -> waiting.Grant | waiting.Refusal:
        now = clocks.read_monotonic()
        ticket = tickets.make_ticket(
            self._parts,
            self._asked,
            now,
            tickets.Progress(
                is_begun=self._reply.is_begun,
                sends=self._sends,
                tried=self._tried,
            ),
        )
        self._parts.dispatcher.enter(ticket, now)
        if ticket.decision is None:
            self._parts.on_change()
        try:
            await ticket.decided.wait()
        except BaseException:
            # The caller left, or its time is over.
            decision = ticket.decision
            if isinstance(decision, waiting.Grant):
                self._release(decision)
            raise
        finally:
            decided_at = clocks.read_monotonic()
            self._parts.dispatcher.leave(ticket, decided_at)
            self._waited_s += decided_at - now
        assert ticket.decision is not None
        return ticket.decision

    # Sending.

    async def _try(self, grant: waiting.Grant) -> _End:
        began_at = clocks.read_monotonic()
        runner = grant.runner
        self._runner = runner
        self._tried.add(runner)
        entry = self._parts.directory.find(runner)
        self._parts.on_change()
        try:
            if entry is None:
                self._detail = 'the runner has left'
                return _End.NOT_RUN
            end = await self._send_to(entry, began_at)
            if end is _End.DONE:
                held = clocks.read_monotonic() - began_at
                self._note(entry, observations.Kind.HOLD, seconds=held)
            return end
        finally:
            self._release(grant)

    def _release(self, grant: waiting.Grant) -> None:
        now = clocks.read_monotonic()
        self._parts.dispatcher.release(self._asked.service, grant, now)
        self._parts.on_change()

    async def _send_to(
        self, entry: dialect.RunnerEntry, began_at: float
    ) -> _End:
        left = self._asked.limit_at - began_at
        if left <= 0:
            self._detail = 'no time is left'
            return _End.NOT_RUN
        client = self._parts.find_client(entry)
        call = self._make_call(entry, left)
        had_run = self._may_have_run
        # Set before the first byte leaves: an exception between here and
        # the answer must not find "not run".
        self._may_have_run = True
        self._sends += 1
        self._arrivals += 1
        try:
            async with self._guard_silence(entry) as guard:
                async with client.open(call) as answer:
                    return await self._take_answer(
                        entry, answer, guard, began_at, had_run
                    )
        except webclient.NotSent as error:
            self._sends -= 1
            self._arrivals -= 1
            self._may_have_run = had_run
            self._detail = str(error)
            self._note_bad(entry, is_reached=False)
            return _End.NOT_RUN
        except (webclient.Broken, streams.OutOfOrder, silence.Silent) as error:
            self._detail = repr(error)
            if isinstance(error, (webclient.Garbled, streams.OutOfOrder)):
                now = clocks.read_monotonic()
                runner = ids.parse_runner(entry.start)
                self._parts.on_garbled(runner, str(error), now)
            self._note_bad(entry, is_reached=True)
            return _End.FAILED

    def _make_call(
        self, entry: dialect.RunnerEntry, left: float
    ) -> runnerclient.Call:
        last_event = self._asked.head.last_event
        if self._reader is not None:
            last_event = self._reader.last_event
        organisation = self._asked.organisation
        return runnerclient.Call(
            method=self._asked.method,
            target=self._asked.target,
            headers=self._parts.spoken.write_request(
                self._asked.head,
                ids.parse_runner(entry.start),
                None if organisation is None else organisation.name,
                left,
                last_event,
            ),
            body=self._asked.body,
            is_repeatable=self._asked.route.is_repeatable(),
        )

    def _note_bad(self, entry: dialect.RunnerEntry, is_reached: bool) -> None:
        now = clocks.read_monotonic()
        if is_reached and now >= self._asked.limit_at:
            # The runner stopped at the deadline that it was given.
            return
        if is_reached:
            self._note(entry, observations.Kind.FAILURE)
        else:
            self._note(entry, observations.Kind.UNREACHABLE)
        self._parts.telemetry.count('runner_failures_total')
        eliot.log_message(
            'gateway:runner_failed',
            attempt=self._asked.head.attempt,
            runner=ids.parse_runner(entry.start),
            is_reached=is_reached,
            detail=self._detail,
        )

    # Silence.

    @contextlib.asynccontextmanager
    async def _guard_silence(
        self, entry: dialect.RunnerEntry
    ) -> collections.abc.AsyncIterator[silence.Guard]:
        guard = silence.Guard()
        if not self._can_leave():
            yield guard
            return
        found = self._parts.paces.find(self._asked.service, entry.start)
        first = found.find_first(self._asked.head.prompt_tokens)
        guard.extend(
            silence.find_first_patience(self._asked.route.objective_s, first)
        )
        async with taskgroups.open_group() as group:
            group.start_soon(self._watch_silence, guard)
            with guard.scope:
                yield guard
        if guard.scope.cancelled_caught:
            raise silence.Silent('the runner fell silent')

    async def _watch_silence(self, guard: silence.Guard) -> None:
        # A silent runner may still answer. It is left only if another one
        # may be asked: else a late answer would be thrown away for nothing.
        while True:
            await anyio.sleep_until(guard.ends_at)
            if anyio.current_time() < guard.ends_at:
                continue
            now = clocks.read_monotonic()
            has_other = self._parts.dispatcher.has_place(
                self._asked.service, self._tried, now
            )
            if has_other and self._take_retry(now):
                self._has_retry = True
                guard.scope.cancel()
                return
            guard.extend(silence.SHORTEST)

    def _take_retry(self, now: float) -> bool:
        if self._has_retry:
            # Taken when the runner was left for its silence.
            self._has_retry = False
            return True
        return self._parts.retry_budget.take(
            self._asked.service, self._parts.count_hosts(), now
        )

    def _can_leave(self) -> bool:
        return (
            self._asked.route.is_repeatable()
            and self._sends < self._asked.route.max_sends
        )

    # Answers.

    async def _take_answer(
        self,
        entry: dialect.RunnerEntry,
        answer: runnerclient.Answer,
        guard: silence.Guard,
        began_at: float,
        had_run: bool,
    ) -> _End:
        head = self._parts.spoken.read_answer(answer.status, answer.headers)
        answer.idle_s = head.idle_s
        if head.load is not None:
            self._parts.dispatcher.note_load(
                entry.start, head.load, clocks.read_monotonic()
            )
        if head.attempt and head.attempt != self._asked.head.attempt:
            # A late answer to another request on this connection.
            raise webclient.Broken('the answer names another attempt')
        if head.is_not_run:
            self._may_have_run = had_run
            self._detail = f'status {head.status}'
            if head.is_other_runner:
                # The address belongs to another runner now: this is no send,
                # and the registration that led here is out of date.
                self._sends -= 1
                self._note(entry, observations.Kind.GONE)
            await _read_rest(answer)
            return _End.NOT_RUN
        if not head.is_sealed:
            raise webclient.Broken(f'status {head.status} without a mark')
        if self._reply.is_begun or self._is_event_stream(head):
            return await self._relay(entry, head, answer, guard, began_at)
        return await self._hold(entry, head, answer, began_at)

    def _is_event_stream(self, head: dialect.AnswerHead) -> bool:
        return self._asked.route.is_stream and 200 <= head.status < 300

    async def _hold(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        answer: runnerclient.Answer,
        began_at: float,
    ) -> _End:
        pieces: list[bytes] = []
        size = 0
        async for part in answer.iterate():
            pieces.append(part)
            size += len(part)
            if size > HELD_BYTES:
                return await self._pass_on(head, pieces, answer)
        now = clocks.read_monotonic()
        body = b''.join(pieces)
        if head.status >= FAILED_STATUS:
            self._fallback = (head, body)
            self._detail = f'status {head.status}'
            self._note(entry, observations.Kind.FAILURE)
            return _End.FAILED
        self._note(entry, observations.Kind.SUCCESS)
        self._first_at = self._first_at or now
        self._note(entry, observations.Kind.FIRST, seconds=now - began_at)
        await self._reply.deliver(head, body)
        return _End.DONE

    async def _pass_on(
        self,
        head: dialect.AnswerHead,
        pieces: list[bytes],
        answer: runnerclient.Answer,
    ) -> _End:
        await self._reply.begin(head)
        await self._reply.pass_part(b''.join(pieces))
        async for part in answer.iterate():
            await self._reply.pass_part(part)
        await self._reply.finish(head)
        return _End.DONE

    async def _relay(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        answer: runnerclient.Answer,
        guard: silence.Guard,
        began_at: float,
    ) -> _End:
        if not 200 <= head.status < 300:
            # The stream was to go on here, and this runner fails.
            raise webclient.Broken(f'status {head.status}')
        reader = self._reader
        if reader is None:
            reader = streams.EventReader(self._asked.head.last_event)
            self._reader = reader
        reader.drop_partial()
        before = reader.count
        first_at: float | None = None
        async for part in answer.iterate():
            whole = reader.take(part)
            if not whole:
                continue
            now = clocks.read_monotonic()
            if first_at is None:
                first_at = now
                self._note_first(entry, now, now - began_at)
            if self._can_leave():
                gap_s = self._asked.route.gap_objective_s
                guard.extend(silence.find_gap_patience(gap_s))
            if not self._reply.is_begun:
                await self._reply.begin(head)
            await self._reply.pass_part(whole)
        if reader.has_partial():
            raise webclient.Broken('the stream ends within an event')
        if not self._reply.is_begun:
            await self._reply.begin(head)
        await self._reply.finish(head)
        self._note_end(entry, reader.count - before, first_at)
        return _End.DONE

    def _note_first(
        self, entry: dialect.RunnerEntry, now: float, seconds: float
    ) -> None:
        if self._first_at is None:
            self._first_at = now
        prefix = self._asked.head.prefix
        self._note(
            entry,
            observations.Kind.FIRST,
            self._asked.head.prompt_tokens,
            seconds,
            prefix[-1][0] if prefix else '',
        )

    def _note_end(
        self,
        entry: dialect.RunnerEntry,
        events: int,
        first_at: float | None,
    ) -> None:
        self._note(entry, observations.Kind.SUCCESS)
        if first_at is None or events < 2:
            return
        rest = clocks.read_monotonic() - first_at
        self._note(entry, observations.Kind.REST, events, rest)
        self._parts.habits.note_events(self._asked.route.name, events)

    def _note(
        self,
        entry: dialect.RunnerEntry,
        kind: observations.Kind,
        amount: int = 0,
        seconds: float = 0.0,
        part: str = '',
    ) -> None:
        self._parts.dispatcher.note(
            self._asked.service,
            entry.start,
            observations.Observation(kind, amount, seconds, part),
            clocks.read_monotonic(),
        )

    # Answers of our own.

    async def _fail(self, problem: errors.Problem) -> None:
        self._detail = self._detail or problem.text
        await self._reply.fail(self._asked.head.attempt, problem)

    async def _refuse(self, problem: errors.Problem) -> None:
        self._asked.give_back()
        self._detail = self._detail or problem.text
        await self._reply.write_problem(self._asked.head.attempt, problem)

    def _finish(self, now: float) -> None:
        head = self._asked.head
        took = now - self._asked.arrived_at
        first = None
        if self._first_at is not None:
            first = round(self._first_at - self._asked.arrived_at, 4)
        runner = None
        if self._runner is not None:
            runner = ids.parse_runner(self._runner)
        kind = self._reply.outcome.partition(' ')[0]
        self._parts.telemetry.count('requests_total', outcome=kind)
        self._parts.telemetry.time('request_seconds', took, outcome=kind)
        if first is not None:
            self._parts.telemetry.time('first_event_seconds', first)
        eliot.log_message(
            'gateway:request',
            attempt=head.attempt,
            target=self._asked.target,
            organisation=None
            if self._asked.organisation is None
            else self._asked.organisation.name,
            runner=runner,
            sends=self._sends,
            version=self._asked.version,
            service=self._asked.service,
            tokens=[head.prompt_tokens, head.expected_tokens],
            given_s=head.deadline_s,
            waited_s=round(self._waited_s, 4),
            outcome=self._reply.outcome,
            detail=self._detail,
            first_s=first,
            took_s=round(took, 4),
        )


async def _read_rest(answer: runnerclient.Answer) -> None:
    async for _ in answer.iterate():
        continue
