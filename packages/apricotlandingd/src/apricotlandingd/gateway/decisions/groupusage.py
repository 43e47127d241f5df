"""Demand and usage of each organisation's allowance in other groups of hosts.

Hosts of one group know each other's usage within a few hundredths of a second
and share an allowance directly (``quotas``). Usage of other groups arrives
only a few times a second. That is too late: each group could hand out a whole
burst before it received the usage of the others. So there are two checks, and
a request is admitted if one of them passes (``allowances``).

The first check is for low demand. The whole allowance is available to all
groups: the usage of other groups is deducted at the rate that they report, and
the units that they may have handed out since must remain in the bucket.

The second check is for an organisation that asks for more than its allowance.
The allowance is divided between the groups in proportion to the demand in
each. The shares of all groups add up to the whole when all have received the
same reports. An organisation whose callers all use one group has nearly all of
its allowance there. This check alone would reject organisations that stay
within their allowance: a share of a bucket holds few large requests, and the
shares change with each request.
"""

import math
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import quotas

__all__ = ['GroupUsage']

# Share of the allowance, over all groups, that is divided equally, so that a
# group can serve the first requests of an organisation that it has not seen.
EQUAL_SHARE = 0.15
# For this long, the report of a settled host takes precedence over that of one
# that has just started. Hosts of a group report in turn, and each group is
# received about three times a second.
SETTLED_USAGE_MAX_AGE_S = 1.0


@ty.final
class GroupUsage:
    """Units requested and handed out per second in each other group."""

    def __init__(self) -> None:
        """Create without reports."""
        self._asked: dict[int, quotas.Usage] = {}
        self._used: dict[int, quotas.Usage] = {}
        # When the last report of a settled host was received.
        self._settled_at: dict[int, float] = {}

    def update(
        self,
        group: int,
        asked: quotas.Usage,
        used: quotas.Usage,
        is_settled: bool,
        now: float,
    ) -> None:
        """Store what a host of another group reports of its group.

        A host that is not settled has just started and knows almost nothing
        of its group. If its report replaced a complete one, the other groups
        would hand out a whole allowance again.
        """
        if is_settled:
            self._settled_at[group] = now
        elif (
            now - self._settled_at.get(group, -math.inf)
            < SETTLED_USAGE_MAX_AGE_S
        ):
            return
        self._asked[group] = asked
        self._used[group] = used

    def has_received_all(self, own: int, groups: int) -> bool:
        """Return whether every other group has reported."""
        return all(
            group in self._asked for group in range(groups) if group != own
        )

    def sum_asked(self, name: ids.Organisation, groups: int) -> float:
        """Return the units per second requested in all other groups."""
        return _sum_units(self._asked, name, groups)

    def sum_used(self, name: ids.Organisation, groups: int) -> float:
        """Return the units per second handed out in all other groups."""
        return _sum_units(self._used, name, groups)

    def find_share(
        self,
        organisation: catalogue.Organisation,
        own_asked: float,
        groups: int,
    ) -> float:
        """Return this group's share of an allowance.

        ``own_asked`` is the demand in this group, in units per second.
        """
        equal = organisation.units_per_s * EQUAL_SHARE / groups
        others = [
            asked.get(organisation.name, 0.0)
            for group, asked in self._asked.items()
            if group < groups
        ]
        heard = 1 + len(others)
        total = own_asked + sum(others) + heard * equal
        if total <= 0:
            return 1 / groups
        # Groups without a report are left an equal share.
        return (own_asked + equal) / total * min(1.0, heard / groups)


def _sum_units(
    reported: dict[int, quotas.Usage], name: ids.Organisation, groups: int
) -> float:
    return sum(
        units.get(name, 0.0)
        for group, units in reported.items()
        if group < groups
    )
