"""Bytes that this host holds for its callers, and what to do when it is full.

Callers may read slowly, or not at all, while runners answer at their own
speed. A host whose process exceeds its memory is killed with all its requests,
so the bytes of request bodies and of parts that callers have not read are
summed. From a share of the bound on, no request is admitted; at the bound the
answer that has been unread for longest is cut. Hosts that state a memory count
and are bounded, whatever else their settings say.
"""

import collections.abc
import enum
import math
import typing as ty

import eliot

from apricotlanding import allocator
from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.decisions import roomschedule
from apricotlandingd.gateway.decisions import uncountedmemory

__all__ = [
    'OPEN_BYTES',
    'SCOPE_KEY',
    'HeldAnswer',
    'HeldAnswers',
    'Kind',
    'Memory',
    'weigh_body',
    'weigh_head',
]

# Where a request's ASGI scope has its ``HeldAnswer``.
SCOPE_KEY: ty.Final = 'apricotlanding.held'
# What the process takes without requests: 38 to 48 MB.
PROCESS_BYTES = 50_000_000
# Bytes by which the process grows at most with each that is counted: buffers
# of connections have copies of a part.
GROWTH_RATIO = 1.6
# Part of an answer that is held also when the host is full, and most bytes
# that are read from a runner at once: an answer that stops half-way keeps
# several copies of the last read.
FREE_ANSWER_BYTES = 8 * 1024
# Taken by an admitted request besides its body and the rest of its answer:
# that part and its copies, its tasks and connections, and buffers of the HTTP
# parsers.
OPEN_BYTES = 88_000 + FREE_ANSWER_BYTES
# What of a head is part of them. Beyond it, each header takes so many bytes
# besides its own, which are held once as they arrived and twice as text.
FREE_HEAD_BYTES = 16 * 1024
HEADER_BYTES = 400
HEAD_COPIES = 3
# Least bound, about eight requests: a host whose stated memory leaves less
# would refuse all of them.
MIN_LIMIT_BYTES = 8 * OPEN_BYTES
# Share of the bound from which requests are refused. What is left is for the
# answers to those that were admitted.
ADMIT_SHARE = 0.9
# The same for requests with large bodies, and the least size of such a
# request: small ones are still admitted beside uploads that fill the host.
ADMIT_LARGE_SHARE = 0.85
LARGE_BYTES = 2 * OPEN_BYTES
# Share to which unread answers are cut when the host is full. Just below the
# bound, the next parts would fill it again.
CUT_SHARE = 0.95
# An answer of which nothing was read for this time is unread. Callers that
# read at all take something several times in it.
MIN_UNREAD_S = 2.0
# Interval between searches for unread answers, which visit all answers.
SEARCH_INTERVAL_S = 0.1


class Kind(enum.Enum):
    """Whether an answer may be cut."""

    # The caller may send the request again.
    REPEATABLE = 'repeatable'
    # It may not, or that is not known yet.
    ONCE = 'once'


class Memory(ty.Protocol):
    """The memory of the process."""

    def measure(self) -> int:
        """Return the bytes that the process holds."""

    def trim(self) -> None:
        """Return freed memory to the system."""


