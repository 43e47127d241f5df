"""Exchange of state with the other hosts.

Hosts find each other by the seeds of the settings, by a record that each
writes once into the platform's store, and by hints in each other's messages.
They exchange ``HostState`` by datagram, and ``HostChange`` in between. Each
message supersedes the one before, so loss and reordering need no repair, and a
peer that falls silent affects only the estimate of what it uses. ``Mesh``
implements what the scheduler asks about other hosts.

Hosts of one group (``groups``) are near: they send each other every change,
and only their running and waiting requests count here. All other hosts are
far: they get a message one after another, in turn, so that hosts stay known
and records spread.

A silent peer may be dead, frozen, or only unreachable from this host. What it
reported is used for a moment, after which it counts as silent: the scheduler
and the quotas then assume that it goes on using its share.
"""

import collections
import collections.abc
import dataclasses
import enum
import random
import socket
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.hosts import groups
from apricotlandingd.gateway.hosts import messages

__all__ = ['Mesh', 'Peer', 'Scope']

# Seconds between messages to near peers when nothing changes.
HEARTBEAT_INTERVAL_S = 0.25
# Minimum seconds between messages to near peers, per square of their number:
# the messages in a group grow with it.
SQUARED_PEERS_INTERVAL_S = 0.0005
# Seconds between messages to far peers, which get one each in turn: with four
# groups, a host hears from each other group about three times a second.
FAR_INTERVAL_S = 0.1
# Seconds without a message after which a peer counts as silent: it missed two
# heartbeats and most of a third.
SILENT_TIMEOUT_S = 0.7
# Seconds without a message after which a peer is dropped. Until then its share
# of places and allowances stays reserved: a host that cannot be heard may
# still serve callers.
DROP_TIMEOUT_S = 20.0
# Seconds between whole states to near peers. The fields that other messages
# leave out are for averages over seconds, or for new hosts.
WHOLE_STATE_INTERVAL_S = 0.5
# Seconds for which a process counts as new after it was first heard: it gets
# at least two whole states in this time.
NEW_PEER_WINDOW_S = 1.5
# Seconds between probes of hosts that were never heard.
PROBE_INTERVAL_S = 0.5
# Minimum seconds between probes of hosts that are new here: many become known
# at once, and one message is encoded for all of them.
MIN_PROBE_INTERVAL_S = 0.02
# Probes after which a host that never replied is given up.
MAX_PROBES = 20
# Ranks and hints in one message: a datagram of a busy host stays below
# 1,400 bytes, so that it is not fragmented.
RANKS_PER_MESSAGE = 8
HINTS_PER_MESSAGE = 3
# Ended processes that are remembered.
MAX_ENDED_PROCESSES = 200

_Message = ty.TypeVar('_Message')


class Scope(enum.Enum):
    """Fields that a state is to contain."""

    # Everything, for near peers.
    WHOLE = 'whole'
    # Those for near and for far peers, for hosts that were never heard: they
    # may be of either kind.
    SOUGHT = 'sought'
    # Those for peers of other groups.
    FAR = 'far'


@ty.final
@dataclasses.dataclass(slots=True)
class Peer:
    """Another host, according to its latest message."""

    state: messages.HostState
    # Address at which it takes messages.
    address: addresses.Address
    heard_at: float
    # Ranks of the requests that wait there, on this host's clock.
    ranks: dict[ids.Pool, list[queueing.Rank]]
    # Requests at runners, by the digest of the runner's start.
    running: dict[int, int]
    # Is in this host's group.
    is_near: bool
    # When this process of the host was first heard.
    first_heard_at: float
    # When it joined this host's group; before, it sent rarely.
    near_since: float = 0.0
    # Units asked for per second there, by the last state that reported them.
    asked: dict[ids.Organisation, float] = dataclasses.field(
        default_factory=dict
    )
    # No message arrived within the timeout.
    is_silent: bool = False


