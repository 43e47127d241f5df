"""Streams of events that no runner should send."""

import testtools

from apricotlandingd.gateway.requests import streams


class TestEvents(testtools.TestCase):
    """One stream: whole events, or an error that another runner mends."""

    def check_refused(self, data: bytes, last_event: str = '') -> None:
        reader = streams.EventReader(last_event)
        self.assertRaises(streams.OutOfOrder, reader.take, data)
        # What the next runner is asked to go on behind.
        self.assertEqual(last_event, reader.last_event)

    def test_ids_that_cannot_be_asked_for(self) -> None:
        # A caller's stream ends although another runner could go on with it.
        # An event's id held a control character; as the place to go on from
        # it stood in a header, which the client refuses to send.
        for event in (b'a\x00b', b'\x01', b'7\x7f', b'x' * 300):
            self.check_refused(b'id: ' + event + b'\ndata: x\n\n')

    def test_ids_of_thousands_of_digits(self) -> None:
        # As above: the numbers of two events were compared, and reading one
        # of 5,000 digits fails.
        self.check_refused(b'id: ' + b'9' * 5000 + b'\ndata: x\n\n', '6')
        self.check_refused(b'id: ' + b'9' * 30 + b'\ndata: x\n\n', '6')

    def test_event_that_does_not_end(self) -> None:
        # All requests of a host end: it is killed for its memory. A runner
        # sent a stream without a mark between events, all of which was kept
        # until the next mark, and copied with each part.
        reader = streams.EventReader('')
        part = b'x' * 65536

        def read() -> None:
            for _ in range(1000):
                reader.take(part)

        self.assertRaises(streams.OutOfOrder, read)

    def test_whole_events_before_a_bad_one_are_asked_for_again(self) -> None:
        # A caller misses an event in the middle of its stream. Two events
        # came at once and the second was out of order; neither was passed
        # on, but the next runner was asked to go on behind the first.
        reader = streams.EventReader('4')
        data = b'id: 5\n\nid: 5\n\n'
        self.assertRaises(streams.OutOfOrder, reader.take, data)
        self.assertEqual(('4', 0), (reader.last_event, reader.count))

    def test_usual_ids_are_followed(self) -> None:
        reader = streams.EventReader('')
        self.assertEqual(b'id: 1\n\n', reader.take(b'id: 1\n\nid'))
        reader.take(b': 2\r\n\r\nid:3\n\n')
        self.assertEqual('3', reader.last_event)
        reader = streams.EventReader('')
        reader.take(b'id: a-1/\xe4\n\n')
        self.assertEqual('a-1/\xe4', reader.last_event)
