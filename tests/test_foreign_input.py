"""Invalid input is always counted, and logged once per key and minute."""

import io
import json
import typing as ty

import eliot
import testtools

from apricotlanding import ids
from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.process import logwriter
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.runners import directory
import gatewayparts


class TestDirectory(testtools.TestCase):
    """Runners whose registration was overwritten with an invalid one."""

    def test_retracted_runner_is_removed_during_store_outage(self) -> None:
        # A request went to a process that is no runner. During a store outage,
        # registrations that are removed may only have expired, and are kept.
        # This one did not expire: an entry that names no runner replaced it.
        runners = directory.Directory(2.0)
        for name in ('r1', 'r2'):
            runners.update(gatewayparts.make_entry(name))
        runners.note_outage(10.0)
        runners.remove(ids.Runner('r1'), 10.1)
        self.assertTrue(runners.retract(ids.Runner('r2'), 10.1))
        found = runners.list_open(gatewayparts.POOL)
        self.assertEqual(
            ['r1'], [ids.parse_runner(entry.start) for entry in found]
        )
        self.assertFalse(runners.retract(ids.Runner('r2'), 10.1))

    def test_retracted_runner_that_expired_is_removed(self) -> None:
        runners = directory.Directory(2.0)
        runners.update(gatewayparts.make_entry('r1'))
        runners.note_outage(10.0)
        runners.remove(ids.Runner('r1'), 10.1)
        runners.retract(ids.Runner('r1'), 10.1)
        self.assertEqual([], runners.list_open(gatewayparts.POOL))
        runners.expire(20.0)


class TestLogWriter(testtools.TestCase):
    """Log lines with long fields."""

    def test_long_fields_are_cut(self) -> None:
        # A host runs out of memory, is killed and loses all its requests.
        # Callers send ids and paths of 60 KB, which are held in up to two
        # thousand queued lines.
        stream = io.StringIO()
        lines = logwriter.LogWriter(stream, {'host': 'host-1'})
        lines.start()
        long = 'x' * 60_000
        for number in range(500):
            lines(
                {
                    'message_type': 'gateway:request',
                    'attempt': f'{number} {long}',
                    'target': long,
                    'tokens': [1, 2],
                }
            )
        lines.stop()
        written = stream.getvalue().splitlines()
        self.assertEqual(500, len(written))
        self.assertLess(len(stream.getvalue()), 500 * 10_000)
        first = json.loads(written[0])
        self.assertTrue(first['attempt'].startswith('0 xxx'))
        self.assertEqual([1, 2], first['tokens'])


class TestNoticeLimit(testtools.TestCase):
    """Which notices are admitted; time is an argument."""

    def setUp(self) -> None:
        super().setUp()
        self.limit = logratelimit.LogRateLimit()

    def test_one_notice_a_key_and_minute(self) -> None:
        self.assertEqual(0, self.limit.admit('a', 10.0))
        for second in range(11, 70):
            self.assertIsNone(self.limit.admit('a', float(second)))
        self.assertEqual(0, self.limit.admit('b', 69.0))
        self.assertEqual(59, self.limit.admit('a', 70.0))
        self.assertIsNone(self.limit.admit('a', 71.0))

    def test_many_keys_share_one_notice(self) -> None:
        # The log loses the lines of requests: another program sends each
        # message under a new name, each is logged, and the log drops lines
        # above its rate limit.
        given = [
            number
            for number in range(10_000)
            if self.limit.admit(f'key {number}', number / 1000) is not None
        ]
        self.assertEqual(logratelimit.MAX_KEYS + 1, len(given))
        self.assertEqual(logratelimit.MAX_KEYS + 1, self.limit.count_keys())

    def test_expired_keys_make_room(self) -> None:
        for number in range(logratelimit.MAX_KEYS):
            self.limit.admit(f'key {number}', 0.0)
        self.assertEqual(
            0, self.limit.admit('new', logratelimit.LOG_INTERVAL_S)
        )
        self.assertIsNone(
            self.limit.admit('new', logratelimit.LOG_INTERVAL_S + 1)
        )

    def test_long_keys_are_truncated(self) -> None:
        long = 'k' * 100_000
        self.assertEqual(0, self.limit.admit(long + 'a', 0.0))
        self.assertIsNone(self.limit.admit(long + 'b', 0.0))


class TestInputErrors(testtools.TestCase):
    """Counting and logging of invalid input."""

    def test_counted_always_and_logged_once(self) -> None:
        found = telemetry.MetricRegistry()
        input_errors = inputerrors.InputErrors(found)
        messages: list[dict[str, ty.Any]] = []
        eliot.add_destinations(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        for second in range(30):
            input_errors.report(
                inputerrors.Source.REGISTRATION,
                'i-once',
                'x' * 10_000,
                float(second),
            )
        # The destination also gets messages logged before it was added.
        written = [item for item in messages if item.get('key') == 'i-once']
        self.assertEqual(1, len(written))
        self.assertEqual('gateway:unreadable', written[0]['message_type'])
        length = inputerrors.MAX_LOGGED_CHARS
        self.assertEqual(length, len(written[0]['detail']))
        self.assertIn(
            'apricotlanding_unreadable_total{source="registration"} 30',
            found.render().splitlines(),
        )
