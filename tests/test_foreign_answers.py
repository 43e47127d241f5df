"""Event streams that no runner should send."""

import testtools

from apricotlandingd.gateway.requests import streams


class TestEvents(testtools.TestCase):
    """One stream: complete events, or an error after which it is resumed."""

    def check_refused(self, data: bytes, last_event: str = '') -> None:
        reader = streams.EventReader(last_event)
        self.assertRaises(streams.OutOfOrder, reader.take, data)
        # The id after which the next runner is asked to resume.
        self.assertEqual(last_event, reader.last_event)

    def test_ids_that_cannot_be_asked_for(self) -> None:
        # Guards against ending a stream that another runner could resume. An
        # event's id holds a control character; the id to resume after is sent
        # in a header, which the client then refuses to send.
        for event in (b'a\x00b', b'\x01', b'7\x7f', b'x' * 300):
            self.check_refused(b'id: ' + event + b'\ndata: x\n\n')

    def test_ids_of_thousands_of_digits(self) -> None:
        # As above: the ids of two events are compared as numbers, and parsing
        # one of 5,000 digits fails.
        self.check_refused(b'id: ' + b'9' * 5000 + b'\ndata: x\n\n', '6')
        self.check_refused(b'id: ' + b'9' * 30 + b'\ndata: x\n\n', '6')

    def test_event_that_does_not_end(self) -> None:
        # Guards against a host that is killed for its memory use, with all
        # its requests: a runner sends a stream without separators, all of
        # which is buffered until the next separator and copied with each
        # part.
        reader = streams.EventReader('')
        part = b'x' * 65536

        def read() -> None:
            for _ in range(1000):
                reader.take(part)

        self.assertRaises(streams.OutOfOrder, read)

    def test_whole_events_before_a_bad_one_are_asked_for_again(self) -> None:
        # Guards against losing an event in the middle of a stream. Two events
        # arrive at once and the second is out of order; neither is forwarded,
        # so the next runner must not be asked to resume after the first.
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
