"""Prompts that crash engines, and the daemons between them and callers."""

import typing as ty

from apricotlanding import quarantine
from apricotstandins import callers
from apricotstandins import deployment
from apricotstandins import engine
from apricotstandins import processes
import systems

POISON: ty.Final = {'prompt': engine.CRASH_WORD, 'max_tokens': 5}
HARMLESS: ty.Final = {'prompt': systems.make_prompt(20), 'max_tokens': 5}
ATTEMPTS = 8


class TestCrashingPrompts(systems.SystemTestCase):
    """Three daemons and three engines, which are started again."""

    runners: ty.ClassVar = [
        deployment.RunnerPlan(f'planner-{number}', 'planners')
        for number in range(1, 4)
    ]

    def restart_crashed(self) -> int:
        """Start the engines that have crashed; return their number."""
        running = {
            process.name
            for process in self.system.processes.values()
            if process.is_running()
        }
        crashed = [
            plan for plan in self.system.runners if plan.name not in running
        ]
        for plan in crashed:
            self.system.start_runner(plan)
            self.system.wait_for_http(
                self.system.runner_addresses[plan.name], '/standin/witness'
            )
        return len(crashed)

    def test_prompt_that_crashes_engines_is_not_sent_on(self) -> None:
        """Guards against a prompt that ends one engine after another."""
        hosts = list(self.system.daemons)
        crashes = 0
        replies: list[callers.Reply] = []
        for number in range(ATTEMPTS):
            host = hosts[number % len(hosts)]
            replies.append(
                self.post(host, 'rebuild', POISON, callers.make_key())
            )
            crashes += self.restart_crashed()
        self.assertEqual(quarantine.CRASH_LIMIT, crashes)
        for reply in replies[-3:]:
            self.assertEqual(503, reply.status)
            self.assertEqual('not-run', reply.outcome)

        def is_served() -> bool:
            key = callers.make_key()
            reply = self.post(hosts[0], 'rebuild', HARMLESS, key)
            return reply.is_complete_answer(key, 5)

        processes.wait_until(is_served, 'a harmless prompt is served')
