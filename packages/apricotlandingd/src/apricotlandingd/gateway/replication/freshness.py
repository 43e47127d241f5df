"""Age of the store's newest answer, as known to a group of hosts.

An answer, with or without records, proves that its host knew everything that
the store held at that moment. Hosts tell each other the age of their newest
answer to each topic. A host that has all records of the reporting peer may
count that answer as its own; one that lacks some must fetch them first
(``catchup``).

In a system of several groups, a few hosts of each group read the store. They
send the age of their group's newest answer to hosts of other groups. Hosts
that do not read forward such ages within their own group, and no further: each
message adds a delay that the age does not contain, so an answer that hosts
repeated to each other without limit would never seem to grow old.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import timing

__all__ = ['Freshness', 'Readers']

# Largest age in a message. Older answers carry no information.
MAX_REPORTED_AGE_S = 60.0
MS_PER_S = 1000


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Readers:
    """The hosts that read the store, as seen by one host."""

    # Without this host.
    others: tuple[ids.Host, ...]
    own: ids.Host
    # This host reads too; hosts that do not get records from readers.
    is_reading: bool

    @property
    def count(self) -> int:
        """Return the number of readers if this host reads."""
        return len(self.others) + 1

    @property
    def index(self) -> int:
        """Return this host's index among the readers, by name."""
        return sum(host < self.own for host in self.others)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    # When the store answered, on this host's clock.
    at: float
    # Next offset after the records that the answering host knew.
    position: int
    # A host of this group got it; answers of others are not forwarded.
    is_from_group: bool


