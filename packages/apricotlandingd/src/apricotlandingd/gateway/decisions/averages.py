"""Units a second by organisation, averaged with an exponential decay.

What comes counts with its whole weight at once and fades over some seconds,
so a rate needs one number and the time at which it was true.
"""

import math
import typing as ty

from apricotlanding import ids

__all__ = ['Rates']


@ty.final
class Rates:
    """Units a second of each organisation."""

    def __init__(self, time_constant_s: float) -> None:
        """Start without any; ``time_constant_s`` is the time of the decay."""
        self._time_constant_s = time_constant_s
        # The rate, and when it was that.
        self._rates: dict[ids.Organisation, tuple[float, float]] = {}

    def record(self, name: ids.Organisation, units: float, now: float) -> None:
        """Count units; below zero for some that were given back."""
        rate = self.find(name, now) + units / self._time_constant_s
        self._rates[name] = (max(0.0, rate), now)

    def find(self, name: ids.Organisation, now: float) -> float:
        """Return the units a second of an organisation."""
        rate, at = self._rates.get(name, (0.0, now))
        return rate * math.exp((at - now) / self._time_constant_s)

    def list_rates(self, now: float) -> dict[ids.Organisation, float]:
        """Return the units a second of all organisations."""
        return {name: self.find(name, now) for name in self._rates}
