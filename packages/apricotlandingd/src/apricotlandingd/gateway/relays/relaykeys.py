"""Keys by which hosts recognise each other.

Derived from the operators' configurations, which contain secrets and are read
by hosts only. Hosts apply a new version at slightly different times, so the
last few are kept, and two hosts use the newest that both have.
"""

import collections
import hashlib
import typing as ty

__all__ = ['RelayKeys']

# Versions that are kept: operators may write several within the time that a
# host takes to apply one.
MAX_KEYS: ty.Final = 8
ID_BYTES: ty.Final = 8


@ty.final
class RelayKeys:
    """The keys of the last versions of the configuration."""

    def __init__(self) -> None:
        """Start without keys."""
        self._keys: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )

    def add(self, configuration: bytes) -> None:
        """Add the key of a configuration, as the store holds it."""
        digest = hashlib.sha512(b'relay key' + configuration).digest()
        key_id, key = digest[:ID_BYTES], digest[ID_BYTES:]
        self._keys[key_id] = key
        self._keys.move_to_end(key_id)
        while len(self._keys) > MAX_KEYS:
            self._keys.popitem(last=False)

    def list_ids(self) -> list[bytes]:
        """Return the ids of all keys, newest first."""
        return list(reversed(self._keys))

    def find(self, key_id: bytes) -> bytes | None:
        """Return a key by its id."""
        return self._keys.get(key_id)

    def choose(self, offered: list[bytes]) -> bytes | None:
        """Return the id of the newest key that another host has too."""
        common = set(offered)
        for key_id in self.list_ids():
            if key_id in common:
                return key_id
        return None
