"""What other groups of hosts ask and use of each organisation's allowance.

Hosts of one group know each other's use within a few hundredths of a second
and share an allowance as it comes (``quotas``). Of other groups they hear a
few times a second, too late for that: each group could hand out a whole burst
before it heard of the others. So there are two ways to units, and a request
goes if one is open (``allowances``).

While there is plenty, the whole allowance is open to all groups: what others
use is taken out at the rate that they state, and what they may have handed out
unseen must be left over.

When an organisation presses, the allowance is divided between the groups, in
proportion to what callers ask for in each. The parts of all groups add up to
the whole when all have heard the same, and an organisation whose callers all
come to one group has nearly all of its allowance there. Divided alone, it
would refuse organisations that ask for less than they may: a part of a bucket
holds few large requests, and parts follow each one that comes.
"""

import math
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import quotas

__all__ = ['GroupUsage']

# Part of the allowance, over all groups, that is divided equally: a group at
# which an organisation's callers begin to ask can serve the first of them.
EQUAL_SHARE = 0.15
# Seconds for which what a settled host said of its group stands against one
# that has just started: hosts of a group are heard in turn, each group about
# three times a second.
SETTLED_USAGE_MAX_AGE_S = 1.0


@ty.final
class GroupUsage:
    """Units asked for and handed out a second in each other group."""

    def __init__(self) -> None:
        """Start without having heard of any group."""
        self._asked: dict[int, quotas.Usage] = {}
        self._used: dict[int, quotas.Usage] = {}
        # When a host that is settled was heard.
        self._settled_at: dict[int, float] = {}

    def update(
        self,
        group: int,
        asked: quotas.Usage,
        used: quotas.Usage,
        is_settled: bool,
        now: float,
    ) -> None:
        """Take what a host of another group says of its group.

        One that is not settled has just started and has heard next to nothing
        of its group. Taken for the last word, it would have the others hand
        out a whole allowance again.
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
        """Tell whether each other group was heard."""
        return all(
            group in self._asked for group in range(groups) if group != own
        )

    def sum_asked(self, name: ids.Organisation, groups: int) -> float:
        """Return the units that all other groups are asked for a second."""
        return _sum_units(self._asked, name, groups)

    def sum_used(self, name: ids.Organisation, groups: int) -> float:
        """Return the units that all other groups hand out a second."""
        return _sum_units(self._used, name, groups)

    def find_share(
        self,
        organisation: catalogue.Organisation,
        own_asked: float,
        groups: int,
    ) -> float:
        """Return the part of an allowance that is for this group.

        ``own_asked`` is what is asked for in this group, in units a second.
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
        # Groups that were not heard are left an equal share.
        return (own_asked + equal) / total * min(1.0, heard / groups)


def _sum_units(
    reported: dict[int, quotas.Usage], name: ids.Organisation, groups: int
) -> float:
    return sum(
        units.get(name, 0.0)
        for group, units in reported.items()
        if group < groups
    )
