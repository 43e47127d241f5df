"""The peers whose records are newer than this host's."""

import typing as ty

from apricotlanding import addresses
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records

__all__ = ['PeersAhead']


@ty.final
class PeersAhead:
    """Peers to fetch records from, and how long a fetch may take."""

    def __init__(
        self,
        hosts: mesh.Mesh,
        replica: records.Replica,
        ages: freshness.Freshness,
    ) -> None:
        """Compare the hosts of a mesh with this host's records."""
        self._mesh = hosts
        self._replica = replica
        self._freshness = ages

    def list_addresses(self) -> list[addresses.Address]:
        """Return the addresses at which peers that are ahead serve records."""
        return [
            messages.read_address(peer.state.peers_address)
            for peer in self._mesh.list_heard()
            if records.is_ahead(peer.state.positions, self._replica.positions)
        ]

    def find_fetch_timeout(self) -> float:
        """Return the timeout of one fetch in seconds."""
        return min(
            item.fetch_timeout_s for item in self._freshness.timing.values()
        )
