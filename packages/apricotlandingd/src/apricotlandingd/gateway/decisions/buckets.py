"""One host's copy of an organisation's token bucket.

All hosts share the bucket and each keeps a copy (``quotas``). A host deducts
the units that it hands out itself and those that its peers report. How a
report changes the level depends on whether the units were handed out before or
after this host started; ``UseKind`` distinguishes the cases.
"""

import dataclasses
import enum
import typing as ty

__all__ = ['INITIAL_FILL_RATIO', 'Bucket', 'PeerUse', 'UseKind']

# Fill level of a bucket when a process starts. Operators allow a tenth of the
# burst and a slack beyond the allowance. Two half bursts within a window stay
# below that limit, two whole ones do not.
INITIAL_FILL_RATIO = 0.5


class UseKind(enum.Enum):
    """What a peer's reported total covers."""

    # Units handed out since the peer's last report.
    INCREMENT = 'more'
    # First total of a process that has just started, or whose last report
    # was long ago.
    FIRST_TOTAL = 'first'
    # Total of a process that ran before this one started.
    EARLIER_TOTAL = 'past'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PeerUse:
    """Units that a peer reports as handed out."""

    # When the report was received.
    at: float
    units: float
    kind: UseKind


@ty.final
@dataclasses.dataclass(slots=True)
class Bucket:
    """This host's copy of a bucket that all hosts share."""

    # Units available; negative after an overrun.
    level: float
    updated_at: float
    # Capacity in units, and refill in units per second.
    size: float = 0.0
    rate: float = 0.0
    # Units of the level that come from the initial fill and are not yet
    # confirmed.
    assumed: float = 0.0
    # Share of the initial fill that was added so far. The shares of hosts that
    # are silent are left to those hosts.
    initial_share: float = 0.0
    # Units that peers handed out before their first report, and that are not
    # deducted yet because there were no assumed units left.
    deferred: float = 0.0

    def refill(self, now: float) -> None:
        """Add the units for the time since the last refill."""
        passed = max(0.0, now - self.updated_at)
        level = self.level + passed * self.rate
        # A new configuration may have lowered the size; units above it are
        # dropped. By now so many units would exist without the initial fill.
        excess = max(0.0, level - self.size)
        self.assumed = max(0.0, self.assumed - excess)
        self.level = level - excess
        self.updated_at = now

    def apply(self, use: PeerUse) -> None:
        """Deduct the units that a peer handed out."""
        # Refilled first, up to the time of the report: otherwise a bucket
        # without recent requests here would be refilled after the deduction,
        # which would cancel it.
        self.refill(use.at)
        if use.kind is UseKind.INCREMENT:
            self.level -= use.units
        elif use.kind is UseKind.FIRST_TOTAL:
            # The peer may have handed all of this out just now.
            first = self.size * INITIAL_FILL_RATIO
            self.level -= min(use.units, max(0.0, self.level) + first)
        else:
            # The peer ran before this process or started at the same time.
            # The units it has handed out are deducted from the shared bucket.
            # Otherwise each rolling restart within the operators' window would
            # add an initial fill, and so would hosts that start together.
            self.deferred += use.units
            self._deduct_deferred()

    def adopt(self, level: float) -> None:
        """Adopt the level that a peer reports for the shared bucket."""
        self.level = level
        self.assumed = 0.0
        self.initial_share = 1.0

    def add_initial(self, units: float) -> None:
        """Add units of the initial fill that no peer has reported as used."""
        self.level += units
        self.assumed += units
        self._deduct_deferred()

    def _deduct_deferred(self) -> None:
        deducted = min(self.deferred, self.assumed)
        self.deferred -= deducted
        self.assumed -= deducted
        self.level -= deducted
