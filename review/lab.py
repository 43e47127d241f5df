"""Stand-ins for the review's scripts: store, runners, callers and hosts.

Uses the standard library alone. Store and runners follow the platform's pages
and run in the script's process; the hosts are processes of their own, started
with the command of the deploy file.
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
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import typing as ty
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOSTNAME = 'ficu95.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
ORGANISATION = 'hule930'
CONFIG_TOPIC = 'keyed.op'
RUNNERS_TOPIC = 'keyed.servers'
# Exit codes of a script.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
PLAY_TIMEOUT_S = 110
FIRST_STORE_IP = '127.0.20.1'
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')

Headers = dict[str, str]
# Errors of a connection that the other side has ended.
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


def is_troubled() -> bool:
    """Tell whether the script is to bring about its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Write to ``record.txt`` in a folder."""
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)


# HTTP.


@dataclasses.dataclass
class Message:
    """A request or an answer."""

    # Request line or status line.
    start: str
    # By name in lower case.
    headers: Headers
    body: bytes = b''
    # The body ended as its framing says.
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])


async def read_message(
    reader: asyncio.StreamReader, is_answer: bool = False
) -> Message | None:
    """Read a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except ENDED:
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers: Headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    message = Message(lines[0], headers)
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            await _read_chunks(reader, message)
        elif 'content-length' in headers:
            length = int(headers['content-length'])
            message.body = await reader.readexactly(length)
        elif is_answer:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_whole = False
    except ENDED:
        message.is_whole = False
    return message


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if size:
            message.body += await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if not size:
            return


def make_message(start: str, headers: Headers, body: bytes = b'') -> bytes:
    """Return a message with the length of its body."""
    lines = [start]
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


# The platform's store.


class Store:
    """The part of the platform's store that hosts use, without faults."""

    def __init__(self) -> None:
        """Start without records."""
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()

    def write(self, topic: str, key: str, value: bytes) -> int:
        """Append a record; an empty value drops the key."""
        records = self._topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def write_json(self, topic: str, key: str, value: ty.Any) -> None:
        """Append a record that holds JSON."""
        self.write(topic, key, json.dumps(value).encode())

    def find_newest(self, topic: str, key: str) -> bytes:
        """Return the newest value of a key; empty if there is none."""
        return dict(self._topics.get(topic, [])).get(key, b'')

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        self.writers.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                status, kind, body = await self._answer(call)
                headers = {'Content-Type': kind}
                writer.write(
                    make_message(f'HTTP/1.1 {status} X', headers, body)
                )
                await writer.drain()
        except (*ENDED, asyncio.CancelledError):
            # The caller has left, or the script ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, str, bytes]:
        method, target, _ = call.start.split(' ')
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        records = self._topics.setdefault(query.get('topic', ''), [])
        if (method, path) == ('GET', '/log-newest'):
            return 200, 'application/json', self._list_newest(records)
        if (method, path) == ('GET', '/log-read'):
            return await self._read(records, query)
        if (method, path) == ('POST', '/log-append'):
            return self._append(query, records, call.body)
        return 404, 'application/json', b'{}'

    def _list_newest(self, records: list[tuple[str, bytes]]) -> bytes:
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        page = {'items': items, 'hasMore': False, 'endOffset': len(records)}
        return json.dumps(page).encode()

    async def _read(
        self, records: list[tuple[str, bytes]], query: Headers
    ) -> tuple[int, str, bytes]:
        first = int(query['from'])
        ends_at = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while len(records) <= first and time.monotonic() < ends_at:
            with contextlib.suppress(TimeoutError):
                left_s = ends_at - time.monotonic()
                await asyncio.wait_for(self._changed.wait(), left_s)
        body = _OFFSETS.pack(len(records), 0)
        for key, value in records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            body += _LENGTH.pack(len(content)) + content
        return 200, 'application/octet-stream', body

    def _append(
        self,
        query: Headers,
        records: list[tuple[str, bytes]],
        body: bytes,
    ) -> tuple[int, str, bytes]:
        end = len(records)
        if 'at' in query and int(query['at']) != end:
            answer = json.dumps({'endOffset': end}).encode()
            return 412, 'application/json', answer
        offset = 0
        while offset < len(body):
            (length,) = _LENGTH.unpack_from(body, offset)
            content = body[offset + 4 : offset + 4 + length]
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            self.write(query['topic'], key, content[key_end:])
            offset += 4 + length
        answer = json.dumps({'offset': end, 'endOffset': len(records)})
        return 200, 'application/json', answer.encode()


