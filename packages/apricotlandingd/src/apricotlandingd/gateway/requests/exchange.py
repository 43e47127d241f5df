"""One request of a caller, from its head to its final answer.

    admit     route, organisation, allowance
    wait      for a slot at a runner
    send      to the runner, and forward its answer
    retry     at another runner, if that is safe

The final answer depends on what was sent. As long as no runner can have
worked on the request, a refusal says "not run" (503, 429). Once bytes have
been sent to a runner, a refusal says so only if the runner itself states that
it did not accept the request; everything else is "may have run" (502, 504),
and only a request that may be repeated is sent again.

A stream that breaks off is resumed at another runner after the last complete
event that the caller has, if its route allows that.
"""

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
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.relays import relayclient
from apricotlandingd.gateway.relays import runnerpaths
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import discarding
from apricotlandingd.gateway.requests import inactivity
from apricotlandingd.gateway.requests import inactivitylimit
from apricotlandingd.gateway.requests import placewaits
from apricotlandingd.gateway.requests import poolchoice
from apricotlandingd.gateway.requests import queueentries
from apricotlandingd.gateway.requests import replies
from apricotlandingd.gateway.requests import resultlog
from apricotlandingd.gateway.requests import runnerclient
from apricotlandingd.gateway.requests import runnernotes
from apricotlandingd.gateway.requests import sendcounts
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.requests import streams
from apricotlandingd.gateway.runners import observations

__all__ = ['Exchange']

# Time after a request's deadline in which the runner's own answer about the
# timeout may still arrive.
DEADLINE_SLACK_S = 0.1
# Largest answer that is buffered until it is complete, so that another runner
# can be asked if it breaks off; larger ones are forwarded as they arrive.
MAX_HELD_BYTES = 256 * 1024
MIN_FAILURE_STATUS = 500


class _SendResult(enum.Enum):
    # Result of one send to a runner.
    DONE = 'done'
    NOT_RUN = 'not run'
    FAILED = 'failed'


