"""Client of a pool's scheduler, on the daemon where requests enter.

Every request that waits or runs has a ``Ticket``. Tickets are registered
with the owner of their pool, and again with each new owner. While there is no
owner they wait here, until their deadline or until this daemon stops.
"""

import collections.abc
import dataclasses
import typing as ty

import anyio

from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import supervisor
from apricotlanding import wire
from apricotlandingd.ownership import owners
from apricotlandingd.ownership import shardview

__all__ = ['PoolClient', 'Ticket']

# Sends an incarnation a message without reply; lost without a connection.
Send = collections.abc.Callable[[ids.Incarnation, object], None]
# Calls an incarnation; None if it does not answer.
Call = collections.abc.Callable[
    [ids.Incarnation, object], collections.abc.Awaitable[object]
]

# Waits for the next record of the log, at most so many seconds.
WaitForChange = collections.abc.Callable[
    [float], collections.abc.Awaitable[None]
]

# Longest interval between two checks of who owns the pools.
REGISTER_INTERVAL_S = 0.5


@ty.final
@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a runner of its pool or runs on one.

    The pool's scheduler knows it by ``name``.
    """

    name: str
    pool: ids.Pool
    organisation: ids.Organisation
    tier: ids.Tier
    weight: float
    prompt_tokens: int
    output_tokens: int
    prefix: list[int]
    # Monotonic times.
    arrived_at: float
    deadline_at: float
    # False while it waits for its claim; see ``poolqueue``.
    is_ready: bool = False
    avoid: list[ids.Runner] = dataclasses.field(default_factory=list)
    # Runner on which it runs now.
    runner: ids.Runner | None = None
    # The latest grant and when it expires.
    granted: ids.Runner | None = None
    granted_until: float = 0.0
    # Set when the scheduler or this daemon has rejected it.
    problem: errors.Problem | None = None
    # Called when the runner on which it runs no longer answers.
    on_runner_lost: collections.abc.Callable[[], None] = lambda: None
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wake the request's task."""
        self.changed.set()

    def describe(self, now: float) -> wire.Registration:
        """Return the registration that the scheduler needs."""
        return wire.Registration(
            ticket=self.name,
            organisation=self.organisation,
            tier=self.tier,
            weight=self.weight,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            deadline_s=max(self.deadline_at - now, 0.0),
            prefix=self.prefix,
            avoid=self.avoid,
            runner=self.runner,
            waited_s=now - self.arrived_at,
            is_ready=self.is_ready,
        )


