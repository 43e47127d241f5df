"""A runner that leaves is used again when an older report of it comes late.

The store's answer to one report of a runner is lost, and the store carries
that report out seconds later, as the platform's page allows. Meanwhile the
runner has reported that it drains, and goes on reporting that.
"""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins2  # noqa: E402

HEARTBEAT_S = 1.2
DRAIN_S = 2.0
# The platform carries out a write without an answer 1 to 6 s later.
LATE_S = 5.7
# The report whose answer is lost, and the first one that says "draining": by
# then the store has been without disruption for longer than contactMs, 3 s.
LOST_AT_S = 2.0
DRAINING_AT_S = 5.6
EXIT_AT_S = DRAINING_AT_S + 8.0
HOSTS = 2
CALLERS = 24


class Play:
    """What was sent, run and reported."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.lines: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.answers: collections.Counter[str] = collections.Counter()
        self.acked_at = float('inf')
        self.late_at = float('inf')
        self.is_over = False
        self.began_at = time.monotonic()

    def find_time(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f'{self.find_time():8.3f} {text}')

    async def work(
        self,
        runner: standins2.Runner,
        request: standins2.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request."""
        self.note(f'run      {request.attempt} at {runner.name}')
        if runner.name == 'i-leaves':
            self.arrivals.append((self.find_time(), request.attempt))
        await asyncio.sleep(0.02)
        await runner.answer(request, writer)

    async def report(
        self, store: standins2.Store, runner: standins2.Runner
    ) -> None:
        """Report as the leaving runner does, with a count that rises."""
        count = 0
        is_lost = False
        while not self.is_over and self.find_time() < EXIT_AT_S:
            count += 1
            is_draining = self.find_time() >= DRAINING_AT_S
            state = 'draining' if is_draining else 'ready'
            entry = runner.make_entry(state=state, seq=count)
            if self.find_time() >= LOST_AT_S and not is_lost:
                is_lost = True
                if standins2.is_troubled():
                    self.note(f'report   {state} seq {count}, no answer')
                    asyncio.get_running_loop().call_later(
                        LATE_S, self.carry_out, store, runner.name, entry
                    )
                    await self.wait_to_report()
                    continue
            store.put('keyed.servers', runner.name, entry)
            self.note(f'report   {state} seq {count}, acknowledged')
            if is_draining:
                self.acked_at = min(self.acked_at, self.find_time())
            await self.wait_to_report()
        store.put('keyed.servers', runner.name, None)
        self.note('report   removed')

    async def wait_to_report(self) -> None:
        """Wait for the next report; the change of the state comes at once."""
        left_s = DRAINING_AT_S - self.find_time()
        if 0 < left_s < HEARTBEAT_S:
            await asyncio.sleep(left_s)
            return
        await asyncio.sleep(HEARTBEAT_S)

    def carry_out(
        self, store: standins2.Store, name: str, entry: dict[str, object]
    ) -> None:
        """Carry out the write that got no answer."""
        store.put('keyed.servers', name, entry)
        self.late_at = self.find_time()
        self.note(f'store    carries out {entry["state"]} seq {entry["seq"]}')

    async def keep(
        self, store: standins2.Store, runner: standins2.Runner
    ) -> None:
        """Report as the other runners do."""
        count = 0
        while not self.is_over:
            count += 1
            store.put(
                'keyed.servers', runner.name, runner.make_entry(seq=count)
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def call(self, host: standins2.Host, number: int) -> None:
        """Send one request after the other."""
        caller = standins2.Caller(host)
        count = 0
        while self.find_time() < EXIT_AT_S + 1:
            count += 1
            attempt = f'a{number}-{count}'
            self.note(f'sent     {attempt} to {host.name}')
            answer = await caller.ask('POST', '/write/x', attempt, b'{}')
            text = 'none' if answer is None else str(answer.status)
            self.answers[text] += 1
            self.note(f'answered {attempt} {text}')
            await asyncio.sleep(0.02)
        caller.close()


async def play() -> bool:
    """Return whether requests reached the runner after its drain time."""
    game = Play()
    runners = [
        standins2.Runner(name, game.work)
        for name in ('i-leaves', 'i-stays-1', 'i-stays-2')
    ]
    config = standins2.make_config(
        7, [standins2.make_route('write', 'non_idempotent')]
    )
    async with standins2.System(HOSTS, runners, config) as system:
        game.began_at = time.monotonic()
        tasks = [
            asyncio.create_task(game.report(system.store, runners[0])),
            *(
                asyncio.create_task(game.keep(system.store, runner))
                for runner in runners[1:]
            ),
        ]
        await asyncio.gather(
            *(
                game.call(system.hosts[number % HOSTS], number)
                for number in range(CALLERS)
            )
        )
        game.is_over = True
        await asyncio.gather(*tasks)
    late = [
        (round(at - game.acked_at, 3), attempt)
        for at, attempt in game.arrivals
        if at > game.acked_at + DRAIN_S
    ]
    before = sum(at < game.acked_at for at, _ in game.arrivals)
    summary = [
        f'answers: {dict(game.answers)}',
        f'"draining" acknowledged at {game.acked_at:.3f} s; the older report'
        f' carried out at {game.late_at:.3f} s',
        f'requests at the leaving runner: {before} before the'
        f' acknowledgement, {len(late)} later than {DRAIN_S} s after it:'
        f' {late[:10]}',
    ]
    record = pathlib.Path(__file__).with_name('record.txt')
    record.write_text('\n'.join([*summary, '', *game.lines]) + '\n')
    print('\n'.join(summary))
    if before < 20:
        raise standins2.CannotRun('the runner got too few requests before')
    return bool(late)


if __name__ == '__main__':
    sys.exit(standins2.run(play, 110.0))
