"""Guarantees of the daemons that the fault matrix does not cover."""

import concurrent.futures
import json
import signal
import threading
import time
import typing as ty

from apricotstandins import callers
from apricotstandins import processes
import bursts
import systems


class TestOverload(systems.SystemTestCase):
    """One small engine, and ten times the load that it can serve."""

    runners = bursts.RUNNERS

    def configure(self) -> None:
        self.system.pool_settings = dict(bursts.POOL_SETTINGS)

    def test_lowest_tier_is_shed_first(self) -> None:
        posted = self.post_burst()
        shed = [item for item in posted if item.reply.code == bursts.SHED_CODE]
        self.assertNotEqual([], shed)
        self.assertEqual([], self.find_inversions(posted))
        # A shed request is refused at once, with the time of a retry.
        for item in shed:
            self.assertIn('retry-after', item.reply.headers)
            self.assertEqual('not-run', item.reply.outcome)
            self.assertEqual(0, self.system.count_executions(item.key))

    def test_tiers_hold_when_the_scheduler_is_killed(self) -> None:
        # The scheduler's host is killed during the burst while requests wait
        # at the other hosts. Their daemons register them with the next
        # scheduler, which must not shed before all are registered.
        victim = self.system.find_owner('pool/planners')
        process = self.system.find_process(victim)
        timer = threading.Timer(1.0, process.kill)
        timer.start()
        posted = self.post_burst(avoid=victim)
        self.assertFalse(process.is_running())
        self.assertEqual([], self.find_inversions(posted))
        for item in posted:
            self.assertNotEqual('cut', item.reply.outcome)

    def test_check_finds_inversions_without_tiers(self) -> None:
        # The same burst under a policy without tiers: if the check found no
        # inversions here, the tests above could not fail.
        self.system.pool_settings |= {'policy': 'first-come'}
        self.system.submit(self.system.make_bundle(2, 1))
        self.assertNotEqual([], self.find_inversions(self.post_burst()))

    def post_burst(self, avoid: str = '') -> list[bursts.PostedRequest]:
        hosts = [host for host in self.system.daemons if host != avoid]
        return bursts.post_burst(self.system, hosts)

    def find_inversions(self, posted: list[bursts.PostedRequest]) -> list[str]:
        return bursts.find_inversions(self.system, posted)


