"""Sends requests to runners and forwards their answers.

Once the first byte has been sent to a runner, the request may have run.
``AttemptEnd`` says how a call ended, which decides whether it may be retried:

* NOT_TAKEN: nothing was sent, or the runner reported that it did not accept
  the request. It may be sent to another runner.
* FAILED: something was sent and the answer is incomplete. Only an idempotent
  request may be retried, and only while its caller has not received a byte.
* COMPLETE: the whole answer was received.

A broken stream of an engine is resumed on the same engine after the last line
received. The engine continues to compute meanwhile, so resuming wastes no
prefill and runs nothing twice.
"""

import dataclasses
import enum
import json
import typing as ty
import urllib.parse

import anyio
import pydantic

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import plainjson
from apricotlanding import webclient
from apricotlandingd.requests import admission
from apricotlandingd.requests import answers

__all__ = ['Attempt', 'AttemptEnd', 'Relay']

NOT_TAKEN_HEADER = b'apricot-not-taken'
# Attempts to resume a broken stream, and the delay before the first of them;
# the delay grows linearly.
MAX_RESUMES = 3
RESUME_DELAY_S = 0.1
# Read timeout for the next part of an answer.
PART_TIMEOUT_S = 60.0
SERVICE_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024


class AttemptEnd(enum.Enum):
    """How a call to a runner ended."""

    COMPLETE = 'complete'
    NOT_TAKEN = 'not-taken'
    FAILED = 'failed'


@ty.final
@dataclasses.dataclass(slots=True)
class Attempt:
    """One call to one runner."""

    end: AttemptEnd = AttemptEnd.FAILED
    detail: str = ''
    # Monotonic clock.
    started_at: float = 0.0
    first_byte_at: float | None = None
    output_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class _Malformed(Exception):
    """The runner sent data that cannot belong to this request's answer."""


@ty.final
class Relay:
    """Calls runners, with a connection pool for each."""

    def __init__(self) -> None:
        """Create a relay without connections."""
        self._clients: dict[str, webclient.WebClient] = {}

    def find_client(self, model: bundle.RunnerModel) -> webclient.WebClient:
        """Return the client for a runner's address."""
        address = str(model.address)
        client = self._clients.get(address)
        if client is None:
            client = webclient.WebClient(
                model.address,
                read_timeout=PART_TIMEOUT_S,
                has_tcp_keepalive=True,
            )
            self._clients[address] = client
        return client

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    async def run(
        self,
        request: admission.Request,
        name: str,
        model: bundle.RunnerModel,
        answer: answers.Answer,
        headers: webclient.Headers,
    ) -> Attempt:
        """Send a request to a runner; ``name`` must be unique to this call."""
        attempt = Attempt(started_at=clocks.read_monotonic())
        client = self.find_client(model)
        if model.kind is bundle.RunnerKind.SERVICE:
            await _call_service(client, request, answer, headers, attempt)
        else:
            await _call_engine(client, request, name, answer, headers, attempt)
        return attempt

    async def cancel(self, name: str, model: bundle.RunnerModel) -> None:
        """Cancel a request on an engine; best effort."""
        try:
            path = f'/v1/generate/{urllib.parse.quote(name)}'
            await self.find_client(model).call(
                'DELETE', path, read_timeout=2.0
            )
        except webclient.WebError:
            # The engine computes the output to its end, which wastes
            # capacity but is correct.
            return


async def _call_engine(
    client: webclient.WebClient,
    request: admission.Request,
    name: str,
    answer: answers.Answer,
    headers: webclient.Headers,
    attempt: Attempt,
) -> None:
    body = json.dumps(
        {
            'request': name,
            'key': request.head.key,
            'prompt': request.prompt,
            'max_tokens': request.max_tokens,
        }
    ).encode()
    reader = _LineReader(name, answer, attempt)
    try:
        async with client.open(
            'POST', '/v1/generate', headers, body
        ) as response:
            if not await _check_status(response, attempt):
                return
            await reader.read(response)
    except webclient.NotSent as error:
        attempt.end = AttemptEnd.NOT_TAKEN
        attempt.detail = str(error)
        return
    except webclient.Broken as error:
        attempt.detail = str(error)
    except _Malformed as error:
        attempt.detail = str(error)
        return
    if not reader.has_end:
        await _resume(client, name, reader, headers, attempt)
    if reader.has_end:
        attempt.end = AttemptEnd.COMPLETE


