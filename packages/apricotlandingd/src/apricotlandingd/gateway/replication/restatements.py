"""Tells hosts that start what the store has lost.

After the store came back from a copy, hosts keep what they knew and the copy
lacks, until it is written again. A host that starts meanwhile knows only the
copy, at the same positions as the others, so it does not ask them. They tell
it to read all records from one of them.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import catchup
from apricotlandingd.gateway.replication import records

__all__ = ['Hosts', 'RestatementNotice', 'Restatements']


class Hosts(ty.Protocol):
    """A way to send to other hosts, and to hear them."""

    def subscribe(
        self,
        message_type: type[object],
        handler: collections.abc.Callable[[ty.Any, float], None],
    ) -> None:
        """Set the handler of a type of message."""

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Send a datagram to several hosts; it may be lost."""


@messages.registry.register(16)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RestatementNotice:
    """The sender holds newer values than the store."""

    # Where it serves records.
    address: messages.AddressText


@ty.final
class Restatements:
    """Sends the notices, and follows the first one."""

    def __init__(
        self,
        address: addresses.Address,
        replica: records.Replica,
        hosts: Hosts,
        catch_up: catchup.CatchUp,
    ) -> None:
        """Tell of a replica whose records are served at an address."""
        self._address = address
        self._replica = replica
        self._hosts = hosts
        self._catch_up = catch_up
        hosts.subscribe(RestatementNotice, self._handle_notice)

    def greet(self, host: ids.Host) -> None:
        """Tell a host that has just started."""
        if self._replica.has_restated():
            notice = RestatementNotice(str(self._address))
            self._hosts.send_to_all(notice, [host])

    def _handle_notice(self, notice: RestatementNotice, now: float) -> None:
        self._catch_up.request_all(messages.read_address(notice.address))
