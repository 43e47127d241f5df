"""Which requests are kept from runners after crashes."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from apricotlanding import contentkeys
from apricotlanding import ids
from apricotlanding import quarantine

HOST = ids.Host('a')
POISON = ids.ContentKey(1)
BYSTANDER = ids.ContentKey(2)


def make_crash(number: int) -> ids.Crash:
    return ids.identify_crash(ids.RunnerStart(f'i-{number}'), 0)


def make_quarantine(
    *crashes: set[ids.ContentKey], host: ids.Host = HOST
) -> quarantine.Quarantine:
    """Return a quarantine after crashes that cut these requests."""
    found = quarantine.Quarantine(host)
    for number, keys in enumerate(crashes):
        found.record_crash(make_crash(number), keys, float(number))
    return found


def list_state(
    found: quarantine.Quarantine,
) -> set[tuple[ids.ContentKey, ids.Crash, bool]]:
    rows = found.list_rows(10_000, random.Random(1), 100.0)
    return {(row.key, row.crash, row.is_cleared) for row in rows}


class ContentKeyTest(testtools.TestCase):
    def test_each_part_counts(self) -> None:
        """Guards against a harmless request with the key of another one."""
        festin = ids.Organisation('festin')
        keys = {
            contentkeys.derive_key(festin, 'POST /a', b'body'),
            contentkeys.derive_key(None, 'POST /a', b'body'),
            contentkeys.derive_key(ids.Organisation(''), 'POST /a', b'body'),
            contentkeys.derive_key(festin, 'POST /abo', b'dy'),
            contentkeys.derive_key(festin, 'POST /a', b'body2'),
        }
        self.assertEqual(5, len(keys))

    def test_attempts_share_the_key(self) -> None:
        """Guards against a request that is unknown when it is sent again."""
        festin = ids.Organisation('festin')
        self.assertEqual(
            contentkeys.derive_key(festin, 'POST /\udc80', b'body'),
            contentkeys.derive_key(festin, 'POST /\udc80', b'body'),
        )


class QuarantineTest(testtools.TestCase):
    def test_third_crash_decides(self) -> None:
        """Guards against a request that ends one runner after another."""
        found = make_quarantine({POISON}, {POISON})
        self.assertIsNone(found.find(POISON, 2.0))
        found.record_crash(make_crash(2), {POISON}, 2.0)
        verdict = found.find(POISON, 2.0)
        assert verdict is not None
        self.assertEqual(3, len(verdict.blames))
        self.assertFalse(verdict.is_contested)

    def test_two_copies_at_one_runner_are_one_crash(self) -> None:
        """Guards against a quarantine after fewer crashes than reports."""
        found = make_quarantine({POISON})
        other = make_quarantine({POISON}, host=ids.Host('b'))
        found.merge(other.list_rows(9, random.Random(1), 0.0), 0.0)
        self.assertEqual(1, len(list_state(found)))

    def test_completion_clears_a_bystander(self) -> None:
        """Guards against the loss of a popular request beside crashes."""
        found = make_quarantine({POISON, BYSTANDER}, {POISON, BYSTANDER})
        found.record_completion(BYSTANDER, 1.5)
        found.record_crash(make_crash(2), {POISON, BYSTANDER}, 2.0)
        self.assertIsNone(found.find(BYSTANDER, 2.0))
        self.assertIsNotNone(found.find(POISON, 2.0))

    def test_late_report_of_a_cleared_crash(self) -> None:
        """Guards against blame that comes back with a delayed message."""
        found = make_quarantine({BYSTANDER}, {BYSTANDER}, {BYSTANDER})
        late = found.list_rows(9, random.Random(1), 2.0)
        found.record_completion(BYSTANDER, 2.5)
        found.merge(late, 3.0)
        self.assertIsNone(found.find(BYSTANDER, 3.0))

    def test_equal_blame_is_contested(self) -> None:
        """Guards against a bystander that is refused without a trial."""
        found = make_quarantine(*[{POISON, BYSTANDER}] * 3)
        verdict = found.find(BYSTANDER, 2.0)
        assert verdict is not None
        self.assertTrue(verdict.is_contested)

    def test_many_bodies_are_bounded(self) -> None:
        """Guards against memory that grows with the bodies of callers."""
        found = make_quarantine(*[{POISON}] * 3)
        for number in range(100, 5100):
            keys = {ids.ContentKey(number * 10 + copy) for copy in range(4)}
            found.record_crash(make_crash(number), keys, float(number))
        self.assertLessEqual(found.count_contents(), quarantine.MAX_CONTENTS)
        # The request that crashed most is kept.
        self.assertEqual([POISON], found.list_quarantined())

    def test_crashes_of_one_request_are_bounded(self) -> None:
        """Guards against memory that grows with one request's crashes."""
        found = make_quarantine(*[{POISON}] * 500)
        self.assertEqual(
            quarantine.MAX_CRASHES,
            len(found.find(POISON, 500.0).blames),  # type: ignore[union-attr]
        )

    def test_expired_blame_does_not_return(self) -> None:
        """Guards against hosts that renew each other's old blame."""
        found = make_quarantine(*[{POISON}] * 3)
        late = 3.0 + quarantine.RETENTION_S
        rows = found.list_rows(9, random.Random(1), late)
        found.expire(late)
        found.merge(rows, late)
        self.assertTrue(found.is_empty())

    def test_runner_that_is_back_under_its_start_counts_again(self) -> None:
        """Guards against crashes that are taken for one another."""
        start = ids.RunnerStart('i-1')
        self.assertNotEqual(
            ids.identify_crash(start, 0), ids.identify_crash(start, 1)
        )

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.builds(
                quarantine.Blame,
                strategies.integers(1, 4).map(ids.ContentKey),
                strategies.integers(1, 4).map(ids.Crash),
                strategies.just(HOST),
                strategies.booleans(),
                strategies.just(0),
            ),
            max_size=20,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_order_of_messages_is_of_no_matter(
        self, rows: list[quarantine.Blame], rng: random.Random
    ) -> None:
        """Guards against hosts that disagree after the same messages."""
        first, second = (
            quarantine.Quarantine(HOST),
            quarantine.Quarantine(HOST),
        )
        first.merge(rows, 0.0)
        mixed = rows + rows[: len(rows) // 2]
        rng.shuffle(mixed)
        for row in mixed:
            second.merge([row], 0.0)
        self.assertEqual(list_state(first), list_state(second))
