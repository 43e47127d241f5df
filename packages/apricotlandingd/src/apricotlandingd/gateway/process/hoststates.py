"""Builds the messages in which this host reports its state to other hosts.

``mesh`` sends them; ``messages`` documents their fields.
"""

import collections.abc
import typing as ty

from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.process import settings
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records

__all__ = ['HostStateBuilder']


@ty.final
class HostStateBuilder:
    """Builds this host's state messages from its components."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        incarnation: ids.Incarnation,
        replica: records.Replica,
        ages: freshness.Freshness,
        shared: allowances.Allowances,
        schedule: scheduler.Scheduler,
        others: mesh.Mesh,
        reads_store: collections.abc.Callable[[float], bool],
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        """Store the components that the messages are built from."""
        self._config = config
        self._incarnation = incarnation
        self._process = messages.digest_process(incarnation)
        self._replica = replica
        self._freshness = ages
        self._allowances = shared
        self._scheduler = schedule
        self._mesh = others
        self._reads_store = reads_store
        self._is_stopping = is_stopping
        # Totals in the last full state that near peers were sent.
        self._sent_usage: quotas.Usage = {}

    def make_state(
        self, number: int, scope: mesh.Scope, hints: dict[ids.Host, str]
    ) -> messages.HostState:
        """Return the full state for the hosts of a scope."""
        now = clocks.read_monotonic()
        asked = group_asked = group_used = quotas.Usage()
        if self._mesh.partition.count > 1:
            asked = _round_units(self._allowances.buckets.list_asked(now))
            group_asked = _round_units(self._allowances.sum_group_asked(asked))
        running: dict[ids.RunnerStart, int] = {}
        ranks: dict[ids.Pool, list[queueing.Rank]] = {}
        usage = _round_units(self._allowances.buckets.usage)
        if scope is not mesh.Scope.WHOLE:
            group_used = _round_units(self._allowances.list_used(now))
        if scope is mesh.Scope.FAR:
            ages = self._freshness.list_group_ages(now)
        else:
            running = dict(self._scheduler.held_slots.running)
            ranks = self._list_ranks(now)
            ages = self._list_near_ages(now, is_full_state=True)
        levels = quotas.Usage()
        if scope is mesh.Scope.WHOLE:
            self._sent_usage = usage
            levels = _round_units(self._allowances.list_levels(now))
        return messages.HostState(
            host=self._config.host,
            incarnation=self._incarnation,
            state_address=str(self._config.state),
            peers_address=str(self._config.peers),
            number=number,
            is_stopping=self._is_stopping(),
            reads_store=self._reads_store(now),
            positions=records.list_positions(self._replica.positions),
            running=running,
            usage=usage,
            ranks=ranks,
            hints=hints,
            asked=asked,
            group_asked=group_asked,
            answer_ages=ages,
            group_used=group_used,
            hosts=self._allowances.count_hosts(now),
            levels=levels,
        )

    def make_change(self, number: int) -> messages.HostChange:
        """Return the fields that near peers use and that may have changed."""
        now = clocks.read_monotonic()
        running = messages.digest_starts(self._scheduler.held_slots.running)
        usage = _round_units(self._allowances.buckets.usage)
        return messages.HostChange(
            process=self._process,
            number=number,
            is_stopping=self._is_stopping(),
            reads_store=self._reads_store(now),
            positions=records.list_positions(self._replica.positions),
            running=running,
            usage={
                name: units
                for name, units in usage.items()
                if units != self._sent_usage.get(name)
            },
            ranks=self._list_ranks(now),
            answer_ages=self._list_near_ages(now, is_full_state=False),
        )

    def _list_near_ages(self, now: float, is_full_state: bool) -> list[int]:
        return self._freshness.list_near_ages(
            now, self._reads_store(now), is_full_state
        )

    def _list_ranks(self, now: float) -> dict[ids.Pool, list[queueing.Rank]]:
        return {
            service: [
                rank.shift(-now) for rank in items[: mesh.RANKS_PER_MESSAGE]
            ]
            for service, items in self._scheduler.list_waiting(now).items()
        }


def _round_units(units: quotas.Usage) -> quotas.Usage:
    # Integers take three to five bytes in a message, floats nine. Totals are
    # rounded for each message, so they are off by less than one unit.
    return {name: round(number) for name, number in units.items()}
