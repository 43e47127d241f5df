"""Choice of the hosts that read the store.

Readers are the first hosts by name that report reaching the store. A host
that hears of too few of them reads too.
"""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.replication import freshness

__all__ = ['ReaderChoice']

# Hosts of a group that read the store themselves; the others get records from
# them. In a single group this is more than enough even if the store rejects a
# third of the hosts; with several groups, records also spread between groups.
MAX_READERS = 8
MAX_READERS_PER_GROUP = 3
# Groups whose hosts read the store; the other groups get records from these.
READING_GROUPS = 4


@ty.final
class ReaderChoice:
    """The readers, as seen by one host."""

    def __init__(self, host: ids.Host, hosts: mesh.Mesh) -> None:
        """Choose among the hosts of a mesh."""
        self._host = host
        self._hosts = hosts

    def find_readers(self) -> freshness.Readers:
        """Return the hosts that read the store now."""
        heard = [
            peer for peer in self._hosts.list_heard() if peer.state.reads_store
        ]
        before = sum(
            peer.is_near and peer.state.host < self._host for peer in heard
        )
        return freshness.Readers(
            others=tuple(peer.state.host for peer in heard),
            own=self._host,
            is_reading=before < self._count_readers(),
        )

    def _count_readers(self) -> int:
        # The limit for this host's group.
        partition = self._hosts.partition
        if partition.count == 1:
            return MAX_READERS
        return MAX_READERS_PER_GROUP if partition.own < READING_GROUPS else 0
