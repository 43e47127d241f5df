"""Emulator of a model engine.

It uses continuous batching and a prefix cache of limited size, has no
priorities and admits requests in order of arrival. Its speed follows a small
model with the constants in ``Speed``:

* prefill processes ``prefill_tokens_s`` prompt tokens a second; cached tokens
  take no time;
* a decode step takes ``step_s`` plus ``step_per_request_s`` for each request
  in the batch, and produces one token for each of them;
* both are multiplied by a generation factor and by the ``straggle`` fault.

The prompt is divided into blocks of ``BLOCK_WORDS`` words. A block is cached
under the hash of itself and all blocks before it; the least recently used
block is evicted first.

The witness (``/standin/witness``) counts executions by key, and prefill
tokens computed and wasted. Tests and measurements use these counts instead of
what the scheduler reports about itself.
"""

import collections
import dataclasses
import json
import os
import typing as ty
import urllib.parse

import anyio
import anyio.abc
import xxhash

from apricotlanding import asgi
from apricotlanding import clocks

__all__ = ['CRASH_WORD', 'Engine', 'Speed', 'hash_blocks']

BLOCK_WORDS = 16
# A prompt with this word ends the engine's process.
CRASH_WORD = 'crash-the-engine'


@ty.final
@dataclasses.dataclass(slots=True)
class Speed:
    """Constants of the speed model, for generation factor 1."""

    prefill_tokens_s: float = 8000.0
    step_s: float = 0.004
    step_per_request_s: float = 0.0004
    # 1 is the newest generation; 2 takes twice as long.
    generation_factor: float = 1.0
    cache_blocks: int = 4096
    # Maximum batch size; further requests wait in a FIFO queue.
    batch_requests: int = 16
    # Age of the load report that is returned, in seconds.
    report_lag_s: float = 1.0
    # Delay in seconds and lost fraction of cache events.
    event_lag_s: float = 0.5
    event_loss: float = 0.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in effect."""

    # Multiplies every duration.
    straggle: float = 1.0
    # Reject requests and report that they were not accepted.
    is_refusing: bool = False
    # Cut this many streams after ``cut_after`` tokens.
    cut_streams: int = 0
    cut_after: int = 0
    # Answer this many requests with another request's name.
    wrong_names: int = 0
    # Answer this many requests with lines that are not JSON.
    malformed: int = 0
    # Stop all computation while this is set.
    is_frozen: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """State of one request in the engine."""

    request: str
    key: str
    prompt_tokens: int
    blocks: list[int]
    max_tokens: int
    lines: list[bytes] = dataclasses.field(default_factory=list)
    cached_tokens: int = 0
    is_prefilled: bool = False
    is_done: bool = False
    is_cancelled: bool = False
    updated: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def add_line(self, value: dict[str, ty.Any]) -> None:
        data = json.dumps({'request': self.request} | value)
        self.lines.append(data.encode() + b'\n')
        self.wake()

    def wake(self) -> None:
        updated, self.updated = self.updated, anyio.Event()
        updated.set()


def hash_blocks(words: list[str]) -> list[int]:
    """Return the chained hashes of a prompt's full blocks."""
    chain = []
    hasher = xxhash.xxh3_64()
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        hasher.update('\0'.join(words[start : start + BLOCK_WORDS]).encode())
        chain.append(hasher.intdigest() >> 1)
    return chain


