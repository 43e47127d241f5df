"""Which notices of bad input are worth a line in the log.

A program that writes nonsense writes it again with each heartbeat, and a
stranger may send thousands of messages a second. One line a minute for each
key says all that there is to say; the rest would crowd out the lines by which
operators find a failed request, because the log drops lines above its limit.
"""

import collections
import dataclasses
import typing as ty

__all__ = ['LogRateLimit']

# Seconds between two notices of one key.
LOG_INTERVAL_S: ty.Final = 60.0
# Keys that are told apart. Further ones within an interval share one notice,
# so that neither the memory nor the log grows with the number of keys that
# somebody invents: 200 keys are 60 KB, and a tenth of the lines that the log
# takes in a single second.
MAX_KEYS: ty.Final = 200
# The key that those share.
OVERFLOW_KEY: ty.Final = 'others'
# Characters of a key that count; longer ones that begin alike are one key.
MAX_KEY_CHARACTERS: ty.Final = 120


@ty.final
@dataclasses.dataclass(slots=True)
class _KeyState:
    # When it was given last.
    logged_at: float
    # Those that were held back since then.
    suppressed: int = 0


@ty.final
class LogRateLimit:
    """Lets one notice a key and interval through."""

    def __init__(self) -> None:
        """Start without any notice given."""
        # The one that was given longest ago comes first.
        self._states: collections.OrderedDict[str, _KeyState] = (
            collections.OrderedDict()
        )

    def admit(self, key: str, now: float) -> int | None:
        """Decide on a notice; None if it is held back.

        A notice that is to be given gets the number of those that were held
        back before it.
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
        """Return the number of keys that are remembered."""
        return len(self._states)

    def _evict_expired(self, now: float) -> None:
        if len(self._states) < MAX_KEYS:
            return
        for key, state in list(self._states.items()):
            if now - state.logged_at < LOG_INTERVAL_S:
                # All that follow are newer.
                return
            del self._states[key]