@ty.final
class Freshness:
    """Newest answers to each topic, of this host and its peers."""

    def __init__(
        self, replica: records.Replica, bounds: dict[dialect.Topic, float]
    ) -> None:
        """Start without any answer.

        ``bounds`` are the seconds after which a change must be known.
        """
        self._replica = replica
        self.timing: dict[dialect.Topic, timing.Timing] = {}
        self._bounds: dict[dialect.Topic, float] = {}
        self.set_bounds(bounds)
        self._own: dict[dialect.Topic, float] = {}
        # Near peers were sent the ages of the newest answers.
        self._is_announced = True
        # Answers of near peers, and the newest one of far peers.
        self._near: dict[ids.Host, dict[dialect.Topic, _Answer]] = {}
        self._far: dict[dialect.Topic, _Answer] = {}
        # Newest answer of a peer that has told of a later one since. This host
        # knew all records of the earlier one.
        self._replaced: dict[dialect.Topic, float] = {}
        # Called with the topic and the time of each answer that this host
        # learns of. Set by the handler of registrations.
        self.on_answer: collections.abc.Callable[
            [dialect.Topic, float], None
        ] = lambda topic, at: None

    def set_bounds(self, bounds: dict[dialect.Topic, float]) -> None:
        """Replace the operators' bounds."""
        self._bounds = bounds
        self.timing = {
            topic: timing.derive_timing(bound)
            for topic, bound in bounds.items()
        }

    def record_answer(self, topic: dialect.Topic, at: float) -> None:
        """Record an answer of the store to this host."""
        self._own[topic] = max(at, self._own.get(topic, at))
        self._is_announced = False
        self.on_answer(topic, at)

    def update_near(
        self,
        host: ids.Host,
        ages_ms: list[int],
        positions: list[int],
        is_own: bool,
        now: float,
    ) -> None:
        """Store the answer ages of a near peer, in the order of the topics.

        ``is_own`` says that the peer itself got these answers.
        """
        if not ages_ms:
            return
        self._retain(self._near.get(host, {}))
        self._near[host] = _make_answers(ages_ms, positions, is_own, now)
        for topic, answer in self._near[host].items():
            self.on_answer(topic, answer.at)

    def update_far(
        self,
        host: ids.Host,
        ages_ms: list[int],
        positions: list[int],
        now: float,
    ) -> None:
        """Store the answer ages that a far peer sent for its group."""
        # The peer may have been near before.
        self.forget(host)
        answers = _make_answers(ages_ms, positions, False, now)
        for topic, answer in answers.items():
            self.on_answer(topic, answer.at)
            if answer.position > self._replica.positions[topic]:
                continue
            newest = self._find_newest(topic)
            if newest is not None and answer.at <= newest:
                continue
            self._far[topic] = answer
            limits = self.timing[topic]
            if (
                newest is None
                or answer.at - newest > limits.forward_threshold_s
            ):
                self._is_announced = False

    def forget(self, host: ids.Host) -> None:
        """Drop the answers of a peer."""
        self._retain(self._near.pop(host, {}))

    def count_group_hosts(self) -> int:
        """Return the number of hosts in the group, including this one."""
        return 1 + len(self._near)

    def list_near_ages(
        self, now: float, is_reader: bool, is_full_state: bool
    ) -> list[int]:
        """Return the answer ages to send to near peers.

        These are the ages of this host's own answers if it reads the store,
        and otherwise of the newest ones, including other groups'. Between full
        states only new answers are sent: each host sends up to fifty messages
        a second, and few of them follow an answer.
        """
        if self._is_announced and not is_full_state:
            return []
        self._is_announced = True
        return [
            _round_age(self._find_reported(topic, is_reader), now)
            for topic in records.TOPICS
        ]

    def list_group_ages(self, now: float) -> list[int]:
        """Return the ages of the group's newest answers for far peers."""
        return [
            _round_age(self._find_group_newest(topic), now)
            for topic in records.TOPICS
        ]

    def find_due(
        self, topic: dialect.Topic, now: float, readers: Readers
    ) -> float:
        """Return when this host may probe the store.

        The host whose own answer is the oldest goes first, because its reads
        then end at another time than those of the other hosts.
        """
        newest = self._find_newest(topic)
        if newest is None:
            return now
        limits = self.timing[topic]
        due = newest + limits.max_answer_age_s
        if now < due:
            return due
        return (
            due
            + self._count_hosts_ahead(topic, readers) * limits.probe_stagger_s
        )

    def is_current(self, topic: dialect.Topic, now: float) -> bool:
        """Tell whether all changes before the topic's bound are known."""
        newest = self._find_newest(topic)
        return newest is not None and now - newest <= self._bounds[topic]

    def find_known_at(self, topic: dialect.Topic) -> float | None:
        """Return a time at which the store held nothing that is unknown here.

        What this host lacks was accepted after that. None if no answer is
        known.
        """
        found = [
            at
            for at in (self._find_newest(topic), self._replaced.get(topic))
            if at is not None
        ]
        return max(found, default=None)

    def _retain(self, replaced: dict[dialect.Topic, _Answer]) -> None:
        for topic, answer in replaced.items():
            if answer.position > self._replica.positions[topic]:
                continue
            known_at = self._replaced.get(topic, answer.at)
            self._replaced[topic] = max(known_at, answer.at)

    def _find_reported(
        self, topic: dialect.Topic, is_reader: bool
    ) -> float | None:
        own = self._own.get(topic)
        far = self._far.get(topic)
        if is_reader or far is None:
            return own
        return far.at if own is None else max(own, far.at)

    def _find_newest(self, topic: dialect.Topic) -> float | None:
        known = self._replica.positions[topic]
        found = [
            answers[topic].at
            for answers in self._near.values()
            if topic in answers and answers[topic].position <= known
        ]
        if topic in self._own:
            found.append(self._own[topic])
        if topic in self._far:
            found.append(self._far[topic].at)
        return max(found, default=None)

    def _find_group_newest(self, topic: dialect.Topic) -> float | None:
        known = self._replica.positions[topic]
        newest = self._own.get(topic)
        for answers in self._near.values():
            answer = answers.get(topic)
            if answer is None or not answer.is_from_group:
                continue
            if answer.position > known:
                continue
            if newest is None or answer.at > newest:
                newest = answer.at
        return newest

    def _count_hosts_ahead(
        self, topic: dialect.Topic, readers: Readers
    ) -> int:
        if not readers.is_reading:
            # Readers go first, however recent this host's last answer is.
            return readers.count + sum(
                host < readers.own for host in self._near
            )
        own = self._own.get(topic, 0.0)
        stagger_s = self.timing[topic].probe_stagger_s
        count = 0
        for host in readers.others:
            answer = self._near.get(host, {}).get(topic)
            if answer is None:
                continue
            # Host names break ties between answers of about the same time,
            # since message delays differ by a few milliseconds.
            is_older = answer.at < own - stagger_s
            is_same = abs(answer.at - own) <= stagger_s
            if is_older or (is_same and host < readers.own):
                count += 1
        return count


def _make_answers(
    ages_ms: list[int],
    positions: list[int],
    is_from_group: bool,
    now: float,
) -> dict[dialect.Topic, _Answer]:
    # Negative ages count as zero: an answer in the future would hide lost
    # reads until its time had come.
    return {
        topic: _Answer(
            now - max(0, age_ms) / MS_PER_S, position, is_from_group
        )
        for topic, age_ms, position in zip(
            records.TOPICS, ages_ms, positions, strict=False
        )
    }


def _round_age(at: float | None, now: float) -> int:
    # Integer milliseconds take three bytes in a message; float seconds take
    # nine.
    age = (
        MAX_REPORTED_AGE_S if at is None else min(MAX_REPORTED_AGE_S, now - at)
    )
    return max(0, round(age * MS_PER_S))