class TestAnswers(systems.SystemTestCase):
    """Every caller gets its own complete answer or a correct outcome."""

    body: ty.Final = {'prompt': systems.make_prompt(40), 'max_tokens': 12}

    def test_stream_that_breaks_is_resumed(self) -> None:
        # The connection to the engine breaks after three tokens. The engine
        # continues and the daemon resumes the stream: one execution, one
        # complete answer.
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, cut_streams=1, cut_after=3)
        key = callers.make_key()
        reply = self.post('entry-1', 'rebuild', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)
        self.assertEqual(1, self.system.count_executions(key))

    def test_answer_of_another_request_is_not_forwarded(self) -> None:
        # The engine answers with the name of another request, as if two
        # connections had been mixed up. An at-most-once caller gets
        # "unknown".
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, wrong_names=1)
        key = callers.make_key()
        reply = self.post('entry-1', 'rebuild', self.body, key)
        self.assertEqual('unknown', reply.outcome)
        self.assertEqual(0, reply.count_tokens())

    def test_idempotent_request_goes_to_another_runner(self) -> None:
        # One engine sends lines that are not JSON. Nothing has been sent to
        # the caller yet, so the request may be retried on the other engine.
        self.system.set_faults('planner-1', malformed=1)
        self.system.set_faults('planner-2', malformed=0)
        key = callers.make_key()
        reply = self.post('entry-2', 'note', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)

    def test_stop_after_a_failed_call_is_not_called_not_run(self) -> None:
        # Guards against "not run" for an idempotent request that has run: one
        # engine computed it and sent an unreadable answer, it was queued
        # again because both engines refuse it, and the daemon is stopped
        # while it waits.
        self.system.set_faults('planner-1', malformed=1)
        self.system.set_faults('planner-2', is_refusing=True)
        key = callers.make_key()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.post, 'entry-1', 'note', self.body, key)
            processes.wait_until(
                lambda: self.system.count_executions(key) > 0,
                'the request has run',
            )
            self.system.set_faults('planner-1', is_refusing=True)
            process = self.system.find_process('entry-1')
            process.send(signal.SIGTERM)
            time.sleep(0.5)
            process.send(signal.SIGTERM)
            self.assertEqual('unknown', future.result().outcome)

    def test_deadline_of_a_request_that_waits_is_not_run(self) -> None:
        # No runner accepts the request. The caller gets the outcome of the
        # task that runs it, which knows that it was not run, and not that of
        # a timer that does not know.
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, is_refusing=True)
        for _ in range(3):
            key = callers.make_key()
            reply = self.post(
                'entry-1', 'note', self.body, key, deadline_ms=500
            )
            self.assertEqual(
                ('not-run', 'APL202'), (reply.outcome, reply.code)
            )

    def test_refusal_of_a_runner_is_retried(self) -> None:
        # The runner itself reports "not taken", so another one may run the
        # request, even an at-most-once request.
        self.system.set_faults('planner-1', is_refusing=True)
        key = callers.make_key()
        reply = self.post('entry-3', 'rebuild', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)
        self.assertEqual('planner-2', reply.headers['apricot-runner'])

    def test_late_answer_is_read_by_a_retry(self) -> None:
        # The caller times out before the answer is finished. The answer is
        # stored, and a retry through another daemon gets all of it.
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, straggle=20.0)
        key = callers.make_key()
        self.post('entry-1', 'rebuild', self.body, key, timeout=0.4)
        reply = self.post('entry-2', 'rebuild', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)
        self.assertEqual(1, self.system.count_executions(key))

    def test_service_call_that_breaks_is_not_repeated(self) -> None:
        # The service runs the change and the connection breaks before its
        # answer. Every retry with the key gets "unknown" too.
        self.system.set_faults('manifest-1', cut_answers=1)
        key = callers.make_key()
        for host in ('entry-1', 'entry-2', 'entry-1'):
            reply = self.post(host, 'manifest', {'van': 4}, key)
            self.assertEqual('unknown', reply.outcome)
        self.assertEqual(1, self.system.count_executions(key))


