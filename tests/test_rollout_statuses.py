"""The status of a roll-out: one outcome, whoever writes it and when."""

import collections.abc
import dataclasses
import itertools
import types
import typing as ty

import testtools

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.rollouts import orders
from apricotlandingd.gateway.rollouts import statuswriter

SERVICE = ids.Pool('pool')
ORDER = orders.Order(SERVICE, ids.Release('v2'), 12.0, 7)
# Each writer reads, and then appends.
STEPS = 2
WRITERS = 3


@types.coroutine
def pause() -> collections.abc.Generator[None, None, None]:
    """Let the test run another writer."""
    yield


@dataclasses.dataclass
class FakeStore:
    """A log with conditional appends, whose calls pause before they act."""

    records: list[orders.Status] = dataclasses.field(default_factory=list)
    # The append with this number is not answered; a late one is carried out
    # after all others.
    unanswered: int | None = None
    is_late: bool = False
    late: list[tuple[orders.Status, int]] = dataclasses.field(
        default_factory=list
    )
    appends: int = 0

    async def read_status(self, service: ids.Pool) -> orders.StatusPage:
        await pause()
        newest = self.records[-1] if self.records else None
        return orders.StatusPage(len(self.records), newest)

    async def write_status(
        self, service: ids.Pool, status: orders.Status, page: orders.StatusPage
    ) -> bool:
        end_offset = page.end_offset
        await pause()
        number = self.appends
        self.appends += 1
        if number == self.unanswered:
            if self.is_late:
                self.late.append((status, end_offset))
            else:
                self.append(status, end_offset)
            raise dialect.StoreUnavailable('no answer')
        return self.append(status, end_offset)

    def append(self, status: orders.Status, end_offset: int) -> bool:
        if len(self.records) != end_offset:
            return False
        self.records.append(status)
        return True


def write(
    store: FakeStore, phase: orders.Phase
) -> collections.abc.Coroutine[None, None, orders.Status | None]:
    writer = statuswriter.StatusWriter(store, lambda service: True)
    return writer.write(ORDER, phase, 1.0)


def run_interleaved(
    store: FakeStore, schedule: tuple[int, ...], phases: list[orders.Phase]
) -> list[orders.Status | None]:
    """Run one writer for each phase, step by step."""
    running: list[ty.Any] = [write(store, phase) for phase in phases]
    results: list[orders.Status | None] = [None] * len(phases)
    for writer in running:
        writer.send(None)
    for number in schedule:
        try:
            running[number].send(None)
        except StopIteration as stop:
            results[number] = stop.value
        except (dialect.StoreUnavailable, RuntimeError):
            continue
    for writer in running:
        writer.close()
    for status, end_offset in store.late:
        store.append(status, end_offset)
    return results


class StatusWriterTest(testtools.TestCase):
    """Deciders that overlap, were frozen, or got no answer."""

    def test_no_order_gets_two_outcomes(self) -> None:
        """A frozen host wrote another outcome than its successor.

        All interleavings of three hosts that write at the same time, with no
        answer lost, each one lost, and each one carried out late.
        """
        phases = [
            orders.Phase.COMPLETED,
            orders.Phase.ROLLED_BACK,
            orders.Phase.COMPLETED,
        ]
        numbers = [number for number in range(WRITERS) for _ in range(STEPS)]
        for schedule in set(itertools.permutations(numbers)):
            for unanswered in (None, 0, 1, 2):
                for is_late in (False, True):
                    store = FakeStore(unanswered=unanswered, is_late=is_late)
                    results = run_interleaved(store, schedule, phases)
                    self.check(store, results)

    def check(
        self, store: FakeStore, results: list[orders.Status | None]
    ) -> None:
        finals = {item.phase for item in store.records if item.phase.is_final}
        self.assertLessEqual(len(finals), 1)
        believed = {item.phase for item in results if item is not None}
        self.assertLessEqual(believed, finals)

    def test_crashed_host_is_followed_with_its_outcome(self) -> None:
        """A host that died after its write was followed by another outcome."""
        store = FakeStore()
        run_interleaved(store, (0, 0), [orders.Phase.ROLLED_BACK])
        found = run_interleaved(store, (0, 0), [orders.Phase.COMPLETED])
        self.assertEqual(
            orders.Phase.ROLLED_BACK, ty.cast(ty.Any, found[0]).phase
        )
        self.assertEqual(1, len(store.records))

    def test_status_of_an_earlier_order_is_replaced(self) -> None:
        """The outcome of one order was taken for that of the next."""
        earlier = orders.Status(
            ORDER.release, orders.Phase.ROLLED_BACK, 3, 1.0
        )
        store = FakeStore([earlier])
        run_interleaved(store, (0, 0), [orders.Phase.TRIAL])
        self.assertEqual(2, len(store.records))

    def test_host_that_no_longer_decides_writes_nothing(self) -> None:
        """A host wrote after another one had begun to decide."""
        store = FakeStore()
        writer = statuswriter.StatusWriter(store, lambda service: False)
        running: ty.Any = writer.write(ORDER, orders.Phase.COMPLETED, 1.0)
        running.send(None)
        self.assertRaises(StopIteration, running.send, None)
        self.assertEqual([], store.records)
