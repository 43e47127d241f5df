"""The HTTP listener for callers: ``POST /v1/routes/ROUTE``.

One task serves each connection. It checks the request, passes it to ``runs``
and streams the answer. The answer of an engine is a stream of JSON lines.
The daemon adds a last line with the outcome, by which a caller can tell a
complete answer from a truncated one; see docs/CALLERS.md.
"""

import collections.abc
import json
import typing as ty

import anyio
import anyio.abc
from opentelemetry import trace

from apricotlanding import asgi
from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import framing
from apricotlanding import tracing
from apricotlandingd.requests import admission
from apricotlandingd.requests import answers
from apricotlandingd.requests import openbodies
from apricotlandingd.requests import runs

__all__ = ['Entry']

ROUTE_PREFIX = '/v1/routes/'
# Timeout for receiving the body of a request.
BODY_TIMEOUT_S = 30.0
# When callers should return that found as many requests as may be open.
FULL_RETRY_AFTER_S = 1.0
# The task that runs a request ends it at its deadline with the right outcome.
# The caller's connection cannot tell whether the request has run, so it waits
# this long after the deadline for that outcome before it answers "unknown".
FINAL_ANSWER_GRACE_S = 0.25
_JSON = (b'content-type', b'application/json')
_NDJSON = (b'content-type', b'application/x-ndjson')


@ty.final
class Entry:
    """The ASGI application for callers."""

    def __init__(
        self,
        all_runs: runs.Runs,
        store: answers.AnswerStore,
        tracer: tracing.Tracer,
        open_requests: int,
        open_body_bytes: int,
    ) -> None:
        """Create the application; the last two are the limits."""
        self._runs = all_runs
        self._store = store
        self._tracer = tracer
        self._open_requests = open_requests
        self._bodies = openbodies.OpenBodies(open_body_bytes)
        self.find_bundle: collections.abc.Callable[
            [], bundle.Bundle | None
        ] = lambda: None
        # The result of /readyz, for the load balancer.
        self.is_ready: collections.abc.Callable[[], bool] = lambda: False
        # False once a graceful stop rejects new requests.
        self.is_admitting = True

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        path: str = scope['path']
        if path == '/healthz':
            await asgi.send_json(send, 200, {'alive': True})
        elif path == '/readyz':
            is_ready = self.is_ready()
            await asgi.send_json(
                send, 200 if is_ready else 503, {'ready': is_ready}
            )
        elif not path.startswith(ROUTE_PREFIX):
            problem = errors.make_problem(
                errors.Kind.NOT_FOUND, path=path[:128]
            )
            await _send_problem(send, problem, None)
        else:
            await self._serve_route(scope, receive, send)

    async def _serve_route(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        headers = asgi.read_headers(scope)
        parent = tracing.extract_context(headers)
        with self._tracer.start_as_current_span('caller', parent) as span:
            admitted = await self._admit(scope, headers, receive)
            if isinstance(admitted, errors.Problem):
                span.set_attribute('code', admitted.code)
                await _send_problem(send, admitted, None)
                return
            span.set_attribute('key', admitted.head.key)
            await self._serve_request(admitted, receive, send, span)

    async def _admit(
        self,
        scope: asgi.Scope,
        headers: dict[str, str],
        receive: asgi.Receive,
    ) -> admission.Request | errors.Problem:
        config = self.find_bundle()
        if config is None:
            # Without a bundle neither the route nor earlier requests under
            # the key are known, so the outcome is unknown.
            return errors.mark_outcome_unknown(
                errors.make_problem(errors.Kind.NO_BUNDLE, 1.0)
            )
        if scope['method'] != 'POST':
            return errors.make_problem(errors.Kind.BAD_METHOD)
        name = scope['path'].removeprefix(ROUTE_PREFIX)
        checked = admission.check_headers(
            config, name, headers, len(scope['headers'])
        )
        if checked.is_error():
            return checked.error
        head = checked.ok
        stopping = self._check_stopping(head)
        if stopping is not None:
            return stopping
        body = await self._read_body(scope, receive, head)
        if isinstance(body, errors.Problem):
            return body
        # Checked again: a graceful stop may have begun to wait for open
        # requests while the body arrived. This request is not among them,
        # so the process could exit while it runs.
        stopping = self._check_stopping(head)
        if stopping is not None:
            return stopping
        found = admission.check_body(config, head, body)
        return found.error if found.is_error() else found.ok

    async def _read_body(
        self, scope: asgi.Scope, receive: asgi.Receive, head: admission.Head
    ) -> bytes | errors.Problem:
        limit = head.body_limit
        size = framing.find_length(scope['headers'])
        if size is None:
            size = limit
        if size > limit:
            return errors.make_problem(errors.Kind.BODY_TOO_LARGE, limit=limit)
        if not self._bodies.reserve(size):
            return _weaken_if_at_most_once(
                head,
                errors.make_problem(
                    errors.Kind.MEMORY_FULL, FULL_RETRY_AFTER_S
                ),
            )
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                return await asgi.read_body(receive, limit)
        except asgi.BodyTooLarge:
            return errors.make_problem(errors.Kind.BODY_TOO_LARGE, limit=limit)
        except (asgi.Disconnected, TimeoutError):
            return errors.make_problem(errors.Kind.INCOMPLETE_BODY)
        finally:
            self._bodies.release(size)

    def _check_stopping(self, head: admission.Head) -> errors.Problem | None:
        if self.is_admitting:
            return None
        return _weaken_if_at_most_once(
            head, errors.make_problem(errors.Kind.STOPPING, 0.0)
        )

    async def _serve_request(
        self,
        request: admission.Request,
        receive: asgi.Receive,
        send: asgi.Send,
        span: trace.Span,
    ) -> None:
        now = clocks.read_monotonic()
        deadline_at = now + request.head.deadline_s
        found = self._find_or_start(request, deadline_at, span)
        if isinstance(found, errors.Problem):
            await _send_problem(send, found, request)
            return
        stored, run = found
        answer = stored.answer
        answer.readers += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_watch_caller, receive, group.cancel_scope)
                remaining_s = deadline_at - clocks.read_monotonic()
                with anyio.move_on_after(remaining_s + FINAL_ANSWER_GRACE_S):
                    await answer.wait_for_first_chunk()
                await _send_answer(send, request, answer)
                group.cancel_scope.cancel()
        finally:
            answer.readers -= 1
        if run is not None:
            self._stop_if_unread(request, run)

    def _find_or_start(
        self,
        request: admission.Request,
        deadline_at: float,
        span: trace.Span,
    ) -> tuple[answers.StoredRequest, runs.Run | None] | errors.Problem:
        head = request.head
        stored = self._store.find(head.organisation, head.key)
        if stored is not None:
            if stored.digest != request.digest:
                return errors.make_problem(errors.Kind.KEY_REUSED)
            return stored, None
        if self._runs.count() >= self._open_requests:
            victim = self._runs.find_lowest_waiting(head.tier)
            full_problem = errors.make_problem(
                errors.Kind.MEMORY_FULL, FULL_RETRY_AFTER_S
            )
            if victim is None:
                return _weaken_if_at_most_once(head, full_problem)
            # Shed the waiting request of the lowest tier instead.
            victim.stop(full_problem, full_problem)
        parent = trace.set_span_in_context(span)
        run = self._runs.start(request, deadline_at, parent)
        self._bodies.hold(run, request.count_bytes())
        return run.stored, run

    def _stop_if_unread(
        self, request: admission.Request, run: runs.Run
    ) -> None:
        # The caller of a waiting idempotent request has disconnected and no
        # other connection reads the answer: running it would waste a
        # prefill. At-most-once requests go on, because the caller may retry
        # and read the answer.
        if request.is_at_most_once or run.stored.answer.readers > 0:
            return
        if run.state is runs.RunState.WAITING:
            gone_problem = errors.make_problem(errors.Kind.CALLER_GONE)
            run.stop(gone_problem, gone_problem)


