"""Stand-ins for the scripts of cases 6 to 10: store, runners and callers.

Standard library only. The store is a log with keyed topics, a runner speaks
HTTP/1.1 and echoes the request's id, and a caller reads whole answers. Hosts
are started with the command of the deploy file.
"""

import asyncio
import base64
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import typing as ty
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPS = ROOT / 'target' / 'deps'
CALLER_HOST = 'api.example'
API_KEY = 'i9n73hh2b9wu3fexd9dn'
TENANT = 'hule930'
READY_S = 20.0
ENDED = (asyncio.IncompleteReadError, ConnectionError)

Headers = list[tuple[str, str]]


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


def is_troubled() -> bool:
    """Tell whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


# HTTP.


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers, names in lower case."""
    data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data.decode('latin-1').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers.append((name.lower(), value.strip()))
    return first, headers


def find_header(headers: Headers, name: str) -> str:
    """Return the value of a header; '' if there is none."""
    return next((value for key, value in headers if key == name), '')


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if 'chunked' not in find_header(headers, 'transfer-encoding'):
        length = int(find_header(headers, 'content-length') or 0)
        return await reader.readexactly(length)
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


# The platform's store.


@dataclasses.dataclass
class Topic:
    """A log; the newest record of a key counts."""

    records: list[tuple[bytes, bytes]] = dataclasses.field(
        default_factory=list
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        """Start empty."""
        self.topics: dict[str, Topic] = {}
        # Seconds that each answer takes.
        self.delay_s = 0.0
        self.server: asyncio.Server

    def put(self, name: str, key: str, value: object) -> None:
        """Append a record; None removes the key."""
        data = b'' if value is None else json.dumps(value).encode()
        self._append(self._find(name), [(key.encode(), data)])

    def list_values(self, name: str, key: str) -> list[ty.Any]:
        """Return all values that a key had, the oldest first."""
        return [
            json.loads(value)
            for known, value in self._find(name).records
            if known == key.encode() and value
        ]

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def _find(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def _append(self, topic: Topic, new: list[tuple[bytes, bytes]]) -> int:
        offset = len(topic.records)
        topic.records += new
        topic.changed.set()
        topic.changed = asyncio.Event()
        return offset

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*ENDED, asyncio.CancelledError):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path, _, query = first.split(' ')[1].partition('?')
                fields = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(self.delay_s)
                status, data = await self._answer(path, fields, body)
                writer.write(
                    f'HTTP/1.1 {status} Done\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self._find(fields.get('topic', ''))
        if path == '/log-append':
            return self._answer_append(topic, fields, body)
        if path == '/log-read':
            return 200, await self._read(topic, fields)
        if path == '/log-newest':
            return 200, self._list_newest(topic, fields.get('after', ''))
        return 404, b'{}'

    def _answer_append(
        self, topic: Topic, fields: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        end = len(topic.records)
        if int(fields.get('at', end)) != end:
            return 412, json.dumps({'endOffset': end}).encode()
        new = []
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from('>I', body, at)
            record = body[at + 4 : at + 4 + size]
            at += 4 + size
            key_end = 1 + record[0]
            new.append((record[1:key_end], record[key_end:]))
        offset = self._append(topic, new)
        end = len(topic.records)
        return 200, json.dumps({'offset': offset, 'endOffset': end}).encode()

    async def _read(self, topic: Topic, fields: dict[str, str]) -> bytes:
        first = int(fields['from'])
        wait_s = int(fields.get('waitMs', 0)) / 1000
        if first >= len(topic.records) and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_s)
        data = struct.pack('>QQ', len(topic.records), 0)
        for key, value in topic.records[first:]:
            record = bytes([len(key)]) + key + value
            data += struct.pack('>I', len(record)) + record
        return data

    def _list_newest(self, topic: Topic, after: str) -> bytes:
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(topic.records)
        }
        items = [
            {
                'key': key.decode(),
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key.decode() > after
        ]
        page = {
            'items': items[:500],
            'hasMore': len(items) > 500,
            'endOffset': len(topic.records),
        }
        return json.dumps(page).encode()


# Runners.


@dataclasses.dataclass
class Request:
    """A request as it reached a runner."""

    attempt: str
    path: str
    headers: Headers
    body: bytes = b''


Work = collections.abc.Callable[
    ['Runner', Request, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


async def serve_plain(
    runner: 'Runner', request: Request, writer: asyncio.StreamWriter
) -> None:
    """Run a request and answer it whole."""
    await runner.answer(request, writer)


class Runner:
    """A runner at one address, with an id of its own."""

    def __init__(
        self, name: str, work: Work = serve_plain, version: str = 'v1'
    ) -> None:
        """Serve all requests by ``work``, once their bodies have arrived."""
        self.version = version
        self.name = name
        self.work = work
        self.address = ''
        self.server: asyncio.Server
        self._open: set[asyncio.StreamWriter] = set()

    def stop(self) -> None:
        """End, with all connections."""
        self.server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def make_entry(self, **fields: object) -> dict[str, object]:
        """Return what the runner registers."""
        return {
            'service': 'pool',
            'address': self.address,
            'zone': 'zone-a',
            'version': self.version,
            'slots': 4,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 0,
        } | fields

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Send a whole answer with the proof."""
        body = f'served {request.attempt}'.encode()
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt}\r\n'
            f'Response-Seal: {self.name}.1\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await writer.drain()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        with contextlib.suppress(*ENDED, asyncio.CancelledError):
            while True:
                first, headers = await read_head(reader)
                request = Request(
                    find_header(headers, 'attempt-id'),
                    first.split(' ')[1],
                    headers,
                    await read_body(reader, headers),
                )
                expected = find_header(headers, 'expect-instance')
                if expected not in ('', self.name):
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\n'
                        b'Attempt-Id: ' + request.attempt.encode() + b'\r\n'
                        b'Instance-Id: ' + self.name.encode() + b'\r\n'
                        b'Content-Length: 0\r\n\r\n'
                    )
                    await writer.drain()
                    continue
                await self.work(self, request, writer)
        self._open.discard(writer)
        writer.close()


# Configuration and settings.


def make_route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route whose path prefix is its name."""
    return {
        'name': name,
        'hostname': CALLER_HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 400,
        'targetGapMs': 300,
        'priority': 0,
        'service': 'pool',
        'maxAttempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
    } | fields


def make_config(
    version: int, routes: list[dict[str, object]]
) -> dict[str, object]:
    """Return a config with one service and one tenant."""
    service = {
        'name': 'pool',
        'healthPath': '/health',
        'maxConns': 100,
        'protocol': 'h1',
        'tls': False,
    }
    tenant = {
        'name': TENANT,
        'apiKeys': [API_KEY],
        'priority': 1,
        'unit': 'token_stream',
        'plainTokens': 200,
        'ratePerS': 1_000_000,
        'burst': 1_000_000,
    }
    return {
        'version': version,
        'routes': routes,
        'services': [service],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [tenant],
    }


BOUNDS = {
    'seedLagS': 3,
    'reuseDelayS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 54,
    'quotaWindowS': 8,
    'quotaOverrun': 0.1,
    'quotaSlack': 140000,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 10,
    'exposureShare': 0.1,
    'exposureSlack': 50,
    'rollbackMs': 5000,
}


def find_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Host:
    """One entry host: a process of the system, as the deploy file says."""

    def __init__(
        self, name: str, ip: str, ports: dict[str, int], folder: pathlib.Path
    ) -> None:
        """Prepare a process that is not started."""
        self.name = name
        self.ip = ip
        self.ports = ports
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(
        self, store: str, seeds: list[str], contracts: tuple[str, ...]
    ) -> None:
        """Write the settings file; JSON is YAML too.

        ``contracts`` are in force besides those of the small sites.
        """
        settings = {
            'nodeName': self.name,
            'role': 'gateway',
            'machineClass': 'edge',
            'serves': ['edge', 'control_plane'],
            'ip': self.ip,
            'zone': 'zone-a',
            'region': 'region-a',
            'zones': {'zone-a': 'region-a'},
            'listen': {
                name: f'{self.ip}:{self.ports[name]}'
                for name in ('front', 'readiness', 'control')
            },
            'portRange': [self.ports['range'], self.ports['range'] + 15],
            'seeds': seeds,
            'bootstrap': True,
            'lossCounts': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': [
                *('base', 'drain', 'config', 'cost', 'retry', 'recover'),
                *('engine', 'stream', 'tenants', 'quota', 'platform'),
                *contracts,
            ],
            'bounds': BOUNDS,
            'platform': {
                'address': store,
                'form': 'log',
                'writesPerS': 400,
                'readsPerS': 2000,
                'keep_s': 300,
            },
        }
        self._find_settings().write_text(json.dumps(settings))

    def _find_settings(self) -> pathlib.Path:
        return self.folder / f'{self.name}.yaml'

    def start(self) -> None:
        """Start the process."""
        kept = {'PATH', 'HOME', 'LANG'} & os.environ.keys()
        env = {name: os.environ[name] for name in kept}
        env['PYTHONPATH'] = str(DEPS)
        env['APRICOTLANDING_SETTINGS'] = str(self._find_settings())
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'apricotplatform'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        ends_at = time.monotonic() + READY_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._ask_readiness():
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready after {READY_S} s')

    async def _ask_readiness(self) -> bool:
        reader, writer = await asyncio.open_connection(
            self.ip, self.ports['readiness']
        )
        try:
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await read_head(reader)
            return ' 200 ' in first
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class System:
    """Store, runners and hosts; use it as an async context manager."""

    def __init__(
        self,
        hosts: int,
        runners: list[Runner],
        config: dict[str, object],
        contracts: tuple[str, ...] = (),
    ) -> None:
        """Prepare a system that is not started."""
        self._contracts = contracts
        self._count = hosts
        self.runners = runners
        self.config = config
        self.store = Store()
        # Names of runners that do not register at the start.
        self.unregistered: set[str] = set()
        self.hosts: list[Host] = []
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    async def __aenter__(self) -> 'System':
        """Start everything, and wait until all hosts are ready."""
        if not DEPS.is_dir():
            raise CannotRun('target/deps is missing; run deploy/build.sh')
        folder = pathlib.Path(self._folder.name)
        net = f'127.{random.randint(32, 223)}.{random.randint(1, 250)}'  # noqa: S311
        ips = [f'{net}.{number + 10}' for number in range(self._count)]
        store_port = find_port(f'{net}.1')
        await self.store.start(f'{net}.1', store_port)
        self.store.put('keyed.op', 'config', self.config)
        for runner in self.runners:
            await runner.start(f'{net}.2')
            if runner.name in self.unregistered:
                continue
            self.store.put('keyed.servers', runner.name, runner.make_entry())
        ports = {
            name: find_port(ips[0])
            for name in ('front', 'readiness', 'control', 'range')
        }
        seeds = [f'{ip}:{ports["control"]}' for ip in ips[:3]]
        for number, ip in enumerate(ips):
            host = Host(f'edge-{number}', ip, ports, folder)
            host.write_settings(
                f'{net}.1:{store_port}', seeds, self._contracts
            )
            host.start()
            self.hosts.append(host)
        try:
            for host in self.hosts:
                await host.wait_ready()
        except BaseException:
            self._end()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """End all processes that were started."""
        self._end()

    def _end(self) -> None:
        for host in self.hosts:
            host.end()
        self.store.server.close()
        for runner in self.runners:
            runner.server.close()
        self._folder.cleanup()


# Callers.


@dataclasses.dataclass
class Answer:
    """A whole answer to a caller."""

    status: int
    headers: Headers
    body: bytes


class Caller:
    """A caller with one kept connection to a host."""

    def __init__(self, host: Host) -> None:
        """Connect with the first request."""
        self._host = host
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(
        self, method: str, path: str, attempt: str, body: bytes = b''
    ) -> Answer | None:
        """Send a request; None if there is no whole answer."""
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(
                    self._host.ip, self._host.ports['front']
                )
            reader, writer = self._streams
            writer.write(make_request(method, path, attempt, body))
            first, headers = await asyncio.wait_for(read_head(reader), 10)
            data = await asyncio.wait_for(read_body(reader, headers), 10)
        except (TimeoutError, *ENDED, OSError):
            self.close()
            return None
        if find_header(headers, 'connection').lower() == 'close':
            self.close()
        return Answer(int(first.split(' ')[1]), headers, data)

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def make_request(
    method: str, path: str, attempt: str, body: bytes = b''
) -> bytes:
    """Return the bytes of a caller's request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n'
        f'Attempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\n'
        f'Authorization: Token {API_KEY}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )


def run(play: collections.abc.Callable[[], ty.Any], limit_s: float) -> int:
    """Play a case; return 1 if the rule broke, 0 if it held, 2 if neither."""
    try:
        return 1 if asyncio.run(asyncio.wait_for(play(), limit_s)) else 0
    except (TimeoutError, CannotRun, OSError) as error:
        print(f'the case could not run: {error!r}')
        return 2
