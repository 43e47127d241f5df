"""Which connections make room for new ones; no network."""

import testtools

from apricotlanding import openconnections

Verdict = openconnections.Verdict
MOST = 3


def fill(now: float = 0.0) -> openconnections.OpenConnections[str]:
    """Return a full listener, whose connections have sent nothing."""
    open_connections = openconnections.OpenConnections[str](MOST)
    for number in range(MOST):
        open_connections.add(f'c-{number}', now)
    return open_connections


class OpenConnectionsTest(testtools.TestCase):
    def test_first_that_sent_nothing_is_replaced(self) -> None:
        """Guards against idle connections that keep callers out."""
        found = fill()
        self.assertEqual((Verdict.SERVED, 'c-0'), found.add('new', 2.0))
        self.assertEqual((Verdict.SERVED, 'c-1'), found.add('newer', 2.0))

    def test_requests_are_not_replaced(self) -> None:
        """Guards against requests that end for new connections."""
        found = fill()
        found.begin_request('c-0')
        self.assertEqual((Verdict.SERVED, 'c-1'), found.add('new', 2.0))

    def test_idle_connections_go_before_young_ones(self) -> None:
        """Guards against callers replaced before they could send."""
        found = fill(now=1.5)
        found.begin_request('c-2')
        found.end_request('c-2', 1.6)
        self.assertEqual((Verdict.SERVED, 'c-2'), found.add('new', 2.0))

    def test_longest_idle_connection_is_replaced(self) -> None:
        """Guards against callers replaced right after their answer."""
        found = fill()
        for number in range(MOST):
            found.begin_request(f'c-{number}')
        for number in (2, 0, 1):
            found.end_request(f'c-{number}', 1.0 + number)
        self.assertEqual((Verdict.SERVED, 'c-2'), found.add('new', 9.0))

    def test_callers_are_refused_while_all_have_requests(self) -> None:
        """Guards against callers that wait without an answer."""
        found = fill()
        for number in range(MOST):
            found.begin_request(f'c-{number}')
        verdicts = [
            found.add(f'new-{number}', 2.0)[0]
            for number in range(openconnections.MAX_SURPLUS + 1)
        ]
        self.assertEqual(
            [Verdict.REFUSED] * openconnections.MAX_SURPLUS, verdicts[:-1]
        )
        self.assertIs(Verdict.DROPPED, verdicts[-1])

    def test_closed_connections_leave_room(self) -> None:
        """Guards against a count that only grows."""
        found = fill()
        found.remove('c-1')
        self.assertEqual((Verdict.SERVED, None), found.add('new', 2.0))

    def test_descriptors_are_left_for_what_else_is_open(self) -> None:
        """Guards against callers that leave none for runners."""
        for descriptors in (320, 1535, 4100, 8192):
            most = openconnections.count_for_callers(descriptors)
            left = descriptors - most - openconnections.MAX_SURPLUS
            self.assertGreater(left, openconnections.RESERVED_DESCRIPTORS / 2)