async def _resume(
    client: webclient.WebClient,
    name: str,
    reader: '_LineReader',
    headers: webclient.Headers,
    attempt: Attempt,
) -> None:
    base_path = f'/v1/generate/{urllib.parse.quote(name)}'
    for number in range(MAX_RESUMES):
        await anyio.sleep(RESUME_DELAY_S * (number + 1))
        path = f'{base_path}?from={reader.line_count}'
        try:
            async with client.open('GET', path, headers) as response:
                if response.status != 200:
                    attempt.detail = 'the engine no longer knows the request'
                    return
                reader.drop_partial()
                await reader.read(response)
        except webclient.WebError as error:
            attempt.detail = str(error)
            continue
        except _Malformed as error:
            attempt.detail = str(error)
            return
        if reader.has_end:
            return


@dataclasses.dataclass(frozen=True, slots=True)
class _Counts:
    prompt_tokens: plainjson.Count = 0
    cached_tokens: plainjson.Count = 0


_counts: ty.Final = pydantic.TypeAdapter(_Counts)


@ty.final
class _LineReader:
    """Reads an engine's JSON lines and checks that they are this request's."""

    def __init__(
        self, name: str, answer: answers.Answer, attempt: Attempt
    ) -> None:
        self.has_end = False
        # Complete lines received; a broken stream is resumed from here.
        self.line_count = 0
        self._name = name
        self._answer = answer
        self._attempt = attempt
        self._partial = b''

    def drop_partial(self) -> None:
        """Discard a partial line; a resumed stream starts with a full line."""
        self._partial = b''

    async def read(self, response: webclient.Response) -> None:
        """Forward complete lines until the stream ends.

        Raises Broken if the connection breaks, and _Malformed for lines that
        are not JSON or that belong to another request: connections can be
        mixed up on the way, and a caller must never get another's answer.
        """
        async for data in response.iterate():
            head, newline, tail = (self._partial + data).rpartition(b'\n')
            self._partial = tail
            # Read on after the end line: the connection can be reused only
            # if the response was read to its last byte.
            if newline and not self.has_end:
                self._process_lines(head + newline)

    def _process_lines(self, data: bytes) -> None:
        forwarded: list[bytes] = []
        for line in data.splitlines(keepends=True):
            value = self._parse(line)
            self.line_count += 1
            if value.get('end') is True:
                self._process_end(value)
                break
            forwarded.append(line)
        if forwarded:
            if self._attempt.first_byte_at is None:
                self._attempt.first_byte_at = clocks.read_monotonic()
            self._attempt.output_tokens += len(forwarded)
            self._answer.add(b''.join(forwarded))

    def _parse(self, line: bytes) -> dict[str, ty.Any]:
        try:
            value = plainjson.parse(line)
        except ValueError:
            raise _Malformed('a line that is not JSON') from None
        if not isinstance(value, dict):
            raise _Malformed('a line that is not an object')
        if value.get('request') != self._name:
            raise _Malformed('a line of another request')
        return value

    def _process_end(self, value: dict[str, ty.Any]) -> None:
        self.has_end = True
        attempt = self._attempt
        try:
            counts = _counts.validate_python(value)
        except pydantic.ValidationError:
            # These are only statistics; the answer itself is complete.
            return
        attempt.prompt_tokens = counts.prompt_tokens
        attempt.cached_tokens = counts.cached_tokens


async def _call_service(
    client: webclient.WebClient,
    request: admission.Request,
    answer: answers.Answer,
    headers: webclient.Headers,
    attempt: Attempt,
) -> None:
    path = '/' + urllib.parse.quote(request.head.route.name)
    all_headers = [
        (b'content-type', b'application/json'),
        (b'idempotency-key', request.head.key.encode()),
        *headers,
    ]
    try:
        async with client.open(
            'POST', path, all_headers, request.body
        ) as response:
            # A 4xx status is an answer of the service itself.
            if not 400 <= response.status < 500:
                if not await _check_status(response, attempt):
                    return
            answer.status = response.status
            data = await response.read(SERVICE_ANSWER_LIMIT_BYTES)
    except webclient.NotSent as error:
        attempt.end = AttemptEnd.NOT_TAKEN
        attempt.detail = str(error)
        return
    except webclient.Broken as error:
        attempt.detail = str(error)
        return
    attempt.first_byte_at = clocks.read_monotonic()
    attempt.end = AttemptEnd.COMPLETE
    answer.add(data)


async def _check_status(
    response: webclient.Response, attempt: Attempt
) -> bool:
    if 200 <= response.status < 300:
        return True
    attempt.detail = f'status {response.status}'
    if response.headers.get(NOT_TAKEN_HEADER) == b'1':
        attempt.end = AttemptEnd.NOT_TAKEN
    await response.read(SERVICE_ANSWER_LIMIT_BYTES)
    return False
