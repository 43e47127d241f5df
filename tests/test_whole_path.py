"""Requests pass from the caller through the whole system and back."""

import json

from apricotstandins import callers
import systems


class TestWholePath(systems.SystemTestCase):
    """Three daemons, two different engines, one plain service."""

    def test_engine_answer_is_whole_through_each_daemon(self) -> None:
        for host in self.system.daemons:
            for route in ('rebuild', 'note'):
                key = callers.make_key()
                body = {'prompt': systems.make_prompt(50), 'max_tokens': 9}
                reply = self.post(host, route, body, key)
                self.assertTrue(reply.is_complete_answer(key, 9), reply)
                self.assertEqual(1, self.system.count_executions(key))

    def test_service_answer_is_its_callers_own(self) -> None:
        key = callers.make_key()
        reply = self.post('entry-2', 'manifest', {'van': 3}, key)
        self.assertEqual(200, reply.status)
        self.assertEqual(key, json.loads(reply.body)['key'])
        self.assertEqual(1, self.system.count_executions(key))

    def test_same_key_through_another_daemon_attaches(self) -> None:
        key = callers.make_key()
        body = {'prompt': systems.make_prompt(50), 'max_tokens': 9}
        first = self.post('entry-1', 'rebuild', body, key)
        again = self.post('entry-3', 'rebuild', body, key)
        self.assertEqual(first.body, again.body)
        self.assertEqual(1, self.system.count_executions(key))

    def test_graceful_stop_exits_with_zero(self) -> None:
        for host in self.system.daemons:
            process = self.system.find_process(host)
            self.assertEqual(0, process.terminate())