# Runners.


@dataclasses.dataclass
class Run:
    """A request that a runner began to work on."""

    attempt: str
    runner: str
    at: float
    request: Message
    is_ended: bool = False


class Runner:
    """A sound runner: it runs each request once and answers it whole."""

    def __init__(
        self,
        name: str,
        record: Record,
        slots: int,
        work_s: float,
        service: str = 'huvo11a',
        version: str = 'v1',
    ) -> None:
        """Take so many requests at once, each for a time."""
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.work_s = work_s
        self.address = ''
        self.seq = 0
        self.runs: list[Run] = []
        self.record = record
        # Requests in progress.
        self.running = 0

    def make_entry(self, state: str = 'ready') -> dict[str, ty.Any]:
        """Return its next registration."""
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'lvl-a',
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'coldLeftMs': 0,
            'seq': self.seq,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_whole:
                    return
                await self._answer(request, writer)
                await writer.drain()
        except (*ENDED, asyncio.CancelledError):
            # The host has left, or the script ends.
            return
        finally:
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt = request.headers.get('attempt-id', '')
        echoed = {'Attempt-Id': attempt}
        if request.headers.get('expect-instance') != self.name:
            start = 'HTTP/1.1 421 Misdirected Request'
            writer.write(make_message(start, echoed))
            return
        if self.running >= self.slots:
            start = 'HTTP/1.1 503 Service Unavailable'
            writer.write(make_message(start, echoed | {'Not-Executed': '1'}))
            return
        run = Run(attempt, self.name, self.record.now(), request)
        self.runs.append(run)
        self.record.write(
            f'{self.name} runs {attempt}: {request.start},'
            f' {len(request.body)} bytes of body'
        )
        self.running += 1
        try:
            await self.send_answer(writer, run)
        finally:
            self.running -= 1
        run.is_ended = True

    async def send_answer(
        self, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        """Work on a request and send the whole answer."""
        await asyncio.sleep(self.work_s)
        body = f'ran {run.attempt}'.encode()
        writer.write(self.make_answer_head(run, len(body)) + body)

    def make_answer_head(self, run: Run, length: int) -> bytes:
        """Return the head of an answer with a body of a length."""
        lines = (
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {run.attempt}',
            f'Response-Seal: 3e1b.{run.attempt}',
            f'Content-Length: {length}',
        )
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'


# Hosts.


def find_ports(ip: str, count: int) -> int:
    """Return the first of some consecutive free ports.

    They are below the range of ports for outgoing connections.
    """
    for _ in range(200):
        first = random.randrange(15_000, 32_000 - count)
        if all(_is_free(ip, first + offset) for offset in range(count)):
            return first
    raise CannotRun('no free ports')


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@dataclasses.dataclass
class Host:
    """An entry host."""

    name: str
    ip: str
    zone: str
    settings: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    def measure_memory(self) -> int:
        """Return the bytes of anonymous memory that its process holds."""
        assert self.process is not None
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) * 1024
        return 0


