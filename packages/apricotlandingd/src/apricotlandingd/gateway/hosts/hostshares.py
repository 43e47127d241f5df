"""Shares of the hosts in what runners bear, and their order.

Hosts that do not hear each other have coordinators of their own, and each
uses a share of what a runner bears.
"""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import mesh

__all__ = ['HostShares']


@ty.final
class HostShares:
    """Shares and order of the hosts that a mesh knows."""

    def __init__(
        self, host: ids.Host, peers: mesh.Mesh, ranked: candidates.Candidates
    ) -> None:
        """Look at a mesh, and at the order of its coordinators."""
        self._host = host
        self._mesh = peers
        self._candidates = ranked

    def find_equal(self) -> float:
        """Return the share of one host, if all have the same."""
        return 1 / self._mesh.count_hosts()

    def find_heard(self) -> float:
        """Return the share of the hosts that is heard, this one included."""
        heard = 1 + len(self._mesh.list_heard())
        return heard / self._mesh.count_hosts()

    def is_first(self, subset: subsets.Subset) -> bool:
        """Tell whether this host is the first to coordinate a subset."""
        first = self._candidates.list_first(subset.find_name(), 1)
        return first == [self._host]

    def list_ahead(self, subset: subsets.Subset) -> list[ids.Host]:
        """Return the hosts that come before this one in a subset's order."""
        return self._candidates.list_ahead(subset.find_name())

    def list_behind(
        self, subset: subsets.Subset, count: int
    ) -> list[ids.Host]:
        """Return the first hosts that come after this one."""
        return self._candidates.list_behind(subset.find_name(), count)

    def comes_before(self, subset: subsets.Subset, host: ids.Host) -> bool:
        """Tell whether a host comes before this one, known or not.

        One that is stopping does not: it asks as the others do.
        """
        peer = self._mesh.peers.get(host)
        if peer is not None and peer.state.is_stopping:
            return False
        pair = [self._host, host]
        return candidates.rank_hosts(subset.find_name(), pair)[0] != self._host
