"""What must always hold, beyond what the fault matrix shows."""

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
    """One small engine, and ten times what it can take."""

    runners = bursts.RUNNERS

    def configure(self) -> None:
        self.system.pool_settings = dict(bursts.POOL_SETTINGS)

    def test_lowest_tier_is_shed_first(self) -> None:
        posted = self.post_burst()
        shed = [item for item in posted if item.reply.code == bursts.SHED_CODE]
        self.assertNotEqual([], shed)
        self.assertEqual([], self.find_inversions(posted))
        # What is shed hears so at once and is told when to come back.
        for item in shed:
            self.assertIn('retry-after', item.reply.headers)
            self.assertEqual('not-run', item.reply.outcome)
            self.assertEqual(0, self.system.count_executions(item.key))

    def test_order_holds_when_the_scheduler_dies(self) -> None:
        # The scheduler's host dies in the middle of the burst. The callers
        # on the other hosts wait; the next scheduler learns of them from
        # their daemons and must not shed before it has heard of all.
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
        # The same burst under the policy without tiers: if this found
        # nothing, the tests above could not fail.
        self.system.pool_settings |= {'policy': 'first-come'}
        self.system.submit(self.system.make_bundle(2, 1))
        self.assertNotEqual([], self.find_inversions(self.post_burst()))

    def post_burst(self, avoid: str = '') -> list[bursts.PostedRequest]:
        hosts = [host for host in self.system.daemons if host != avoid]
        return bursts.post_burst(self.system, hosts)

    def find_inversions(self, posted: list[bursts.PostedRequest]) -> list[str]:
        return bursts.find_inversions(self.system, posted)


class TestAnswers(systems.SystemTestCase):
    """Every caller gets its own whole answer, or the truth."""

    body: ty.Final = {'prompt': systems.make_prompt(40), 'max_tokens': 12}

    def test_stream_that_breaks_is_resumed(self) -> None:
        # The connection to the engine breaks after three tokens. The
        # engine goes on, the daemon asks it for the rest: one execution,
        # one whole answer.
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, cut_streams=1, cut_after=3)
        key = callers.make_key()
        reply = self.post('entry-1', 'rebuild', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)
        self.assertEqual(1, self.system.count_executions(key))

    def test_another_requests_answer_is_never_passed_on(self) -> None:
        # The engine answers under another request's name, as when two
        # connections are crossed. An at-most-once caller hears "unknown".
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, wrong_names=1)
        key = callers.make_key()
        reply = self.post('entry-1', 'rebuild', self.body, key)
        self.assertEqual('unknown', reply.outcome)
        self.assertEqual(0, reply.count_tokens())

    def test_idempotent_request_goes_to_another_runner(self) -> None:
        # One engine sends lines that are not JSON; nothing has gone to the
        # caller yet, so the other engine may do it again.
        self.system.set_faults('planner-1', malformed=1)
        self.system.set_faults('planner-2', malformed=0)
        key = callers.make_key()
        reply = self.post('entry-2', 'note', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)

    def test_stop_after_a_failed_call_is_not_called_not_run(self) -> None:
        # An idempotent request was computed by one engine, whose answer
        # cannot be read, and waits again, for both engines refuse it. The
        # daemon is stopped: it has run, whatever its state is now.
        self.system.set_faults('planner-1', malformed=1)
        self.system.set_faults('planner-2', is_refusing=True)
        key = callers.make_key()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.post, 'entry-1', 'note', self.body, key)
            processes.wait_until(
                lambda: self.system.count_executions(key) > 0, 'it has run'
            )
            self.system.set_faults('planner-1', is_refusing=True)
            process = self.system.find_process('entry-1')
            process.send(signal.SIGTERM)
            time.sleep(0.5)
            process.send(signal.SIGTERM)
            self.assertEqual('unknown', future.result().outcome)

    def test_deadline_of_a_request_that_waits_is_not_run(self) -> None:
        # Nobody takes it. Its caller hears the task that carries it, which
        # knows that it was not run, and not a timer that does not.
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

    def test_runner_that_refuses_costs_nothing(self) -> None:
        # "Not taken" is the runner's own word: another one may run it,
        # even at-most-once work.
        self.system.set_faults('planner-1', is_refusing=True)
        key = callers.make_key()
        reply = self.post('entry-3', 'rebuild', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)
        self.assertEqual('planner-2', reply.headers['apricot-runner'])

    def test_late_answer_goes_to_the_caller_that_comes_back(self) -> None:
        # The caller gives up waiting; the answer is finished after that and
        # kept, and its next call through another daemon gets it whole.
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, straggle=20.0)
        key = callers.make_key()
        self.post('entry-1', 'rebuild', self.body, key, timeout=0.4)
        reply = self.post('entry-2', 'rebuild', self.body, key)
        self.assertTrue(reply.is_complete_answer(key, 12), reply)
        self.assertEqual(1, self.system.count_executions(key))

    def test_service_call_that_breaks_is_not_repeated(self) -> None:
        # The service runs the change and the connection breaks before its
        # answer. Whoever asks again under the key hears "unknown" too.
        self.system.set_faults('manifest-1', cut_answers=1)
        key = callers.make_key()
        for host in ('entry-1', 'entry-2', 'entry-1'):
            reply = self.post(host, 'manifest', {'van': 4}, key)
            self.assertEqual('unknown', reply.outcome)
        self.assertEqual(1, self.system.count_executions(key))


