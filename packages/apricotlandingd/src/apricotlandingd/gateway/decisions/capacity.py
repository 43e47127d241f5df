"""What runners can serve beyond the slots that they state.

Combines what is known of runners whose capacity is contended
(``runners.contention``) for one scheduler. For all other services it answers
what the registrations say.
"""

import collections.abc
import dataclasses
import math
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import memorybounds
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import runnermemory
from apricotlandingd.gateway.decisions import unreadprompts
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import contention
from apricotlandingd.gateway.runners import learnedlimits
from apricotlandingd.gateway.runners import limitways
from apricotlandingd.gateway.runners import observations
from apricotlandingd.gateway.runners import queuedloads
from apricotlandingd.gateway.runners import slowness

__all__ = ['Capacity', 'RunnerKnowledge', 'make_knowledge']

# Largest share of a stream's time that is taken to be spent on prompts, which
# runners read between the steps in which they generate.
MAX_READ_SHARE = 0.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerKnowledge:
    """What all schedulers of a host know of contended runners."""

    contention: contention.Contention
    slowness: slowness.StatedSlowness
    prompts: unreadprompts.UnreadPrompts
    loads: queuedloads.QueuedLoads
    limits: learnedlimits.LearnedLimits
    memory: runnermemory.StatedMemory
    # What the scheduler may use of a runner's memory now. By default it
    # grants from the reserve only, as hosts that reach no coordinator do.
    find_bounds: collections.abc.Callable[[float], memorybounds.Bounds] = (
        lambda now: memorybounds.UNCOORDINATED
    )

    def apply(
        self,
        observation: observations.Observation,
        service: ids.Pool,
        start: ids.RunnerStart,
        now: float,
        running: int = 0,
    ) -> None:
        """Learn from an observation of a runner, by any host.

        ``running`` is the number of requests at the runner.
        """
        self.apply_statement(observation, service, start, now)
        if not self.contention.is_on(service):
            return
        if observation.kind is observations.Kind.LOAD:
            self.loads.note(start, observation.amount, running, now)
        if observation.kind is observations.Kind.FIRST and observation.amount:
            self.prompts.note_first_event(
                service,
                start,
                observation.part,
                observation.amount,
                observation.seconds,
                now,
            )
        elif observation.kind is observations.Kind.FIRST:
            self.limits.note_answer(start, observation.seconds, running, now)
        elif observation.kind is observations.Kind.PROGRESS or (
            # Longer ones were reported while they went on.
            observation.kind is observations.Kind.REST
            and observation.seconds < observations.PROGRESS_INTERVAL_S
        ):
            self.limits.note_events(
                start,
                observation.amount,
                self._deduct_reading(start, observation.seconds, now),
                running,
                now,
            )

    def _deduct_reading(
        self, start: ids.RunnerStart, seconds: float, now: float
    ) -> float:
        # Events wait while the runner reads prompts, of which it tells
        # nothing but the first events.
        read_s = self.prompts.find_read_time(start, now - seconds, now)
        return seconds - min(read_s, seconds * MAX_READ_SHARE)

    def apply_statement(
        self,
        observation: observations.Observation,
        service: ids.Pool,
        start: ids.RunnerStart,
        now: float,
    ) -> None:
        """Store what a runner states of itself."""
        if observation.kind is observations.Kind.SLOWNESS:
            self.slowness.note(service, start, observation.amount, now)

    def counts_memory(self, service: ids.Pool) -> bool:
        """Tell whether a service's runners state their memory."""
        if not self.contention.is_configured:
            return False
        return self.memory.find(ids.parse_service(service)) is not None

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        self.slowness.retain_only(starts)
        self.prompts.retain_only(starts)
        self.loads.retain_only(starts)
        self.limits.retain_only(starts)


def make_knowledge(
    is_configured: bool = False,
    find_memory: collections.abc.Callable[[ids.Pool], int | None] = (
        lambda service: None
    ),
    way: str = limitways.WAY,
) -> RunnerKnowledge:
    """Return empty knowledge; ``is_configured`` is for all services.

    ``find_memory`` returns the tokens in the memory of each of a service's
    runners; None if it states none. ``way`` names how limits are learned.
    """
    stated = slowness.StatedSlowness()
    return RunnerKnowledge(
        contention.Contention(is_configured, stated),
        stated,
        unreadprompts.UnreadPrompts(stated),
        queuedloads.QueuedLoads(),
        learnedlimits.LearnedLimits(stated, way),
        runnermemory.StatedMemory(find_memory),
    )


class _MemoryLimits(ty.NamedTuple):
    """Tokens by which requests are granted memory of a service's runners."""

    # See ``memorybounds.Bounds``.
    established: int
    total: int
    reserved: int
    # Most that an established coordinator uses.
    usable: int
    # Seconds until this scheduler is expected to be established.
    wait_s: float


