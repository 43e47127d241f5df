"""This host's own copy of the organisations' allowances.

Connects the token buckets of this host (``quotas``) to the reports of the
other hosts (``mesh``). Near hosts report the units that they granted, which
are charged to the buckets here; other groups report the units that they are
asked for and grant per second (``groupusage``). Up to some twenty hosts all go
by their own buckets; in a larger system only hosts that reach no coordinator
of an allowance do (``sharedallowances``).
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import averages
from apricotlandingd.gateway.decisions import groupusage
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages

__all__ = ['Allowances']

# Seconds after the start of a process in which it grants nothing until it has
# read the list of hosts: hosts that start together would each take themselves
# for the only one. The list is read within 0.2 s of the start. If the store
# cannot be read, seeds and hints, which come twice a second, have named the
# other hosts within this time.
HOST_LIST_TIMEOUT_S = 1.0
# Seconds after the start of a process, plus one interval of the far hosts, in
# which its group has at most an equal share. Demand is averaged over two
# seconds: until all groups are heard with their own averages, each of the
# groups that start together takes the others for idle.
STARTUP_WINDOW_S = 3.0
# Time constant of the exponential average of the granted units, in seconds.
USAGE_DECAY_S = 1.0
# Seconds in which another group may grant what it is asked for before this
# host hears of it: the interval between its messages, and the lag of the
# average that it reports.
REMOTE_USAGE_LAG_S = 1.0
# Share of the operators' slack that covers units granted by other groups and
# not heard of yet. A quarter is for what buckets hold beyond their burst, and
# the last quarter for hosts that start.
REMOTE_USAGE_SLACK_SHARE = 0.5
# Share of the operators' slack that all hosts together may grant before they
# hear each other when all start at once: they do not know the levels of their
# buckets, and callers return within the first second.
STARTUP_SLACK_SHARE = 0.25


@ty.final
class Allowances:
    """This host's copy of the allowances of all organisations."""

    def __init__(
        self, slack_units: float, others: mesh.Mesh, now: float
    ) -> None:
        """Connect this host's buckets to the reports of other hosts."""
        # Of the whole allowances.
        self.buckets = quotas.Quotas(slack_units, now)
        # Of the shares of this host's group; unused while there is one group.
        self._group_buckets = quotas.Quotas(slack_units, now)
        self._slack = slack_units
        self._others = others
        self._started_at = now
        self._is_listed = False
        self._group_uses = groupusage.GroupUsage()
        self._used = averages.Rates(USAGE_DECAY_S)

    def set_slack(self, slack_units: float) -> None:
        """Set the operators' slack."""
        self._slack = slack_units
        self.buckets.set_slack(slack_units)
        self._group_buckets.set_slack(slack_units)

    # Requests of this host.

    def find_terms(
        self, organisation: catalogue.Organisation, now: float
    ) -> quotas.AllowanceShare:
        """Return the terms on which this host's group grants units."""
        silent = self._others.find_unreachable_share()
        if not self.knows_hosts(now):
            silent = 1.0
        return quotas.AllowanceShare(
            silent_share=silent,
            group_share=self._find_group_share(organisation, now),
            reserve=-self._find_startup_credit(now),
        )

    def knows_hosts(self, now: float) -> bool:
        """Tell whether this host knows how many other hosts there are."""
        return (
            self._is_listed
            or self._others.has_reported_host_count()
            or now - self._started_at >= HOST_LIST_TIMEOUT_S
        )

    def mark_hosts_listed(self) -> None:
        """Record that the other hosts were read from the store's list."""
        self._is_listed = True

    def grant(
        self,
        organisation: catalogue.Organisation,
        cost: float,
        group_terms: quotas.AllowanceShare,
        now: float,
    ) -> float | None:
        """Grant units, or return seconds until there are enough.

        ``group_terms`` are those that ``find_terms`` has returned.
        """
        whole_terms = self._make_whole_terms(organisation, group_terms, now)
        wait = self.buckets.find_wait(organisation, cost, whole_terms, now)
        if self._uses_group_buckets(now):
            group_wait = self._group_buckets.find_wait(
                organisation, cost, group_terms, now
            )
            wait = self._combine_waits(wait, group_wait)
        if wait is None:
            self._charge(organisation, cost, now)
        return wait

    def count_near_hosts(self) -> int:
        """Return the number of hosts in this host's group."""
        return 1 + len(self._others.list_near())

    def find_coordinator_terms(self, now: float) -> quotas.AllowanceShare:
        """Return the terms on which a coordinator grants units for all."""
        silent = self._others.find_unreachable_share()
        if not self.knows_hosts(now):
            silent = 1.0
        credit = 0.0
        if now - self._started_at < STARTUP_WINDOW_S:
            credit = self._slack * STARTUP_SLACK_SHARE * (1 - silent)
        return quotas.AllowanceShare(silent_share=silent, reserve=-credit)

    def record_grant(
        self, organisation: catalogue.Organisation, cost: float, now: float
    ) -> None:
        """Charge units that were granted for all hosts to this copy.

        Hosts that reach no coordinator go by their own copies.
        """
        group_terms = self.find_terms(organisation, now)
        self.buckets.find_wait(organisation, cost, group_terms, now)
        if self._uses_group_buckets(now):
            self._group_buckets.find_wait(organisation, cost, group_terms, now)
        self._charge(organisation, cost, now)

    def _combine_waits(
        self, wait: float | None, group_wait: float | None
    ) -> float | None:
        # Enough units in the whole allowance or in the group's share suffice.
        if not self._has_multiple_groups():
            return wait
        if group_wait is None or not self._has_heard_all():
            return group_wait
        return None if wait is None else min(wait, group_wait)

    def give_back(
        self, organisation: catalogue.Organisation, cost: float, now: float
    ) -> None:
        """Return the units of a request that was not run."""
        if self.buckets.has_bucket(organisation.name):
            self._charge(organisation, -cost, now)

    # Reports to and from other hosts.

    def list_used(self, now: float) -> quotas.Usage:
        """Return the units granted per second in this host's group."""
        return self._used.list_rates(now)

    def list_levels(self, now: float) -> quotas.Usage:
        """Return what is left in the buckets, if a near peer is new.

        Empty while this host does not know the levels well itself.
        """
        if not self._others.has_new_peer(now) or self.count_hosts(now) == 0:
            return {}
        return self.buckets.list_levels(now)

    def count_hosts(self, now: float) -> int:
        """Return the number of known hosts; 0 while some may be unknown."""
        if now - self._started_at < STARTUP_WINDOW_S:
            return 0
        return self._others.count_hosts()

    def sum_group_asked(self, asked: quotas.Usage) -> quotas.Usage:
        """Return the units asked for per second in this host's group."""
        total = collections.Counter(asked)
        for peer in self._others.list_near():
            total.update(peer.asked)
        return dict(total)

    def apply_state(self, state: messages.HostState, now: float) -> None:
        """Apply the units that another host reports, or its group's rates."""
        if not self._others.partition.is_near(state.host):
            self.buckets.set_baseline(state.incarnation, state.usage)
            self._group_buckets.set_baseline(state.incarnation, state.usage)
            group = self._others.partition.find_group(state.host)
            self._group_uses.update(
                group,
                state.group_asked,
                state.group_used,
                state.hosts > 0,
                now,
            )
            return
        self.buckets.adopt(state.levels, now)
        is_new = state.hosts == 0
        granted = self.buckets.apply_totals(
            state.incarnation, state.usage, now, is_new
        )
        if not self._uses_group_buckets(now):
            return
        self._group_buckets.apply_totals(
            state.incarnation, state.usage, now, is_new
        )
        for name, units in granted.items():
            self._used.record(name, units, now)

    def forget(self, process: ids.Incarnation) -> None:
        """Drop what is kept about a process that has ended."""
        self.buckets.forget(process)
        self._group_buckets.forget(process)

    def _has_multiple_groups(self) -> bool:
        return self._others.partition.count > 1

    def _uses_group_buckets(self, now: float) -> bool:
        # Also before the groups of hosts that start together have formed:
        # units granted until then would otherwise be granted again.
        return self._has_multiple_groups() or now < self._find_settled_at()

    def _find_settled_at(self) -> float:
        return (
            self._started_at
            + STARTUP_WINDOW_S
            + self._others.find_far_interval()
        )

    def _has_heard_all(self) -> bool:
        partition = self._others.partition
        return self._group_uses.has_received_all(
            partition.own, partition.count
        )

    def _make_whole_terms(
        self,
        organisation: catalogue.Organisation,
        group_terms: quotas.AllowanceShare,
        now: float,
    ) -> quotas.AllowanceShare:
        # Extends the terms of this host's group to the whole allowance.
        if not self._has_multiple_groups():
            return group_terms
        name, count = organisation.name, self._others.partition.count
        asked = self._group_uses.sum_asked(name, count)
        if now < self._find_settled_at():
            # Demand rises in all groups that started together at once, and
            # this host knows that of its own group first.
            asked = max(asked, self._find_group_asked(name, now) * (count - 1))
        # The operators' slack covers the first of these units.
        unseen = (
            asked * REMOTE_USAGE_LAG_S - self._slack * REMOTE_USAGE_SLACK_SHARE
        )
        return dataclasses.replace(
            group_terms,
            group_share=1.0,
            remote_units_per_s=self._group_uses.sum_used(name, count),
            reserve=group_terms.reserve + max(0.0, unseen),
        )

    def _find_startup_credit(self, now: float) -> float:
        # Units that a process that has just started may grant before it has
        # heard the others.
        if not self.knows_hosts(now):
            return 0.0
        if now - self._started_at >= STARTUP_WINDOW_S:
            return 0.0
        return (
            self._slack
            * STARTUP_SLACK_SHARE
            / self._others.count_possible_hosts()
        )

    def _charge(
        self, organisation: catalogue.Organisation, units: float, now: float
    ) -> None:
        self.buckets.charge(organisation, units)
        if not self._uses_group_buckets(now):
            return
        # Units that are given back may be from before the groups formed.
        if self._group_buckets.has_bucket(organisation.name):
            self._group_buckets.charge(organisation, units)
        self._used.record(organisation.name, units, now)

    def _find_group_share(
        self, organisation: catalogue.Organisation, now: float
    ) -> float:
        count = self._others.partition.count
        if count == 1:
            return 1.0
        asked = self._find_group_asked(organisation.name, now)
        share = self._group_uses.find_share(organisation, asked, count)
        if now < self._find_settled_at():
            return min(share, 1 / count)
        return share

    def _find_group_asked(self, name: ids.Organisation, now: float) -> float:
        # Units asked for per second in this host's group.
        return self.buckets.find_asked(name, now) + sum(
            peer.asked.get(name, 0.0) for peer in self._others.list_near()
        )
