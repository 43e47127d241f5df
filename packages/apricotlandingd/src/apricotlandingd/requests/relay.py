"""The call to a runner: send a request, pass its answer on.

From the moment the first byte leaves for a runner, the request may have run.
``Attempt`` says how a call ended in the terms that matter for what may be
done next:

* NOT_TAKEN: nothing was sent, or the runner itself said that it did not take
  the request. It may go to another runner.
* FAILED: something was sent and the answer did not come whole. Only an
  idempotent request may be tried again, and only while its caller has not
  seen a byte.
* COMPLETE: the whole answer is in.

An engine's stream that breaks is resumed on the same engine, from the last
line that came: the engine goes on computing, so resuming wastes no prefill
and runs nothing twice.
"""

import dataclasses
import enum
import json
import typing as ty
import urllib.parse

import anyio

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import webclient
from apricotlandingd.requests import admission
from apricotlandingd.requests import answers

__all__ = ['Attempt', 'AttemptEnd', 'Relay']

NOT_TAKEN_HEADER = b'apricot-not-taken'
# Attempts to go on with a broken stream, and seconds between them.
MAX_RESUMES = 3
RESUME_DELAY_S = 0.1
# Longest wait for the next part of an answer, in seconds.
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
    # Monotonic times of the start and of the first byte.
    started_at: float = 0.0
    first_byte_at: float | None = None
    output_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class _Malformed(Exception):
    """The runner sent something that cannot be this request's answer."""


@ty.final
class Relay:
    """Calls to runners, one connection pool for each."""

    def __init__(self) -> None:
        """Start without connections."""
        self._clients: dict[str, webclient.WebClient] = {}

    def find_client(self, model: bundle.RunnerModel) -> webclient.WebClient:
        """Return the client for a runner's address."""
        address = str(model.address)
        client = self._clients.get(address)
        if client is None:
            client = webclient.WebClient(
                model.address, read_timeout=PART_TIMEOUT_S
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
        """Send a request to a runner under a name unique to this call."""
        attempt = Attempt(started_at=clocks.read_monotonic())
        client = self.find_client(model)
        if model.kind is bundle.RunnerKind.SERVICE:
            await _call_service(client, request, answer, headers, attempt)
        else:
            await _call_engine(client, request, name, answer, headers, attempt)
        return attempt

    async def cancel(self, name: str, model: bundle.RunnerModel) -> None:
        """Tell an engine to stop working on a request; best effort."""
        try:
            path = f'/v1/generate/{urllib.parse.quote(name)}'
            await self.find_client(model).call(
                'DELETE', path, read_timeout=2.0
            )
        except webclient.WebError:
            # It goes on until the end of the output: costly, not wrong.
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


@ty.final
class _LineReader:
    """Reads an engine's JSON lines and checks whose they are."""

    def __init__(
        self, name: str, answer: answers.Answer, attempt: Attempt
    ) -> None:
        self.has_end = False
        # Whole lines so far: where to resume.
        self.line_count = 0
        self._name = name
        self._answer = answer
        self._attempt = attempt
        self._partial = b''

    def drop_partial(self) -> None:
        """Forget half a line: a resumed stream begins with a whole one."""
        self._partial = b''

    async def read(self, response: webclient.Response) -> None:
        """Pass whole lines on until the stream ends.

        Raises Broken, or _Malformed for lines that are not JSON or that
        belong to another request: connections can be crossed on the way,
        and a caller must never see another's answer.
        """
        async for data in response.iterate():
            head, newline, tail = (self._partial + data).rpartition(b'\n')
            self._partial = tail
            # Read on after the end: a connection whose response was read
            # to its last byte can be used again.
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
            value = json.loads(line)
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
            attempt.prompt_tokens = int(value.get('prompt_tokens', 0))
            attempt.cached_tokens = int(value.get('cached_tokens', 0))
        except (TypeError, ValueError):
            # Only statistics; the answer itself is whole.
            return


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
            # A refusal of the service's own (4xx) is its answer.
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