@ty.final
class PoolClient:
    """This daemon's tickets, by pool."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        view: shardview.ShardView,
        send: Send,
        call: Call,
        wait_for_change: WaitForChange,
    ) -> None:
        """Start without a ticket; ``run`` registers them."""
        self._incarnation = incarnation
        self._view = view
        self._send = send
        self._call = call
        self._wait_for_change = wait_for_change
        self._tickets: dict[ids.Pool, dict[str, Ticket]] = {}
        # Owner and epoch with which all our tickets of a pool are registered.
        self._registered: dict[
            ids.Pool, tuple[ids.Incarnation, ids.Epoch]
        ] = {}

    async def run(
        self,
        list_pools: collections.abc.Callable[
            [], collections.abc.Iterable[ids.Pool]
        ],
    ) -> None:
        """Keep all tickets registered with the owners of their pools."""
        async with anyio.create_task_group() as group:
            registering: set[ids.Pool] = set()
            while True:
                for pool in list_pools():
                    if pool in registering or self._is_registered(pool):
                        continue
                    registering.add(pool)
                    group.start_soon(
                        supervisor.run_guarded,
                        self._register_all,
                        pool,
                        registering,
                    )
                await self._wait_for_change(REGISTER_INTERVAL_S)

    def list_tickets(self) -> list[Ticket]:
        """Return all tickets."""
        return [
            ticket
            for tickets in self._tickets.values()
            for ticket in tickets.values()
        ]

    def add(self, ticket: Ticket) -> None:
        """Register a ticket; ``wait`` for its grant.

        A ticket that is not ready queues without being granted; it is added
        again when it is ready.
        """
        tickets = self._tickets.setdefault(ticket.pool, {})
        tickets[ticket.name] = ticket
        self._register(ticket)

    async def wait(self, ticket: Ticket) -> ids.Runner:
        """Wait for a runner; raises Refused if it is shed or too late."""
        while True:
            now = clocks.read_monotonic()
            if ticket.problem is not None:
                raise errors.Refused(ticket.problem)
            if now >= ticket.deadline_at:
                raise errors.Refused(
                    errors.make_problem(errors.Kind.DEADLINE_PASSED)
                )
            if ticket.granted is not None:
                if now < ticket.granted_until:
                    return self._use_grant(ticket)
                ticket.granted = None
                self._register(ticket)
            ticket.changed = anyio.Event()
            with anyio.move_on_after(ticket.deadline_at - now):
                await ticket.changed.wait()

    async def wait_until_shed(self, ticket: Ticket) -> None:
        """Wait until a ticket that is not ready has been shed."""
        while ticket.problem is None:
            ticket.changed = anyio.Event()
            await ticket.changed.wait()

    def release(self, ticket: Ticket, message: wire.Finished) -> None:
        """Report that a ticket's request has finished on its runner."""
        ticket.runner = None
        self._notify_owner(ticket.pool, message)

    def requeue(self, ticket: Ticket) -> None:
        """Register a ticket again after an attempt that failed."""
        self._register(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket and withdraw it from the scheduler."""
        tickets = self._tickets.get(ticket.pool, {})
        if tickets.pop(ticket.name, None) is not None:
            self._notify_owner(
                ticket.pool, wire.Withdraw(ticket.pool, ticket.name)
            )

    def mark_unregistered(self, owner: ids.Incarnation) -> None:
        """Have all tickets registered with an owner again.

        Its connection was lost, perhaps with messages that were under way.
        """
        for pool, owner_epoch in list(self._registered.items()):
            if owner_epoch[0] == owner:
                del self._registered[pool]

    # Messages from schedulers.

    def handle_grant(
        self, message: wire.Grant, sender: ids.Incarnation
    ) -> None:
        """Handle a grant: a runner has room for a ticket."""
        ticket = self._find(message.pool, message.ticket)
        if ticket is None:
            return
        if ticket.runner is not None:
            # A second grant, by a scheduler that did not know of the first.
            self._notify_started(ticket)
            return
        ticket.granted = message.runner
        ticket.granted_until = clocks.read_monotonic() + message.expires_s
        ticket.wake()

    def handle_shed(self, message: wire.Shed, sender: ids.Incarnation) -> None:
        """Handle a shed ticket."""
        ticket = self._find(message.pool, message.ticket)
        if ticket is None:
            return
        if ticket.runner is not None:
            # It was started on the grant of an earlier scheduler.
            self._notify_started(ticket)
            return
        entry = self._find_owner(message.pool)
        if entry is None or entry.epoch != message.epoch:
            # From a scheduler that was replaced: the new one decides.
            return
        if message.is_late:
            ticket.problem = errors.make_problem(errors.Kind.DEADLINE_PASSED)
        else:
            ticket.problem = errors.make_problem(
                errors.Kind.SHED, message.retry_after_s
            )
        ticket.wake()

    def handle_withdrawn(
        self, message: wire.Withdrawn, sender: ids.Incarnation
    ) -> None:
        """Handle a withdrawn grant, which is void unless it was used."""
        ticket = self._find(message.pool, message.ticket)
        if ticket is None:
            return
        if ticket.runner is not None:
            if message.is_lost and message.runner == ticket.runner:
                ticket.on_runner_lost()
            else:
                self._notify_started(ticket)
            return
        ticket.granted = None
        self._register(ticket)

    def _use_grant(self, ticket: Ticket) -> ids.Runner:
        assert ticket.granted is not None
        ticket.runner = ticket.granted
        ticket.granted = None
        self._notify_started(ticket)
        return ticket.runner

    def _notify_started(self, ticket: Ticket) -> None:
        assert ticket.runner is not None
        self._notify_owner(
            ticket.pool,
            wire.Started(ticket.pool, ticket.name, ticket.runner),
        )

    def _is_registered(self, pool: ids.Pool) -> bool:
        entry = self._find_owner(pool)
        if entry is None:
            return True
        return self._registered.get(pool) == (entry.owner, entry.epoch)

    async def _register_all(
        self, pool: ids.Pool, registering: set[ids.Pool]
    ) -> None:
        try:
            entry = self._find_owner(pool)
            if entry is None:
                return
            tickets = dict(self._tickets.get(pool, {}))
            now = clocks.read_monotonic()
            message = wire.Register(
                pool,
                entry.epoch,
                [ticket.describe(now) for ticket in tickets.values()],
            )
            reply = await self._call(entry.owner, message)
            if not isinstance(reply, wire.Ack):
                return
            self._registered[pool] = (entry.owner, entry.epoch)
            # Tickets that were added during the call.
            for name, ticket in self._tickets.get(pool, {}).items():
                if name not in tickets:
                    self._register(ticket)
        finally:
            registering.discard(pool)

    def _register(self, ticket: Ticket) -> None:
        entry = self._find_owner(ticket.pool)
        if entry is None or not self._is_registered(ticket.pool):
            # ``_register_all`` registers it as soon as there is an owner.
            return
        now = clocks.read_monotonic()
        message = wire.Register(
            ticket.pool, entry.epoch, [ticket.describe(now)]
        )
        self._send(entry.owner, message)

    def _notify_owner(self, pool: ids.Pool, message: object) -> None:
        entry = self._find_owner(pool)
        if entry is not None:
            self._send(entry.owner, message)

    def _find(self, pool: ids.Pool, name: str) -> Ticket | None:
        return self._tickets.get(pool, {}).get(name)

    def _find_owner(self, pool: ids.Pool) -> shardview.ShardEntry | None:
        entry = self._view.get(owners.make_pool_shard(pool))
        if entry is None or not entry.is_serving:
            return None
        return entry
