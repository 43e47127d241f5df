"""What other groups of hosts ask of each organisation's allowance.

Hosts of one group know each other's use within a few hundredths of a second
and share an allowance as it comes (``quotas``). Of other groups they hear a
few times a second, too late for that: each group could hand out a whole burst
before it heard of the others. So the allowance is divided between the groups,
in proportion to what callers ask for in each. The parts of all groups add up
to the whole when all have heard the same, and an organisation whose callers
all come to one group has nearly all of its allowance there.
"""

import typing as ty

from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import quotas

__all__ = ['GroupUses']

# Part of the allowance, over all groups, that is divided equally: a group at
# which an organisation's callers begin to ask can serve the first of them.
# Chosen, not measured: with allowances of 1.8 times the usual use, a part of
# this size leaves each group more than it uses.
EQUAL_PART = 0.15


@ty.final
class GroupUses:
    """Units asked for a second in each other group."""

    def __init__(self) -> None:
        """Start without having heard of any group."""
        self._asked: dict[int, quotas.Usage] = {}

    def hear(self, group: int, asked: quotas.Usage) -> None:
        """Take what a host of another group says of its group."""
        self._asked[group] = asked

    def find_part(
        self,
        organisation: catalogue.Organisation,
        own_asked: float,
        groups: int,
    ) -> float:
        """Return the part of an allowance that is for this group.

        ``own_asked`` is what is asked for in this group, in units a second.
        """
        equal = organisation.units_per_s * EQUAL_PART / groups
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
