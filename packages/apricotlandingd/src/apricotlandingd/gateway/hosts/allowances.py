"""What this host knows of organisations' allowances by itself.

Ties the buckets of this host (``quotas``) to what the other hosts say
(``mesh``): near hosts state what they handed out, and it is taken out of the
buckets here; other groups state what they are asked for and hand out a second
(``groupuses``). Up to some twenty hosts all go by their own buckets; in a
larger system that is for those that reach no host that keeps an allowance for
all (``sharedallowances``).
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import averages, groupuses, quotas
from apricotlandingd.gateway.hosts import mesh, messages

__all__ = ['Allowances']

# Seconds after the start of a process in which it hands out nothing as long
# as it has not read who else there is: hosts that start together would each
# take themselves for the only one. The list is read within 0.2 s of the start;
# after this long, without the store, seeds and hints have named the others:
# they come twice a second.
HOST_LIST_TIMEOUT_S = 1.0
# Seconds after the start of a process, and beside them one turn of all far
# hosts, in which its group has no more than an equal part. What is asked for
# is averaged over two seconds: until all are heard with their own averages,
# each of the groups that start together takes the others for idle.
STARTUP_WINDOW_S = 3.0
# Seconds over which the units handed out are averaged.
USAGE_DECAY_S = 1.0
# Seconds in which another group may have handed out what it is asked for
# before this host hears of it: the time between its messages, and the lag of
# the average that it states.
REMOTE_USAGE_LAG_S = 1.0
# Share of the operators' slack that bears what is handed out unseen. A quarter
# is what buckets hold beyond their burst, and the last one is for hosts that
# start.
REMOTE_USAGE_SLACK_SHARE = 0.5
# Share of the operators' slack that all hosts together may hand out before
# they hear each other when they start at once: they know nothing of what
# their buckets hold, and callers come back in the first second.
STARTUP_SLACK_SHARE = 0.25


@ty.final
class Allowances:
    """The allowances of all organisations, shared with the other hosts."""

    def __init__(
        self, slack_units: float, others: mesh.Mesh, now: float
    ) -> None:
        """Tie this host's buckets to what other hosts say."""
        # Of the whole allowances.
        self.buckets = quotas.Quotas(slack_units, now)
        # Of the parts for this host's group; unused while there is one group.
        self._group_buckets = quotas.Quotas(slack_units, now)
        self._slack = slack_units
        self._others = others
        self._started_at = now
        self._is_listed = False
        self._group_uses = groupuses.GroupUses()
        self._used = averages.Rates(USAGE_DECAY_S)

    def set_slack(self, slack_units: float) -> None:
        """Take the operators' slack."""
        self._slack = slack_units
        self.buckets.set_slack(slack_units)
        self._group_buckets.set_slack(slack_units)

    # Requests of this host.

    def find_terms(
        self, organisation: catalogue.Organisation, now: float
    ) -> quotas.Terms:
        """Return which part of an allowance is for this host's group."""
        silent = self._others.find_unreachable_share()
        if not self.knows_hosts(now):
            silent = 1.0
        return quotas.Terms(
            silent_share=silent,
            group_part=self._find_group_share(organisation, now),
            reserve=-self._find_startup_credit(now),
        )

    def knows_hosts(self, now: float) -> bool:
        """Tell whether this host knows how many others there are."""
        return (
            self._is_listed
            or self._others.has_reported_host_count()
            or now - self._started_at >= HOST_LIST_TIMEOUT_S
        )

    def mark_hosts_listed(self) -> None:
        """Say that the other hosts were read from the store's list."""
        self._is_listed = True

    def grant(
        self,
        organisation: catalogue.Organisation,
        cost: float,
        part: quotas.Terms,
        now: float,
    ) -> float | None:
        """Hand out units, or return seconds until there are enough.

        ``part`` is what ``find_terms`` has found.
        """
        whole = self._make_whole_terms(organisation, part, now)
        wait = self.buckets.find_wait(organisation, cost, whole, now)
        if self._uses_group_buckets(now):
            group_wait = self._group_buckets.find_wait(
                organisation, cost, part, now
            )
            wait = self._combine_waits(wait, group_wait)
        if wait is None:
            self._charge(organisation, cost, now)
        return wait

    def find_coordinator_terms(self, now: float) -> quotas.Terms:
        """Return what a host that keeps an allowance for all may count on."""
        silent = self._others.find_unreachable_share()
        if not self.knows_hosts(now):
            silent = 1.0
        ahead = 0.0
        if now - self._started_at < STARTUP_WINDOW_S:
            ahead = self._slack * STARTUP_SLACK_SHARE * (1 - silent)
        return quotas.Terms(silent_share=silent, reserve=-ahead)

    def record_grant(
        self, organisation: catalogue.Organisation, cost: float, now: float
    ) -> None:
        """Count units that were handed out for all hosts.

        For hosts that reach none that keeps the allowance and go by their
        own copies.
        """
        part = self.find_terms(organisation, now)
        self.buckets.find_wait(organisation, cost, part, now)
        if self._uses_group_buckets(now):
            self._group_buckets.find_wait(organisation, cost, part, now)
        self._charge(organisation, cost, now)

    def _combine_waits(
        self, wait: float | None, group_wait: float | None
    ) -> float | None:
        # Either the whole allowance or the group's part is enough.
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

    # What hosts tell.

    def list_used(self, now: float) -> quotas.Usage:
        """Return the units handed out a second in this host's group."""
        return self._used.list_rates(now)

    def list_levels(self, now: float) -> quotas.Usage:
        """Return what is left in the buckets, if a near peer is new.

        Nothing while this host does not know it well itself.
        """
        if not self._others.has_new_peer(now) or self.count_hosts(now) == 0:
            return {}
        return self.buckets.list_levels(now)

    def count_hosts(self, now: float) -> int:
        """Return the hosts counted on; 0 while some may not be known."""
        if now - self._started_at < STARTUP_WINDOW_S:
            return 0
        return self._others.count_hosts()

    def sum_group_asked(self, asked: quotas.Usage) -> quotas.Usage:
        """Return the units asked for a second in this host's group."""
        total = collections.Counter(asked)
        for peer in self._others.list_near():
            total.update(peer.asked)
        return dict(total)

    def apply_state(self, state: messages.HostState, now: float) -> None:
        """Take what another host handed out, or what its group does."""
        if not self._others.partition.is_near(state.host):
            self.buckets.skip(state.incarnation, state.usage)
            self._group_buckets.skip(state.incarnation, state.usage)
            group = self._others.partition.find_group(state.host)
            self._group_uses.hear(
                group,
                state.group_asked,
                state.group_used,
                state.hosts > 0,
                now,
            )
            return
        self.buckets.adopt(state.levels, now)
        is_new = state.hosts == 0
        lately = self.buckets.hear(state.incarnation, state.usage, now, is_new)
        if not self._uses_group_buckets(now):
            return
        self._group_buckets.hear(state.incarnation, state.usage, now, is_new)
        for name, units in lately.items():
            self._used.note(name, units, now)

    def forget(self, process: ids.Incarnation) -> None:
        """Drop what is kept about a process that has ended."""
        self.buckets.forget(process)
        self._group_buckets.forget(process)

    def _has_multiple_groups(self) -> bool:
        return self._others.partition.count > 1

    def _uses_group_buckets(self, now: float) -> bool:
        # Also before the groups of hosts that start together have formed:
        # what was handed out until then would else be free once more.
        return self._has_multiple_groups() or now < self._find_settled_at()

    def _find_settled_at(self) -> float:
        return (
            self._started_at
            + STARTUP_WINDOW_S
            + self._others.find_far_interval()
        )

    def _has_heard_all(self) -> bool:
        partition = self._others.partition
        return self._group_uses.has_heard_all(partition.own, partition.count)

    def _make_whole_terms(
        self,
        organisation: catalogue.Organisation,
        part: quotas.Terms,
        now: float,
    ) -> quotas.Terms:
        # From the part for this host's group to the whole allowance.
        if not self._has_multiple_groups():
            return part
        name, count = organisation.name, self._others.partition.count
        asked = self._group_uses.sum_asked(name, count)
        if now < self._find_settled_at():
            # In all groups that started together it rises at once, and this
            # one knows its own part first.
            asked = max(asked, self._find_group_asked(name, now) * (count - 1))
        # The operators' slack bears the first of it.
        unseen = (
            asked * REMOTE_USAGE_LAG_S - self._slack * REMOTE_USAGE_SLACK_SHARE
        )
        return dataclasses.replace(
            part,
            group_part=1.0,
            drain=self._group_uses.sum_used(name, count),
            reserve=part.reserve + max(0.0, unseen),
        )

    def _find_startup_credit(self, now: float) -> float:
        # Units that a process that has just started may hand out before it
        # has heard the others.
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
        # A request that is given back may have come before the groups formed.
        if self._group_buckets.has_bucket(organisation.name):
            self._group_buckets.charge(organisation, units)
        self._used.note(organisation.name, units, now)

    def _find_group_share(
        self, organisation: catalogue.Organisation, now: float
    ) -> float:
        count = self._others.partition.count
        if count == 1:
            return 1.0
        asked = self._find_group_asked(organisation.name, now)
        part = self._group_uses.find_part(organisation, asked, count)
        if now < self._find_settled_at():
            return min(part, 1 / count)
        return part

    def _find_group_asked(self, name: ids.Organisation, now: float) -> float:
        # Units asked for a second in this host's group.
        return self.buckets.find_asked(name, now) + sum(
            peer.asked.get(name, 0.0) for peer in self._others.list_near()
        )
