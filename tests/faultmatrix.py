"""Fault matrix: every fault at every step of a request.

A *row* is one fault. Its cells run one after the other on one system of real
processes, which has to recover in between. In each cell a caller posts one
at-most-once request and behaves as callers should: it retries with the same
key through another daemon until it receives the final outcome. The fault is
injected at the cell's step and healed a little later.

``EXPECTED_OUTCOMES`` lists the final outcomes that are correct. In addition,
in every cell: the key was executed at most once; no caller was told "not run"
about a key that had been executed; a complete answer was complete and
belonged to its request; the final outcome arrived before the deadline; and no
daemon's bundle version decreased.
"""

import collections.abc
import dataclasses
import random
import signal
import threading
import time
import typing as ty

from apricotlanding import ids
from apricotlandingd.requests import admission
from apricotstandins import callers
from apricotstandins import deployment
from apricotstandins import processes
import systems

OUTPUT_TOKENS = 30
# The caller must have the final outcome within this time.
DEADLINE_S = 25.0
# Longer than a lease.
FAULT_DURATION_S = 2.5
# How long a caller retries after "unknown" with a retry-after header.
UNKNOWN_RETRY_WINDOW_S = 12.0
# Longer than the time after a takeover in which new keys may be unknown.
SETTLE_DELAY_S = 1.0
# Makes a decode step last about a tenth of a second.
SLOW_FACTOR = 20.0
# Duration of a call to a slow service; it ends before the fault is healed.
SLOW_CALL_S = 2.0

COMPLETE = frozenset({'complete'})
UNKNOWN = frozenset({'unknown'})
COMPLETE_OR_UNKNOWN = COMPLETE | UNKNOWN

CellAction = collections.abc.Callable[['Cell'], None]


@dataclasses.dataclass(frozen=True)
class Fault:
    inject: CellAction
    heal: CellAction


faults: dict[str, Fault] = {}
steps: dict[str, CellAction] = {}


def fault(
    name: str, heal: CellAction | None = None
) -> collections.abc.Callable[[CellAction], CellAction]:
    def register_fault(inject: CellAction) -> CellAction:
        faults[name] = Fault(inject, heal or (lambda cell: None))
        return inject

    return register_fault


def step(name: str) -> collections.abc.Callable[[CellAction], CellAction]:
    def register_step(action: CellAction) -> CellAction:
        steps[name] = action
        return action

    return register_step


@dataclasses.dataclass(frozen=True)
class Workload:
    """A kind of at-most-once request, and the faults of its back ends."""

    route: str
    kind: str
    body: dict[str, ty.Any]
    # Faults of a back end that is slow, of one that accepts requests but does
    # not process them, and of one without faults.
    slow_faults: dict[str, ty.Any]
    frozen_faults: dict[str, ty.Any]
    no_faults: dict[str, ty.Any]
    # Faults of a straggler and of one that closes the connection.
    straggler_faults: dict[str, ty.Any]
    cut_faults: dict[str, ty.Any]

    def list_plans(
        self, system: deployment.Deployment
    ) -> list[deployment.RunnerPlan]:
        return [plan for plan in system.runners if plan.kind == self.kind]

    def is_complete_answer(self, reply: callers.Reply, key: str) -> bool:
        if self.kind == 'engine':
            return reply.is_complete_answer(key, OUTPUT_TOKENS)
        lines = reply.read_lines()
        return reply.outcome == 'complete' and lines[0].get('key') == key


MODEL_WORKLOAD: ty.Final = Workload(
    route='rebuild',
    kind='engine',
    body={'prompt': systems.make_prompt(64), 'max_tokens': OUTPUT_TOKENS},
    slow_faults={'straggle': SLOW_FACTOR},
    frozen_faults={'is_frozen': True},
    no_faults={'straggle': 1.0, 'is_frozen': False},
    straggler_faults={'straggle': 2 * SLOW_FACTOR},
    cut_faults={'cut_streams': 1, 'cut_after': 3},
)
SERVICE_WORKLOAD: ty.Final = Workload(
    route='manifest',
    kind='service',
    body={'site': 7, 'crates': 12},
    slow_faults={'delay_s': SLOW_CALL_S},
    frozen_faults={'is_frozen': True},
    no_faults={'delay_s': 0.0, 'is_frozen': False, 'cut_answers': 0},
    straggler_faults={'delay_s': 2 * SLOW_CALL_S},
    cut_faults={'cut_answers': 1},
)


