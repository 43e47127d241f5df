"""The other hosts as a trial sees them: known, but not sent to."""

import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.hosts import mesh

__all__ = ['SilentMesh']


@ty.final
class SilentMesh:
    """A mesh that keeps messages instead of sending them."""

    def __init__(self, peers: mesh.Mesh) -> None:
        """Read everything else from a mesh."""
        self._peers = peers
        self.sent: list[object] = []

    def __getattr__(self, name: str) -> ty.Any:
        """Return an attribute of the mesh."""
        return getattr(self._peers, name)

    def send(self, message: object, address: addresses.Address) -> None:
        """Keep a message."""
        self.sent.append(message)

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Keep a message."""
        self.sent.append(message)

    def probe_address(self, address: addresses.Address) -> None:
        """Send nothing."""

    def request_update(self) -> None:
        """Send nothing."""
