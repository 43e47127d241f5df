"""An accepted bundle is in force everywhere soon and never reverts."""

import concurrent.futures
import time
import typing as ty

from apricotstandins import callers
from apricotstandins import deployment
from apricotstandins import processes
import systems


# Every bundle is larger than this and every other record smaller, in bytes.
BUNDLE_BYTES = 1000


class TestBundles(systems.SystemTestCase):
    """Operators change the configuration of three running daemons."""

    def configure(self) -> None:
        self.system.has_relays = True

    def test_in_force_everywhere(self) -> None:
        reply = self.submit(2, 1)
        self.assertEqual(200, reply.status)
        self.wait_version(2)

    def test_race_has_one_winner_and_the_other_is_told(self) -> None:
        # Two operators change version 1 at the same time through different
        # daemons. One wins; the other hears to whom it lost.
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            replies = list(
                pool.map(
                    lambda item: self.submit(2, 1, item[0], item[1]),
                    [
                        ('entry-1', deployment.AUTHOR),
                        ('entry-2', deployment.APPROVER),
                    ],
                )
            )
        codes = sorted((reply.status, reply.code) for reply in replies)
        self.assertEqual([(200, ''), (409, 'APL402')], codes)
        loser = next(reply for reply in replies if reply.status == 409)
        self.assertIn(b'version 2 by', loser.body)
        self.wait_version(2)
        self.assertEqual(1, len(set(self.read_texts())))

    def test_lost_replies_do_not_double_or_lose_a_change(self) -> None:
        # The append takes effect and its reply is lost: the daemon finds
        # its own record in the log and reports success.
        self.system.set_faults(
            'log', lost_replies=2, spared_bytes=BUNDLE_BYTES
        )
        self.assertEqual(200, self.submit(2, 1).status)
        self.wait_version(2)

    def test_record_that_lands_late_does_not_revert(self) -> None:
        # The append of version 2 fails and takes effect seconds later, when
        # another version 2 and a version 3 are in force already.
        self.system.set_faults(
            'log', late_appends=1, late_s=4.0, spared_bytes=BUNDLE_BYTES
        )
        late = self.submit(2, 1, 'entry-1', deployment.APPROVER)
        self.assertNotEqual(200, late.status)
        self.assertEqual(200, self.submit(2, 1, 'entry-2').status)
        self.assertEqual(200, self.submit(3, 2, 'entry-2').status)
        self.wait_version(3)
        before = self.read_texts()
        time.sleep(4.5)
        self.wait_version(3)
        self.assertEqual(before, self.read_texts())

    def test_outage_right_after_acceptance(self) -> None:
        # One daemon is cut off from the log when version 2 is accepted and
        # stays so. It gets the bundle from its peers.
        self.system.cut_log('entry-3', True)
        self.assertEqual(200, self.submit(2, 1, 'entry-1').status)
        self.wait_version(2)

    def test_submission_in_an_outage_is_doubtful(self) -> None:
        self.system.set_faults('log', is_out=True)
        reply = self.submit(2, 1)
        self.assertEqual('APL403', reply.code)
        self.assertEqual('unknown', self.read_outcome(reply))
        self.system.set_faults('log', is_out=False)
        # Whatever became of it, all agree and the operator can go on.
        processes.wait_until(self.all_agree, 'one version everywhere')

    def test_daemon_that_starts_in_an_outage(self) -> None:
        # The log is out when a host is replaced. The new daemon takes the
        # bundle from its peers and serves what needs no claim.
        self.submit(2, 1)
        self.wait_version(2)
        place = self.system.daemons['entry-2']
        self.system.find_process('entry-2').kill()
        self.system.set_faults('log', is_out=True)
        self.system.start_daemon('entry-2')
        self.system.wait_for_http(place.callers, '/healthz')
        self.wait_version(2)

    def test_bad_bundles_are_refused_with_the_line(self) -> None:
        value = self.system.make_bundle(2, 1)
        value['routes'][0]['pool'] = 'nowhere'
        reply = self.system.submit(value)
        self.assertEqual('APL401', reply.code)
        self.assertIn(b'routes.0.pool', reply.body)

    def test_number_of_claim_shards_cannot_change(self) -> None:
        # Keys would move to owners that do not know what was granted.
        value = self.system.make_bundle(2, 1)
        value['ownership']['claim_shards'] = 5
        reply = self.system.submit(value)
        self.assertEqual('APL401', reply.code)
        self.wait_version(1)

    def submit(
        self,
        version: int,
        base: int,
        host: str = 'entry-1',
        author: str = deployment.AUTHOR,
    ) -> callers.Reply:
        value = self.system.make_bundle(version, base)
        value['limits'] = {'body_bytes': 100_000 + len(host + author)}
        return self.system.submit(value, host, author)

    def wait_version(self, version: int) -> None:
        processes.wait_until(
            lambda: self.read_versions() == {version}, f'version {version}'
        )

    def read_versions(self) -> set[int]:
        return {
            self.system.read_status(host).get('bundle', 0)
            for host in self.system.daemons
        }

    def read_texts(self) -> list[bytes]:
        return [
            self.system.call_operator(host, 'GET', '/v1/bundle').body
            for host in self.system.daemons
        ]

    def all_agree(self) -> bool:
        return len(set(self.read_texts())) == 1

    def read_outcome(self, reply: callers.Reply) -> ty.Any:
        is_doubtful = reply.code == 'APL403'
        return 'unknown' if is_doubtful else reply.outcome


class TestRetention(systems.SystemTestCase):
    """The log forgets old records."""

    def configure(self) -> None:
        # Restated four times in this many seconds.
        self.system.more_settings |= {'log_retention_s': 2.0}

    def test_daemon_that_starts_after_records_expired(self) -> None:
        # Everything before the last eight records is gone when a host is
        # replaced: the new daemon learns bundle and owners from what was
        # restated, and takes part.
        self.system.submit(self.system.make_bundle(2, 1))
        processes.wait_until(self.has_restated, 'restated')
        self.system.set_faults('log', retention=8)
        place = self.system.daemons['entry-3']
        self.system.find_process('entry-3').kill()
        self.system.start_daemon('entry-3')
        self.system.wait_for_http(place.callers, '/healthz')
        self.system.wait_ready()
        status = self.system.read_status('entry-3')
        self.assertEqual(2, status['bundle'])
        key = callers.make_key()
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 5}
        reply = self.post('entry-3', 'note', body, key)
        self.assertTrue(reply.is_whole(key, 5))

    def has_restated(self) -> bool:
        status = self.system.read_status('entry-1')
        return bool(status.get('log_next', 0) > 40)