@ty.final
class Mesh:
    """All other hosts, and the messages to and from them."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        seeds: tuple[addresses.Address, ...],
        rng: random.Random,
    ) -> None:
        """Start without peers; ``seeds`` are addresses of some hosts."""
        self._host = host
        self._address = address
        self._rng = rng
        self.peers: dict[ids.Host, Peer] = {}
        # Requests of all heard near peers at each runner. Updated with each
        # message: summing over all peers for each runner at each decision
        # would cost more than the decision.
        self._running: collections.Counter[int] = collections.Counter()
        # Host of each process that was heard, by its digest.
        self._processes: dict[int, ids.Host] = {}
        self._silent_share = 0.0
        self.partition = groups.Partition()
        # Counts the changes of the hosts that may coordinate.
        self.changes = 0
        # Addresses to probe, with the probes that are left.
        self._probes_left: dict[addresses.Address, int] = {}
        # Those of them to probe at once, and addresses of hosts that were just
        # heard for the first time and may not have heard this one.
        self._due_probes: set[addresses.Address] = set()
        self._probe_requested = anyio.Event()
        for seed in seeds:
            self.probe_address(seed)
        self._changed = anyio.Event()
        # Non-blocking: sends at once or not at all, so that no task waits for
        # another one. The event loop would add a wake-up for each message.
        self._sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sender.setblocking(False)
        self._number = 0
        # When the last whole state was sent to near peers.
        self._whole_state_sent_at = 0.0
        # Processes that were replaced by another one on their host.
        self._ended: collections.deque[ids.Incarnation] = collections.deque(
            maxlen=MAX_ENDED_PROCESSES
        )
        # Set by the daemon.
        self.make_state: collections.abc.Callable[
            [int, Scope, dict[ids.Host, str]], messages.HostState
        ]
        self.make_change: collections.abc.Callable[[int], messages.HostChange]
        self.on_state: collections.abc.Callable[
            [messages.HostState, float], None
        ] = lambda state, now: None
        self.on_dropped: collections.abc.Callable[
            [messages.HostState], None
        ] = lambda state: None
        # Called with the name of a near host when its process is heard for
        # the first time, or again after a silence.
        self.on_new_process: collections.abc.Callable[
            [ids.Host, float], None
        ] = lambda host, now: None
        # Handlers of messages, by type.
        self._handlers: dict[
            type[object], collections.abc.Callable[[ty.Any, float], None]
        ] = {
            messages.HostState: self.handle_state,
            messages.HostChange: self.handle_change,
        }
        # Called with the sender's IP address, the reason and the time for each
        # message that cannot be decoded.
        self.on_unreadable: collections.abc.Callable[
            [str, str, float], None
        ] = lambda sender, detail, now: None

    def subscribe(
        self,
        message_type: type[_Message],
        handler: collections.abc.Callable[[_Message, float], None],
    ) -> None:
        """Have messages of a type handled, with the time of arrival."""
        self._handlers[message_type] = handler

    # State of the other hosts.

    def count_hosts(self) -> int:
        """Return the number of hosts, this one included."""
        return 1 + len(self.peers)

    def list_heard(self) -> list[Peer]:
        """Return the peers that are not silent."""
        return [peer for peer in self.peers.values() if not peer.is_silent]

    def list_near(self) -> list[Peer]:
        """Return the near peers that are not silent."""
        return [peer for peer in self.list_heard() if peer.is_near]

    def find_silent_share(self) -> float:
        """Return the share of this host's group that is silent."""
        return self._silent_share

    def find_far_interval(self) -> float:
        """Return the seconds between two messages of a far peer.

        This assumes that it knows as many hosts as this one.
        """
        return FAR_INTERVAL_S * len(self.peers)

    def find_unreachable_share(self) -> float:
        """Return the share of this host's group that may act unheard.

        Besides silent peers, these are hosts that this one probes and has
        never heard, or that its peers count: a host that has just started
        knows no other.
        """
        known = 1 + len(self.peers)
        return (
            1 - (1 - self._silent_share) * known / self.count_possible_hosts()
        )

    def count_possible_hosts(self) -> int:
        """Return the number of hosts that may exist, heard or not."""
        reported = max(
            (peer.state.hosts for peer in self.peers.values()), default=0
        )
        return max(1 + len(self.peers) + len(self._probes_left), reported)

    def has_reported_host_count(self) -> bool:
        """Tell whether a peer has reported how many hosts there are."""
        return any(peer.state.hosts > 0 for peer in self.peers.values())

    def has_new_peer(self, now: float) -> bool:
        """Tell whether a near peer was first heard a short time ago."""
        return any(
            peer.is_near and now - peer.first_heard_at < NEW_PEER_WINDOW_S
            for peer in self.peers.values()
        )

    def count_running(self, runner: ids.RunnerStart) -> int:
        """Return the requests that heard peers have at a runner."""
        return self._running[messages.digest_start(runner)]

    def list_waiting(self, service: ids.Pool) -> list[queueing.Rank]:
        """Return the sorted ranks of requests that wait at heard peers."""
        ranks: list[queueing.Rank] = []
        for peer in self.list_near():
            ranks.extend(peer.ranks.get(service, ()))
        ranks.sort()
        return ranks

    def has_multiple_groups(self) -> bool:
        """Tell whether there are too many hosts to share all places."""
        return self.partition.count > 1

    def list_coordinators(self) -> list[ids.Host]:
        """Return the hosts that may coordinate, this one included."""
        return [
            self._host,
            *(
                host
                for host, peer in self.peers.items()
                if _may_coordinate(peer)
            ),
        ]

    def find_address(self, host: ids.Host) -> addresses.Address | None:
        """Return the address at which another host takes messages."""
        peer = self.peers.get(host)
        return None if peer is None else peer.address

    def send(self, message: object, address: addresses.Address) -> None:
        """Send a datagram, which may be lost."""
        self._send(messages.registry.encode(message), address)

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Send a datagram to several hosts; it is encoded once."""
        data = messages.registry.encode(message)
        for host in hosts:
            peer = self.peers.get(host)
            if peer is not None:
                self._send(data, peer.address)

    # Discovery and messages.

    def probe_address(self, address: addresses.Address) -> None:
        """Probe an address for a host that is not known yet."""
        if address == self._address or address in self._probes_left:
            return
        self._probes_left[address] = MAX_PROBES
        self._request_probe(address)

    def _request_probe(self, address: addresses.Address) -> None:
        self._due_probes.add(address)
        self._probe_requested.set()

    def list_probed(self) -> list[addresses.Address]:
        """Return the addresses of hosts that were never heard."""
        return list(self._probes_left)

    def request_update(self) -> None:
        """Have this host's state sent to near peers soon."""
        self._changed.set()

    def handle_state(self, state: messages.HostState, now: float) -> None:
        """Handle a peer's ``HostState``."""
        if state.host == self._host:
            return
        known = self.peers.get(state.host)
        if known is not None and not self._is_newer(state, known.state):
            return
        process = messages.digest_process(state.incarnation)
        self._processes[process] = state.host
        running = messages.digest_starts(state.running)
        self._store_peer(self._make_peer(state, running, now), known, now)
        for host, address in state.hints.items():
            if host != self._host and host not in self.peers:
                self.probe_address(messages.read_address(address))
        self.on_state(state, now)

    def handle_change(self, change: messages.HostChange, now: float) -> None:
        """Handle a peer's ``HostChange``.

        That of a process that was never heard is ignored: its whole state,
        which names it, arrives within half a second.
        """
        host = self._processes.get(change.process)
        known = None if host is None else self.peers.get(host)
        if known is None or change.number <= known.state.number:
            return
        if not known.is_near:
            # Its view of the groups differs from this host's.
            return
        state = dataclasses.replace(
            known.state,
            number=change.number,
            is_stopping=change.is_stopping,
            reads_store=change.reads_store,
            positions=change.positions,
            usage=known.state.usage | change.usage,
            ranks=change.ranks,
            answer_ages=change.answer_ages,
            hints={},
            asked={},
            levels={},
        )
        peer = self._make_peer(state, change.running, now)
        self._store_peer(peer, known, now)
        self.on_state(state, now)

    def _store_peer(self, peer: Peer, known: Peer | None, now: float) -> None:
        host = peer.state.host
        if known is None or known.is_silent:
            eliot.log_message('gateway:peer_heard', peer=host)
        is_same = known is not None and (
            known.state.incarnation == peer.state.incarnation
        )
        if not is_same:
            # Far hosts get messages from this one in turn only, seconds later
            # in a large system. Until then a host that has just started keeps
            # this one's share of everything reserved. When 71 hosts started
            # at once, 260 of the 840 requests of the first second were
            # refused as over the allowance.
            self._request_probe(peer.address)
        if known is not None:
            peer.near_since = known.near_since
            if is_same:
                peer.first_heard_at = known.first_heard_at
            peer.asked = peer.state.asked or known.asked
        self.peers[host] = peer
        if known is None or _may_coordinate(known) != _may_coordinate(peer):
            self.changes += 1
        self._probes_left.pop(peer.address, None)
        if known is None:
            self._changed.set()
            self._update_partition(now)
        elif known.is_silent:
            self._recount_peers()
        elif peer.is_near:
            self._replace_running(known.running, peer.running)
        if peer.is_near and (not is_same or known is None or known.is_silent):
            self.on_new_process(host, now)

    def drop_silent(self, now: float) -> None:
        """Mark silent peers, and drop those that stay silent."""
        count = len(self.peers)
        for host, peer in list(self.peers.items()):
            far_interval = 0.0 if peer.is_near else self.find_far_interval()
            passed = now - peer.heard_at
            silent_s = now - max(peer.heard_at, peer.near_since)
            if (
                not peer.is_silent
                and silent_s > SILENT_TIMEOUT_S + 2 * far_interval
            ):
                peer.is_silent = True
                self.changes += 1
                self._recount_peers()
                eliot.log_message('gateway:peer_silent', peer=host)
            limit = (
                SILENT_TIMEOUT_S if peer.state.is_stopping else DROP_TIMEOUT_S
            )
            if passed <= limit + 4 * far_interval:
                continue
            del self.peers[host]
            self.changes += 1
            process = messages.digest_process(peer.state.incarnation)
            self._processes.pop(process, None)
            eliot.log_message('gateway:peer_dropped', peer=host)
            self.on_dropped(peer.state)
        if len(self.peers) != count:
            self._update_partition(now)

    def _make_peer(
        self, state: messages.HostState, running: dict[int, int], now: float
    ) -> Peer:
        is_near = self.partition.is_near(state.host)
        ranks: dict[ids.Pool, list[queueing.Rank]] = {}
        if is_near:
            for service, found in state.ranks.items():
                ranks[service] = [rank.shift(now) for rank in found]
        address = messages.read_address(state.state_address)
        return Peer(
            state=state,
            address=address,
            heard_at=now,
            ranks=ranks,
            running=running,
            is_near=is_near,
            first_heard_at=now,
            asked=state.asked,
        )

    def _update_partition(self, now: float) -> None:
        before = self.partition
        self.partition = groups.make_partition(self._host, list(self.peers))
        for host, peer in self.peers.items():
            was_near = peer.is_near
            peer.is_near = self.partition.is_near(host)
            if peer.is_near and not was_near:
                peer.near_since = now
        self._recount_peers()
        if self.partition.count != before.count:
            eliot.log_message(
                'gateway:groups',
                count=self.partition.count,
                own=self.partition.own,
                hosts=self.count_hosts(),
            )

    def _replace_running(
        self,
        before: dict[int, int],
        after: dict[int, int],
    ) -> None:
        for runner, count in before.items():
            self._running[runner] -= count
        for runner, count in after.items():
            self._running[runner] += count

    def _recount_peers(self) -> None:
        self._running.clear()
        silent = near = 0
        for peer in self.peers.values():
            if not peer.is_near:
                continue
            near += 1
            if not peer.is_silent:
                self._running.update(peer.running)
            elif not peer.state.is_stopping:
                silent += 1
        self._silent_share = silent / (1 + near)

    def _is_newer(
        self, state: messages.HostState, known: messages.HostState
    ) -> bool:
        if state.incarnation == known.incarnation:
            return state.number > known.number
        # A datagram of an earlier process may arrive after the first one of
        # its successor.
        if state.incarnation in self._ended:
            return False
        self._ended.append(known.incarnation)
        self._processes.pop(messages.digest_process(known.incarnation), None)
        return True

    # Tasks.

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=self._address.host, local_port=self._address.port
        ) as receiver:
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive, receiver)
                group.start_soon(self._probe)
                group.start_soon(self._send_to_far)
                await self._send_to_near()

    async def _receive(self, receiver: anyio.abc.UDPSocket) -> None:
        while True:
            try:
                data, sender = await receiver.receive()
            except OSError:
                # An earlier datagram reached a host without a listener.
                continue
            now = clocks.read_monotonic()
            try:
                message = messages.registry.decode(data)
            except errors.Refused as error:
                self.on_unreadable(sender[0], str(error), now)
                continue
            handler = self._handlers.get(type(message))
            if handler is None:
                self.on_unreadable(sender[0], 'no message to a host', now)
                continue
            handler(message, now)

    async def _send_to_near(self) -> None:
        while True:
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()
            now = clocks.read_monotonic()
            self.drop_silent(now)
            if now - self._whole_state_sent_at > WHOLE_STATE_INTERVAL_S:
                self._whole_state_sent_at = now
                data = self._write_state(Scope.WHOLE)
            else:
                data = self._write_change()
            near = [peer for peer in self.peers.values() if peer.is_near]
            for peer in near:
                self._send(data, peer.address)
            pause = SQUARED_PEERS_INTERVAL_S * len(near) ** 2
            await anyio.sleep(min(HEARTBEAT_INTERVAL_S, pause))

    async def _send_to_far(self) -> None:
        pending: collections.deque[ids.Host] = collections.deque()
        while True:
            await anyio.sleep(FAR_INTERVAL_S)
            if not pending:
                pending.extend(self._list_far())
            if not pending:
                continue
            peer = self.peers.get(pending.popleft())
            if peer is None or peer.is_near:
                continue
            self._send(self._write_state(Scope.FAR), peer.address)

    def _list_far(self) -> list[ids.Host]:
        # In a new order each time, so that hosts that send at the same rate do
        # not all send to the same host at once.
        far = [host for host, peer in self.peers.items() if not peer.is_near]
        self._rng.shuffle(far)
        return far

    async def _probe(self) -> None:
        due_at = clocks.read_monotonic()
        while True:
            now = clocks.read_monotonic()
            targets, self._due_probes = self._due_probes, set()
            if now >= due_at:
                due_at = now + PROBE_INTERVAL_S
                targets.update(self._list_retries())
            if targets:
                data = self._write_state(Scope.SOUGHT)
                for address in targets:
                    self._send(data, address)
            await anyio.sleep(MIN_PROBE_INTERVAL_S)
            self._probe_requested = anyio.Event()
            if self._due_probes:
                continue
            with anyio.move_on_after(due_at - clocks.read_monotonic()):
                await self._probe_requested.wait()

    def _list_retries(self) -> list[addresses.Address]:
        found: list[addresses.Address] = []
        for address, probes in list(self._probes_left.items()):
            if probes <= 0:
                del self._probes_left[address]
                continue
            self._probes_left[address] = probes - 1
            found.append(address)
        return found

    def _send(self, data: bytes, address: addresses.Address) -> None:
        try:
            self._sender.sendto(data, (address.host, address.port))
        except OSError:
            # No route or a full buffer: as for any lost datagram, the next one
            # replaces it.
            return

    def _write_change(self) -> bytes:
        self._number += 1
        return messages.registry.encode(self.make_change(self._number))

    def _write_state(self, scope: Scope) -> bytes:
        self._number += 1
        known = list(self.peers.values())
        hinted = self._rng.sample(known, min(HINTS_PER_MESSAGE, len(known)))
        hints = {peer.state.host: peer.state.state_address for peer in hinted}
        state = self.make_state(self._number, scope, hints)
        return messages.registry.encode(state)


def _may_coordinate(peer: Peer) -> bool:
    # A host that has read no records knows no runners.
    state = peer.state
    return (
        not peer.is_silent and not state.is_stopping and all(state.positions)
    )
