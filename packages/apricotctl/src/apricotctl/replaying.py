"""Replays a trace against running daemons and measures the results.

Each request is posted at its time, to the daemons in round-robin order. A
rejected request is retried after Retry-After with the same key until its
deadline; with ``is_storming`` the first retry is sent immediately. Measured
are goodput by tier (complete answers within the deadline), time to first
token, time between tokens, and all outcomes.
"""

import collections
import dataclasses
import json
import secrets
import time
import typing as ty
import uuid

import anyio
from hdrh import histogram

from apricotctl import traces
from apricotlanding import addresses
from apricotlanding import webclient

__all__ = ['Replay', 'Results', 'make_key']

# Histogram range, up to two minutes, and precision.
_MIN_DURATION_US = 1
_MAX_DURATION_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 95, 99)
_MIN_RETRY_DELAY_S = 0.05


def make_key() -> str:
    """Return a UUIDv7 (RFC 9562) issued now."""
    value = int(time.time() * 1000) << 80 | 0x7 << 76
    value |= secrets.randbits(12) << 64 | 0b10 << 62
    return str(uuid.UUID(int=value | secrets.randbits(62)))


@ty.final
class Results:
    """Measurements of a replay."""

    def __init__(self) -> None:
        """Create empty counters and histograms."""
        self.sent: collections.Counter[str] = collections.Counter()
        self.good: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.shed: collections.Counter[str] = collections.Counter()
        self.retries = 0
        self.first_token = _make_histogram()
        self.between_tokens = _make_histogram()

    def describe(self) -> dict[str, ty.Any]:
        """Return the results as JSON-serialisable data."""
        return {
            'sent': dict(self.sent),
            'good': dict(self.good),
            'goodput': {
                route: round(self.good[route] / count, 4)
                for route, count in sorted(self.sent.items())
            },
            'shed': dict(self.shed),
            'outcomes': dict(self.outcomes),
            'retries': self.retries,
            'first_token_ms': _describe_histogram(self.first_token),
            'between_tokens_ms': _describe_histogram(self.between_tokens),
        }


@dataclasses.dataclass(slots=True)
class _Attempt:
    # Result of one HTTP call.
    outcome: str = 'cut'
    code: str = ''
    retry_after_s: float = 0.0
    tokens: int = 0


@ty.final
class Replay:
    """One replay of one trace."""

    def __init__(
        self,
        lines: list[traces.TraceLine],
        daemons: list[addresses.Address],
        tokens: dict[str, str],
        is_storming: bool = False,
    ) -> None:
        """Create a replay; ``tokens`` are credentials by organisation."""
        self.results = Results()
        self.done = 0
        self._lines = lines
        self._tokens = tokens
        self._is_storming = is_storming
        self._clients = [
            webclient.WebClient(daemon, max_connections=4000)
            for daemon in daemons
        ]

    async def run(self) -> Results:
        """Send each request at its time; return when all have ended."""
        started = time.monotonic()
        try:
            async with anyio.create_task_group() as group:
                for number, line in enumerate(self._lines):
                    delay_s = started + line.at_s - time.monotonic()
                    await anyio.sleep(max(delay_s, 0.0))
                    group.start_soon(self._send_with_retries, number, line)
        finally:
            for client in self._clients:
                await client.close()
        return self.results

    async def _send_with_retries(
        self, number: int, line: traces.TraceLine
    ) -> None:
        results = self.results
        results.sent[line.route] += 1
        key = line.key or make_key()
        deadline = time.monotonic() + line.deadline_ms / 1000.0
        attempt = _Attempt()
        client_number = number
        while True:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= _MIN_RETRY_DELAY_S:
                break
            attempt = await self._post(
                client_number, line, number, key, remaining_s
            )
            can_retry = attempt.outcome == 'cut' or attempt.retry_after_s > 0
            if attempt.outcome != 'not-run' and not can_retry:
                break
            if attempt.code == 'APL201' and client_number == number:
                results.shed[line.route] += 1
            is_first_attempt = client_number == number
            client_number += 1
            results.retries += 1
            if not (self._is_storming and is_first_attempt):
                await anyio.sleep(
                    max(attempt.retry_after_s, _MIN_RETRY_DELAY_S)
                )
        results.outcomes[attempt.outcome] += 1
        has_all_tokens = attempt.tokens == line.output_tokens
        if attempt.outcome == 'complete' and has_all_tokens:
            if time.monotonic() <= deadline:
                results.good[line.route] += 1
        self.done += 1

    async def _post(
        self,
        client_number: int,
        line: traces.TraceLine,
        number: int,
        key: str,
        remaining_s: float,
    ) -> _Attempt:
        attempt = _Attempt()
        client = self._clients[client_number % len(self._clients)]
        token = self._tokens[line.organisation]
        headers = [
            (b'authorization', f'Bearer {token}'.encode()),
            (b'idempotency-key', key.encode()),
            (
                b'apricot-deadline-ms',
                str(max(int(remaining_s * 1000), 1)).encode(),
            ),
        ]
        body = json.dumps(
            {
                'prompt': line.make_prompt(number),
                'max_tokens': line.output_tokens,
            }
        ).encode()
        path = f'/v1/routes/{line.route}'
        sent_at = time.monotonic()
        try:
            with anyio.move_on_after(remaining_s + 1.0):
                async with client.open('POST', path, headers, body) as reply:
                    await self._read(reply, attempt, sent_at)
        except webclient.WebError:
            attempt.retry_after_s = 0.2
        return attempt

    async def _read(
        self, reply: webclient.Response, attempt: _Attempt, sent_at: float
    ) -> None:
        last_at: float | None = None
        buffered = b''
        async for part in reply.iterate():
            now = time.monotonic()
            *lines, buffered = (buffered + part).split(b'\n')
            for text in lines:
                value = json.loads(text)
                if 'outcome' in value:
                    attempt.outcome = value['outcome']
                    attempt.code = value.get('code', '')
                    attempt.retry_after_s = value.get('retry_after_s', 0.0)
                    continue
                attempt.tokens += 1
                if last_at is None:
                    _record(self.results.first_token, now - sent_at)
                else:
                    _record(self.results.between_tokens, now - last_at)
                last_at = now


def _make_histogram() -> ty.Any:
    return histogram.HdrHistogram(
        _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
    )


def _record(target: ty.Any, seconds: float) -> None:
    target.record_value(max(int(seconds * 1e6), _MIN_DURATION_US))


def _describe_histogram(source: ty.Any) -> dict[str, float]:
    return {
        f'p{percentile}': round(
            source.get_value_at_percentile(percentile) / 1000.0, 2
        )
        for percentile in _PERCENTILES
    }