class Caller(threading.Thread):
    """Posts one request until it receives the final outcome."""

    def __init__(
        self, system: deployment.Deployment, workload: Workload, key: str
    ) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.workload = workload
        self.key = key
        self.hosts: list[str] = []
        self.replies: list[callers.Reply] = []
        # Replies that contradict the back ends' execution counts.
        self.contradictions: list[str] = []
        self.total_s = 0.0

    def run(self) -> None:
        started = time.monotonic()
        first: float | None = None
        turn = 0
        while time.monotonic() < started + DEADLINE_S:
            host = self.hosts[turn % len(self.hosts)]
            turn += 1
            reply = self.post(host, started + DEADLINE_S - time.monotonic())
            self.replies.append(reply)
            if reply.outcome in COMPLETE_OR_UNKNOWN:
                if 'retry-after' not in reply.headers:
                    break
                # The request's holder may return, or a new owner may take
                # over; after a while the caller accepts "unknown".
                first = first or time.monotonic()
                if time.monotonic() > first + UNKNOWN_RETRY_WINDOW_S:
                    break
            if reply.outcome == 'not-run':
                self._check_not_run(reply)
            time.sleep(0.3)
        self.total_s = time.monotonic() - started

    def post(self, host: str, seconds: float) -> callers.Reply:
        return callers.post_request(
            self.system.daemons[host].callers,
            self.workload.route,
            systems.FESTIN,
            self.workload.body,
            self.key,
            deadline_ms=max(int(seconds * 1000), 1),
            timeout=seconds + 1.0,
        )

    def find_last_reply(self) -> callers.Reply:
        # A reply that was cut off has no outcome.
        for reply in reversed(self.replies):
            if reply.outcome != 'cut':
                return reply
        return self.replies[-1]

    def list_outcomes(self) -> list[str]:
        return [
            f'{reply.outcome}/{reply.code or reply.error[:60]}'
            for reply in self.replies
        ]

    def _check_not_run(self, reply: callers.Reply) -> None:
        count = count_executions(self.system, self.key)
        if count > 0:
            self.contradictions.append(
                f'not-run ({reply.code}) after {count} runs'
            )


