"""Decisions about parts of prompts that crash runners."""

import random

import testtools

from apricotlanding import contentkeys
from apricotlanding import crashreports
from apricotlanding import ids
from apricotlanding import partblame
from apricotlanding import quarantine

HOST = ids.Host('host-0')
BAD, FIRST, BYSTANDER = (ids.ContentKey(number) for number in (1, 2, 3))


class Peers:
    """The other hosts; nothing reaches them."""

    def __init__(self) -> None:
        self.sent = 0

    def list_hosts(self) -> list[ids.Host]:
        return [ids.Host('host-1')]

    def send_blames(
        self, blames: list[quarantine.Blame], hosts: list[ids.Host]
    ) -> None:
        self.sent += len(blames)


class PartBlameTest(testtools.TestCase):
    """One host."""

    def setUp(self) -> None:
        super().setUp()
        self.hosts = [HOST]
        self.parts = self.make_parts()
        self.count = 0

    def make_parts(self) -> partblame.PartBlame:
        shared = quarantine.Quarantine(HOST)
        reports = crashreports.CrashReports(
            shared,
            Peers(),
            lambda name, count: self.hosts,
            HOST,
            random.Random(1),
        )
        return partblame.PartBlame(
            shared, reports, lambda name, count: self.hosts, HOST
        )

    def crash(self, *keys: ids.ContentKey, now: float = 0.0) -> None:
        self.count += 1
        self.parts.record_crash(ids.Crash(self.count), set(keys), now)

    def is_refused(self, *keys: ids.ContentKey, now: float = 1.0) -> bool:
        return self.parts.find(frozenset(keys), now) is not None

    def test_part_is_refused_after_three_crashes(self) -> None:
        """Guards against requests that end one runner after another."""
        for _ in range(2):
            self.crash(BAD)
        self.assertFalse(self.is_refused(BAD))
        self.crash(BAD)
        self.assertTrue(self.is_refused(BAD, FIRST))
        self.assertFalse(self.is_refused(FIRST))
        self.assertFalse(self.is_refused())

    def test_requests_that_lack_the_bad_part_go_on(self) -> None:
        """Guards against the refusal of what sound requests share."""
        for _ in range(3):
            self.crash(BAD, FIRST)
        self.assertTrue(self.is_refused(BAD, FIRST))
        self.assertFalse(self.is_refused(FIRST))
        self.assertFalse(self.is_refused(FIRST, BYSTANDER))

    def test_answer_clears_a_part(self) -> None:
        """Guards against parts that are refused though they are harmless."""
        for _ in range(3):
            self.crash(BAD, FIRST)
        self.parts.record_answer(frozenset({FIRST}), 0.5)
        self.assertFalse(self.is_refused(FIRST))
        self.assertTrue(self.is_refused(BAD, FIRST))
        self.parts.record_answer(frozenset({BAD}), 0.6)
        self.assertFalse(self.is_refused(BAD, FIRST))

    def test_part_of_a_recent_answer_is_not_blamed(self) -> None:
        """Guards against crashes in a row before the next answer."""
        self.parts.record_answer(frozenset({FIRST}), 0.0)
        for _ in range(3):
            self.crash(FIRST, now=1.0)
        self.assertFalse(self.is_refused(FIRST, now=2.0))
        late = partblame.ANSWER_MAX_AGE_S + 1.0
        for _ in range(3):
            self.crash(FIRST, now=late)
        self.assertTrue(self.is_refused(FIRST, now=late + 1.0))

    def test_rows_of_other_hosts_spare_what_was_answered_here(self) -> None:
        """Guards against a host that refuses what it has just answered."""
        self.parts.record_answer(frozenset({FIRST}), 0.0)
        rows = [
            quarantine.Blame(FIRST, ids.Crash(n), ids.Host('host-1'), False, 0)
            for n in range(3)
        ]
        self.parts.handle_blames(rows, 1.0)
        self.assertFalse(self.is_refused(FIRST))

    def test_request_that_was_cut_is_not_sent_again_lightly(self) -> None:
        """Guards against a request that ends two runners at once."""
        keys = frozenset({BAD, FIRST})
        self.crash(BAD, FIRST)
        self.assertTrue(self.parts.may_resend(keys))
        self.crash(BAD)
        self.assertFalse(self.parts.may_resend(keys))
        self.assertTrue(self.parts.may_resend(frozenset({FIRST})))

    def test_trials_are_few(self) -> None:
        """Guards against trials that end runners for ever."""
        keys = frozenset({BAD})
        now = 0.0
        for _ in range(5):
            self.crash(BAD, now=now)
        trials = 0
        for _ in range(500):
            now += 1.0
            if self.parts.take_send(keys, now) is None:
                trials += 1
                self.crash(BAD, now=now)
        self.assertEqual(1, trials)
        # A host that starts again has forgotten its trial.
        rows = [
            quarantine.Blame(BAD, ids.Crash(n), HOST, False, age)
            for n, age in enumerate((500, 500, 500, 479, 400))
        ]
        self.parts = self.make_parts()
        self.parts.handle_blames(rows, now)
        self.assertTrue(self.is_refused(BAD, now=now + 1000.0))

    def test_part_that_crashes_no_more_is_found_by_a_trial(self) -> None:
        """Guards against a refusal for an hour after crashes of runners."""
        for _ in range(3):
            self.crash(BAD)
        now = partblame.TRIAL_DELAY_S + 1.0
        self.assertIsNone(self.parts.take_send(frozenset({BAD}), now))
        self.assertTrue(self.is_refused(BAD, now=now))
        self.parts.record_answer(frozenset({BAD}), now)
        self.assertFalse(self.is_refused(BAD, now=now))

    def test_second_host_waits_longer_for_its_trial(self) -> None:
        """Guards against two trials at the same time."""
        self.hosts = [ids.Host('host-1'), HOST]
        for _ in range(3):
            self.crash(BAD)
        self.assertTrue(
            self.is_refused(BAD, now=partblame.TRIAL_DELAY_S + 1.0)
        )
        self.assertFalse(
            self.is_refused(BAD, now=2 * partblame.TRIAL_DELAY_S + 1.0)
        )

    def test_invented_parts_push_out_nothing(self) -> None:
        """Guards against a caller whose parts displace a bad one."""
        for _ in range(3):
            self.crash(BAD)
        for number in range(3000):
            self.crash(ids.ContentKey(1000 + number))
        self.assertTrue(self.is_refused(BAD))


class PartKeyTest(testtools.TestCase):
    """The keys of the parts of a prompt."""

    def test_last_part_has_no_key(self) -> None:
        """Guards against a part that belongs to the request alone."""
        derive = contentkeys.derive_part_keys
        self.assertEqual(frozenset(), derive(None, []))
        self.assertEqual(frozenset(), derive(None, ['a']))
        self.assertEqual(derive(None, ['a', 'b']), derive(None, ['a', 'c']))

    def test_organisation_cannot_blame_parts_of_another(self) -> None:
        """Guards against a caller that has the parts of others refused."""
        found = {
            contentkeys.derive_part_keys(name, ['a', 'b'])
            for name in (None, ids.Organisation('x'), ids.Organisation('y'))
        }
        self.assertEqual(3, len(found))

    def test_number_of_keys_is_bounded(self) -> None:
        """Guards against prompts of parts without end."""
        parts = [f'{number:x}' for number in range(10_000)]
        found = contentkeys.derive_part_keys(None, parts)
        self.assertEqual(contentkeys.MAX_PARTS, len(found))
