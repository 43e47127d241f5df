"""Detection of runners whose process ended while requests were in progress.

When a runner closes the connection of a request, one attempt to connect shows
whether its process is still there. If it fails, other hosts are asked: this
host's link may be lost, and not the runner. Requests that are cut at the same
time share the attempt.
"""

import collections.abc
import dataclasses
import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlanding import contentkeys
from apricotlanding import cuts
from apricotlanding import ids
from apricotlanding import probes
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.runners import directory

__all__ = ['CrashDetector', 'Links', 'OnCause']

# Requests cut at one runner beyond this number are not examined: a runner
# runs fewer at once.
MAX_CUT_REQUESTS = 256
# Parts that are blamed for one crash.
MAX_CUT_PARTS = 256

OnCause = collections.abc.Callable[[cuts.Cause], None]


class Links(ty.Protocol):
    """Ways to find out whether a runner is there."""

    async def probe(self, entry: dialect.RunnerEntry) -> cuts.Liveness:
        """Connect to a runner once, and send nothing."""

    async def is_reached_elsewhere(self, entry: dialect.RunnerEntry) -> bool:
        """Tell whether another host reaches a runner."""


@ty.final
class _OwnLinkOnly:
    """The links of a host that knows no other."""

    async def probe(self, entry: dialect.RunnerEntry) -> cuts.Liveness:
        return await probes.probe_address(entry.address)

    async def is_reached_elsewhere(self, entry: dialect.RunnerEntry) -> bool:
        return False


@ty.final
@dataclasses.dataclass(slots=True)
class _Inquiry:
    """Requests that one start of a runner cut, until the cause is known."""

    entry: dialect.RunnerEntry
    keys: set[ids.ContentKey] = dataclasses.field(default_factory=set)
    # Keys of the parts of their prompts.
    parts: set[ids.ContentKey] = dataclasses.field(default_factory=set)
    # Called with the cause.
    listeners: list[OnCause] = dataclasses.field(default_factory=list)
    finished: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@ty.final
@dataclasses.dataclass(slots=True)
class _Crashed:
    """Crashes of one start of a runner."""

    # Number of the latest one, from 0.
    number: int = 0
    # The runner has answered since.
    is_back: bool = False


@ty.final
class CrashDetector:
    """Finds out why runners cut requests."""

    def __init__(
        self,
        runners: directory.Directory,
        is_current: collections.abc.Callable[[float], bool],
        on_crash: collections.abc.Callable[
            [ids.Crash, set[ids.ContentKey], float], None
        ],
        counts: telemetry.MetricRegistry,
        links: Links | None = None,
        is_brittle: collections.abc.Callable[
            [ids.RunnerStart], bool
        ] = lambda start: False,
        on_part_crash: collections.abc.Callable[
            [ids.Crash, set[ids.ContentKey], float], None
        ] = lambda crash, parts, now: None,
    ) -> None:
        """Start without cut requests.

        ``links`` tells whether other hosts reach a runner; without it none
        is asked. ``is_brittle`` tells whether a runner falls over under load,
        which no request is blamed for. ``is_current`` tells whether the
        registrations are recent. ``on_crash`` is called once for each crash
        that is found, with the content keys of the requests that it cut, and
        ``on_part_crash`` with the keys of the parts of their prompts.
        """
        self._runners = runners
        self._is_current = is_current
        self._on_crash = on_crash
        self._on_part_crash = on_part_crash
        self._telemetry = counts
        self._links = links or _OwnLinkOnly()
        self._is_brittle = is_brittle
        self._inquiries: dict[ids.RunnerStart, _Inquiry] = {}
        self._crashed: dict[ids.RunnerStart, _Crashed] = {}
        self._new: list[_Inquiry] = []
        self._has_new = anyio.Event()

    def report_cut(
        self,
        entry: dialect.RunnerEntry,
        key: ids.ContentKey | None,
        on_cause: OnCause | None = None,
        parts: frozenset[ids.ContentKey] = frozenset(),
    ) -> anyio.Event:
        """Examine why a runner cut a request, or fell silent (no ``key``).

        ``parts`` are the keys of the parts of its prompt.

        Returns an event that is set when the cause is known; ``on_cause`` is
        called just before.
        """
        inquiry = self._inquiries.get(entry.start)
        if inquiry is None:
            inquiry = _Inquiry(entry)
            self._inquiries[entry.start] = inquiry
            self._new.append(inquiry)
            self._has_new.set()
        if key is not None and len(inquiry.keys) < MAX_CUT_REQUESTS:
            inquiry.keys.add(key)
            inquiry.parts |= parts
            if len(inquiry.parts) > MAX_CUT_PARTS:
                # The same ones at each crash.
                kept = sorted(inquiry.parts)[:MAX_CUT_PARTS]
                inquiry.parts = set(kept)
        if on_cause is not None:
            inquiry.listeners.append(on_cause)
        return inquiry.finished

    def note_answer(self, start: ids.RunnerStart) -> None:
        """Note an answer: the runner is back if it had crashed."""
        crashed = self._crashed.get(start)
        if crashed is not None:
            crashed.is_back = True

    def retain_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._crashed) - runners:
            del self._crashed[start]

    async def run(self) -> None:
        """Examine cuts until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._has_new.wait()
                self._has_new = anyio.Event()
                while self._new:
                    group.start_soon(self._examine, self._new.pop())

    async def _examine(self, inquiry: _Inquiry) -> None:
        start = inquiry.entry.start
        liveness = cuts.Liveness.UNTRIED
        if self._runners.is_open(start):
            liveness = await self._links.probe(inquiry.entry)
        is_reached_elsewhere = False
        if liveness in (cuts.Liveness.REFUSES, cuts.Liveness.SILENT):
            is_reached_elsewhere = await self._links.is_reached_elsewhere(
                inquiry.entry
            )
        now = clocks.read_monotonic()
        cause = cuts.find_cause(
            not self._runners.is_open(start),
            liveness,
            self._is_current(now),
            is_reached_elsewhere,
            self._is_brittle(start),
        )
        del self._inquiries[start]
        eliot.log_message(
            'gateway:runner_cut',
            runner=ids.parse_runner(start),
            cause=cause.value,
            liveness=liveness.value,
            contents=[
                contentkeys.format_key(key) for key in sorted(inquiry.keys)
            ],
            parts=[
                contentkeys.format_key(key) for key in sorted(inquiry.parts)
            ],
        )
        if cause is cuts.Cause.CRASH and inquiry.keys:
            self._telemetry.count('runner_crashes_total')
            crash = self._identify(start)
            self._on_crash(crash, inquiry.keys, now)
            if inquiry.parts:
                self._on_part_crash(crash, inquiry.parts, now)
        for listener in inquiry.listeners:
            listener(cause)
        inquiry.finished.set()

    def _identify(self, start: ids.RunnerStart) -> ids.Crash:
        # Requests of one crash may be cut one after the other. A runner that
        # registers without a birth has the same start after a crash.
        crashed = self._crashed.setdefault(start, _Crashed())
        if crashed.is_back:
            crashed.number += 1
            crashed.is_back = False
        return ids.identify_crash(start, crashed.number)
