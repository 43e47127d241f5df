"""Accepted bundles take effect on all daemons and are never reverted."""

import concurrent.futures
import time
import typing as ty

from apricotstandins import callers
from apricotstandins import deployment
from apricotstandins import processes
import systems


# All bundle records are larger than this and all other records smaller.
MIN_BUNDLE_BYTES = 1000


class TestBundles(systems.SystemTestCase):
    """Changes of the configuration of three running daemons."""

    def configure(self) -> None:
        self.system.has_relays = True

    def test_in_force_everywhere(self) -> None:
        reply = self.submit(2, 1)
        self.assertEqual(200, reply.status)
        self.wait_version(2)

    def test_one_of_two_concurrent_submissions_is_rejected(self) -> None:
        # Two operators replace version 1 at the same time through different
        # daemons. One submission is accepted; the error of the other names
        # the accepted version.
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
        rejected = next(reply for reply in replies if reply.status == 409)
        self.assertIn(b'version 2 by', rejected.body)
        self.wait_version(2)
        self.assertEqual(1, len(set(self.read_texts())))

    def test_lost_reply_neither_repeats_nor_loses_change(self) -> None:
        # The append takes effect, but its reply is lost: the daemon finds its
        # own record in the log and reports success.
        self.system.set_faults(
            'log', lost_replies=2, spared_bytes=MIN_BUNDLE_BYTES
        )
        self.assertEqual(200, self.submit(2, 1).status)
        self.wait_version(2)

    def test_late_append_does_not_revert(self) -> None:
        # The append of version 2 fails but takes effect seconds later, when
        # another version 2 and a version 3 have been accepted.
        self.system.set_faults(
            'log', late_appends=1, late_s=4.0, spared_bytes=MIN_BUNDLE_BYTES
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
        # One daemon has no connection to the log when version 2 is accepted
        # and afterwards. It gets the bundle from its peers.
        self.system.cut_log('entry-3', True)
        self.assertEqual(200, self.submit(2, 1, 'entry-1').status)
        self.wait_version(2)

    def test_submission_in_an_outage_has_unknown_result(self) -> None:
        self.system.set_faults('log', is_out=True)
        reply = self.submit(2, 1)
        self.assertEqual('APL403', reply.code)
        self.assertEqual('unknown', self.read_outcome(reply))
        self.system.set_faults('log', is_out=False)
        # Accepted or not, all daemons agree and the operator can submit again.
        processes.wait_until(self.all_agree, 'one version everywhere')

    def test_daemon_that_starts_in_an_outage(self) -> None:
        # The log is down when a host is replaced. The new daemon gets the
        # bundle from its peers and serves requests that need no claim.
        self.submit(2, 1)
        self.wait_version(2)
        daemon = self.system.daemons['entry-2']
        self.system.find_process('entry-2').kill()
        self.system.set_faults('log', is_out=True)
        self.system.start_daemon('entry-2')
        self.system.wait_for_http(daemon.callers, '/healthz')
        self.wait_version(2)

    def test_bad_bundles_are_refused_with_the_line(self) -> None:
        value = self.system.make_bundle(2, 1)
        value['routes'][0]['pool'] = 'nowhere'
        reply = self.system.submit(value)
        self.assertEqual('APL401', reply.code)
        self.assertIn(b'routes.0.pool', reply.body)

    def test_number_of_claim_shards_cannot_change(self) -> None:
        # Keys would move to owners that do not know their earlier grants.
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
        is_unknown = reply.code == 'APL403'
        return 'unknown' if is_unknown else reply.outcome


class TestRetention(systems.SystemTestCase):
    """Retention of the log drops old records."""

    def configure(self) -> None:
        # State is repeated four times within this retention period.
        self.system.extra_settings |= {'log_retention_s': 2.0}

    def test_daemon_that_starts_after_records_expired(self) -> None:
        # All but the last eight records are dropped when a host is replaced:
        # the new daemon gets bundle and owners from the repeated records and
        # serves requests.
        self.system.submit(self.system.make_bundle(2, 1))
        processes.wait_until(self.has_restated, 'restated')
        self.system.set_faults('log', retention=8)
        daemon = self.system.daemons['entry-3']
        self.system.find_process('entry-3').kill()
        self.system.start_daemon('entry-3')
        self.system.wait_for_http(daemon.callers, '/healthz')
        self.system.wait_ready()
        status = self.system.read_status('entry-3')
        self.assertEqual(2, status['bundle'])
        key = callers.make_key()
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 5}
        reply = self.post('entry-3', 'note', body, key)
        self.assertTrue(reply.is_complete_answer(key, 5))

    def has_restated(self) -> bool:
        status = self.system.read_status('entry-1')
        return bool(status.get('log_next', 0) > 40)
