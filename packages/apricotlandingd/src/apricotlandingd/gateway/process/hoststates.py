"""What this host tells the others: its part of ``messages``, put together.

``mesh`` sends it; what each field means stands in ``messages``.
"""

import collections.abc
import typing as ty

from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records

__all__ = ['HostStates']


@ty.final
class HostStates:
    """Writes this host's messages from what its parts hold."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        incarnation: ids.Incarnation,
        board: records.Board,
        ages: freshness.Freshness,
        shared: allowances.Allowances,
        schedule: scheduler.Scheduler,
        others: mesh.Mesh,
        reads_store: collections.abc.Callable[[float], bool],
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        """Take the parts that the messages are made from."""
        self._config = config
        self._incarnation = incarnation
        self._process = messages.digest_process(incarnation)
        self._board = board
        self._ages = ages
        self._shared = shared
        self._schedule = schedule
        self._others = others
        self._reads_store = reads_store
        self._is_stopping = is_stopping
        # Totals that near peers were told with the last whole state.
        self._told_usage: quotas.Usage = {}

    def make_state(
        self, number: int, scope: mesh.Scope, hints: dict[ids.Host, str]
    ) -> messages.HostState:
        """Return the whole state for hosts of a kind."""
        now = clocks.read_monotonic()
        asked = group_asked = group_used = quotas.Usage()
        if self._others.partition.count > 1:
            asked = _round_units(self._shared.buckets.list_asked(now))
            group_asked = _round_units(self._shared.sum_group_asked(asked))
        running: dict[ids.RunnerStart, int] = {}
        ranks: dict[ids.Pool, list[waiting.Rank]] = {}
        usage = _round_units(self._shared.buckets.usage)
        if scope is not mesh.Scope.WHOLE:
            group_used = _round_units(self._shared.list_used(now))
        if scope is mesh.Scope.FAR:
            ages = self._ages.list_group_ages(now)
        else:
            running = dict(self._schedule.places.running)
            ranks = self._list_ranks(now)
            ages = self._list_near_ages(now, is_whole=True)
        levels = quotas.Usage()
        if scope is mesh.Scope.WHOLE:
            self._told_usage = usage
            levels = _round_units(self._shared.list_levels(now))
        return messages.HostState(
            host=self._config.host,
            incarnation=self._incarnation,
            state_address=str(self._config.state),
            peers_address=str(self._config.peers),
            number=number,
            is_stopping=self._is_stopping(),
            reads_store=self._reads_store(now),
            positions=records.list_positions(self._board.positions),
            running=running,
            usage=usage,
            ranks=ranks,
            hints=hints,
            asked=asked,
            group_asked=group_asked,
            answer_ages=ages,
            group_used=group_used,
            hosts=self._shared.count_hosts(now),
            levels=levels,
        )

    def make_change(self, number: int) -> messages.HostChange:
        """Return what near peers decide by and may have changed."""
        now = clocks.read_monotonic()
        running = messages.digest_starts(self._schedule.places.running)
        usage = _round_units(self._shared.buckets.usage)
        return messages.HostChange(
            process=self._process,
            number=number,
            is_stopping=self._is_stopping(),
            reads_store=self._reads_store(now),
            positions=records.list_positions(self._board.positions),
            running=running,
            usage={
                name: units
                for name, units in usage.items()
                if units != self._told_usage.get(name)
            },
            ranks=self._list_ranks(now),
            answer_ages=self._list_near_ages(now, is_whole=False),
        )

    def _list_near_ages(self, now: float, is_whole: bool) -> list[int]:
        return self._ages.list_near_ages(now, self._reads_store(now), is_whole)

    def _list_ranks(self, now: float) -> dict[ids.Pool, list[waiting.Rank]]:
        return {
            service: [
                rank.shift(-now) for rank in items[: mesh.RANKS_PER_MESSAGE]
            ]
            for service, items in self._schedule.list_waiting(now).items()
        }


def _round_units(units: quotas.Usage) -> quotas.Usage:
    # Whole numbers take three to five bytes, others nine; totals that are
    # rounded each time drift by less than one unit.
    return {name: round(number) for name, number in units.items()}