@ty.final
class Exchange:
    """One request of a caller."""

    def __init__(
        self,
        shared: sharedstate.SharedState,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Prepare to answer an ASGI request."""
        self._shared = shared
        self._scope = scope
        self._receive = receive
        self._reply = replies.Reply(
            send, shared.http_dialect, shared.is_stopping
        )
        self._admission = admission.Admission(shared, scope)
        self._places = placewaits.PlaceWaits(shared, self._admission)
        self._notes = runnernotes.RunnerNotes(shared, self._admission)
        self._sends = sendcounts.SendCounts(shared, self._admission)
        self._inactivity = inactivitylimit.InactivityLimit(
            shared, self._admission, self._sends
        )
        self._may_have_run = False
        self._tried: set[ids.RunnerStart] = set()
        # Those of them that this host could not connect to.
        self._unreached: set[ids.RunnerStart] = set()
        # A failure that a runner answered, in case no other runner succeeds.
        self._fallback: tuple[dialect.AnswerHead, bytes] | None = None
        self._reader: streams.EventReader | None = None
        # Version of the software that wrote the last event of a stream.
        self._stream_release: ids.Release | None = None
        self._first_at: float | None = None
        # All work on the request; cancelled by ``end``.
        self._work = anyio.CancelScope()
        self._runner: ids.RunnerStart | None = None
        # Version of that runner's software.
        self._runner_release: ids.Release | None = None
        # The host that the last call went through, if it was another one.
        self._relay_host: ids.Host | None = None
        self._detail = ''

    async def run(self) -> None:
        """Answer the request."""
        try:
            with self._work:
                await self._answer()
            if self._work.cancelled_caught:
                await self._answer_host_stop()
        except asgi.Disconnected:
            # The caller disconnected before its request had arrived.
            return
        except anyio.get_cancelled_exc_class():
            # Only the end of the process cancels this task. Without its own
            # outcome, the log would say that the caller disconnected.
            self._reply.outcome = 'stopped'
            raise
        finally:
            self._log_result(clocks.read_monotonic())
            self._admission.drop_body()

    def end(self) -> None:
        """End the request, because the process is about to end."""
        self._work.cancel()

    async def _answer(self) -> None:
        problem = await self._admission.admit(
            self._scope['headers'], self._receive
        )
        if problem is not None:
            await self._refuse(problem)
            return
        await self._serve_while_connected()

    async def _answer_host_stop(self) -> None:
        # If the process ended first, the caller would get an error of the
        # HTTP server, which does not say whether its request was run.
        if self._may_have_run:
            await self._fail(errors.make_problem(errors.Kind.HOST_STOPPED))
            return
        # Another host can serve it at once.
        await self._refuse(errors.make_problem(errors.Kind.STOPPING, 0.0))

    # Serving.

    async def _serve_while_connected(self) -> None:
        async with taskgroups.open_group() as group:
            group.start_soon(self._watch_caller, group.cancel_scope)
            await self._serve_until_deadline()

    async def _watch_caller(self, scope: anyio.CancelScope) -> None:
        # A runner must not work on for a caller that has disconnected:
        # cancelling the scope closes the connection to the runner.
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                scope.cancel()
                return

    async def _serve_until_deadline(self) -> None:
        remaining_s = self._admission.deadline_at - clocks.read_monotonic()
        with anyio.move_on_after(remaining_s + DEADLINE_SLACK_S) as limit:
            await self._serve()
        if not limit.cancelled_caught:
            return
        if self._may_have_run:
            await self._fail(errors.make_problem(errors.Kind.TIMED_OUT))
        else:
            await self._refuse(
                errors.make_problem(
                    errors.Kind.NO_PLACE, admission.RETRY_AFTER_S
                )
            )

    async def _serve(self) -> None:
        problem = await self._shared.resumption.bind(self._admission)
        if problem is not None:
            await self._refuse(problem)
            return
        while True:
            decision = await self._obtain_place()
            if isinstance(decision, errors.Problem):
                await self._give_up(decision)
                return
            end = await self._send_once(decision)
            if end is _SendResult.DONE:
                return
            if self._reply.has_begun and self._reader is None:
                # Of an answer that is no stream, no other run has the rest.
                break
            is_repeat = end is _SendResult.FAILED
            now = clocks.read_monotonic()
            if not self._sends.may_send_again(is_repeat, now):
                break
        now = clocks.read_monotonic()
        rest_s = self._shared.closed.find_shortest_rest(self._places.pool, now)
        problem = errors.make_problem(
            errors.Kind.NOT_TAKEN,
            max(rest_s, admission.RETRY_AFTER_S),
            detail=self._detail,
        )
        await self._give_up(problem)

    async def _give_up(self, problem: errors.Problem) -> None:
        # The final answer when no runner succeeds: the failure that a runner
        # answered, "may have run", or the problem, which says "not run".
        if self._fallback is not None and not self._reply.has_begun:
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

    async def _obtain_place(self) -> queueing.Grant | errors.Problem:
        guard = self._shared.crash_guard
        now = clocks.read_monotonic()
        problem = guard.find_problem(
            self._admission, now, self._sends.count > 0
        ) or self._shared.paths.find_problem(self._admission, now)
        if problem is not None:
            return problem
        decision = await self._wait_for_open()
        if isinstance(decision, queueing.Refusal):
            return poolchoice.explain_refusal(
                self._shared, self._admission, decision
            )
        # It may have been put in quarantine while it waited.
        now = clocks.read_monotonic()
        problem = guard.admit_send(self._admission, now)
        if problem is not None:
            self._places.release(decision)
            return problem
        return decision

    async def _wait_for_open(self) -> queueing.Grant | queueing.Refusal:
        while True:
            now = clocks.read_monotonic()
            if not poolchoice.may_go_on(self._shared, self._admission, now):
                return queueing.Refusal(admission.RETRY_AFTER_S, 0.0, 0)
            decision = await self._wait_for_place()
            if isinstance(decision, queueing.Refusal):
                return decision
            now = clocks.read_monotonic()
            if poolchoice.may_use(
                self._shared, self._admission, decision.runner, now
            ):
                return decision
            self._places.release(decision)

    async def _wait_for_place(self) -> queueing.Grant | queueing.Refusal:
        if self._shared.paths.is_relayed(self._admission.service):
            # They may be reached through another host.
            self._tried -= self._unreached
            self._unreached.clear()
        return await self._places.wait(
            queueentries.Progress(
                has_begun=self._reply.has_begun,
                sends=self._sends.count,
                tried=self._tried,
            )
        )

    # Sending.

    async def _send_once(self, grant: queueing.Grant) -> _SendResult:
        began_at = clocks.read_monotonic()
        runner = grant.runner
        self._runner = runner
        self._tried.add(runner)
        entry = self._shared.directory.find(runner)
        self._shared.on_change()
        end: _SendResult | None = None
        try:
            if entry is None:
                self._detail = 'the runner has left'
                end = _SendResult.NOT_RUN
                return end
            self._runner_release = entry.release
            with self._notes.track(entry):
                end = await self._send_to(entry, began_at)
            if end is _SendResult.DONE:
                slot_time_s = clocks.read_monotonic() - began_at
                self._notes.note(
                    entry, observations.Kind.HOLD, seconds=slot_time_s
                )
            return end
        finally:
            if end is None or end is _SendResult.FAILED:
                self._places.release_broken_off(grant, began_at)
            else:
                self._places.release(grant)

    async def _send_to(
        self, entry: dialect.RunnerEntry, began_at: float
    ) -> _SendResult:
        remaining_s = self._admission.deadline_at - began_at
        if remaining_s <= 0:
            self._detail = 'no time is left'
            return _SendResult.NOT_RUN
        call = self._make_call(entry, remaining_s)
        may_have_run_before = self._may_have_run
        # Set before the first byte is sent, so that an exception before the
        # answer never leads to "not run".
        self._may_have_run = True
        self._sends.begin()
        try:
            async with self._inactivity.limit(entry, self._tried) as timeout:
                async with self._shared.paths.open(
                    entry, call, self._admission
                ) as path:
                    self._relay_host = path.relay_host
                    return await self._take_answer(
                        entry,
                        path.answer,
                        timeout,
                        began_at,
                        may_have_run_before,
                    )
        except (webclient.NotSent, runnerpaths.NoPath) as error:
            self._sends.take_back()
            self._may_have_run = may_have_run_before
            self._detail = str(error)
            if isinstance(error, webclient.NotSent):
                self._unreached.add(entry.start)
                self._notes.note_failure(entry, False, self._detail)
            return _SendResult.NOT_RUN
        except (
            webclient.Broken,
            streams.OutOfOrder,
            inactivity.Silent,
        ) as error:
            self._detail = repr(error)
            if isinstance(error, relayclient.HostLost):
                # By no fault of the runner.
                self._tried.discard(entry.start)
            await self._notes.note_broken(
                entry, error, self._sends.may_abandon()
            )
            return _SendResult.FAILED

    def _make_call(
        self, entry: dialect.RunnerEntry, remaining_s: float
    ) -> runnerclient.Call:
        last_event = self._admission.head.last_event
        if self._reader is not None:
            last_event = self._reader.last_event
        organisation = self._admission.organisation
        return runnerclient.Call(
            method=self._admission.method,
            target=self._admission.target,
            headers=self._shared.http_dialect.write_request(
                self._admission.head,
                ids.parse_runner(entry.start),
                None if organisation is None else organisation.name,
                remaining_s,
                last_event,
            ),
            body=self._admission.body,
            is_repeatable=self._admission.route.is_repeatable(),
            deadline_at=self._admission.deadline_at,
            read_bytes=self._admission.read_bytes,
        )

    # Answers.

    async def _take_answer(
        self,
        entry: dialect.RunnerEntry,
        answer: runnerpaths.AnyAnswer,
        timeout: inactivity.Timeout,
        began_at: float,
        may_have_run_before: bool,
    ) -> _SendResult:
        head = self._shared.http_dialect.read_answer(
            answer.status, answer.headers
        )
        answer.idle_s = head.idle_s
        self._notes.note_head(entry, head, began_at)
        if head.attempt and head.attempt != self._admission.head.attempt:
            # A late answer to another request on this connection.
            raise webclient.Broken('the answer names another attempt')
        if head.is_not_run:
            self._may_have_run = may_have_run_before
            self._detail = f'status {head.status}'
            if head.is_other_runner:
                # The address belongs to another runner now: this is no send,
                # and the registration is out of date.
                self._sends.count -= 1
                self._notes.note(entry, observations.Kind.GONE)
            if not await discarding.discard_body(answer):
                detail = 'an answer that does not end'
                self._notes.note_failure(entry, True, detail)
            return _SendResult.NOT_RUN
        if not head.is_sealed:
            raise webclient.Broken(f'status {head.status} without a mark')
        if self._reply.has_begun or self._admission.is_streamed(head.status):
            return await self._relay_stream(
                entry, head, answer, timeout, began_at
            )
        return await self._buffer_answer(entry, head, answer, began_at)

    async def _buffer_answer(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        answer: runnerpaths.AnyAnswer,
        began_at: float,
    ) -> _SendResult:
        pieces: list[bytes] = []
        size = 0
        async for part in answer.iterate():
            pieces.append(part)
            await self._admission.hold(size, len(part))
            size += len(part)
            if size > MAX_HELD_BYTES:
                return await self._forward_rest(entry, head, pieces, answer)
        self._notes.note_completion(entry)
        now = clocks.read_monotonic()
        body = b''.join(pieces)
        if head.status >= MIN_FAILURE_STATUS:
            self._fallback = (head, body)
            self._detail = f'status {head.status}'
            self._notes.note(entry, observations.Kind.FAILURE)
            return _SendResult.FAILED
        self._notes.note_success(entry, began_at, 0)
        self._first_at = self._first_at or now
        self._notes.note_whole(entry, head.status, now - began_at)
        self._admission.held.drop(size)
        await self._reply.deliver(head, body)
        return _SendResult.DONE

    async def _forward_rest(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        pieces: list[bytes],
        answer: runnerpaths.AnyAnswer,
    ) -> _SendResult:
        await self._reply.begin(head)
        await self._reply.forward_part(b''.join(pieces))
        self._admission.held.drop(sum(map(len, pieces)))
        async for part in answer.iterate():
            await self._reply.forward_part(part)
        self._notes.note_completion(entry)
        await self._reply.finish(head)
        return _SendResult.DONE

    async def _relay_stream(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        answer: runnerpaths.AnyAnswer,
        timeout: inactivity.Timeout,
        began_at: float,
    ) -> _SendResult:
        if not 200 <= head.status < 300:
            # The stream was to be resumed here, but this runner fails.
            raise webclient.Broken(f'status {head.status}')
        reader = self._reader
        if reader is None:
            reader = streams.EventReader(self._admission.head.last_event)
            self._reader = reader
        reader.drop_partial()
        await self._admission.hold_partial(0)
        before = reader.count
        last_event = reader.last_event
        first_at: float | None = None
        async for part in answer.iterate():
            complete = reader.take(part)
            if not complete:
                await self._admission.hold_partial(reader.count_partial())
                continue
            now = clocks.read_monotonic()
            if first_at is None:
                first_at = now
                self._first_at = self._first_at or now
                self._notes.note_first(entry, now - began_at)
                self._note_stream_release(entry, last_event)
            self._notes.note_progress(entry, reader.count, now)
            if self._sends.may_abandon():
                gap_s = self._admission.route.gap_objective_s
                timeout.extend(inactivity.find_gap_timeout(gap_s))
            if not self._reply.has_begun:
                await self._reply.begin(head)
            await self._reply.forward_part(complete)
            # After the part is counted: it may wait for room before that.
            await self._admission.hold_partial(reader.count_partial())
        if reader.has_partial():
            raise webclient.Broken('the stream ends within an event')
        if not self._reply.has_begun:
            await self._reply.begin(head)
        await self._reply.finish(head)
        events = reader.count - before
        self._notes.note_end(entry, events, began_at, first_at)
        return _SendResult.DONE

    def _note_stream_release(
        self, entry: dialect.RunnerEntry, last_event: str
    ) -> None:
        before, self._stream_release = self._stream_release, entry.release
        # From the first event on it goes on at this version only.
        self._admission.release = entry.release
        if before is None:
            self._shared.resumption.publish(self._admission, entry.release)
            return
        self._shared.telemetry.count('streams_resumed_total')
        eliot.log_message(
            'gateway:stream_resumed',
            attempt=self._admission.head.attempt,
            runner=ids.parse_runner(entry.start),
            release=entry.release,
            release_before=before,
            last_event=last_event,
        )

    # Answers of the gateway.

    async def _fail(self, problem: errors.Problem) -> None:
        self._detail = self._detail or problem.text
        await self._reply.fail(self._admission.head.attempt, problem)

    async def _refuse(self, problem: errors.Problem) -> None:
        self._admission.return_allowance()
        self._detail = self._detail or problem.text
        await self._reply.write_problem(self._admission.head.attempt, problem)

    def _log_result(self, now: float) -> None:
        runner = None
        if self._runner is not None:
            runner = ids.parse_runner(self._runner)
        resultlog.log_result(
            self._shared.telemetry,
            self._admission,
            resultlog.Result(
                runner=runner,
                release=self._runner_release,
                sends=self._sends.count,
                relay_host=self._relay_host,
                waited_s=self._places.waited_s,
                predicted_s=self._places.predicted_s,
                first_at=self._first_at,
                outcome=self._reply.outcome,
                detail=self._detail,
            ),
            now,
        )