class Cell:
    """One fault at one step."""

    def __init__(
        self,
        system: deployment.Deployment,
        workload: Workload,
        name: str,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.workload = workload
        self.fault = faults[name]
        self.rng = rng
        self.hosts = list(system.daemons)
        self.entry = rng.choice(self.hosts)
        time.sleep(SETTLE_DELAY_S)
        self.key, self.owner = self._choose_key()
        self.caller = Caller(system, workload, self.key)
        others = [host for host in self.hosts if host != self.entry]
        rng.shuffle(others)
        self.others = others
        self.caller.hosts = [self.entry, *others]
        self.is_injected = False

    def inject(self) -> None:
        self.fault.inject(self)
        self.is_injected = True

    def run(self, name: str) -> None:
        """Run the step, heal the fault later, and wait for the caller."""
        try:
            steps[name](self)
            time.sleep(FAULT_DURATION_S)
        finally:
            self.fault.heal(self)
            self.clear_faults()
        self.caller.join(2 * DEADLINE_S)
        if self.caller.is_alive():
            raise AssertionError('the caller has no last word')
        if name == 'drain':
            self.system.find_process(self.entry).wait()
        self.restart_stopped_daemons()
        self.system.wait_ready()

    def clear_faults(self) -> None:
        for plan in self.workload.list_plans(self.system):
            self.system.set_faults(plan.name, **self.workload.no_faults)

    def restart_stopped_daemons(self) -> None:
        for host, entry_host in self.system.daemons.items():
            if not self.system.find_process(host).is_running():
                self.system.start_daemon(host)
                self.system.wait_for_http(entry_host.callers, '/healthz')

    def slow_runners(self) -> None:
        for plan in self.workload.list_plans(self.system):
            self.system.set_faults(plan.name, **self.workload.slow_faults)

    def freeze_runners(self) -> None:
        for plan in self.workload.list_plans(self.system):
            self.system.set_faults(plan.name, **self.workload.frozen_faults)

    def unfreeze_runners(self) -> None:
        for plan in self.workload.list_plans(self.system):
            address = self.system.runner_addresses[plan.name]
            probe = callers.call_http(address, 'GET', '/standin/witness')
            # One that the fault has killed restarts without faults.
            if probe.status == 200:
                self.system.set_faults(plan.name, is_frozen=False)

    def block_grants(self, is_blocked: bool) -> None:
        state = 'leaving' if is_blocked else 'live'
        for plan in self.workload.list_plans(self.system):
            self.system.set_host_state(plan.name, state)

    def wait_started(self) -> None:
        processes.wait_until(
            lambda: count_executions(self.system, self.key) > 0,
            'the request runs',
        )
        time.sleep(0.3)

    def wait_open(self) -> None:
        processes.wait_until(
            lambda: (
                self.system.read_status(self.entry).get('open_requests') == 1
            ),
            'the request is open',
        )
        time.sleep(0.2)

    def _choose_key(self) -> tuple[str, str]:
        # A key whose claim owner is not the entry daemon.
        shards = self.system.ownership['claim_shards']
        while True:
            key = callers.make_key()
            shard = admission.find_shard(
                ids.Organisation('festin'), ids.Key(key), shards
            )
            owner = self.system.find_owner(str(shard), self.entry)
            if owner not in ('', self.entry):
                return key, owner
            if all(
                self.system.find_owner(f'claims/{number}', self.entry)
                == self.entry
                for number in range(shards)
            ):
                # The entry daemon owns all claim shards: use another one.
                self.entry = next(
                    host for host in self.hosts if host != self.entry
                )


def count_executions(system: deployment.Deployment, key: str) -> int:
    """Return the executions of a key; unreachable back ends count as 0.

    Engines increment the count before they process the key.
    """
    total = 0
    for plan in system.runners:
        address = system.runner_addresses[plan.name]
        reply = callers.call_http(
            address, 'GET', '/standin/witness', timeout=5.0
        )
        if reply.status == 200:
            found = reply.read_lines()[0]['executions']
            total += found.get(key, 0)
    return total


# Steps.


@step('before-claim')
def inject_before_claim(cell: Cell) -> None:
    cell.inject()
    cell.caller.start()


@step('before-grant')
def inject_before_grant(cell: Cell) -> None:
    cell.block_grants(True)
    time.sleep(1.2)
    cell.caller.start()
    cell.wait_open()
    cell.inject()
    cell.block_grants(False)


@step('before-first-byte')
def inject_before_first_byte(cell: Cell) -> None:
    cell.freeze_runners()
    cell.caller.start()
    processes.wait_until(lambda: _is_accepted(cell), 'the engine has it')
    cell.inject()
    cell.unfreeze_runners()


@step('mid-stream')
def inject_mid_stream(cell: Cell) -> None:
    cell.slow_runners()
    cell.caller.start()
    cell.wait_started()
    cell.inject()


@step('after-end')
def inject_after_end(cell: Cell) -> None:
    # The caller disconnects while it waits and retries at another daemon.
    address = cell.system.daemons[cell.entry].callers
    cell.freeze_runners()
    callers.post_request(
        address,
        cell.workload.route,
        systems.FESTIN,
        cell.workload.body,
        cell.key,
        deadline_ms=int(DEADLINE_S * 1000),
        timeout=0.5,
    )
    cell.unfreeze_runners()
    cell.wait_started()
    processes.wait_until(
        lambda: cell.system.read_status(cell.entry).get('open_requests') == 0,
        'the request has ended',
    )
    cell.inject()
    cell.caller.hosts = cell.others
    cell.caller.start()


@step('takeover')
def inject_in_takeover(cell: Cell) -> None:
    cell.system.find_process(cell.owner).kill()
    cell.caller.start()
    time.sleep(0.5)
    cell.inject()


@step('drain')
def inject_in_drain(cell: Cell) -> None:
    cell.slow_runners()
    cell.caller.start()
    cell.wait_started()
    cell.system.find_process(cell.entry).send(signal.SIGTERM)
    time.sleep(0.2)
    cell.inject()


@step('roll-out')
def inject_in_roll_out(cell: Cell) -> None:
    cell.slow_runners()
    cell.caller.start()
    cell.wait_started()
    submitter = threading.Thread(target=_submit_next, args=[cell])
    submitter.start()
    cell.inject()
    submitter.join()


def _is_accepted(cell: Cell) -> bool:
    return any(
        _has_accepted(cell, plan)
        for plan in cell.workload.list_plans(cell.system)
    )


def _has_accepted(cell: Cell, plan: deployment.RunnerPlan) -> bool:
    # A service executes a call as soon as it receives it.
    witness = cell.system.read_witness(plan.name)
    found = witness.get('accepted', witness['executions'])
    return cell.key in found


def _submit_next(cell: Cell) -> None:
    host = next(name for name in cell.others if name != cell.owner)
    version = cell.system.read_status(host).get('bundle', 0)
    cell.system.submit(
        cell.system.make_bundle(version + 1, version), host=host
    )


# Faults.


def resume_all(cell: Cell) -> None:
    for entry_host in cell.system.daemons.values():
        if entry_host.process is not None:
            entry_host.process.resume()


def heal_links(cell: Cell) -> None:
    for host in cell.hosts:
        cell.system.cut_host(host, False)
        cell.system.cut_log(host, False)


def heal_log(cell: Cell) -> None:
    cell.system.set_faults(
        'log', is_out=False, delay_s=0.0, lost_replies=0, late_appends=0
    )


def restart_runners(cell: Cell) -> None:
    for plan in cell.system.runners:
        address = cell.system.runner_addresses[plan.name]
        if callers.call_http(address, 'GET', '/standin/witness').status == 0:
            cell.system.start_runner(plan)
            cell.system.wait_for_http(address, '/standin/witness')


@fault('kill-entry')
def kill_entry(cell: Cell) -> None:
    cell.system.find_process(cell.entry).kill()


@fault('kill-owner')
def kill_owner(cell: Cell) -> None:
    cell.system.find_process(cell.owner).kill()


@fault('kill-entry-and-owner')
def kill_entry_and_owner(cell: Cell) -> None:
    # No daemon that knew of the grant is left.
    cell.system.find_process(cell.entry).kill()
    cell.system.find_process(cell.owner).kill()


@fault('freeze-entry', resume_all)
def freeze_entry(cell: Cell) -> None:
    cell.system.find_process(cell.entry).pause()


@fault('freeze-owner', resume_all)
def freeze_owner(cell: Cell) -> None:
    cell.system.find_process(cell.owner).pause()


@fault('cut-entry', heal_links)
def cut_entry(cell: Cell) -> None:
    cell.system.cut_host(cell.entry, True)


@fault('cut-entry-one-way', heal_links)
def cut_entry_one_way(cell: Cell) -> None:
    cell.system.cut_host(cell.entry, True, is_one_way=True)


@fault('cut-owner', heal_links)
def cut_owner(cell: Cell) -> None:
    cell.system.cut_host(cell.owner, True)


@fault('cut-owner-log', heal_links)
def cut_owner_log(cell: Cell) -> None:
    cell.system.cut_log(cell.owner, True)


@fault('slow-links', heal_links)
def slow_links(cell: Cell) -> None:
    cell.system.set_link_faults(
        **{
            name: {'delay_s': 0.1}
            for name in cell.system.relays
            if cell.entry in name
        }
    )


@fault('log-out', heal_log)
def stop_log(cell: Cell) -> None:
    cell.system.set_faults('log', is_out=True)


@fault('log-out-kill-owner', heal_log)
def stop_log_and_kill_owner(cell: Cell) -> None:
    # No daemon can take over until the log is available.
    cell.system.set_faults('log', is_out=True)
    cell.system.find_process(cell.owner).kill()


@fault('log-slow', heal_log)
def slow_log(cell: Cell) -> None:
    cell.system.set_faults('log', delay_s=0.4)


@fault('log-replies-lost', heal_log)
def lose_replies(cell: Cell) -> None:
    cell.system.set_faults('log', lost_replies=3)


@fault('log-late', heal_log)
def delay_appends(cell: Cell) -> None:
    cell.system.set_faults('log', late_appends=2, late_s=1.0)


def heal_lists(cell: Cell) -> None:
    cell.system.set_host_lag(0.0)


@fault('hosts-stale', heal_lists)
def delay_lists(cell: Cell) -> None:
    cell.system.set_host_lag(2 * FAULT_DURATION_S)


@fault('straggler')
def slow_down_engine(cell: Cell) -> None:
    plan = cell.workload.list_plans(cell.system)[0]
    cell.system.set_faults(plan.name, **cell.workload.straggler_faults)


@fault('kill-runner', restart_runners)
def kill_runner(cell: Cell) -> None:
    for plan in cell.workload.list_plans(cell.system):
        if _has_accepted(cell, plan):
            break
    found = [
        process
        for name, process in cell.system.processes.items()
        if name.startswith(f'{plan.name}/') and process.is_running()
    ]
    found[0].kill()


@fault('cut-stream')
def cut_stream(cell: Cell) -> None:
    for plan in cell.workload.list_plans(cell.system):
        cell.system.set_faults(plan.name, **cell.workload.cut_faults)


@fault('retry-elsewhere')
def retry_elsewhere(cell: Cell) -> None:
    second = Caller(cell.system, cell.workload, cell.key)
    second.hosts = list(reversed(cell.others))
    second.start()


@fault('operators-race')
def race_operators(cell: Cell) -> None:
    host = cell.others[-1]
    version = cell.system.read_status(host).get('bundle', 0)
    threads = [
        threading.Thread(
            target=cell.system.submit,
            args=[cell.system.make_bundle(version + 1, version)],
            kwargs={'host': host, 'author': author},
        )
        for author in (deployment.AUTHOR, deployment.APPROVER)
    ]
    for thread in threads:
        thread.start()


# Correct final outcomes, if not only "complete". A request whose holder is
# killed is unknown: no other daemon knows its progress. A request whose key
# was issued before a takeover may be unknown if no daemon reports it.
EXPECTED_OUTCOMES: ty.Final[dict[tuple[str, str], frozenset[str]]] = {
    ('kill-entry', 'before-grant'): UNKNOWN,
    ('kill-entry', 'before-first-byte'): UNKNOWN,
    ('kill-entry', 'mid-stream'): UNKNOWN,
    ('kill-entry', 'after-end'): UNKNOWN,
    ('kill-entry', 'drain'): UNKNOWN,
    ('kill-entry', 'roll-out'): UNKNOWN,
    ('kill-entry', 'takeover'): COMPLETE_OR_UNKNOWN,
    ('kill-entry-and-owner', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('kill-entry-and-owner', 'before-grant'): UNKNOWN,
    ('kill-entry-and-owner', 'before-first-byte'): UNKNOWN,
    ('kill-entry-and-owner', 'mid-stream'): UNKNOWN,
    ('kill-entry-and-owner', 'after-end'): UNKNOWN,
    ('kill-entry-and-owner', 'drain'): UNKNOWN,
    ('kill-entry-and-owner', 'roll-out'): UNKNOWN,
    ('kill-owner', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('log-out-kill-owner', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('freeze-owner', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('cut-owner', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('cut-entry', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('cut-entry-one-way', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('cut-entry', 'after-end'): COMPLETE_OR_UNKNOWN,
    ('cut-entry-one-way', 'after-end'): COMPLETE_OR_UNKNOWN,
    ('freeze-entry', 'after-end'): COMPLETE_OR_UNKNOWN,
    ('freeze-entry', 'before-claim'): COMPLETE_OR_UNKNOWN,
    ('freeze-entry', 'drain'): COMPLETE_OR_UNKNOWN,
    # A restarted engine has lost its record of executions.
    ('kill-runner', 'before-first-byte'): COMPLETE_OR_UNKNOWN,
    ('kill-runner', 'mid-stream'): COMPLETE_OR_UNKNOWN,
    ('kill-runner', 'drain'): COMPLETE_OR_UNKNOWN,
    ('kill-runner', 'roll-out'): COMPLETE_OR_UNKNOWN,
}


def find_expected_outcomes(
    fault_name: str, step_name: str, workload: Workload = MODEL_WORKLOAD
) -> frozenset[str]:
    if step_name == 'takeover':
        return COMPLETE_OR_UNKNOWN
    if workload is SERVICE_WORKLOAD and fault_name == 'cut-stream':
        # A service's answer cannot be resumed, nor its call be retried.
        return COMPLETE if step_name == 'after-end' else UNKNOWN
    return EXPECTED_OUTCOMES.get((fault_name, step_name), COMPLETE)


class VersionWatch(threading.Thread):
    """Detects daemons whose bundle version decreases."""

    def __init__(self, system: deployment.Deployment) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.highest: dict[str, int] = {}
        self.version_drops: list[str] = []
        self.is_over = threading.Event()

    def run(self) -> None:
        while not self.is_over.wait(0.3):
            for host in list(self.system.daemons):
                status = self.system.read_status(host)
                if not status:
                    continue
                name = status['incarnation']
                version = status['bundle']
                if version < self.highest.get(name, 0):
                    self.version_drops.append(f'{name} fell to {version}')
                self.highest[name] = version


def run_cell(
    system: deployment.Deployment,
    workload: Workload,
    fault_name: str,
    step_name: str,
    seed: int,
) -> list[str]:
    """Run one cell; return its failures."""
    rng = random.Random(f'{seed}{step_name}')
    cell = Cell(system, workload, fault_name, rng)
    caller = cell.caller
    try:
        cell.run(step_name)
    except AssertionError as error:
        return [f'{error} (seed {seed}, was told {caller.list_outcomes()})']
    failures = list(caller.contradictions)
    last = caller.find_last_reply()
    if last.outcome not in find_expected_outcomes(
        fault_name, step_name, workload
    ):
        failures.append(f'last word {last.outcome} {last.code}')
    if caller.total_s > DEADLINE_S + 2.0:
        failures.append(f'last word after {caller.total_s:.1f} s')
    if last.outcome == 'complete' and not workload.is_complete_answer(
        last, cell.key
    ):
        failures.append('the answer is not whole or not its own')
    count = count_executions(system, cell.key)
    if count > 1:
        failures.append(f'ran {count} times')
    if last.outcome == 'not-run' and count > 0:
        failures.append('told not-run, and ran')
    if last.outcome == 'complete' and count == 0:
        if fault_name != 'kill-runner':
            failures.append('told complete, and did not run')
    outcomes = caller.list_outcomes()
    return [f'{text} (seed {seed}, was told {outcomes})' for text in failures]


def run_row(
    system: deployment.Deployment,
    workload: Workload,
    fault_name: str,
    step_names: collections.abc.Iterable[str],
    seed: int,
) -> dict[str, list[str]]:
    """Run a fault at several steps; return the failures by step."""
    watch = VersionWatch(system)
    watch.start()
    results: dict[str, list[str]] = {}
    for name in step_names:
        results[name] = run_cell(system, workload, fault_name, name, seed)
    watch.is_over.set()
    watch.join()
    if watch.version_drops:
        results['versions'] = watch.version_drops
    return results
