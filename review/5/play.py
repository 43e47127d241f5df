"""Many users come at once, with requests as large as the limits allow.

Callers upload long notes to one host in a closed loop, beside others that send
short requests on kept connections. With the disruption 2.1 times as many
upload for 2.5 s. Like the platform, the script ends a process that holds more
than the memory in its settings, and starts it again.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

# Below ``maxBodyBytes``.
UPLOAD_BYTES = 4_000_000
UPLOADERS = 24
BURST_RATIO = 2.1
BURST_S = 2.5
# Usual traffic before and after the burst.
CALM_S = 3.0
SHORT_CALLERS = 24
THINK_S = 0.1
# What the host's link carries, bytes a second.
LINK_BYTES_PER_S = 1000e6 / 8
LINK_PART_BYTES = 64 * 1024
RUNNERS = 6
SLOTS = 12
WORK_S = 0.3
MEMORY_MB = 300
WATCH_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.5
ANSWER_TIMEOUT_S = 4.5
# Requests from kept connections that may end without an answer.
MOST_LOST = 3


class Link:
    """The host's link, which all that callers send goes through."""

    def __init__(self) -> None:
        """Start idle."""
        self._free_at = 0.0

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send data no faster than the link carries it."""
        for first in range(0, len(data), LINK_PART_BYTES):
            part = data[first : first + LINK_PART_BYTES]
            now = time.monotonic()
            self._free_at = max(now, self._free_at)
            self._free_at += len(part) / LINK_BYTES_PER_S
            writer.write(part)
            await writer.drain()
            if self._free_at - now > 0.002:
                await asyncio.sleep(self._free_at - now)


class Case:
    """The callers, and the platform that watches the host's memory."""

    def __init__(self, record: lab.Record, system: lab.System) -> None:
        """Start without callers."""
        self.record = record
        self.system = system
        self.link = Link()
        self.is_over = False
        self.kills = 0
        self.most_bytes = 0
        # Requests on kept connections that ended without a whole answer.
        self.unanswered: list[str] = []
        self.statuses: dict[str, int] = {}

    @property
    def host(self) -> lab.Host:
        """Return the host that the callers are connected to."""
        return self.system.hosts[0]

    async def upload(self, name: str, ends_at: float) -> None:
        """Upload notes until a time, each on a new connection."""
        body = b'x' * UPLOAD_BYTES
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            data = lab.make_request(
                f'{name}-{number}', body, {'Connection': 'close'}
            )
            with contextlib.suppress(TimeoutError, *lab.ENDED):
                reader, writer = await self.system.connect(self.host)
                try:
                    await self.link.send(writer, data)
                    await self._read(f'{name}-{number}', reader)
                finally:
                    writer.close()
            await asyncio.sleep(THINK_S)

    async def call_shortly(self, name: str, ends_at: float) -> None:
        """Send short requests on a kept connection until a time."""
        number = 0
        while time.monotonic() < ends_at:
            try:
                reader, writer = await self.system.connect(self.host)
            except OSError:
                await asyncio.sleep(THINK_S)
                continue
            try:
                while time.monotonic() < ends_at:
                    number += 1
                    attempt = f'{name}-{number}'
                    await self.link.send(
                        writer, lab.make_request(attempt, b'short')
                    )
                    answer = await self._read(attempt, reader)
                    if answer is None or not answer.is_whole:
                        self.unanswered.append(attempt)
                        break
                    await asyncio.sleep(THINK_S)
            except lab.ENDED:
                self.unanswered.append(attempt)
            finally:
                writer.close()

    async def _read(
        self, attempt: str, reader: asyncio.StreamReader
    ) -> lab.Message | None:
        answer = await asyncio.wait_for(
            lab.read_message(reader, is_answer=True), ANSWER_TIMEOUT_S
        )
        text = 'no answer' if answer is None else str(answer.status)
        self.statuses[text] = self.statuses.get(text, 0) + 1
        self.record.write(f'{attempt} gets {text}')
        return answer

    async def watch_memory(self) -> None:
        """End the host's process when it holds too much."""
        while not self.is_over:
            await asyncio.sleep(WATCH_INTERVAL_S)
            held = self.host.measure_memory()
            self.most_bytes = max(self.most_bytes, held)
            if held <= MEMORY_MB * 1_000_000:
                continue
            self.record.say(
                f'{self.host.name} holds {held / 1e6:.0f} MB and is ended'
            )
            self.kills += 1
            self.system.kill_host(self.host)
            await asyncio.sleep(RESTART_DELAY_S)
            self.system.start_host(self.host)

    def count_lost(self) -> int:
        """Return the requests that a runner got and nobody answered."""
        ran = {run.attempt for run in self.system.list_runs()}
        lost = [attempt for attempt in self.unanswered if attempt in ran]
        for attempt in lost:
            self.record.write(f'{attempt} was passed on and not answered')
        return len(lost)


async def play(record: lab.Record) -> bool:
    """Play the case; return whether the rule was broken."""
    system = lab.System(record, hosts=3)
    system.memory_mb = MEMORY_MB
    try:
        for number in range(1, RUNNERS + 1):
            await system.add_runner(
                lab.Runner(f'i-{number}', record, SLOTS, WORK_S)
            )
        await system.start(lab.make_config())
        case = Case(record, system)
        watch = asyncio.create_task(case.watch_memory())
        now = time.monotonic()
        burst_at = now + CALM_S
        burst_ends_at = burst_at + BURST_S
        ends_at = burst_ends_at + CALM_S
        work: list[collections.abc.Coroutine[object, object, None]] = []
        for number in range(UPLOADERS):
            work.append(case.upload(f'upload-{number}', ends_at))
        for number in range(SHORT_CALLERS):
            work.append(case.call_shortly(f'short-{number}', ends_at))
        usual = asyncio.gather(*work)
        await asyncio.sleep(CALM_S)
        if lab.is_troubled():
            more = round(UPLOADERS * (BURST_RATIO - 1))
            await asyncio.gather(
                *(
                    case.upload(f'burst-{number}', burst_ends_at)
                    for number in range(more)
                )
            )
        await usual
        case.is_over = True
        await watch
        lost = case.count_lost()
        record.say(
            f'most memory {case.most_bytes / 1e6:.0f} MB, process ended'
            f' {case.kills} times; answers {case.statuses}; {lost} requests of'
            ' kept connections passed on and not answered'
        )
        return lost > MOST_LOST
    finally:
        system.stop()


if __name__ == '__main__':
    sys.exit(lab.run_script(FOLDER, play))