@ty.final
class Capacity:
    """What is left of the runners of one scheduler."""

    def __init__(self, knowledge: RunnerKnowledge) -> None:
        """Start without requests."""
        self._knowledge = knowledge
        self._memory = runnermemory.RunnerMemory()
        # Tokens granted from the reserve, which are counted above too.
        self._reserved = runnermemory.RunnerMemory()
        # Bounds of a service's runners, as last found, and for which service
        # and time: they are asked for each runner of a decision.
        self._limits: _MemoryLimits | None = None
        self._limits_of: tuple[ids.Pool, float] | None = None

    def is_contended(self, service: ids.Pool) -> bool:
        """Tell whether a service's capacity is contended."""
        return self._knowledge.contention.is_on(service)

    def note_request(
        self, request: queueing.QueuedRequest, now: float
    ) -> None:
        """Learn what the requests of a contended service need."""
        due_in_s = request.first_due_at - now
        if math.isfinite(due_in_s) and self.is_contended(request.service):
            needs = self._knowledge.limits.needs
            needs.note(request.service, request.max_gap_s, due_in_s, now)

    def count_used(
        self, entry: dialect.RunnerEntry, counted: int, now: float
    ) -> int:
        """Return the used slots of a runner, of which some are counted."""
        loads = self._knowledge.loads
        return counted + loads.count_uncounted(entry.start, now)

    def count_slots(self, entry: dialect.RunnerEntry, now: float) -> int:
        """Return the slots of a runner that may be used now."""
        if not self.is_contended(entry.pool):
            return entry.slots
        return self._knowledge.limits.find_slots(entry, now)

    def has_room(
        self,
        request: queueing.QueuedRequest,
        entry: dialect.RunnerEntry,
        now: float,
    ) -> bool:
        """Tell whether a runner with a free slot can take a request."""
        if not request.memory_tokens or not self._counts_memory():
            return True
        limits = self._find_limits(entry.service, now)
        if limits is None:
            return True
        tokens = request.memory_tokens
        if self._memory.has_room(entry.start, limits.established, tokens):
            return True
        return self._memory.has_room(
            entry.start, limits.total, tokens
        ) and self._reserved.has_room(entry.start, limits.reserved, tokens)

    def find_memory_wait(
        self,
        request: queueing.QueuedRequest,
        entries: list[dialect.RunnerEntry],
        hold_s: float,
        now: float,
    ) -> float:
        """Return the expected seconds until a runner has memory.

        0 if one has, whatever its slots. What is left to other schedulers is
        not waited for.
        """
        if not request.memory_tokens or not self._counts_memory():
            return 0.0
        service = ids.parse_service(request.service)
        limits = self._find_limits(service, now)
        if limits is None:
            return 0.0
        waits: list[float] = []
        for entry in entries:
            if not request.allows(entry):
                continue
            if self.has_room(request, entry, now):
                return 0.0
            wait_s = max(
                limits.wait_s,
                self._memory.predict_wait(
                    entry.start, limits.usable, request.memory_tokens, hold_s
                ),
            )
            if not wait_s:
                return 0.0
            waits.append(wait_s)
        if not waits:
            return 0.0
        self._knowledge.memory.note_wait(request, len(waits), min(waits), now)
        return min(waits)

    def count_memory(self) -> int:
        """Return the tokens that are counted at all runners."""
        return self._memory.count_all()

    def count_memory_at(self, start: ids.RunnerStart) -> int:
        """Return the tokens that are counted at a runner."""
        return self._memory.count(start)

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        self._memory.retain_only(starts)
        self._reserved.retain_only(starts)

    def _counts_memory(self) -> bool:
        return self._knowledge.contention.is_configured

    def _find_limits(
        self, service: ids.Pool, now: float
    ) -> _MemoryLimits | None:
        if self._limits_of == (service, now):
            return self._limits
        self._limits_of = service, now
        self._limits = None
        tokens = self._knowledge.memory.find(service)
        if tokens is not None:
            bounds = self._knowledge.find_bounds(now)
            self._limits = _MemoryLimits(
                int(tokens * bounds.established),
                int(tokens * bounds.total),
                int(tokens * bounds.reserved),
                memorybounds.find_usable(tokens),
                bounds.wait_s,
            )
        return self._limits

    def predict(
        self, entry: dialect.RunnerEntry, unread_tokens: int, now: float
    ) -> unreadprompts.Prediction:
        """Predict a request whose runner has to read so many tokens."""
        return self._knowledge.prompts.predict(
            entry.pool, entry.start, unread_tokens, now
        )

    def take(
        self,
        request: queueing.QueuedRequest,
        start: ids.RunnerStart,
        unread_tokens: int,
        cost_s: float,
        now: float,
    ) -> queueing.Load:
        """Count a request that is granted a slot; return what it takes."""
        if not self.is_contended(request.service):
            return queueing.NO_LOAD
        self._knowledge.prompts.note_sent(
            request.service,
            start,
            request.last_part,
            request.prompt_tokens,
            unread_tokens,
            now,
        )
        tokens = request.memory_tokens
        is_reserved = self._is_reserved(request, start, now)
        if is_reserved:
            self._reserved.take(start, tokens)
        self.take_over(start, queueing.Load(memory_tokens=tokens))
        return queueing.Load(
            request.organisation,
            tokens,
            cost_s,
            now,
            is_reserved=is_reserved,
        )

    def _is_reserved(
        self,
        request: queueing.QueuedRequest,
        start: ids.RunnerStart,
        now: float,
    ) -> bool:
        # Granted from the reserve, as it does not fit in the rest.
        if not request.memory_tokens or not self._counts_memory():
            return False
        limits = self._find_limits(ids.parse_service(request.service), now)
        return limits is not None and not self._memory.has_room(
            start, limits.established, request.memory_tokens
        )

    def take_over(self, start: ids.RunnerStart, load: queueing.Load) -> None:
        """Count a request that another scheduler granted a slot."""
        if self._counts_memory():
            self._memory.take(start, load.memory_tokens)

    def release(
        self, start: ids.RunnerStart, load: queueing.Load, now: float
    ) -> None:
        """Stop counting a request that has left its slot."""
        if self._counts_memory():
            self._memory.release(start, load.memory_tokens)
            if load.is_reserved:
                self._reserved.release(start, load.memory_tokens)
