"""Tier matrix: every fault at every step of an overload.

The fault matrix follows one request; tiers concern many concurrent requests.
Here a burst of several times the engine's capacity is posted through all
daemons, and the fault is injected into the pool's *scheduler*, another *entry*
daemon, or a shared service. In every cell: no request was shed while one of a
lower tier was kept; no request with outcome "not run" was executed; no
at-most-once request was executed twice; and each caller whose daemon kept
running received the final outcome.
"""

import collections.abc
import concurrent.futures
import dataclasses
import itertools
import random
import signal
import time
import typing as ty

from apricotlanding import clocks
from apricotstandins import deployment
from apricotstandins import processes
import bursts

# Longer than a lease and than the heartbeat timeout.
FAULT_DURATION_S = 2.5
# Seconds after the start of the burst at which its first requests wait, at
# which requests are shed, and at which all have been posted.
FILLING_DELAY_S = 0.3
SHEDDING_DELAY_S = 1.0
POSTED_DELAY_S = bursts.REQUEST_COUNT * bursts.POST_INTERVAL_S + 0.2
# Between the first and the second fault of a cell.
SECOND_FAULT_DELAY_S = 0.4
POOL_SHARD = 'pool/planners'

CellAction = collections.abc.Callable[['Cell'], None]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault: how it is injected and healed."""

    # The daemon with the fault: scheduler, entry, or '' if it is shared.
    role: str
    inject: CellAction
    heal: CellAction


faults: dict[str, Fault] = {}
steps: dict[str, CellAction] = {}


def step(name: str) -> collections.abc.Callable[[CellAction], CellAction]:
    def register_step(action: CellAction) -> CellAction:
        steps[name] = action
        return action

    return register_step


@ty.final
class Cell:
    """One fault at one step."""

    def __init__(
        self, system: deployment.Deployment, name: str, rng: random.Random
    ) -> None:
        self.system = system
        self.fault = faults[name]
        self.scheduler, self.successor = self._find_scheduler()
        others = [host for host in system.daemons if host != self.scheduler]
        self.entry = rng.choice(others)
        # The host that is drained, if any.
        self.drained_host = ''
        # Two hosts that are partitioned from each other, if any.
        self.partitioned_pair: list[str] = []
        self.injected_at = 0.0
        self.started_at = 0.0

    @property
    def target(self) -> str:
        """The host with the fault; '' if the fault is shared."""
        found = {'scheduler': self.scheduler, 'entry': self.entry}
        return found.get(self.fault.role, '')

    def find_disconnected_host(self) -> str:
        """Return the host that was disconnected from the pool's scheduler.

        This is the host with the fault, or the one that is partitioned from
        the host which took over the pool; '' if all hosts were connected.
        """
        if not self.partitioned_pair:
            return self.target
        alive = [
            host
            for host in self.partitioned_pair
            if self.system.find_process(host).is_running()
        ]
        owners = [self._read_scheduler(host).get('owner') for host in alive]
        for host, other in itertools.permutations(self.partitioned_pair):
            if host in owners:
                return other
        return ''

    def run(self, name: str) -> list[bursts.PostedRequest]:
        """Post a burst, run the step, heal the fault; return all requests."""
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            self.started_at = clocks.read_monotonic()
            hosts = sorted(self.system.daemons)
            future = pool.submit(bursts.post_burst, self.system, hosts)
            try:
                steps[name](self)
                time.sleep(FAULT_DURATION_S)
            finally:
                self.fault.heal(self)
            return future.result()

    def wait_until(self, seconds: float) -> None:
        """Sleep until this many seconds after the start of the burst."""
        elapsed = clocks.read_monotonic() - self.started_at
        time.sleep(max(seconds - elapsed, 0.0))

    def inject(self) -> None:
        self.injected_at = clocks.read_monotonic()
        self.fault.inject(self)

    def restart_stopped_daemons(self) -> None:
        if self.drained_host:
            self.system.find_process(self.drained_host).wait()
        for host in self.system.daemons:
            if not self.system.find_process(host).is_running():
                self.system.start_daemon(host)
        self.system.wait_ready()

    def _find_scheduler(self) -> tuple[str, str]:
        found: list[dict[str, ty.Any]] = []

        def is_found() -> bool:
            found[:] = [self._read_scheduler(next(iter(self.system.daemons)))]
            return bool(found[0].get('serving') and found[0]['successor'])

        processes.wait_until(is_found, 'a scheduler with a successor')
        return str(found[0]['owner']), str(found[0]['successor'])

    def _read_scheduler(self, host: str) -> dict[str, ty.Any]:
        # In that host's view.
        shards = self.system.read_status(host).get('shards', {})
        found: dict[str, ty.Any] = shards.get(POOL_SHARD, {})
        return found


# Steps.


@step('before')
def inject_before(cell: Cell) -> None:
    cell.inject()


@step('filling')
def inject_filling(cell: Cell) -> None:
    cell.wait_until(FILLING_DELAY_S)
    cell.inject()


@step('shedding')
def inject_shedding(cell: Cell) -> None:
    cell.wait_until(SHEDDING_DELAY_S)
    cell.inject()


@step('posted')
def inject_posted(cell: Cell) -> None:
    cell.wait_until(POSTED_DELAY_S)
    cell.inject()


@step('takeover')
def inject_in_takeover(cell: Cell) -> None:
    # The fault is injected into the successor.
    cell.wait_until(SHEDDING_DELAY_S - SECOND_FAULT_DELAY_S)
    cell.system.find_process(cell.scheduler).kill()
    cell.scheduler = cell.successor
    time.sleep(SECOND_FAULT_DELAY_S)
    cell.inject()


@step('drain')
def inject_in_drain(cell: Cell) -> None:
    cell.wait_until(SHEDDING_DELAY_S - SECOND_FAULT_DELAY_S)
    cell.drained_host = cell.scheduler
    cell.system.find_process(cell.scheduler).send(signal.SIGTERM)
    time.sleep(SECOND_FAULT_DELAY_S)
    cell.inject()


@step('roll-out')
def inject_in_roll_out(cell: Cell) -> None:
    cell.wait_until(SHEDDING_DELAY_S)
    host = cell.successor
    version = cell.system.read_status(host).get('bundle', 0)
    value = cell.system.make_bundle(version + 1, version)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(cell.system.submit, value, host)
        cell.inject()


# Faults.


def _kill(cell: Cell) -> None:
    cell.system.find_process(cell.target).kill()


def _pause(cell: Cell) -> None:
    cell.system.find_process(cell.target).pause()


def _cut(cell: Cell) -> None:
    cell.system.cut_host(cell.target, True)


def _cut_one_way(cell: Cell) -> None:
    cell.system.cut_host(cell.target, True, is_one_way=True)


def _cut_log(cell: Cell) -> None:
    cell.system.cut_log(cell.target, True)


def _cut_pair(cell: Cell) -> None:
    # Partitions only the two hosts without the scheduler from each other:
    # claims of one at the other wait, while both register requests in the
    # scheduler's queue.
    cell.partitioned_pair = [
        host for host in cell.system.daemons if host != cell.scheduler
    ]
    cell.system.set_link_faults(
        **{
            f'{source}>{target}': {'cut_forward': True, 'cut_back': True}
            for source, target in itertools.permutations(cell.partitioned_pair)
        }
    )


def _stop_log(cell: Cell) -> None:
    cell.system.set_faults('log', is_out=True)


def _slow_log(cell: Cell) -> None:
    cell.system.set_faults('log', delay_s=0.4)


def _lose_replies(cell: Cell) -> None:
    cell.system.set_faults('log', lost_replies=3)


def _delay_lists(cell: Cell) -> None:
    cell.system.set_host_lag(2 * FAULT_DURATION_S)


def _resume(cell: Cell) -> None:
    if cell.system.find_process(cell.target).is_running():
        cell.system.find_process(cell.target).resume()


def _heal_links(cell: Cell) -> None:
    cell.system.cut_host(cell.target, False)
    cell.system.cut_log(cell.target, False)


def _heal_all_links(cell: Cell) -> None:
    for host in cell.system.daemons:
        cell.system.cut_host(host, False)


def _heal_log(cell: Cell) -> None:
    cell.system.set_faults('log', is_out=False, delay_s=0.0, lost_replies=0)


def _heal_lists(cell: Cell) -> None:
    cell.system.set_host_lag(0.0)


def _do_nothing(cell: Cell) -> None:
    pass


for _role in ('scheduler', 'entry'):
    faults |= {
        f'kill-{_role}': Fault(_role, _kill, _do_nothing),
        f'freeze-{_role}': Fault(_role, _pause, _resume),
        f'cut-{_role}': Fault(_role, _cut, _heal_links),
        f'cut-{_role}-one-way': Fault(_role, _cut_one_way, _heal_links),
        f'cut-{_role}-log': Fault(_role, _cut_log, _heal_links),
    }
faults |= {
    'cut-pair': Fault('', _cut_pair, _heal_all_links),
    'log-out': Fault('', _stop_log, _heal_log),
    'log-slow': Fault('', _slow_log, _heal_log),
    'log-replies-lost': Fault('', _lose_replies, _heal_log),
    'hosts-stale': Fault('', _delay_lists, _heal_lists),
}


def check_cell(cell: Cell, posted: list[bursts.PostedRequest]) -> list[str]:
    """Return the failures of a cell."""
    failures = bursts.find_inversions(
        cell.system, posted, cell.find_disconnected_host(), cell.injected_at
    )
    executions = cell.system.read_witness('planner-1')['executions']
    for item in posted:
        count = executions.get(item.key, 0)
        if item.reply.outcome == 'not-run' and count > 0:
            failures.append(f'not-run ({item.reply.code}) after {count} runs')
        if item.route in ('rebuild', 'report') and count > 1:
            failures.append(f'{item.route} ran {count} times')
        was_running = cell.system.find_process(item.host).is_running()
        if item.reply.outcome == 'cut' and was_running:
            failures.append(f'no last word at {item.host}: {item.reply.error}')
    return failures


def run_cell(
    system: deployment.Deployment, fault_name: str, step_name: str, seed: int
) -> list[str]:
    """Run one cell; return its failures."""
    rng = random.Random(f'{seed}{step_name}')  # noqa: S311
    cell = Cell(system, fault_name, rng)
    try:
        posted = cell.run(step_name)
        failures = check_cell(cell, posted)
        cell.restart_stopped_daemons()
    except AssertionError as error:
        return [f'{error} (seed {seed})']
    shed = sum(item.reply.code == bursts.SHED_CODE for item in posted)
    good = sum(item.reply.outcome == 'complete' for item in posted)
    note = f'seed {seed}, {good} complete and {shed} shed of {len(posted)}'
    return [f'{text} ({note})' for text in failures]


def run_row(
    system: deployment.Deployment, fault_name: str, seed: int
) -> dict[str, list[str]]:
    """Run a fault at every step; return the failures by step."""
    return {name: run_cell(system, fault_name, name, seed) for name in steps}