@ty.final
class HeldAnswer:
    """What is held for one caller."""

    def __init__(self, owner: 'HeldAnswers | None', kind: Kind) -> None:
        """Start without bytes; without an owner they are not summed."""
        self._owner = owner
        self.kind = kind
        # Names the request in the log.
        self.attempt = ''
        self.bytes = 0
        # Bytes of the answer; the first of them are counted from the start.
        self.answer_bytes = 0
        # Monotonic time at which the caller stops waiting.
        self.deadline_at = math.inf
        # Since when a part waits for its caller; None if none does.
        self.unread_since: float | None = None
        # Bytes of the part that were not sent when that was last found.
        self._unsent = 0
        # Returns the bytes of the part that are not sent.
        self.count_unsent: collections.abc.Callable[[], int] = lambda: 0
        # Ends the answer without its end mark.
        self.on_cut: collections.abc.Callable[[], None] = lambda: None

    def grow(self, size: int) -> None:
        """Count bytes that are held."""
        if self._owner is not None:
            self.bytes += size
            self._owner.count(size)

    def shrink(self, size: int) -> None:
        """Stop counting bytes that are not held any more."""
        self.grow(-min(size, self.bytes))

    def hold(self, size: int) -> None:
        """Count bytes of the answer."""
        before = max(FREE_ANSWER_BYTES, self.answer_bytes)
        self.answer_bytes += size
        self.grow(max(FREE_ANSWER_BYTES, self.answer_bytes) - before)

    def drop(self, size: int) -> None:
        """Stop counting bytes of the answer."""
        self.hold(-size)

    def begin_part(self, now: float) -> None:
        """Note that a part of the answer waits for its caller."""
        self.unread_since = now
        self._unsent = self.count_unsent()

    def end_part(self) -> None:
        """Note that the caller has taken the part."""
        self.unread_since = None

    def is_unread(self, now: float) -> bool:
        """Tell whether the caller has stopped reading."""
        if self.unread_since is None:
            return False
        unsent = self.count_unsent()
        if unsent != self._unsent:
            self.unread_since = now
            self._unsent = unsent
        return now - self.unread_since >= MIN_UNREAD_S

    def close(self) -> None:
        """Stop counting the request."""
        if self._owner is None:
            return
        self.shrink(self.bytes)
        self._owner.forget(self)
        self._owner = None


def weigh_head(headers: collections.abc.Sequence[tuple[bytes, bytes]]) -> int:
    """Return what a request's headers count beyond ``OPEN_BYTES``."""
    size = sum(len(name) + len(value) for name, value in headers)
    held = HEAD_COPIES * size + HEADER_BYTES * len(headers)
    return max(0, held - FREE_HEAD_BYTES)


def weigh_body(size: int) -> int:
    """Return the bytes that are counted for a body of a size.

    A large body is held once, in memory of its own that returns to the system
    with it, so the process grows by its size and not by ``GROWTH_RATIO``.
    """
    if size < allocator.LARGE_BLOCK_BYTES:
        return size
    return max(allocator.LARGE_BLOCK_BYTES, math.ceil(size / GROWTH_RATIO))


