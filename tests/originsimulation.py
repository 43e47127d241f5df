"""Hosts that exchange the origins of streams, without a network."""

import random

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.streams import originexchange

# Bytes of a datagram's headers.
HEADER_BYTES = 28


class Network:
    """Hosts that reach each other unless a test says otherwise."""

    def __init__(self, hosts: int, seed: int = 45) -> None:
        self.rng = random.Random(seed)
        self.loss_share = 0.0
        self.names = [ids.Host(f'host-{number}') for number in range(hosts)]
        self.exchanges: dict[ids.Host, originexchange.OriginExchange] = {}
        # Hosts that run, and groups of hosts that reach each other only.
        self.up = set(self.names)
        self.cut: set[ids.Host] = set()
        self.messages = 0
        self.bytes = 0
        self._starts = 0
        for name in self.names:
            self.start(name)

    def start(self, name: ids.Host) -> None:
        """Start a host, without what it knew before."""
        self._starts += 1
        self.up.add(name)
        self.exchanges[name] = originexchange.OriginExchange(
            name,
            make_address(self.names.index(name)),
            ids.Incarnation(f'{name}/{self._starts}'),
            View(self, name),
        )

    def restart(self, name: ids.Host, now: float) -> None:
        """Kill and start a host; the others greet its new process."""
        self.start(name)
        for other in self.up - {name}:
            if self.reaches(other, name):
                self.exchanges[other].greet(name, now)

    def reaches(self, sender: ids.Host, target: ids.Host) -> bool:
        if sender not in self.up or target not in self.up:
            return False
        return (sender in self.cut) == (target in self.cut)

    def deliver(
        self, sender: ids.Host, message: object, target: ids.Host
    ) -> None:
        data = messages.registry.encode(message)
        self.messages += 1
        self.bytes += len(data) + HEADER_BYTES
        if not self.reaches(sender, target):
            return
        if self.rng.random() < self.loss_share:
            return
        found = messages.registry.decode(data)
        for kind, handler in self.exchanges[target].list_handlers():
            if isinstance(found, kind):
                handler(found, clocks.read_monotonic())


class View:
    """The other hosts as one host knows them."""

    def __init__(self, network: Network, name: ids.Host) -> None:
        self._network = network
        self._name = name

    def list_available(self) -> list[ids.Host]:
        return [
            name
            for name in self._network.names
            if name != self._name and self._network.reaches(self._name, name)
        ]

    def send(self, message: object, address: addresses.Address) -> None:
        target = self._network.names[address.port - 1]
        self._network.deliver(self._name, message, target)

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        for host in hosts:
            self._network.deliver(self._name, message, host)


def make_address(number: int) -> addresses.Address:
    return addresses.Address('127.0.0.1', number + 1)
