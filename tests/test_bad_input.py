"""Bad input of callers, peers, operators and files is answered clearly."""

import collections.abc
import dataclasses
import json
import socket
import struct
import time
import typing as ty

import anyio
import msgpack
import testtools
import yaml

from apricotlanding import bundle
from apricotlanding import frames
from apricotlanding import handshake
from apricotlanding import ids
from apricotlanding import yamlfiles
from apricotlandingd.pools import policies
from apricotlandingd import settings
from apricotstandins import callers
from apricotstandins import deployment
import systems

GOOD_BODY: ty.Final = {'prompt': 'a b c', 'max_tokens': 2}
TOO_LARGE_BYTES = 200_000


@dataclasses.dataclass(frozen=True)
class BadCall:
    """A bad request and the expected error."""

    name: str
    status: int
    code: str
    token: str | None = deployment.FESTIN_TOKEN
    route: str = 'rebuild'
    body: bytes = json.dumps(GOOD_BODY).encode()
    method: str = 'POST'
    headers: ty.Mapping[str, str] = dataclasses.field(default_factory=dict)
    has_key: bool = True


BAD_CALLS: ty.Final = (
    BadCall('no credentials', 401, 'APL101', token=None),
    BadCall('wrong credentials', 401, 'APL101', token='wrong'),  # noqa: S106
    BadCall('unknown route', 404, 'APL102', route='nowhere'),
    BadCall('endless route', 404, 'APL102', route='x' * 3000),
    BadCall('body too large', 413, 'APL103', body=b'x' * TOO_LARGE_BYTES),
    BadCall(
        'too many headers',
        431,
        'APL104',
        headers={f'x-{number}': '1' for number in range(80)},
    ),
    BadCall('no key', 400, 'APL105', has_key=False),
    BadCall(
        'malformed key', 400, 'APL105', headers={'Idempotency-Key': 'seven'}
    ),
    BadCall(
        'key from the future',
        400,
        'APL107',
        headers={'Idempotency-Key': callers.make_key(time.time() + 900)},
    ),
    BadCall(
        'expired key',
        400,
        'APL108',
        headers={'Idempotency-Key': callers.make_key(time.time() - 9000)},
    ),
    *(
        BadCall(
            f'deadline {text}',
            400,
            'APL109',
            headers={'Apricot-Deadline-Ms': text},
        )
        for text in ('0', '-5', 'soon', '1e3', '9' * 30, '99999999')
    ),
    *(
        BadCall(f'body {text[:12]!r}', 400, 'APL110', body=text)
        for text in (
            b'',
            b'{',
            b'[]',
            b'{"prompt": ""}',
            b'{"prompt": 5}',
            b'{"prompt": "a", "max_tokens": 0}',
            b'{"prompt": "a", "max_tokens": true}',
            b'{"prompt": "a", "temperature": 1}',
            b'[' * 50_000,
            b'\xff\xfe',
        )
    ),
    BadCall('wrong method', 405, 'APL112', method='GET'),
    BadCall('wrong path', 404, 'APL405', route='../../x'),
)


