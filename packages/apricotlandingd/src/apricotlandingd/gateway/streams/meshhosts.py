"""The hosts that exchange origins, reached by datagram."""

import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.hosts import mesh

__all__ = ['MeshHosts']


@ty.final
class MeshHosts:
    """The other hosts of a mesh."""

    def __init__(self, hosts: mesh.Mesh) -> None:
        """Send by a mesh."""
        self._hosts = hosts

    def list_available(self) -> list[ids.Host]:
        """Return the other hosts that are heard and do not stop."""
        return [
            host
            for host, peer in self._hosts.peers.items()
            if not peer.is_silent and not peer.state.is_stopping
        ]

    def send(self, message: object, address: addresses.Address) -> None:
        """Send a datagram, which may be lost."""
        self._hosts.send(message, address)

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Send a datagram to several hosts; it may be lost."""
        self._hosts.send_to_all(message, hosts)