def _weaken_if_at_most_once(
    head: admission.Head, problem: errors.Problem
) -> errors.Problem:
    if head.route.repeat is bundle.Repeat.AT_MOST_ONCE:
        return errors.mark_outcome_unknown(problem)
    return problem


async def _watch_caller(
    receive: asgi.Receive, scope: anyio.CancelScope
) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            scope.cancel()
            return


async def _send_answer(
    send: asgi.Send, request: admission.Request, answer: answers.Answer
) -> None:
    if not answer.chunks:
        # No chunk before the deadline, or an end without a chunk.
        problem = answer.end.problem if answer.end else None
        if problem is None:
            problem = errors.make_problem(errors.Kind.DEADLINE_RUNNING)
        await _send_problem(send, problem, request)
        return
    if request.kind is bundle.RunnerKind.SERVICE:
        await _send_service_answer(send, request, answer)
        return
    await asgi.start_response(
        send, 200, [_NDJSON, *_make_request_headers(request, answer)]
    )
    async for part in answer.iterate():
        await asgi.send_body_part(send, part)
    assert answer.end is not None
    end_line = _make_end_line(request, answer.end.problem)
    await asgi.send_body_part(send, _encode_line(end_line), is_last=True)


async def _send_service_answer(
    send: asgi.Send, request: admission.Request, answer: answers.Answer
) -> None:
    body = b''.join([part async for part in answer.iterate()])
    headers = [
        _JSON,
        (b'content-length', str(len(body)).encode()),
        *_make_request_headers(request, answer),
    ]
    await asgi.start_response(send, answer.status, headers)
    await asgi.send_body_part(send, body, is_last=True)


def _make_request_headers(
    request: admission.Request, answer: answers.Answer
) -> asgi.HeaderList:
    found = [(b'apricot-request', request.head.key.encode())]
    if answer.runner is not None:
        found.append((b'apricot-runner', answer.runner.encode()))
    return found


def _make_end_line(
    request: admission.Request, problem: errors.Problem | None
) -> dict[str, ty.Any]:
    line: dict[str, ty.Any] = {
        'apricot-request': request.head.key,
        'outcome': 'complete' if problem is None else problem.outcome.value,
    }
    if problem is not None:
        line |= {
            'code': problem.code,
            'error': problem.text,
            'remedy': problem.remedy,
        }
    return line


def _encode_line(value: dict[str, ty.Any]) -> bytes:
    return json.dumps(value).encode() + b'\n'


async def _send_problem(
    send: asgi.Send,
    problem: errors.Problem,
    request: admission.Request | None,
) -> None:
    if request is None:
        await asgi.send_problem(send, problem)
        return
    key = request.head.key
    await asgi.send_problem(
        send,
        problem,
        [(b'apricot-request', key.encode())],
        **{'apricot-request': key},
    )
