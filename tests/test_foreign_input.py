"""Bad input is said once a key and minute, and always counted."""

import io
import json
import typing as ty

import eliot
import testtools

from apricotlanding import ids
from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.process import foreigninput
from apricotlandingd.gateway.process import journal
from apricotlandingd.gateway.process import measures
from apricotlandingd.gateway.runners import directory
import gatewayparts


class TestDirectory(testtools.TestCase):
    """A runner whose entry was written over."""

    def test_is_out_also_while_the_store_is_away(self) -> None:
        # A request goes to a process that is no runner. The store is out, so
        # registrations that end may only have lapsed, and are kept; this one
        # has not lapsed, it was replaced by one that names no runner.
        runners = directory.Directory(2.0)
        for name in ('r1', 'r2'):
            runners.update(gatewayparts.make_entry(name))
        runners.note_outage(10.0)
        runners.remove(ids.Runner('r1'), 10.1)
        self.assertTrue(runners.retract(ids.Runner('r2'), 10.1))
        found = runners.list_open(gatewayparts.POOL)
        self.assertEqual(
            ['r1'], [ids.find_runner(entry.start) for entry in found]
        )
        self.assertFalse(runners.retract(ids.Runner('r2'), 10.1))

    def test_one_that_is_waited_for_is_out_too(self) -> None:
        runners = directory.Directory(2.0)
        runners.update(gatewayparts.make_entry('r1'))
        runners.note_outage(10.0)
        runners.remove(ids.Runner('r1'), 10.1)
        runners.retract(ids.Runner('r1'), 10.1)
        self.assertEqual([], runners.list_open(gatewayparts.POOL))
        runners.expire(20.0)


class TestJournal(testtools.TestCase):
    """Lines about input that is as long as somebody likes."""

    def test_long_fields_are_cut(self) -> None:
        # A host is killed for its memory, with all its requests. Callers
        # send ids and paths of 60 KB, each of which stands in a line that
        # waits to be written, two thousand of them at most.
        stream = io.StringIO()
        lines = journal.Journal(stream, {'host': 'host-1'})
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
    """Which notices go through; time is an argument."""

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
        # An operator finds no request in the log: a stranger sends messages
        # under a new name each, every one of them is worth a line, and the
        # log drops what is above its limit.
        given = [
            number
            for number in range(10_000)
            if self.limit.admit(f'key {number}', number / 1000) is not None
        ]
        self.assertEqual(logratelimit.MAX_KEYS + 1, len(given))
        self.assertEqual(logratelimit.MAX_KEYS + 1, self.limit.count_keys())

    def test_keys_of_the_past_make_room(self) -> None:
        for number in range(logratelimit.MAX_KEYS):
            self.limit.admit(f'key {number}', 0.0)
        self.assertEqual(
            0, self.limit.admit('new', logratelimit.LOG_INTERVAL_S)
        )
        self.assertIsNone(
            self.limit.admit('new', logratelimit.LOG_INTERVAL_S + 1)
        )

    def test_endless_keys_take_no_memory(self) -> None:
        long = 'k' * 100_000
        self.assertEqual(0, self.limit.admit(long + 'a', 0.0))
        self.assertIsNone(self.limit.admit(long + 'b', 0.0))


class TestForeignInput(testtools.TestCase):
    """Counter and log."""

    def test_counted_always_and_logged_once(self) -> None:
        found = measures.Measures()
        foreign = foreigninput.ForeignInput(found)
        messages: list[dict[str, ty.Any]] = []
        eliot.add_destinations(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        for second in range(30):
            foreign.report(
                foreigninput.Source.REGISTRATION,
                'i-once',
                'x' * 10_000,
                float(second),
            )
        # Those that were written before there was a destination come too.
        written = [item for item in messages if item.get('key') == 'i-once']
        self.assertEqual(1, len(written))
        self.assertEqual('gateway:unreadable', written[0]['message_type'])
        length = foreigninput.LOGGED_LENGTH
        self.assertEqual(length, len(written[0]['detail']))
        self.assertIn(
            'apricotlanding_unreadable_total{source="registration"} 30',
            found.render().splitlines(),
        )