class TestBadCalls(systems.SystemTestCase):
    """One daemon receives every kind of bad request."""

    hosts = 1

    def configure(self) -> None:
        self.system.limits = {'body_bytes': TOO_LARGE_BYTES // 2}

    def test_each_is_refused_with_its_remedy(self) -> None:
        for case in BAD_CALLS:
            reply = self.call(case)
            self.assertEqual(
                (case.status, case.code), (reply.status, reply.code), case.name
            )
            # The request of an expired key may have run earlier.
            expected_outcome = (
                'unknown' if case.code == 'APL108' else 'not-run'
            )
            self.assertEqual(expected_outcome, reply.outcome, case.name)
            self.assertTrue(reply.read_lines()[-1]['remedy'], case.name)
        self.check_alive()

    def test_refusals_of_credentials_look_the_same(self) -> None:
        # An unauthenticated caller must not find out whether a token, an
        # organisation or a route exists.
        bodies = {
            self.call(BadCall('', 401, '', token=token, route=route)).body
            for token in (None, '', 'wrong')
            for route in ('rebuild', 'nowhere')
        }
        self.assertEqual(1, len(bodies))

    def test_key_with_another_body(self) -> None:
        key = callers.make_key()
        self.post('entry-1', 'rebuild', GOOD_BODY, key)
        other = GOOD_BODY | {'max_tokens': 3}
        reply = self.post('entry-1', 'rebuild', other, key)
        self.assertEqual((422, 'APL106'), (reply.status, reply.code))

    def test_half_sent_body_and_endless_headers(self) -> None:
        head = (
            'POST /v1/routes/rebuild HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {deployment.FESTIN_TOKEN}\r\n'
            f'Idempotency-Key: {callers.make_key()}\r\n'
        )
        self.send_raw(f'{head}Content-Length: 100\r\n\r\n{{"prom'.encode())
        self.send_raw(b'\x16\x03\x01 this is not HTTP \r\n\r\n')
        self.check_alive()

    def test_endless_head_closes_the_connection(self) -> None:
        # The headers, one header or the path never end. The daemon buffers
        # the head, so it must stop reading: otherwise its memory grows with
        # the data that is sent.
        for begin, part in (
            (b'POST / HTTP/1.1\r\n', b'x: y\r\n' * 10_000),
            (b'POST / HTTP/1.1\r\nx: ', b'y' * 60_000),
            (b'POST /', b'y' * 60_000),
        ):
            self.assertLess(self.send_until_closed(begin, part, 300), 100)
        self.check_alive()

    def send_until_closed(self, begin: bytes, part: bytes, times: int) -> int:
        """Return how many parts were accepted before the connection ended."""
        host, _, port = self.system.daemons['entry-1'].callers.rpartition(':')
        with socket.create_connection((host, int(port)), 5.0) as connection:
            try:
                connection.sendall(begin)
                taken = 0
                while taken < times:
                    connection.sendall(part)
                    taken += 1
            except OSError:
                return taken
        return taken

    def test_caller_that_leaves_mid_answer(self) -> None:
        self.system.set_faults('planner-1', straggle=20.0)
        self.system.set_faults('planner-2', straggle=20.0)
        for _ in range(10):
            self.post(
                'entry-1',
                'note',
                {'prompt': 'a b c', 'max_tokens': 8},
                callers.make_key(),
                timeout=0.2,
            )
        self.system.set_faults('planner-1', straggle=1.0)
        self.system.set_faults('planner-2', straggle=1.0)
        self.check_alive()

    def call(self, case: BadCall) -> callers.Reply:
        headers: dict[str, str] = {}
        if case.has_key:
            headers['Idempotency-Key'] = callers.make_key()
        if case.token is not None:
            headers['Authorization'] = f'Bearer {case.token}'
        path = f'/v1/routes/{case.route}'
        if case.route.startswith('..'):
            path = f'/v1/{case.route}'
        return callers.call_http(
            self.system.daemons['entry-1'].callers,
            case.method,
            path,
            case.body,
            headers | dict(case.headers),
        )

    def send_raw(self, data: bytes) -> None:
        host, _, port = self.system.daemons['entry-1'].callers.rpartition(':')
        with socket.create_connection((host, int(port))) as connection:
            try:
                connection.sendall(data)
            except OSError:
                # The daemon may have closed the connection already.
                return

    def check_alive(self) -> None:
        key = callers.make_key()
        reply = self.post('entry-1', 'rebuild', GOOD_BODY, key)
        self.assertTrue(reply.is_complete_answer(key, 2))


class TestBadPeers(systems.SystemTestCase):
    """Unauthenticated and faulty peers connect to the peers' listener."""

    hosts = 1

    def test_malformed_peer_frames_do_no_harm(self) -> None:
        long_frame = struct.pack('>I', 1 << 30) + b'x' * 100
        for data in (
            b'GET / HTTP/1.1\r\n\r\n',
            long_frame,
            _frame(b'\xc1'),
            _frame(msgpack.packb([99])),
            _frame(msgpack.packb({'a': 1})),
            _frame(msgpack.packb([1, 'one', 2, 3, 4, 5])),
            b'\x00\x00',
        ):
            self.send_raw_bytes(data)
        self.check_status()

    def test_wrong_key_is_rejected_before_any_message(self) -> None:
        error = anyio.run(self.greet, b'not the key that the others have')
        self.assertIsInstance(error, Exception)
        self.check_status()

    def test_right_key_and_wrong_messages(self) -> None:
        # Malformed messages of an authenticated peer end its connection
        # only.
        anyio.run(self.greet, deployment.PEER_KEY.encode())
        self.check_status()

    async def greet(self, key: bytes) -> Exception | None:
        host, _, port = self.system.daemons['entry-1'].peers.rpartition(':')
        greeting = handshake.make_greeting(
            ids.Host('stranger'),
            ids.Incarnation('stranger/1'),
            ids.Domain('d9'),
        )
        async with await anyio.connect_tcp(host, int(port)) as raw:
            stream = frames.FrameStream(raw)
            try:
                await handshake.greet_acceptor(stream, greeting, key)
                await stream.send([1, 1, [20, 'not', 'enough']])
                await stream.receive()
            except Exception as error:
                return error
        return None

    def send_raw_bytes(self, data: bytes) -> None:
        host, _, port = self.system.daemons['entry-1'].peers.rpartition(':')
        with socket.create_connection((host, int(port)), 5.0) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            try:
                while connection.recv(4096):
                    pass
            except OSError:
                return

    def check_status(self) -> None:
        self.assertEqual('entry-1', self.system.read_status('entry-1')['host'])


def _frame(data: bytes) -> bytes:
    return struct.pack('>I', len(data)) + data


Change = collections.abc.Callable[[dict[str, ty.Any]], object]

# A change of a valid bundle, and the paths that the errors must name.
BAD_BUNDLES: ty.Final[list[tuple[Change, list[str]]]] = [
    (lambda value: value.update(tires=[]), ['tires']),
    (lambda value: value.pop('tiers'), ['tiers']),
    (lambda value: value.update(version=0), ['version']),
    (lambda value: value.update(base=1), ['version']),
    (lambda value: value['tiers'].append('note'), ['tiers.5']),
    (
        lambda value: value['routes'][0].update(pool='x', tier='y'),
        ['routes.0.pool', 'routes.0.tier'],
    ),
    (
        lambda value: value['routes'][1].update(repeat='twice'),
        ['routes.1.repeat'],
    ),
    (
        lambda value: value['routes'][0].update(deadline_ms=10**9),
        ['routes.0.deadline_ms'],
    ),
    (
        lambda value: value['organisations'][1].update(name='festin'),
        ['organisations.1.name'],
    ),
    (
        lambda value: value['organisations'][1].update(
            token_sha256=value['organisations'][0]['token_sha256']
        ),
        ['organisations.1.token_sha256.0'],
    ),
    (
        lambda value: value['organisations'][0].update(weight=0),
        ['organisations.0.weight'],
    ),
    (
        lambda value: value['pools'][0].update(policy='magic'),
        ['pools.0.policy'],
    ),
    (
        lambda value: value['pools'][0]['runners'][0].update(
            address='localhost:80'
        ),
        ['pools.0.runners.0.address'],
    ),
    (
        lambda value: value['pools'][0]['runners'][1].update(
            name='planner-1', kind='service'
        ),
        ['pools.0.runners', 'pools.0.runners.1.name'],
    ),
    (
        lambda value: value.update(ownership={'lease_s': 5.0}),
        ['ownership'],
    ),
]


class TestBadFiles(testtools.TestCase):
    """Checks of bundles and settings report all errors in one run."""

    def setUp(self) -> None:
        super().setUp()
        # No process is started, so the directory need not exist.
        self.system = deployment.Deployment(ty.cast(ty.Any, None))

    def check(self, value: dict[str, ty.Any] | str) -> list[yamlfiles.Finding]:
        text = value if isinstance(value, str) else yaml.safe_dump(value)
        checked = bundle.check_bundle(text, policies.list_names())
        return checked.error if checked.is_error() else []

    def test_good_bundle(self) -> None:
        self.assertEqual([], self.check(self.system.make_bundle(1, 0)))

    def test_each_error_names_its_path(self) -> None:
        for change, expected in BAD_BUNDLES:
            value = self.system.make_bundle(1, 0)
            change(value)
            found = [item.where for item in self.check(value)]
            self.assertEqual(sorted(expected), sorted(found))

    def test_all_mistakes_come_in_one_run_with_lines(self) -> None:
        value = self.system.make_bundle(1, 0)
        value['routes'][0]['tier'] = 'x'
        value['pools'][0]['policy'] = 'y'
        text = yaml.safe_dump(value, sort_keys=False)
        lines = text.splitlines()
        found = self.check(text)
        self.assertEqual(2, len(found))
        for item in found:
            key = item.where.rpartition('.')[2]
            self.assertIn(f'{key}:', lines[item.line - 1])
            self.assertTrue(item.remedy)

    def test_doubled_key_and_broken_syntax(self) -> None:
        text = yaml.safe_dump(self.system.make_bundle(1, 0)) + 'version: 2\n'
        self.assertEqual(
            ['this key stands twice'], [item.text for item in self.check(text)]
        )
        for broken in ('a: [', 'version: 1: 2', '- 1', '', '\x00'):
            self.assertEqual(1, len(self.check(broken)))

    def test_bad_settings(self) -> None:
        text = 'host: A B\ncallers: here:80\nlog: 1.2.3.4\npeer_key: short\n'
        checked = yamlfiles.load_model(text, settings.Settings)
        found = {item.where: item for item in checked.error}
        for name in ('host', 'callers', 'log', 'peer_key', 'operators'):
            self.assertTrue(found[name].remedy)
        self.assertEqual(2, found['callers'].line)
