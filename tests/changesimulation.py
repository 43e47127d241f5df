"""How long hosts go by what the store no longer holds, in simulated time.

The hosts' replicas, ages of answers, turns to probe and directories are those
of the product; the store, its reads and the messages between hosts are
simulated in steps. A scene accepts one change, and tells how long after that
the last host went by the old state.
"""

import dataclasses
import enum
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import storereader
from apricotlandingd.gateway.replication import timing
from apricotlandingd.gateway.runners import directory
import gatewayparts

__all__ = ['Kind', 'Scene', 'System', 'play']

STEP_S = 0.01
# One way from a host to the store and back, and a message between hosts.
ANSWER_S = 0.01
MESSAGE_S = 0.02
# Interval of messages without news, and of the passes that drop runners.
HEARTBEAT_S = 0.25
PUMP_S = 0.02
# Time from a message of a peer that is ahead to its records.
FETCH_S = 0.08
READ_MARGIN_S = 1.0
PROBE_TIMEOUT_S = 1.0
RUNNER = ids.Runner('r1')
CONFIG_KEY = 'config'


class Kind(enum.Enum):
    """What changes at the store."""

    LEAVING = 'leaving'
    REMOVED = 'removed'
    CONFIG = 'config'
    # A version of the configuration that lacks a key.
    REVOKED = 'revoked'


@dataclasses.dataclass(frozen=True)
class Scene:
    """What happens; times in seconds."""

    kind: Kind
    hosts: int = 5
    bound_s: float = 2.0
    # Length of an outage before, and from its end to the gap.
    outage_s: float = 0.0
    calm_s: float = 5.0
    # Waiting reads are cut, and new ones hear nothing for this time.
    gap_s: float = 1.0
    # The share of the gap that has passed when the change is accepted.
    accepted_share: float = 0.0


@dataclasses.dataclass
class _Silence:
    begins_at: float
    ends_at: float


class _Store:
    def __init__(self) -> None:
        self.records: dict[dialect.Topic, list[dialect.Record]] = {
            topic: [] for topic in records.TOPICS
        }
        self.silences: list[_Silence] = []

    def write(
        self, topic: dialect.Topic, key: str, value: bytes | None
    ) -> None:
        offset = len(self.records[topic])
        self.records[topic].append(dialect.Record(key, offset, value))

    def is_silent(self, first: float, last: float) -> bool:
        """Tell whether a call that is open between two times is lost."""
        return any(
            first < silence.ends_at and last >= silence.begins_at
            for silence in self.silences
        )

    def read(self, topic: dialect.Topic, offset: int) -> dialect.Batch:
        found = self.records[topic]
        return dialect.Batch(tuple(found[offset:]), len(found))


