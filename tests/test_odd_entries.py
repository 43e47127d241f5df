"""Odd entries among good ones, in each list, page and log that a daemon reads.

Another writer left an entry that is nested very deep, or has a number too
large or a port out of range. A reader that ends, or stops following, takes the
host out of service although all other entries are good.
"""

import base64
import collections.abc
import json
import pathlib
import tempfile
import typing as ty

import anyio
import click
import msgpack
import pydantic
import testtools

from apricotctl import traces
from apricotlanding import addresses
from apricotlanding import errors
from apricotlanding import hostlist
from apricotlanding import ids
from apricotlanding import plainjson
from apricotlanding import platformlog
from apricotlanding import records
from apricotlanding import submissions
from apricotlanding import webclient
from apricotlanding import yamlfiles
from apricotlandingd.configuration import logfollower
from apricotlandingd.pools import enginereports
from apricotlandingd.requests import answers
from apricotlandingd.requests import relay

ADDRESS = addresses.Address('127.0.0.1', 1)
DEEP = 100_000
DEEP_JSON = b'[' * DEEP + b']' * DEEP
# JSON texts of numbers that are too large, each in its own way.
LARGE_NUMBERS = ('1' + '0' * 400, '9' * 5000, '1e999', '-1e999', '1e400')
GOOD_HOST = {
    'name': 'host-b',
    'state': 'live',
    'domain': 'd1',
    'peers': '10.0.0.2:7000',
}
ODD_PORTS = ('0', '65536', '99999999', '-1', '1e3', '9' * 5000, '')


class ScriptedClient:
    """A web client whose answers a test writes."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def call(
        self, *arguments: ty.Any, **named: ty.Any
    ) -> tuple[int, bytes]:
        return 200, self.body

    async def call_json(
        self, *arguments: ty.Any, **named: ty.Any
    ) -> tuple[int, ty.Any]:
        client = webclient.WebClient(ADDRESS)
        client.call = self.call  # type: ignore[method-assign]
        return await client.call_json('GET', '/')


def make_list(*items: str) -> bytes:
    """Return a list of hosts with these entries, as texts."""
    return b'{"hosts": [' + ', '.join(items).encode() + b']}'


class HostListTest(testtools.TestCase):
    def read(self, body: bytes) -> list[str]:
        """Return the names of the hosts that are read."""
        hosts = hostlist.HostList(ADDRESS)
        hosts._client = ty.cast(webclient.WebClient, ScriptedClient(body))
        entries = anyio.run(hosts.read)
        return [entry.name for entry in entries]

    def test_odd_entry_hides_no_other(self) -> None:
        """Guards against a list that one entry makes unreadable."""
        odd: list[str] = ['null', '[]', '"host"', '7', '{}']
        for port in ODD_PORTS:
            odd.append(json.dumps(GOOD_HOST | {'peers': f'10.0.0.3:{port}'}))
        for field in GOOD_HOST:
            nested = '[' * 200 + ']' * 200
            for value in (*LARGE_NUMBERS[:1], '1e999', nested, '{"a": 1}'):
                text = json.dumps(GOOD_HOST | {field: 'ODD'})
                odd.append(text.replace('"ODD"', value))
        good = json.dumps(GOOD_HOST)
        for item in odd:
            self.assertEqual(
                ['host-b', 'host-b'], self.read(make_list(good, item, good))
            )

    def test_list_that_is_no_json_is_unreachable(self) -> None:
        """Guards against a task that ends with the error of a parser."""
        for body in (DEEP_JSON, make_list('9' * 5000), b'[]', b'{"hosts": 1}'):
            self.assertRaises(hostlist.HostListUnreachable, self.read, body)


class LogTest(testtools.TestCase):
    def read(self, body: bytes) -> platformlog.LogBatch:
        log = platformlog.PlatformLog(ADDRESS)
        log._client = ty.cast(webclient.WebClient, ScriptedClient(body))

        async def read() -> platformlog.LogBatch:
            return await log.read(ids.Offset(0))

        return anyio.run(read)

    def make_page(self, **texts: str) -> bytes:
        data = json.dumps(base64.b64encode(b'x').decode())
        fields = {
            'records': f'[{{"offset": 3, "data": {data}}}]',
            'first': '0',
            'next': '4',
            'is_end': 'true',
        } | texts
        inner = ', '.join(f'"{key}": {text}' for key, text in fields.items())
        return f'{{{inner}}}'.encode()

    def test_good_page(self) -> None:
        batch = self.read(self.make_page())
        self.assertEqual([(3, b'x')], batch.records)

    def test_odd_page_is_an_unreachable_log(self) -> None:
        """Guards against a follower that ends with an odd page."""
        bodies = [DEEP_JSON, b'null', b'[]', b'{}']
        for number in LARGE_NUMBERS:
            bodies.append(self.make_page(first=number))
            bodies.append(self.make_page(next=number))
            item = f'[{{"offset": {number}, "data": ""}}]'
            bodies.append(self.make_page(records=item))
        for item in ('[null]', '[[]]', '[{}]', '7', '[{"offset": 1}]'):
            bodies.append(self.make_page(records=item))
        bodies.append(
            self.make_page(records='[{"offset": 1, "data": "no base64"}]')
        )
        for body in bodies:
            self.assertRaises(platformlog.LogUnreachable, self.read, body)

    def test_odd_records_are_passed_over(self) -> None:
        """Guards against a record that stops all daemons."""
        deep: ty.Any = []
        for _ in range(400):
            deep = [deep]
        mark = records.Envelope(
            ids.Incarnation('other/1'), 1, records.Mark()
        ).encode()
        odd = [
            b'',
            b'\x91' * 50_000 + b'\xc0',
            b'\x81' * 50_000,
            msgpack.packb(deep),
            msgpack.packb([2**64 - 1, 2**64 - 1]),
            msgpack.packb(float('inf')),
            mark[:-1],
        ]
        odd += [mark[:1] + data for data in odd]
        items = [*odd, mark]
        batch = platformlog.LogBatch(
            ids.Offset(0),
            ids.Offset(len(items)),
            True,
            [(ids.Offset(index), data) for index, data in enumerate(items)],
        )
        log = platformlog.PlatformLog(ADDRESS)
        follower = logfollower.LogFollower(log, ids.Incarnation('own/1'))
        seen: list[int] = []

        class Observer:
            def begin(self, first: ids.Offset) -> None:
                return

            def observe(
                self, offset: ids.Offset, envelope: ty.Any, now: float
            ) -> None:
                seen.append(offset)

        follower.add_observer(Observer())
        follower.apply_batch(batch, 1.0)
        self.assertEqual([len(odd)], seen)
        self.assertEqual(len(items), follower.next)


class EngineReportTest(testtools.TestCase):
    def assert_unreadable(
        self, read: collections.abc.Callable[[ty.Any], ty.Any], text: str
    ) -> None:
        # The reader expects no other error.
        try:
            read(plainjson.parse(text))
        except ValueError:
            return
        self.fail(text[:100])

    def test_odd_loads(self) -> None:
        """Guards against a pool that one engine's report ends."""
        self.assertEqual(
            5, enginereports.read_load({'running': 2, 'queued': 3})
        )
        for number in (*LARGE_NUMBERS, '-1', '1.5', 'null', '[]', '"x"'):
            for fields in (
                f'{{"running": {number}, "queued": 0}}',
                f'{{"running": 0, "queued": {number}}}',
            ):
                self.assert_unreadable(enginereports.read_load, fields)
        for text in ('[]', '7', 'null', '{}', DEEP_JSON.decode()):
            self.assert_unreadable(enginereports.read_load, text)

    def test_odd_cache_events(self) -> None:
        """Guards against events that hide the good ones behind them."""
        good = {'kind': 'stored', 'block': 2**64 - 1}
        odd: list[ty.Any] = [None, [], 'x', {}, {'kind': 'stored'}]
        odd += [good | {'block': json.loads(text)} for text in ('1e999', '-1')]
        odd += [good | {'block': 10**400}, good | {'kind': 'else'}]
        page = enginereports.read_events(
            {'next': 9, 'events': [good, *odd, good]}
        )
        self.assertEqual(9, page.next)
        self.assertEqual(2, len(page.events))
        for number in LARGE_NUMBERS:
            self.assert_unreadable(
                enginereports.read_events,
                f'{{"next": {number}, "events": []}}',
            )