@ty.final
class Engine:
    """ASGI application that emulates the engine."""

    def __init__(
        self, name: str, speed: Speed, checks_fencing: bool = False
    ) -> None:
        """Create an idle engine with an empty cache."""
        self.name = name
        self.speed = speed
        self.checks_fencing = checks_fencing
        self.faults = Faults()
        # Requests accepted and prefills begun, by key.
        self.accepted: collections.Counter[str] = collections.Counter()
        # Monotonic time at which each key was first accepted.
        self.accepted_at: dict[str, float] = {}
        self.executions: collections.Counter[str] = collections.Counter()
        self.prefill_computed = 0
        # Prefill tokens of requests that were cancelled or whose stream was
        # cut before it was read to the end, or that were computed again for
        # the same key.
        self.prefill_wasted = 0
        self.cache_hits = 0
        self.epoch = 0
        self.orders: list[dict[str, ty.Any]] = []
        self._sequences: dict[str, Sequence] = {}
        self._waiting: collections.deque[Sequence] = collections.deque()
        self._batch: list[Sequence] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._reports: collections.deque[tuple[float, dict[str, ty.Any]]] = (
            collections.deque()
        )
        self._events: list[tuple[float, dict[str, ty.Any]]] = []
        self._arrived = anyio.Event()

    async def run_batches(self) -> None:
        """Run one prefill or one decode step at a time until cancelled."""
        while True:
            if not self._batch and not self._waiting:
                await self._arrived.wait()
            if self.faults.is_frozen:
                await anyio.sleep(0.05)
                continue
            self._admit_waiting()
            unprefilled = [
                sequence
                for sequence in self._batch
                if not sequence.is_prefilled
            ]
            if unprefilled:
                await self._prefill(unprefilled[0])
                continue
            await self._decode_step()

    def _admit_waiting(self) -> None:
        while self._waiting:
            if len(self._batch) >= self.speed.batch_requests:
                break
            self._batch.append(self._waiting.popleft())

    async def _prefill(self, sequence: Sequence) -> None:
        if sequence.is_cancelled:
            self._drop(sequence)
            return
        cached = 0
        for block in sequence.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            cached += 1
        self.cache_hits += cached * BLOCK_WORDS
        sequence.cached_tokens = min(
            cached * BLOCK_WORDS, sequence.prompt_tokens
        )
        tokens = sequence.prompt_tokens - sequence.cached_tokens
        if sequence.key:
            self.executions[sequence.key] += 1
        await self._sleep_scaled(tokens / self.speed.prefill_tokens_s)
        self.prefill_computed += tokens
        if self.executions[sequence.key] > 1:
            self.prefill_wasted += tokens
        for block in sequence.blocks:
            self._cache_block(block)
        sequence.is_prefilled = True

    def _cache_block(self, block: int) -> None:
        now = clocks.read_monotonic()
        if block not in self._cache:
            self._events.append((now, {'kind': 'stored', 'block': block}))
        self._cache[block] = None
        self._cache.move_to_end(block)
        if len(self._cache) > self.speed.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._events.append((now, {'kind': 'evicted', 'block': evicted}))

    async def _decode_step(self) -> None:
        count = len(self._batch)
        await self._sleep_scaled(
            self.speed.step_s + count * self.speed.step_per_request_s
        )
        for sequence in list(self._batch):
            if sequence.is_cancelled:
                if not sequence.is_done:
                    self.prefill_wasted += (
                        sequence.prompt_tokens - sequence.cached_tokens
                    )
                self._drop(sequence)
                continue
            index = len(sequence.lines)
            sequence.add_line({'index': index, 'text': f'w{index} '})
            if index + 1 >= sequence.max_tokens:
                sequence.is_done = True
                sequence.add_line(
                    {
                        'end': True,
                        'prompt_tokens': sequence.prompt_tokens,
                        'cached_tokens': sequence.cached_tokens,
                        'output_tokens': sequence.max_tokens,
                        'engine': self.name,
                    }
                )
                self._drop(sequence)

    def _drop(self, sequence: Sequence) -> None:
        if sequence in self._batch:
            self._batch.remove(sequence)
        sequence.wake()

    async def _sleep_scaled(self, seconds: float) -> None:
        self._record_load()
        factor = self.speed.generation_factor * self.faults.straggle
        await anyio.sleep(seconds * factor)

    def _record_load(self) -> None:
        now = clocks.read_monotonic()
        report = {
            'running': len(self._batch),
            'queued': len(self._waiting),
            'tokens': sum(
                sequence.prompt_tokens + len(sequence.lines)
                for sequence in self._batch
            ),
        }
        self._reports.append((now, report))
        limit = now - self.speed.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        body = await asgi.read_body(receive, 64 * 1024 * 1024)
        path = scope['path']
        method = scope['method']
        if path == '/v1/generate' and method == 'POST':
            await self._generate(json.loads(body), send)
        elif path.startswith('/v1/generate/'):
            name = path.removeprefix('/v1/generate/')
            if method == 'DELETE':
                await self._cancel(name, send)
            else:
                await self._resume(name, scope, send)
        elif path == '/v1/load':
            await asgi.send_json(send, 200, self._show_load())
        elif path == '/v1/cache-events':
            await self._show_events(scope, send)
        elif path == '/v1/orders' and method == 'POST':
            await self._accept_order(json.loads(body), send)
        elif path == '/standin/faults':
            if body:
                self.faults = dataclasses.replace(
                    self.faults, **json.loads(body)
                )
            await asgi.send_json(send, 200, dataclasses.asdict(self.faults))
        elif path == '/standin/witness':
            await asgi.send_json(send, 200, self._show_witness())
        else:
            await asgi.send_json(send, 404, {'error': 'no such path'})

    async def _generate(
        self, value: dict[str, ty.Any], send: asgi.Send
    ) -> None:
        if self.faults.is_refusing:
            await asgi.send_json(
                send,
                503,
                {'error': 'not taken'},
                [(b'apricot-not-taken', b'1')],
            )
            return
        words = str(value['prompt']).split()
        if CRASH_WORD in words:
            # Without any cleanup, as a crash ends a process.
            os._exit(1)
        sequence = Sequence(
            request=value['request'],
            key=value.get('key', ''),
            prompt_tokens=max(1, len(words)),
            blocks=hash_blocks(words),
            max_tokens=int(value['max_tokens']),
        )
        self._sequences[sequence.request] = sequence
        self.accepted[sequence.key] += 1
        self.accepted_at.setdefault(sequence.key, clocks.read_monotonic())
        self._waiting.append(sequence)
        arrived, self._arrived = self._arrived, anyio.Event()
        arrived.set()
        await self._stream(sequence, 0, send)

    async def _resume(
        self, name: str, scope: asgi.Scope, send: asgi.Send
    ) -> None:
        sequence = self._sequences.get(name)
        if sequence is None:
            await asgi.send_json(send, 404, {'error': 'unknown request'})
            return
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        await self._stream(sequence, int(query.get('from', ['0'])[0]), send)

    async def _stream(
        self, sequence: Sequence, start: int, send: asgi.Send
    ) -> None:
        cut_after = None
        if self.faults.cut_streams > 0:
            self.faults.cut_streams -= 1
            cut_after = start + self.faults.cut_after
        name = sequence.request
        if self.faults.wrong_names > 0:
            self.faults.wrong_names -= 1
            name = 'another'
        is_malformed = self.faults.malformed > 0
        if is_malformed:
            self.faults.malformed -= 1
        await asgi.start_response(
            send, 200, [(b'content-type', b'application/x-ndjson')]
        )
        position = start
        while True:
            if cut_after is not None and position >= cut_after:
                # Without a last body part, the server closes the connection.
                raise ConnectionAbortedError('cut by the stand-in')
            if position < len(sequence.lines):
                line = sequence.lines[position]
                position += 1
                if name != sequence.request:
                    line = line.replace(sequence.request.encode(), b'another')
                if is_malformed:
                    line = line[: len(line) // 2] + b'\n'
                await asgi.send_body_part(send, line)
                continue
            if sequence.is_done or sequence.is_cancelled:
                break
            await sequence.updated.wait()
        await asgi.send_body_part(send, b'', is_last=True)

    async def _cancel(self, name: str, send: asgi.Send) -> None:
        sequence = self._sequences.get(name)
        if sequence is not None:
            sequence.is_cancelled = True
            if sequence in self._waiting:
                self._waiting.remove(sequence)
            sequence.wake()
        await asgi.send_json(send, 200, {})

    async def _accept_order(
        self, order: dict[str, ty.Any], send: asgi.Send
    ) -> None:
        epoch = int(order['epoch'])
        if self.checks_fencing and epoch < self.epoch:
            await asgi.send_json(send, 409, {'error': 'old fencing number'})
            return
        self.epoch = max(self.epoch, epoch)
        self.orders.append(order)
        await asgi.send_json(send, 200, {})

    def _show_load(self) -> dict[str, ty.Any]:
        if not self._reports:
            self._record_load()
        now = clocks.read_monotonic()
        taken_at, report = self._reports[0]
        if not self._batch and not self._waiting:
            if now - self._reports[-1][0] > self.speed.report_lag_s:
                report = {'running': 0, 'queued': 0, 'tokens': 0}
        return report | {'age_s': now - taken_at}

    async def _show_events(self, scope: asgi.Scope, send: asgi.Send) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        start = int(query.get('from', ['0'])[0])
        limit = clocks.read_monotonic() - self.speed.event_lag_s
        found = []
        position = start
        for at, event in self._events[start:]:
            if at > limit:
                break
            position += 1
            if self.speed.event_loss > 0.0:
                hash_value = xxhash.xxh3_64_intdigest(b'%d' % position) % 1000
                if hash_value < 1000 * self.speed.event_loss:
                    continue
            found.append(event)
        await asgi.send_json(send, 200, {'next': position, 'events': found})

    def _show_witness(self) -> dict[str, ty.Any]:
        return {
            'engine': self.name,
            'accepted': dict(self.accepted),
            'accepted_at': self.accepted_at,
            'executions': dict(self.executions),
            'prefill_computed': self.prefill_computed,
            'prefill_wasted': self.prefill_wasted,
            'cache_hits': self.cache_hits,
            'orders': self.orders,
        }
