"""Rate limit for log messages about bad input.

A faulty program repeats its bad input with each heartbeat, and an unknown
sender may send thousands of messages a second. One line per key and minute is
enough. The log drops lines above its limit, so more of them would displace
the lines by which operators find a failed request.
"""

import collections
import dataclasses
import typing as ty

__all__ = ['LogRateLimit']

LOG_INTERVAL_S: ty.Final = 60.0
# Keys that are tracked separately. Further keys within an interval share
# OVERFLOW_KEY, so that a sender that makes up keys can fill neither the memory
# nor the log: 200 keys take 60 KB, and their lines are a tenth of what the log
# accepts in one second.
MAX_KEYS: ty.Final = 200
OVERFLOW_KEY: ty.Final = 'others'
# Longer keys are truncated.
MAX_KEY_CHARACTERS: ty.Final = 120


@ty.final
@dataclasses.dataclass(slots=True)
class _KeyState:
    logged_at: float
    # Messages suppressed since then.
    suppressed: int = 0


@ty.final
class LogRateLimit:
    """Admits one message per key and interval."""

    def __init__(self) -> None:
        """Create without keys."""
        # Ordered by ``logged_at``, oldest first.
        self._states: collections.OrderedDict[str, _KeyState] = (
            collections.OrderedDict()
        )

    def admit(self, key: str, now: float) -> int | None:
        """Decide whether to log a message.

        Returns None if the message is suppressed, otherwise the number of
        messages that were suppressed since the last one.
        """
        key = key[:MAX_KEY_CHARACTERS]
        if key not in self._states:
            self._evict_expired(now)
        if key not in self._states and len(self._states) >= MAX_KEYS:
            key = OVERFLOW_KEY
        known = self._states.get(key)
        if known is None:
            self._states[key] = _KeyState(now)
            return 0
        if now - known.logged_at < LOG_INTERVAL_S:
            known.suppressed += 1
            return None
        suppressed = known.suppressed
        self._states[key] = _KeyState(now)
        self._states.move_to_end(key)
        return suppressed

    def count_keys(self) -> int:
        """Return the number of tracked keys."""
        return len(self._states)

    def _evict_expired(self, now: float) -> None:
        if len(self._states) < MAX_KEYS:
            return
        for key, state in list(self._states.items()):
            if now - state.logged_at < LOG_INTERVAL_S:
                # All following keys are newer.
                return
            del self._states[key]
