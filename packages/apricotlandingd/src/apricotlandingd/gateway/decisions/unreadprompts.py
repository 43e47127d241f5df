"""Prompts that runners have been sent and have not read yet.

Answers bursts of long prompts. A runner reads prompts in order of arrival, so
the first event of a request waits for the prompts before it, and the answers
that run there pause meanwhile. Its free slots show neither. So each runner
has an estimate of the tokens that it has not read yet, from the tokens sent
and its reading speed. A first event shows that the runner has read everything
sent before that request, and corrects the estimate.

The speed is learned from the times of first events, less what the runner had
to read before. A runner that states how slow its machine is now is taken to
read as much slower.

The backlog is kept in tokens, not in seconds. Seconds become wrong whenever
the learned speed changes: the tokens derived from them were too many for a
speed learned as too high, which raised it further.
"""

import collections
import dataclasses
import statistics
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.runners import slowness

__all__ = ['Prediction', 'UnreadPrompts']

# Estimates before any first event; see ``runners.latency``.
DEFAULT_BASE_S = 0.05
DEFAULT_TOKEN_S = 1.5e-5
# Weight of the newest first event: the speeds of a service's runners differ
# several times over, and a new runner should be known after a few requests.
NEWEST_WEIGHT = 0.3
# First events after fewer tokens show the base time, others the speed.
MIN_SPEED_TOKENS = 1000
# Largest share of the time to a first event that is taken for its base time
# when the speed is learned from it.
MAX_BASE_SHARE = 0.5
# Shortest base time, and time for a token, that are learned.
MIN_BASE_S = 0.002
MIN_TOKEN_S = 1e-7
# Requests whose first event did not come are forgotten after this time.
MAX_PENDING_AGE_S = 15.0
# Most requests at one runner whose first events are waited for.
MAX_PENDING = 128
# Newest prompts of a runner whose times of reading are kept. They are deducted
# from about a second of an answer's time, in which a runner reads fewer
# prompts, as it has fewer slots.
MAX_READINGS = 16


class Prediction(ty.NamedTuple):
    """What to expect of a request at a runner."""

    # Seconds to its first event, and of them to read its own prompt.
    first_s: float
    read_s: float
    # Seconds for which the runner reads prompts, its own included.
    reading_s: float


class _Pending(ty.NamedTuple):
    # Tokens to read before the first event, the own prompt's included, and
    # those of the own prompt.
    tokens: float
    own_tokens: int
    sent_at: float
    # Its place in the order of sending.
    number: int


@ty.final
@dataclasses.dataclass(slots=True)
class _Record:
    # Learned, for a machine of the usual speed; None before the first event.
    base_s: float | None = None
    token_s: float | None = None
    # Tokens that it had not read yet at a time.
    unread: float = 0.0
    counted_at: float = 0.0
    # Number of requests sent, and the newest whose first event has come.
    sent: int = 0
    read: int = 0
    # By the last part and the length of the prompt, in order of sending.
    pending: dict[tuple[str, int], _Pending] = dataclasses.field(
        default_factory=dict
    )
    # When it read prompts: begins and ends.
    readings: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_READINGS)
    )

    def find_unread(self, token_s: float, now: float) -> float:
        """Return the tokens not read yet at a reading speed."""
        return max(0.0, self.unread - (now - self.counted_at) / token_s)

    def add(self, tokens: int, token_s: float, at: float) -> None:
        """Count tokens that are sent."""
        at = max(at, self.counted_at)
        self.unread = self.find_unread(token_s, at) + tokens
        self.counted_at = at

    def recount(self, read: _Pending, token_s: float, read_at: float) -> None:
        """Correct the count by a prompt that was read at ``read_at``.

        Prompts are read in order, so only those sent after it may be unread.
        """
        if read.number < self.read:
            # The first event of a later prompt was reported before.
            return
        self.read = read.number
        self.unread, self.counted_at = 0.0, read_at
        for pending in self.pending.values():
            if pending.number > read.number:
                self.add(pending.own_tokens, token_s, pending.sent_at)


