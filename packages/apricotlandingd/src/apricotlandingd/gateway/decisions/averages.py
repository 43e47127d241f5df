"""Exponentially decaying average of units per second, by organisation.

New units count in full at once and decay with a time constant, so a rate is
stored as one number and the time at which it was valid.
"""

import math
import typing as ty

from apricotlanding import ids

__all__ = ['Rates']


@ty.final
class Rates:
    """Average units per second of each organisation."""

    def __init__(self, time_constant_s: float) -> None:
        """Create without rates, with the time constant of the decay."""
        self._time_constant_s = time_constant_s
        # The rate and the time at which it was valid.
        self._rates: dict[ids.Organisation, tuple[float, float]] = {}

    def record(self, name: ids.Organisation, units: float, now: float) -> None:
        """Record units; a negative number for units that are refunded."""
        rate = self.find(name, now) + units / self._time_constant_s
        self._rates[name] = (max(0.0, rate), now)

    def find(self, name: ids.Organisation, now: float) -> float:
        """Return the units per second of an organisation."""
        rate, at = self._rates.get(name, (0.0, now))
        return rate * math.exp((at - now) / self._time_constant_s)

    def list_rates(self, now: float) -> dict[ids.Organisation, float]:
        """Return the units per second of all organisations."""
        return {name: self.find(name, now) for name in self._rates}

    def forget(self, name: ids.Organisation) -> None:
        """Forget one organisation."""
        self._rates.pop(name, None)

    def forget_below(self, rate: float, now: float) -> None:
        """Forget the organisations with a lower rate."""
        for name, known in self.list_rates(now).items():
            if known < rate:
                del self._rates[name]