class TestMembership(systems.SystemTestCase):
    """Runners and daemons leave without loss of requests."""

    def test_leaving_runner_gets_nothing_new(self) -> None:
        self.system.set_host_state('planner-1', 'leaving')
        # The host list is polled twice a second, and scheduling decisions
        # are made four times a second.
        time.sleep(3.0)
        before = self.system.read_witness('planner-1')['accepted']
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 4}
        for number in range(12):
            host = f'entry-{number % 3 + 1}'
            reply = self.post(host, 'note', body, callers.make_key())
            self.assertEqual('planner-2', reply.headers['apricot-runner'])
        after = self.system.read_witness('planner-1')['accepted']
        self.assertEqual(before, after)

    def test_silent_runner_gets_nothing_new(self) -> None:
        # The runner is not listed as leaving; it no longer answers.
        for name, process in self.system.processes.items():
            if name.startswith('planner-1/'):
                process.pause()
        time.sleep(4.5)
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 4}
        for host in self.system.daemons:
            reply = self.post(host, 'note', body, callers.make_key())
            self.assertEqual('planner-2', reply.headers['apricot-runner'])

    def test_idempotent_requests_leave_a_frozen_runner(self) -> None:
        # An engine stops answering while it has requests without output. The
        # scheduler detects this, and the daemons retry the idempotent ones on
        # the other engine.
        for name, process in self.system.processes.items():
            if name.startswith('planner-1/'):
                process.pause()
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 4}
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            keys = [callers.make_key() for _ in range(6)]
            futures = [
                pool.submit(
                    self.post, f'entry-{number % 3 + 1}', 'note', body, key
                )
                for number, key in enumerate(keys)
            ]
            for key, future in zip(keys, futures, strict=True):
                reply = future.result()
                self.assertTrue(reply.is_complete_answer(key, 4))
                self.assertLess(reply.total_s, 30.0)

    def test_graceful_stop_completes_all_requests(self) -> None:
        # A daemon with running and waiting requests is stopped. All of them
        # are completed, and the daemon then exits with 0.
        process = self.system.find_process('entry-1')
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            posted = self.post_slow_requests(pool, 200.0)
            process.send(signal.SIGTERM)
            processes.wait_until(
                lambda: self.read_readyz_status('entry-1') == 503,
                'entry-1 is not ready',
            )
            # No request has ended before, however long it took to post all.
            self.slow_engines(10.0)
            for key, future in posted.items():
                reply = future.result()
                self.assertTrue(reply.is_complete_answer(key, 12), reply)
            self.assertEqual(0, process.wait())

    def test_second_signal_reports_true_outcomes(self) -> None:
        # Some requests run and others wait. Those that wait must end with
        # "not run", those that run with "unknown".
        process = self.system.find_process('entry-1')
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            posted = self.post_slow_requests(pool, 200.0)
            process.send(signal.SIGTERM)
            time.sleep(1.0)
            process.send(signal.SIGTERM)
            outcomes = set()
            for key, future in posted.items():
                reply = future.result()
                outcomes.add(reply.outcome)
                if reply.outcome == 'not-run':
                    self.assertEqual(0, self.count_accepted(key))
            self.assertEqual({'not-run', 'unknown'}, outcomes)
            self.assertEqual(0, process.wait())

    def test_owner_and_successor_die_together(self) -> None:
        # Two of three daemons are killed at once and restarted. The next
        # owner cannot tell killed daemons from partitioned ones and would
        # wait for the whole outage limit of a minute. The records of the
        # restarted daemons show that the old processes have ended.
        victims = ['entry-1', 'entry-2']
        for host in victims:
            process = self.system.find_process(host)
            process.kill()
        for host in victims:
            self.system.start_daemon(host)
        self.system.wait_ready()
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 5}
        # The outcome of keys from before the takeover stays unknown; requests
        # with new keys run.
        processes.wait_until(
            lambda: (
                self.post(
                    'entry-3', 'rebuild', body, callers.make_key()
                ).status
                == 200
            ),
            'at-most-once requests are served again',
        )

    def test_drain_through_another_daemon(self) -> None:
        reply = self.system.call_operator(
            'entry-1', 'POST', '/v1/drain?host=entry-2'
        )
        self.assertEqual(200, reply.status)
        process = self.system.find_process('entry-2')
        self.assertEqual(0, process.wait())

    def post_slow_requests(
        self, pool: concurrent.futures.Executor, straggle: float
    ) -> dict[str, concurrent.futures.Future[callers.Reply]]:
        """Post 24 requests to slow engines; return when all are open."""
        self.slow_engines(straggle)
        keys = [callers.make_key() for _ in range(24)]
        posted = {key: pool.submit(self.post_slow, key) for key in keys}
        self.wait_open(24)
        return posted

    def slow_engines(self, straggle: float) -> None:
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, straggle=straggle)

    def post_slow(self, key: str) -> callers.Reply:
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 12}
        return self.post('entry-1', 'rebuild', body, key)

    def wait_open(self, count: int) -> None:
        processes.wait_until(
            lambda: (
                self.system.read_status('entry-1').get('open_requests')
                == count
            ),
            f'{count} open requests',
        )
        time.sleep(0.5)

    def read_readyz_status(self, host: str) -> int:
        address = self.system.daemons[host].callers
        return callers.call_http(address, 'GET', '/readyz').status

    def count_accepted(self, key: str) -> int:
        return sum(
            self.system.read_witness(name)['accepted'].get(key, 0)
            for name in ('planner-1', 'planner-2')
        )


class TestExplain(systems.SystemTestCase):
    """Operators can query the outcome of a request."""

    def test_explain_reports_the_final_state(self) -> None:
        key = callers.make_key()
        self.post('entry-1', 'manifest', {'van': 1}, key)
        processes.wait_until(
            lambda: 'finished' in self.explain(key),
            'the claim owner reports the end',
        )
        self.assertIn('free', self.explain(callers.make_key()))

    def explain(self, key: str) -> str:
        reply = self.system.call_operator(
            'entry-3', 'GET', f'/v1/explain?organisation=festin&key={key}'
        )
        self.assertEqual(200, reply.status)
        return str(json.loads(reply.body)['state'])