@ty.final
class UnreadPrompts:
    """Reading speeds of runners, and what they have not read yet."""

    def __init__(self, stated: slowness.StatedSlowness) -> None:
        """Start without runners; ``stated`` is how slow their machines are."""
        self._stated = stated
        self._records: dict[ids.RunnerStart, _Record] = {}
        self._services: dict[ids.Pool, set[ids.RunnerStart]] = {}
        # Median estimates of a service, until a first event comes.
        self._medians: dict[ids.Pool, tuple[float, float]] = {}

    def predict(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        tokens: int,
        now: float,
    ) -> Prediction:
        """Predict a request whose runner has to read so many tokens."""
        base_s, token_s = self._find_speed(service, start, now)
        record = self._records.get(start)
        unread_s = 0.0
        if record is not None and record.unread:
            unread_s = record.find_unread(token_s, now) * token_s
        read_s = tokens * token_s
        reading_s = unread_s + read_s
        return Prediction(base_s + reading_s, read_s, reading_s)

    def note_sent(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        part: str,
        prompt_tokens: int,
        unread_tokens: int,
        now: float,
    ) -> None:
        """Count a request that is sent; part of its prompt may be cached."""
        _, token_s = self._find_speed(service, start, now)
        record = self._open(service, start)
        record.add(unread_tokens, token_s, now)
        record.sent += 1
        read_at = now + record.unread * token_s
        record.readings.append((read_at - unread_tokens * token_s, read_at))
        if len(record.pending) >= MAX_PENDING:
            _drop_oldest(record, now)
        # The newest is the last one.
        record.pending.pop((part, prompt_tokens), None)
        record.pending[part, prompt_tokens] = _Pending(
            record.unread, unread_tokens, now, record.sent
        )

    def note_first_event(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        part: str,
        prompt_tokens: int,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from the seconds to the first event of a request."""
        record = self._open(service, start)
        pending = record.pending.pop((part, prompt_tokens), None)
        tokens = float(prompt_tokens) if pending is None else pending.tokens
        ratio = self._stated.find_ratio(start, now)
        seconds /= ratio
        base_s, token_s = self._find_usual_speed(service, record)
        if tokens < MIN_SPEED_TOKENS:
            sample = max(MIN_BASE_S, seconds - tokens * token_s)
            record.base_s = _update_average(record.base_s, sample)
        else:
            # A guessed base time may exceed the whole.
            read_s = seconds - min(base_s, seconds * MAX_BASE_SHARE)
            sample = max(MIN_TOKEN_S, read_s / tokens)
            record.token_s = _update_average(record.token_s, sample)
        self._medians.pop(ids.parse_service(service), None)
        if pending is not None:
            _, token_s = self._find_speed(service, start, now)
            read_at = min(now, pending.sent_at + seconds * ratio)
            record.recount(pending, token_s, read_at)

    def find_read_time(
        self, start: ids.RunnerStart, since: float, until: float
    ) -> float:
        """Return the seconds between two times in which a runner read."""
        record = self._records.get(start)
        if record is None:
            return 0.0
        return sum(
            max(0.0, min(until, ends_at) - max(since, begins_at))
            for begins_at, ends_at in record.readings
        )

    def find_largest_backlog(self, now: float) -> float:
        """Return the most seconds for which a runner still reads prompts."""
        largest_s = 0.0
        for service, starts in self._services.items():
            for start in starts:
                found = self.predict(service, start, 0, now)
                largest_s = max(largest_s, found.reading_s)
        return largest_s

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._records) - starts:
            del self._records[start]
        for members in self._services.values():
            members &= starts
        self._medians.clear()

    def _find_speed(
        self, service: ids.Pool, start: ids.RunnerStart, now: float
    ) -> tuple[float, float]:
        ratio = self._stated.find_ratio(start, now)
        record = self._records.get(start)
        base_s, token_s = self._find_usual_speed(service, record)
        return base_s * ratio, token_s * ratio

    def _find_usual_speed(
        self, service: ids.Pool, record: _Record | None
    ) -> tuple[float, float]:
        if record is not None:
            if record.base_s is not None and record.token_s is not None:
                return record.base_s, record.token_s
        base_s, token_s = self._find_median(service)
        if record is None:
            return base_s, token_s
        if record.token_s is not None:
            # Where all prompts are long, the base time is never learned. A
            # guess of it is at most the time to read the shortest of them.
            guess = base_s * record.token_s / token_s
            limit = record.token_s * MIN_SPEED_TOKENS
            return min(guess, limit), record.token_s
        if record.base_s is not None:
            return record.base_s, token_s * record.base_s / base_s
        return base_s, token_s

    def _find_median(self, service: ids.Pool) -> tuple[float, float]:
        service = ids.parse_service(service)
        found = self._medians.get(service)
        if found is None:
            records = [
                self._records[start]
                for start in self._services.get(service, ())
            ]
            found = (
                _find_median(
                    [record.base_s for record in records], DEFAULT_BASE_S
                ),
                _find_median(
                    [record.token_s for record in records], DEFAULT_TOKEN_S
                ),
            )
            self._medians[service] = found
        return found

    def _open(self, service: ids.Pool, start: ids.RunnerStart) -> _Record:
        record = self._records.get(start)
        if record is None:
            record = self._records[start] = _Record()
            service = ids.parse_service(service)
            self._services.setdefault(service, set()).add(start)
        return record


def _drop_oldest(record: _Record, now: float) -> None:
    for key, pending in list(record.pending.items()):
        if now - pending.sent_at > MAX_PENDING_AGE_S:
            del record.pending[key]
    while len(record.pending) >= MAX_PENDING:
        del record.pending[next(iter(record.pending))]


def _find_median(values: list[float | None], default: float) -> float:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else default


def _update_average(old: float | None, newest: float) -> float:
    if old is None:
        return newest
    return old + (newest - old) * NEWEST_WEIGHT