class _Reader:
    """The reads of one host and topic, as ``storereader`` makes them."""

    def __init__(
        self, topic: dialect.Topic, host: '_Host', rng: random.Random
    ) -> None:
        self.topic = topic
        self._host = host
        self._rng = rng
        self._began_at = 0.0
        self._wait_s = 0.0
        self._is_polling = False
        self._resumes_at = rng.uniform(0.0, 0.5)
        self._retry_s = storereader.INITIAL_RETRY_DELAY_S
        self._had_records = False
        # Times at which the probes on their way were sent.
        self._probes: list[float] = []

    def step(self, now: float) -> None:
        readers = self._host.find_readers()
        ages = self._host.freshness
        if ages.find_due(self.topic, now, readers) <= now:
            self._is_polling = False
            self._probe(now)
            return
        self._probes.clear()
        if not self._is_polling:
            if now >= self._resumes_at:
                self._begin_poll(now, readers)
            return
        self._poll(now)

    def _begin_poll(self, now: float, readers: freshness.Readers) -> None:
        limits = self._host.freshness.timing[self.topic]
        self._wait_s = timing.find_read_wait(limits, readers.count)
        if self._had_records:
            self._wait_s = timing.find_staggered_wait(
                limits, readers.index, readers.count
            )
        self._began_at = now
        self._is_polling = True

    def _poll(self, now: float) -> None:
        store = self._host.store
        if store.is_silent(self._began_at, now):
            is_cut = not store.is_silent(self._began_at, self._began_at)
            limit_s = self._wait_s + READ_MARGIN_S
            if is_cut or now >= self._began_at + limit_s:
                self._fail(now)
            return
        position = self._host.replica.positions[self.topic]
        if (
            len(store.records[self.topic]) > position
            or now >= self._began_at + self._wait_s
        ):
            self._answer(now)

    def _probe(self, now: float) -> None:
        for sent_at in list(self._probes):
            if now < sent_at + ANSWER_S:
                continue
            if not self._host.store.is_silent(sent_at, sent_at + ANSWER_S):
                self._probes.clear()
                self._answer(now)
                # The other topic follows at once.
                self._host.probes_at = now
                return
            if now >= sent_at + PROBE_TIMEOUT_S:
                self._probes.remove(sent_at)
                self._host.directory.note_outage(now)
        if now >= self._host.probes_at:
            limits = self._host.freshness.timing[self.topic]
            interval_s = timing.find_probe_interval(limits, self._host.count)
            self._host.probes_at = now + interval_s * self._rng.uniform(
                0.8, 1.2
            )
            # The topics take turns.
            self._host.readers.reverse()
            self._probes.append(now)

    def _answer(self, now: float) -> None:
        position = self._host.replica.positions[self.topic]
        batch = self._host.store.read(self.topic, position)
        self._had_records = bool(batch.records)
        self._host.apply(self.topic, batch, now)
        self._host.freshness.record_answer(self.topic, now)
        self._host.has_news = True
        self._is_polling = False
        self._retry_s = storereader.INITIAL_RETRY_DELAY_S
        pause_s = storereader.BATCH_PAUSE_S if self._had_records else 0.0
        self._resumes_at = now + pause_s

    def _fail(self, now: float) -> None:
        self._host.directory.note_outage(now)
        self._is_polling = False
        self._resumes_at = now + self._retry_s * self._rng.uniform(0.7, 1.3)
        self._retry_s = min(storereader.MAX_RETRY_DELAY_S, 2 * self._retry_s)


