"""Registrations that lapsed while the store served no host."""

import testtools

from apricotlanding import ids
from apricotlandingd.gateway.runners import directory
import gatewayparts

DRAIN_S = 2.0
# When the store is back, and when a host reads that registrations lapsed.
RETURN_AT = 10.0
READ_AT = 10.1
# Registrations are back about two seconds after the store.
BACK_AT = 12.0


class TestLapse(testtools.TestCase):
    """Guards against refusing every request although all runners serve.

    The store was unavailable to all hosts, so all registrations lapsed. A
    host that reads this right after the store's return must not drop the
    runners after the drain time: their registrations may take longer to come
    back.
    """

    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(DRAIN_S)
        self.runners.update(gatewayparts.make_entry('r1'))
        self.runners.note_outage(RETURN_AT)

    def is_open(self, now: float) -> bool:
        self.runners.expire(now)
        return bool(self.runners.list_open(gatewayparts.POOL))

    def test_registration_that_comes_back_late_is_waited_for(self) -> None:
        self.runners.note_return(RETURN_AT)
        self.runners.remove(ids.Runner('r1'), READ_AT)
        self.assertTrue(self.is_open(BACK_AT))

    def test_runner_that_does_not_come_back_is_gone(self) -> None:
        self.runners.note_return(RETURN_AT)
        self.runners.remove(ids.Runner('r1'), READ_AT)
        self.assertFalse(self.is_open(BACK_AT + 0.3))

    def test_host_that_alone_was_rejected_waits_no_longer(self) -> None:
        # The store served the other hosts meanwhile: the runner has left.
        self.runners.remove(ids.Runner('r1'), READ_AT)
        self.runners.note_outage(BACK_AT)
        self.assertFalse(self.is_open(BACK_AT))