class EngineLineTest(testtools.TestCase):
    def process(self, *lines: bytes) -> relay.Attempt:
        attempt = relay.Attempt(started_at=0.0)
        answer = answers.Answer()
        reader = relay._LineReader('r1', answer, attempt)
        reader._process_lines(b''.join(line + b'\n' for line in lines))
        return attempt

    def test_odd_counts_do_not_end_an_answer(self) -> None:
        """Guards against a whole answer that its statistics break."""
        for number in (*LARGE_NUMBERS[:1], '1e999', '-1', '[]', 'null'):
            line = (
                f'{{"request": "r1", "end": true, "prompt_tokens": {number}}}'
            )
            attempt = self.process(line.encode())
            self.assertEqual(0, attempt.prompt_tokens)

    def test_odd_lines_are_malformed(self) -> None:
        """Guards against a request that ends with the error of a parser."""
        for line in (DEEP_JSON, b'9' * 5000, b'{"request": 1e999}', b'7'):
            self.assertRaises(relay._Malformed, self.process, line)


class OperatorInputTest(testtools.TestCase):
    def test_odd_submissions_are_refused(self) -> None:
        """Guards against a call of an operator that gets no answer."""
        bodies = [DEEP_JSON, b'[]', b'7']
        bodies += [f'{{"version": {text}}}'.encode() for text in LARGE_NUMBERS]
        for body in bodies:
            self.assertRaises(
                errors.Refused, submissions.decode_submission, body
            )

    def test_nested_yaml_is_a_finding(self) -> None:
        """Guards against a bundle in the log that ends the daemon."""
        for text in (b'[' * DEEP, b'a: ' + b'[' * DEEP + b']' * DEEP):
            loaded = yamlfiles.load_model(text, pydantic.BaseModel)
            self.assertTrue(loaded.is_error())

    def test_odd_lines_of_a_trace_are_listed(self) -> None:
        """Guards against a command that ends with the error of a parser."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'trace'
            path.write_bytes(DEEP_JSON + b'\n7\n')
            error = self.assertRaises(
                click.ClickException, traces.read_trace, path
            )
        self.assertIn('line 1', error.message)
        self.assertIn('line 2', error.message)
