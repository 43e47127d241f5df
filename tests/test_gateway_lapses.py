"""Registrations that lapsed while the store served no host."""

import testtools

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import lapses
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


# What the store's answers tell: the newest one before a gap, when the store
# accepts a removal in it, and the first answer after it.
LAST_ANSWER_AT = 20.0
ACCEPTED_AT = 20.1
HEARD_AT = 21.4
# The store's return from an outage in which registrations lapse.
BACK_FROM_OUTAGE_AT = 24.0


class LateRemovalTest(testtools.TestCase):
    """A host that reads a removal some time after the store accepted it."""

    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(DRAIN_S)
        self.runners.update(gatewayparts.make_entry('r1'))
        self.answer(LAST_ANSWER_AT - 5.0, LAST_ANSWER_AT)

    def answer(self, first: float, last: float) -> None:
        """Let the store answer some host every half second."""
        while first < last:
            self.runners.note_answer(first)
            first += 0.5
        self.runners.note_answer(last)

    def is_open(self, now: float) -> bool:
        self.runners.expire(now)
        return bool(self.runners.list_open(gatewayparts.POOL))

    def remove(self, read_at: float, accepted_after: float) -> None:
        self.runners.remove(ids.Runner('r1'), read_at, accepted_after)
        self.runners.note_answer(read_at)

    def test_drain_time_counts_from_the_earliest_acceptance(self) -> None:
        """Guards against a drain time that begins when a host hears."""
        self.runners.note_outage(LAST_ANSWER_AT + 0.1)
        self.runners.note_outage(HEARD_AT)
        self.remove(HEARD_AT, LAST_ANSWER_AT)
        self.assertFalse(self.is_open(ACCEPTED_AT + DRAIN_S - 0.5))

    def test_gap_in_which_nothing_can_lapse_is_no_outage(self) -> None:
        """Guards against lost reads that are taken for an outage."""
        self.remove(HEARD_AT, LAST_ANSWER_AT)
        self.assertFalse(self.is_open(HEARD_AT))

    def test_window_counts_from_the_first_answer_to_any_host(self) -> None:
        """Guards against a return that each host notes when it is served."""
        self.answer(BACK_FROM_OUTAGE_AT, BACK_FROM_OUTAGE_AT + 3.0)
        self.runners.note_outage(BACK_FROM_OUTAGE_AT + 2.9)
        self.remove(BACK_FROM_OUTAGE_AT + 3.1, BACK_FROM_OUTAGE_AT + 2.9)
        self.assertFalse(
            self.is_open(BACK_FROM_OUTAGE_AT + 2.9 + DRAIN_S - 0.5)
        )

    def test_late_failure_does_not_extend_the_window(self) -> None:
        """Guards against lost reads after an outage that keep a runner."""
        self.answer(BACK_FROM_OUTAGE_AT, BACK_FROM_OUTAGE_AT + 3.0)
        for at in (3.05, 4.0, 5.0):
            self.runners.note_outage(BACK_FROM_OUTAGE_AT + at)
        self.remove(BACK_FROM_OUTAGE_AT + 4.2, BACK_FROM_OUTAGE_AT + 3.0)
        self.assertFalse(
            self.is_open(BACK_FROM_OUTAGE_AT + 3.0 + DRAIN_S - 0.5)
        )

    def test_lapse_that_is_read_with_the_first_answer(self) -> None:
        """Guards against a removal that is applied before its answer."""
        self.remove(BACK_FROM_OUTAGE_AT, LAST_ANSWER_AT)
        self.assertTrue(self.is_open(BACK_FROM_OUTAGE_AT))
        self.assertTrue(
            self.is_open(BACK_FROM_OUTAGE_AT + lapses.LAPSE_WINDOW_S - 0.1)
        )
        self.assertFalse(
            self.is_open(BACK_FROM_OUTAGE_AT + lapses.LAPSE_WINDOW_S)
        )

    def test_lapse_that_is_read_late(self) -> None:
        """Guards against a host that waits longer than the others."""
        self.answer(BACK_FROM_OUTAGE_AT, BACK_FROM_OUTAGE_AT + 1.5)
        self.remove(BACK_FROM_OUTAGE_AT + 1.9, LAST_ANSWER_AT)
        self.assertTrue(self.is_open(BACK_FROM_OUTAGE_AT + 1.9))
        self.assertFalse(
            self.is_open(BACK_FROM_OUTAGE_AT + lapses.LAPSE_WINDOW_S)
        )

    def test_longer_heartbeats_make_lapses_later(self) -> None:
        """Guards against a gap that is taken for an outage too soon."""
        self.runners = directory.Directory(DRAIN_S, heartbeat_s=3.0)
        self.runners.update(gatewayparts.make_entry('r1'))
        self.answer(LAST_ANSWER_AT - 5.0, LAST_ANSWER_AT)
        self.remove(BACK_FROM_OUTAGE_AT, LAST_ANSWER_AT)
        self.assertFalse(self.is_open(BACK_FROM_OUTAGE_AT))


class KnownAnswerTest(testtools.TestCase):
    """The newest answer that lacks what this host does not know."""

    def setUp(self) -> None:
        super().setUp()
        self.replica = records.Replica()
        self.replica.apply(
            dialect.RUNNERS, dialect.Batch((), 5), is_snapshot=False
        )
        self.freshness = freshness.Freshness(
            self.replica, dict.fromkeys(records.TOPICS, DRAIN_S)
        )

    def tell(self, age_ms: int, position: int, now: float) -> None:
        self.freshness.update_near(
            ids.Host('peer'),
            [age_ms] * len(records.TOPICS),
            [position] * len(records.TOPICS),
            True,
            now,
        )

    def find(self) -> float | None:
        return self.freshness.find_known_at(dialect.RUNNERS)

    def test_answer_of_a_peer_that_is_ahead_does_not_count(self) -> None:
        """Guards against a removal that seems to be newer than it is."""
        self.tell(100, 5, 10.0)
        self.tell(0, 6, 11.0)
        self.assertEqual(9.9, self.find())

    def test_answer_of_a_peer_that_has_gone_counts(self) -> None:
        self.tell(100, 5, 10.0)
        self.freshness.forget(ids.Host('peer'))
        self.assertEqual(9.9, self.find())

    def test_all_answers_are_told(self) -> None:
        told: list[float] = []
        self.freshness.on_answer = lambda topic, at: told.append(at)
        self.freshness.record_answer(dialect.RUNNERS, 9.0)
        self.tell(500, 6, 10.0)
        self.assertEqual([9.0] + [9.5] * len(records.TOPICS), told)