@ty.final
class HeldAnswers:
    """What is held for all callers."""

    def __init__(
        self, memory_bytes: int | None, is_always_counting: bool = False
    ) -> None:
        """Bound the bytes by the memory of the host; None is no bound.

        Without a bound, they are counted only if ``is_always_counting``.
        """
        self.is_counting = is_always_counting or memory_bytes is not None
        self.limit: int | None = None
        if memory_bytes is not None:
            spare = (memory_bytes - PROCESS_BYTES) / GROWTH_RATIO
            self.limit = max(MIN_LIMIT_BYTES, int(spare))
        self.total = 0
        # Set where the process holds nothing but this host.
        self.memory: Memory | None = None
        self.uncounted = uncountedmemory.UncountedMemory()
        # Requests that were refused, and answers that were cut.
        self.refused = 0
        self.cut = 0
        self._answers: dict[int, HeldAnswer] = {}
        # Bytes that were released since the start.
        self._released = 0
        self._schedule = roomschedule.RoomSchedule()
        self._searched_at = 0.0
        self._log_limit = logratelimit.LogRateLimit()

    def open(self, kind: Kind) -> HeldAnswer:
        """Start to count a request; nothing is held until it is admitted."""
        found = HeldAnswer(self, kind)
        self._answers[id(found)] = found
        return found

    def count(self, size: int) -> None:
        """Count bytes that are held, or released if ``size`` is negative."""
        self.total += size
        if size < 0:
            self._released -= size

    def forget(self, answer: HeldAnswer) -> None:
        """Remove an answer that was closed."""
        self._answers.pop(id(answer), None)

    def count_open(self) -> int:
        """Return the number of requests that are counted."""
        return len(self._answers)

    def may_admit(self, size: int, now: float) -> bool:
        """Tell whether a request of which ``size`` is held is admitted."""
        self._schedule.note_released(self._released, now)
        self._measure(now)
        if self.has_room(size):
            return True
        self.note_refusal(size, now)
        return False

    def note_refusal(self, size: int, now: float) -> None:
        """Note that a request of which ``size`` would be held is refused."""
        self.refused += 1
        held_back = self._log_limit.admit('full', now)
        if held_back is not None:
            eliot.log_message(
                'gateway:memory_full',
                held=self.total,
                limit=self.limit,
                size=size,
                open=self.count_open(),
                held_back=held_back,
            )

    def choose_return(self, size: int, now: float) -> float:
        """Return the seconds after which a refused request finds room."""
        missing = 0
        if self.limit is not None:
            missing = max(0, self.total + size - self._find_room(size))
        return self._schedule.promise(missing, size, now)

    def has_room(self, size: int, whole_size: int | None = None) -> bool:
        """Tell whether ``size`` bytes more of a request fit.

        ``whole_size`` is what is held of it then, if that is more.
        """
        if self.limit is None:
            return True
        room = self._find_room(max(size, whole_size or 0))
        return self.total + size < room

    def _find_room(self, size: int) -> int:
        # Bytes up to which requests of this size are admitted.
        if self.limit is None:
            return 0
        limit = self.limit - int(self.uncounted.bytes / GROWTH_RATIO)
        share = ADMIT_SHARE if size < LARGE_BYTES else ADMIT_LARGE_SHARE
        return int(max(MIN_LIMIT_BYTES, limit) * share)

    def _measure(self, now: float) -> None:
        memory = self.memory
        if memory is None or self.limit is None:
            return
        if not self.uncounted.is_due(now):
            return
        expected = PROCESS_BYTES + math.ceil(self.total * GROWTH_RATIO)
        excess = memory.measure() - expected
        if self.uncounted.begin_trim(excess, now):
            memory.trim()
            excess = memory.measure() - expected
        self.uncounted.note(excess, self.total, now)

    def may_buffer(self, held: int, size: int) -> bool:
        """Tell whether a part may be held beside ``held`` bytes.

        The first part always: otherwise answers that are read would stop.
        """
        if not held or held + size <= FREE_ANSWER_BYTES:
            return True
        return not self.is_full()

    def is_full(self) -> bool:
        """Tell whether the bound is reached."""
        return self.limit is not None and self.total >= self.limit

    def pick_to_cut(self, now: float) -> HeldAnswer | None:
        """Return the answer to cut; None if the host is not full.

        Also None if all are read, or may not be repeated: then runners are not
        read from until there is room.
        """
        if not self.is_full():
            return None
        unread = self._list_unread(now)
        return unread[0][1] if unread else None

    def relieve(self, now: float) -> None:
        """Cut unread answers if the host is full."""
        if not self.is_full() or now - self._searched_at < SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        for since, answer in self._list_unread(now):
            if self.limit is None or self.total < self.limit * CUT_SHARE:
                return
            self._cut(answer, since, now)

    def end_unread(
        self, answer: HeldAnswer, unread_s: float, now: float
    ) -> None:
        """Cut an answer after its deadline if it was unread for a time."""
        if now < answer.deadline_at or not answer.is_unread(now):
            return
        since = answer.unread_since
        if since is not None and now - since >= unread_s:
            self._cut(answer, since, now)

    def _cut(self, answer: HeldAnswer, since: float, now: float) -> None:
        self.cut += 1
        eliot.log_message(
            'gateway:answer_cut',
            attempt=answer.attempt,
            unread_s=round(now - since, 3),
            bytes=answer.bytes,
            held=self.total,
            limit=self.limit,
        )
        answer.on_cut()
        answer.close()

    def _list_unread(self, now: float) -> list[tuple[float, HeldAnswer]]:
        # Those that may be cut, the longest unread first.
        found = [
            (answer.unread_since, answer)
            for answer in self._answers.values()
            if answer.kind is Kind.REPEATABLE
            and answer.is_unread(now)
            and answer.unread_since is not None
        ]
        found.sort(key=lambda item: item[0])
        return found