class System:
    """Hosts, store and runners of a small deployment."""

    def __init__(self, record: Record, hosts: int) -> None:
        """Choose addresses; nothing is started."""
        self.record = record
        self.store = Store()
        self.runners: list[Runner] = []
        self.hosts: list[Host] = []
        self.memory_mb = 300
        # Parts of the rules beyond those of the first deployments.
        self.more_contracts: list[str] = []
        self.more_bounds: dict[str, float] = {}
        self._count = hosts
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._servers: list[asyncio.Server] = []
        deploy = (ROOT / 'deploy' / 'system.toml').read_text()
        roles = tomllib.loads(deploy)['roles']
        self._command = shlex.split(roles['gateway']['run'])
        # Front, readiness, control, and the range between daemons.
        self._ports = find_ports('127.0.21.1', 8)
        self._store_address = ''
        self._store_server = 0

    async def start(self, config: dict[str, ty.Any]) -> None:
        """Start the store and the hosts, and wait until they are ready."""
        if not (ROOT / 'target' / 'deps' / 'apricotplatform').is_dir():
            raise CannotRun('the build of the deploy file is missing')
        self._store_server = len(self._servers)
        await self.open_store(FIRST_STORE_IP)
        self.store.write_json(CONFIG_TOPIC, 'config', config)
        for number in range(1, self._count + 1):
            name = f'edge-{number}'
            host = Host(
                name,
                f'127.0.21.{number}',
                ('lvl-a', 'lvl-b', 'qc-sf')[number % 3],
                self._folder / f'{name}.yaml',
            )
            self.hosts.append(host)
            self.start_host(host)
        for host in self.hosts:
            await self.wait_ready(host)

    async def add_runner(self, runner: Runner) -> None:
        """Start a runner and register it."""
        ip = f'127.0.22.{len(self.runners) + 1}'
        runner.address = await self._listen(runner.serve, ip)
        self.runners.append(runner)
        self.store.write_json(RUNNERS_TOPIC, runner.name, runner.make_entry())

    async def _listen(
        self,
        serve: collections.abc.Callable[
            [asyncio.StreamReader, asyncio.StreamWriter],
            collections.abc.Awaitable[None],
        ],
        ip: str,
    ) -> str:
        server = await asyncio.start_server(serve, ip, 0, limit=1 << 20)
        self._servers.append(server)
        return f'{ip}:{server.sockets[0].getsockname()[1]}'

    def start_host(self, host: Host) -> None:
        """Start a host's process, as the deploy file says."""
        # JSON is YAML too.
        host.settings.write_text(json.dumps(self._make_settings(host)))
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'APRICOTLANDING_SETTINGS': str(host.settings),
        }
        log = self._folder / f'{host.name}.log'
        with log.open('ab') as output:
            host.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.write(f'{host.name} starts')

    async def open_store(self, ip: str) -> None:
        """Let the store listen at another address too, named from now on."""
        self._store_address = await self._listen(self.store.serve, ip)

    def close_store(self) -> None:
        """Close the store's first address and all connections to it."""
        server = self._servers[self._store_server]
        server.close()
        for writer in self.store.writers:
            if writer.get_extra_info('sockname')[0] == FIRST_STORE_IP:
                writer.close()

    def rewrite_settings(self, host: Host, is_signalled: bool) -> None:
        """Write a host's settings as they are now, with SIGHUP or without."""
        new = host.settings.with_suffix('.new')
        new.write_text(json.dumps(self._make_settings(host)))
        new.replace(host.settings)
        assert host.process is not None
        if is_signalled:
            host.process.send_signal(signal.SIGHUP)

    def kill_host(self, host: Host) -> None:
        """End a host's process with SIGKILL."""
        assert host.process is not None
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()

    async def wait_ready(self, host: Host) -> None:
        """Wait until a host's readiness check succeeds."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(*ENDED):
                answer = await self.exchange(
                    host.ip,
                    self._ports + 1,
                    b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n',
                )
                if answer is not None and answer.status == 200:
                    self.record.write(f'{host.name} is ready')
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{host.name} is not ready')

    async def exchange(
        self, ip: str, port: int, data: bytes
    ) -> Message | None:
        """Send a request on a new connection and return the answer."""
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(data)
            return await read_message(reader, is_answer=True)
        finally:
            writer.close()

    async def connect(
        self, host: Host
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection to a host."""
        return await asyncio.open_connection(
            host.ip, self._ports, limit=1 << 20
        )

    def get_front(self, host: Host) -> tuple[str, int]:
        """Return the address at which a host listens for callers."""
        return host.ip, self._ports

    def list_runs(self) -> list[Run]:
        """Return all runs in order."""
        runs = [run for runner in self.runners for run in runner.runs]
        return sorted(runs, key=lambda run: run.at)

    def stop(self) -> None:
        """End all processes that were started, and remove their files."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                self.kill_host(host)
        for server in self._servers:
            server.close()
        if 'KEEP_LOGS' in os.environ:
            print(f'logs in {self._folder}')
            return
        shutil.rmtree(self._folder, ignore_errors=True)

    def _make_settings(self, host: Host) -> dict[str, ty.Any]:
        first = self._ports
        return {
            'nodeName': host.name,
            'role': 'gateway',
            'machineClass': 'edge',
            'serves': ['edge', 'control_plane'],
            'ip': host.ip,
            'zone': host.zone,
            'region': 'qc-east',
            'zones': dict.fromkeys(('lvl-a', 'lvl-b', 'qc-sf'), 'qc-east'),
            'listen': {
                'front': f'{host.ip}:{first}',
                'readiness': f'{host.ip}:{first + 1}',
                'control': f'{host.ip}:{first + 2}',
            },
            'portRange': [first + 3, first + 7],
            'seeds': [
                f'127.0.21.{number}:{first + 2}'
                for number in range(1, min(3, self._count) + 1)
            ],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': self.memory_mb,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'engine',
                'stream',
                'tenants',
                'quota',
                *self.more_contracts,
                'platform',
            ],
            'bounds': {
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
                **self.more_bounds,
            },
            'platform': {
                'address': self._store_address,
                'form': 'log',
                'writesPerS': 400,
                'readsPerS': 2000,
                'parts': 12,
                'appendMs': 2.0,
                'partMbS': 20.0,
                'readMbS': 80.0,
                'recordBytes': 262144,
                'callBytes': 2097152,
                'keep_s': 300,
                'partMb': 200,
                'ttlMinMs': 1000,
            },
        }


# What the operator and the callers write.


def make_config(version: int = 7, **overrides: ty.Any) -> dict[str, ty.Any]:
    """Return a configuration like the one on the platform's pages."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-write',
                'hostname': HOSTNAME,
                'pathPrefix': '/puxa403/',
                'kind': 'non_idempotent',
                'timeoutMs': 4000,
                'targetLatencyMs': 400,
                'priority': 2,
                'service': 'huvo11a',
                'maxAttempts': 1,
                'public': False,
            }
        ],
        'services': [
            {
                'name': 'huvo11a',
                'healthPath': '/health',
                'maxConns': 360,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': ORGANISATION,
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 114821,
                'burst': 114821,
            }
        ],
    } | overrides


def make_request(
    attempt: str,
    body: bytes = b'',
    extra: Headers | None = None,
    method: str = 'POST',
) -> bytes:
    """Return a caller's request to the route that must not be repeated."""
    headers = {
        'Host': HOSTNAME,
        'Attempt-Id': attempt,
        'Deadline-Ms': '4000',
        'Authorization': f'Token {KEY}',
    }
    start = f'{method} /puxa403/2f HTTP/1.1'
    return make_message(start, headers | (extra or {}), body)


def run_script(
    folder: pathlib.Path,
    play: collections.abc.Callable[[Record], collections.abc.Awaitable[bool]],
) -> int:
    """Play a case; return the exit code.

    ``play`` returns whether the rule was broken.
    """
    record = Record(folder)
    record.say(f'TROUBLE={int(is_troubled())}')

    async def play_awhile() -> bool:
        # A script that is terminated ends the processes that it started, too.
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(play(record), PLAY_TIMEOUT_S)

    try:
        is_broken = asyncio.run(play_awhile())
    except (
        CannotRun,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
    ) as error:
        record.say(f'the case could not run: {error!r}')
        return CANNOT_RUN
    record.say('the rule was broken' if is_broken else 'the rule held')
    return BROKEN if is_broken else HELD
