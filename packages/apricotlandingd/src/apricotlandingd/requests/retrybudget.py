"""How many retries a daemon allows itself.

Retries help while failures are few. When a whole pool fails, they multiply
the load just when it can bear the least. So each success earns a part of a
retry, up to a limit; without successes there are soon no retries.
"""

import typing as ty

__all__ = ['RetryBudget']

_EARNED = 0.1
_LIMIT = 20.0


@ty.final
class RetryBudget:
    """Retries that may still be made."""

    def __init__(self) -> None:
        """Start with the full budget."""
        self._left = _LIMIT

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self._left = min(self._left + _EARNED, _LIMIT)

    def spend(self) -> bool:
        """Take a retry; False if there is none."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