class TestMembership(systems.SystemTestCase):
    """Runners and daemons leave without costing work."""

    def test_leaving_runner_gets_nothing_new(self) -> None:
        self.system.set_host_state('planner-1', 'leaving')
        # The lists are read twice a second and decided on four times.
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
        # It is not on any list as leaving; it just no longer answers.
        for name, process in self.system.processes.items():
            if name.startswith('planner-1/'):
                process.pause()
        time.sleep(4.5)
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 4}
        for host in self.system.daemons:
            reply = self.post(host, 'note', body, callers.make_key())
            self.assertEqual('planner-2', reply.headers['apricot-runner'])

    def test_idempotent_work_leaves_a_runner_that_freezes(self) -> None:
        # An engine stops answering with requests on it that have shown
        # nothing yet. The scheduler notices its silence, and the daemons
        # send those that may run twice to the other engine.
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

    def test_planned_stop_cuts_nothing(self) -> None:
        # Requests run and wait at a daemon when it is asked to stop. All
        # end whole, and the daemon then exits with 0.
        process = self.system.find_process('entry-1')
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            posted = self.post_all_slow(pool, 10.0)
            process.send(signal.SIGTERM)
            processes.wait_until(
                lambda: self.read_ready('entry-1') == 503, 'not ready'
            )
            for key, future in posted.items():
                self.assertTrue(future.result().is_complete_answer(key, 12))
            self.assertEqual(0, process.wait())

    def test_second_signal_ends_with_the_truth(self) -> None:
        # Some requests run, others still wait. Those that wait hear that
        # they were not run, those that run that the outcome is unknown.
        process = self.system.find_process('entry-1')
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            posted = self.post_all_slow(pool, 200.0)
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
        # Two of three daemons die at once and are restarted. The next
        # owner cannot tell a dead pair from one behind a cut, and would wait
        # the whole outage limit of a minute; the restarted daemons' records
        # tell it that the old processes have ended.
        victims = ['entry-1', 'entry-2']
        for host in victims:
            process = self.system.find_process(host)
            process.kill()
        for host in victims:
            self.system.start_daemon(host)
        self.system.wait_ready()
        body = {'prompt': systems.make_prompt(20), 'max_tokens': 5}
        # Keys from before the takeover stay unknown; new ones run.
        processes.wait_until(
            lambda: (
                self.post(
                    'entry-3', 'rebuild', body, callers.make_key()
                ).status
                == 200
            ),
            'at-most-once work is served again',
        )

    def test_drain_from_afar(self) -> None:
        reply = self.system.call_operator(
            'entry-1', 'POST', '/v1/drain?host=entry-2'
        )
        self.assertEqual(200, reply.status)
        process = self.system.find_process('entry-2')
        self.assertEqual(0, process.wait())

    def post_all_slow(
        self, pool: concurrent.futures.Executor, straggle: float
    ) -> dict[str, concurrent.futures.Future[callers.Reply]]:
        """Post 24 requests to slow engines; return when all are open."""
        for name in ('planner-1', 'planner-2'):
            self.system.set_faults(name, straggle=straggle)
        keys = [callers.make_key() for _ in range(24)]
        posted = {key: pool.submit(self.post_slow, key) for key in keys}
        self.wait_open(24)
        return posted

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

    def read_ready(self, host: str) -> int:
        address = self.system.daemons[host].callers
        return callers.call_http(address, 'GET', '/readyz').status

    def count_accepted(self, key: str) -> int:
        return sum(
            self.system.read_witness(name)['accepted'].get(key, 0)
            for name in ('planner-1', 'planner-2')
        )


class TestExplain(systems.SystemTestCase):
    """Operators can ask what became of a request."""

    def test_explain_knows_the_end(self) -> None:
        key = callers.make_key()
        self.post('entry-1', 'manifest', {'van': 1}, key)
        processes.wait_until(
            lambda: 'finished' in self.explain(key), 'the owner knows'
        )
        self.assertIn('free', self.explain(callers.make_key()))

    def explain(self, key: str) -> str:
        reply = self.system.call_operator(
            'entry-3', 'GET', f'/v1/explain?organisation=festin&key={key}'
        )
        self.assertEqual(200, reply.status)
        return str(json.loads(reply.body)['state'])
