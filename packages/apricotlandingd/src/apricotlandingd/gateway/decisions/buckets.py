"""One organisation's token bucket, as one host knows it.

All hosts share the bucket and each keeps a copy (``quotas``): it takes out
what it hands out itself, and what its peers say. What that means for the level
depends on when it was handed out, before this host started or since; ``Sign``
tells the cases apart.
"""

import dataclasses
import enum
import typing as ty

__all__ = ['FIRST_PART', 'Bucket', 'Sign', 'Use']

# Part of a bucket that is full at the start of a process. Operators allow a
# tenth of the burst and a slack beyond the allowance; two halves of a burst
# within a window stay below that, two whole ones do not.
FIRST_PART = 0.5


class Sign(enum.Enum):
    """What a peer's total tells."""

    # The peer handed this out since it was heard last.
    MORE = 'more'
    # All of a process that started lately, or was not heard for long.
    FIRST = 'first'
    # All of a process that ran before this one started.
    PAST = 'past'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Units that a peer handed out."""

    # When it was heard.
    at: float
    units: float
    sign: Sign


@ty.final
@dataclasses.dataclass(slots=True)
class Bucket:
    """This host's copy of a bucket that all hosts share."""

    # Units that may still be handed out; below zero after an overrun.
    level: float
    updated_at: float
    # Most that it holds, and what it gains a second.
    size: float = 0.0
    rate: float = 0.0
    # Units of the level that were only assumed at the start.
    assumed: float = 0.0
    # Part of the first units that was assumed so far: those of hosts that are
    # not heard are left to them.
    first_share: float = 0.0
    # Units that peers handed out before they were heard, and that were not
    # taken out yet, for want of assumed ones.
    past: float = 0.0

    def refill(self, now: float) -> None:
        """Add what has come in until now."""
        passed = max(0.0, now - self.updated_at)
        level = self.level + passed * self.rate
        # A new version may have lowered the size: what is above is lost. By
        # now that much would be there without the assumption.
        lost = max(0.0, level - self.size)
        self.assumed = max(0.0, self.assumed - lost)
        self.level = level - lost
        self.updated_at = now

    def count(self, use: Use) -> None:
        """Take out what a peer handed out."""
        # Filled up to then first: a bucket that nobody here has asked for a
        # while would else be filled after the peer's use is taken out, and
        # that use would be lost.
        self.refill(use.at)
        if use.sign is Sign.MORE:
            self.level -= use.units
        elif use.sign is Sign.FIRST:
            # It may have handed all of this out just now.
            first = self.size * FIRST_PART
            self.level -= min(use.units, max(0.0, self.level) + first)
        else:
            # It ran before this process, or started beside it. What it has
            # handed out is gone from the bucket that they share: rolling
            # restarts within the operators' window would else add a first
            # part each, and so would hosts that start together.
            self.past += use.units
            self._settle()

    def adopt(self, level: float) -> None:
        """Take the level that a peer states for the bucket that all share."""
        self.level = level
        self.assumed = 0.0
        self.first_share = 1.0

    def assume(self, units: float) -> None:
        """Add first units; nobody has said yet that they are gone."""
        self.level += units
        self.assumed += units
        self._settle()

    def _settle(self) -> None:
        gone = min(self.past, self.assumed)
        self.past -= gone
        self.assumed -= gone
        self.level -= gone