class _Host:
    def __init__(
        self, number: int, scene: Scene, store: _Store, rng: random.Random
    ) -> None:
        self.name = ids.Host(f'host-{number}')
        self.count = scene.hosts
        self.store = store
        self.replica = records.Replica()
        self.directory = directory.Directory(scene.bound_s)
        self.freshness = freshness.Freshness(
            self.replica, dict.fromkeys(records.TOPICS, scene.bound_s)
        )
        self.freshness.on_answer = self._note_answer
        self.replica.add_observer(self._observe)
        self.others: list[_Host] = []
        self.version = b''
        self.has_news = False
        self._now = 0.0
        self.readers = [_Reader(topic, self, rng) for topic in records.TOPICS]
        # When it may send its next probe, of either topic.
        self.probes_at = 0.0
        self._sends_at = rng.uniform(0.0, HEARTBEAT_S)
        # What arrives later: the time, the sender, ages and positions.
        self._inbox: list[tuple[float, _Host, list[int], list[int]]] = []
        self._fetches: list[tuple[float, _Host]] = []
        self._expires_at = 0.0

    def find_readers(self) -> freshness.Readers:
        names = tuple(other.name for other in self.others)
        return freshness.Readers(names, self.name, True)

    def goes_by_old(self, kind: Kind) -> bool:
        if kind in (Kind.CONFIG, Kind.REVOKED):
            return self.version != b'new'
        return bool(self.directory.list_open(gatewayparts.POOL))

    def apply(
        self, topic: dialect.Topic, batch: dialect.Batch, now: float
    ) -> None:
        self._now = now
        self.replica.apply(topic, batch, is_snapshot=False)

    def step(self, now: float) -> None:
        self._receive(now)
        for reader in list(self.readers):
            reader.step(now)
        if self.has_news or now >= self._sends_at:
            self.has_news = False
            self._sends_at = now + HEARTBEAT_S
            ages = self.freshness.list_near_ages(now, True, True)
            positions = records.list_positions(self.replica.positions)
            for other in self.others:
                other.deliver(now + MESSAGE_S, self, ages, positions)
        if now >= self._expires_at:
            self._expires_at = now + PUMP_S
            self.directory.expire(now)

    def deliver(
        self, at: float, sender: '_Host', ages: list[int], known: list[int]
    ) -> None:
        self._inbox.append((at, sender, ages, known))

    def _receive(self, now: float) -> None:
        while self._inbox and self._inbox[0][0] <= now:
            _, sender, ages, known = self._inbox.pop(0)
            self.freshness.update_near(sender.name, ages, known, True, now)
            if records.is_ahead(known, self.replica.positions):
                self._fetches.append((now + FETCH_S, sender))
        while self._fetches and self._fetches[0][0] <= now:
            _, sender = self._fetches.pop(0)
            for topic in records.TOPICS:
                position = self.replica.positions[topic]
                self.apply(
                    topic, sender.replica.list_since(topic, position), now
                )

    def _note_answer(self, topic: dialect.Topic, at: float) -> None:
        if topic == dialect.RUNNERS:
            self.directory.note_answer(at)

    def _observe(self, topic: dialect.Topic, record: dialect.Record) -> bool:
        if topic == dialect.CONFIG:
            self.version = record.value or b''
        elif record.value is None:
            known_at = self.freshness.find_known_at(topic)
            self.directory.remove(RUNNER, self._now, known_at)
        else:
            entry = gatewayparts.make_entry(
                RUNNER, is_draining=record.value == b'draining'
            )
            self.directory.update(entry, self._now)
        return False


@ty.final
class System:
    """Hosts and a store in simulated time."""

    def __init__(self, scene: Scene, seed: int) -> None:
        rng = random.Random(seed)
        self.store = _Store()
        self.store.write(dialect.CONFIG, CONFIG_KEY, b'old')
        self.store.write(dialect.RUNNERS, RUNNER, b'open')
        self.hosts = [
            _Host(number, scene, self.store, rng)
            for number in range(scene.hosts)
        ]
        for host in self.hosts:
            host.others = [other for other in self.hosts if other is not host]
        # Seconds in which hosts find the rhythm of their reads.
        self.now = 0.0
        self.run_until(8.0 + rng.uniform(0.0, 2.0))

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self.now < end:
            self.step()

    def step(self) -> None:
        """Let one step of time pass."""
        self.now += STEP_S
        for host in self.hosts:
            host.step(self.now)

    def silence(self, seconds: float) -> None:
        """Cut the reads that wait, and answer none that begins meanwhile."""
        self.store.silences.append(_Silence(self.now, self.now + seconds))

    def accept(self, kind: Kind) -> None:
        """Let the store accept a change."""
        if kind is Kind.LEAVING:
            self.store.write(dialect.RUNNERS, RUNNER, b'draining')
        elif kind is Kind.REMOVED:
            self.store.write(dialect.RUNNERS, RUNNER, None)
        else:
            self.store.write(dialect.CONFIG, CONFIG_KEY, b'new')


def play(scene: Scene, seed: int) -> float:
    """Return for how long after the change a host went by the old state."""
    system = System(scene, seed)
    if scene.outage_s:
        system.silence(scene.outage_s)
        system.run_until(system.now + scene.outage_s)
    system.run_until(system.now + scene.calm_s)
    begins_at = system.now
    if scene.gap_s:
        system.silence(scene.gap_s)
    system.run_until(begins_at + scene.gap_s * scene.accepted_share)
    system.accept(scene.kind)
    accepted_at = last_at = system.now
    while system.now < accepted_at + 3 * scene.bound_s:
        system.step()
        if any(host.goes_by_old(scene.kind) for host in system.hosts):
            last_at = system.now
    return last_at - accepted_at
