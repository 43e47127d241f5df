"""The way of each call: straight to the runner, or through another host.

A call goes straight while this host's links are not in doubt. When a runner
cannot be connected to and nothing else of its service can, other hosts are
asked whether they reach it (``inquire``), and from then on calls go through
them until a trial connects again. Nothing is sent twice for this: only a call
of which no byte was sent takes the other way.
"""

import collections.abc
import contextlib
import dataclasses
import functools
import random
import typing as ty

import anyio
import anyio.abc
import eliot

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import cuts
from apricotlanding import dialing
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import probes
from apricotlanding import supervisor
from apricotlanding import webclient
from apricotlandingd.gateway.decisions import returndelays
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.relays import relaychoice
from apricotlandingd.gateway.relays import relayclient
from apricotlandingd.gateway.relays import relayframes
from apricotlandingd.gateway.relays import relayhandshake
from apricotlandingd.gateway.requests import crashguard
from apricotlandingd.gateway.requests import runnerclient
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import ownlinks

__all__ = ['HeardHosts', 'NoPath', 'Path', 'RunnerPaths']

# Hosts that are asked at once whether they reach a runner, and for one call.
MAX_ASKED_HOSTS = 6
MAX_HOSTS_PER_CALL = 3
# Delay between the questions to two hosts of one inquiry: a host that is cut
# itself and does not know it yet takes longer.
ASK_INTERVAL_S = 0.03
# Longest time of an inquiry: a connection attempt of this host and of another.
INQUIRY_TIMEOUT_S = 0.65
# Least time between inquiries about a service that showed nothing.
INQUIRY_INTERVAL_S = 0.5
# Hosts that should have given a reservation a short time ago while calls are
# relayed, and the interval at which more are asked.
WANTED_HOSTS = 3
# Time after which a connection attempt casts doubt on the link: runners are
# milliseconds away.
SLOW_CONNECT_S = 0.15
# Interval between checks of links that are in doubt or not used.
CHECK_INTERVAL_S = 0.25
# When a request may be passed on again after all links were lost.
LOST_RETRY_AFTER_S = 1.0

AnyAnswer = runnerclient.Answer | relayclient.RelayAnswer


class CheckedRequest(crashguard.CheckedRequest, ty.Protocol):
    """What has to be known of a request that is sent."""

    service: ids.Pool


class NoPath(Exception):
    """No way to the runner now, by no fault of its own; nothing was sent."""


class Path(ty.NamedTuple):
    """An answer, and the host that it comes through; None for no other."""

    answer: AnyAnswer
    relay_host: ids.Host | None


@ty.final
class HeardHosts:
    """The hosts of a mesh that may relay calls."""

    def __init__(self, peers: mesh.Mesh) -> None:
        """Look at a mesh."""
        self._mesh = peers

    def list_heard_hosts(self) -> dict[ids.Host, addresses.Address]:
        """Return the hosts that are heard and not stopping.

        A host takes calls by TCP at the address at which it takes states by
        UDP.
        """
        return {
            peer.state.host: peer.address
            for peer in self._mesh.list_heard()
            if not peer.state.is_stopping
        }


@ty.final
@dataclasses.dataclass(eq=False, slots=True)
class _Connecting:
    """A call that waits for a connection to its runner."""

    entry: dialect.RunnerEntry
    began_at: float
    is_slow: bool = False
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@ty.final
class RunnerPaths:
    """Opens calls to runners, straight or through another host."""

    def __init__(
        self,
        own_ip: str,
        identity: relayhandshake.Identity,
        links: ownlinks.OwnLinks,
        runners: directory.Directory,
        choice: relaychoice.RelayChoice,
        peers: HeardHosts,
        find_client: collections.abc.Callable[
            [dialect.RunnerEntry], runnerclient.RunnerClient
        ],
        counts: telemetry.MetricRegistry,
        rng: random.Random,
        dial: dialing.Dial,
    ) -> None:
        """Start without connections to other hosts."""
        self._dial = dial
        self._rng = rng
        self._own_ip = own_ip
        self._identity = identity
        self._links = links
        self._runners = runners
        self._choice = choice
        self._peers = peers
        self._find_client = find_client
        self._telemetry = counts
        self._relays: dict[ids.Host, relayclient.RelayClient] = {}
        self._connecting: set[_Connecting] = set()
        # Inquiries in progress, by service, and when the last one ended.
        self._inquiries: dict[ids.Pool, anyio.Event] = {}
        self._inquired_at: dict[ids.Pool, float] = {}
        self._group: anyio.abc.TaskGroup | None = None

    # Calls.

    @contextlib.asynccontextmanager
    async def open(
        self,
        entry: dialect.RunnerEntry,
        call: runnerclient.Call,
        admitted: CheckedRequest,
    ) -> collections.abc.AsyncIterator[Path]:
        """Send a call and yield the way of its answer.

        Raises NotSent if the runner cannot be connected to, NoPath, or Broken.
        Leaving the context before the answer is complete ends the call at the
        runner.
        """
        async with contextlib.AsyncExitStack() as stack:
            path = await self._open_direct(stack, entry, call)
            if path is None:
                path = await self._open_relayed(stack, entry, call, admitted)
            yield path

    def find_problem(
        self, admitted: CheckedRequest, now: float
    ) -> errors.Problem | None:
        """Return the problem of a request that no host can pass on now."""
        if not self.is_lost(admitted.service):
            return None
        delay_s = returndelays.choose_delay(
            LOST_RETRY_AFTER_S, admitted.deadline_at - now, self._rng
        )
        return errors.make_problem(errors.Kind.NO_LINKS, delay_s)

    def is_lost(self, service: ids.Pool) -> bool:
        """Tell whether no host reaches a service, as far as is known."""
        return self._links.find_state(service) is ownlinks.State.LOST

    def is_relayed(self, service: ids.Pool) -> bool:
        """Tell whether calls to a service go through other hosts."""
        return self._links.find_state(service) is ownlinks.State.RELAYED

    def is_in_doubt(self, service: ids.Pool, now: float) -> bool:
        """Tell whether failures may be the fault of this host's links."""
        count = len(self._list_open(service))
        return self._links.is_in_doubt(service, count, now)

    async def probe(self, entry: dialect.RunnerEntry) -> cuts.Liveness:
        """Connect to a runner once, and send nothing.

        A late connection counts as none: the link may have come back.
        """
        began_at = clocks.read_monotonic()
        liveness = await probes.probe_address(entry.address, self._dial)
        self._links.note_dialed(
            entry.service,
            entry.start,
            liveness is cuts.Liveness.ACCEPTS,
            clocks.read_monotonic(),
        )
        if clocks.read_monotonic() - began_at > SLOW_CONNECT_S and (
            liveness is cuts.Liveness.ACCEPTS
        ):
            return cuts.Liveness.SILENT
        return liveness

    async def is_reached_elsewhere(self, entry: dialect.RunnerEntry) -> bool:
        """Ask other hosts whether they reach a runner that this one does not.

        False if no other host says so.
        """
        now = clocks.read_monotonic()
        hosts = self._choice.rank(entry.service, entry.domain, now)
        with anyio.move_on_after(INQUIRY_TIMEOUT_S):
            return await self._ask_hosts(entry, hosts[:MAX_HOSTS_PER_CALL])
        return False

    async def _open_direct(
        self,
        stack: contextlib.AsyncExitStack,
        entry: dialect.RunnerEntry,
        call: runnerclient.Call,
    ) -> Path | None:
        # None if the call is to go through another host.
        state = self._links.find_state(entry.service)
        if state is ownlinks.State.RELAYED:
            return None
        if state is ownlinks.State.LOST:
            raise NoPath('no host reaches the service')
        connecting = _Connecting(entry, clocks.read_monotonic())
        self._connecting.add(connecting)
        try:
            with connecting.scope:
                reservation = await stack.enter_async_context(
                    self._find_client(entry).reserve(call.is_repeatable)
                )
        except webclient.NotSent:
            now = clocks.read_monotonic()
            if not self.is_in_doubt(entry.service, now):
                raise
            await self._inquire(entry.service)
            if not self.is_relayed(entry.service):
                raise
            return None
        finally:
            self._connecting.discard(connecting)
        if connecting.scope.cancelled_caught:
            # Another way was found meanwhile.
            return await self._open_direct(stack, entry, call)
        self._check_open(entry)
        answer = await stack.enter_async_context(reservation.send(call))
        return Path(answer, None)

    async def _open_relayed(
        self,
        stack: contextlib.AsyncExitStack,
        entry: dialect.RunnerEntry,
        call: runnerclient.Call,
        admitted: CheckedRequest,
    ) -> Path:
        attempt, content = admitted.head.attempt, admitted.content_key
        detail = 'no other host to relay the call'
        now = clocks.read_monotonic()
        hosts = self._choice.rank(entry.service, entry.domain, now)
        for candidate in hosts[:MAX_HOSTS_PER_CALL]:
            try:
                async with contextlib.AsyncExitStack() as attempted:
                    reservation = await attempted.enter_async_context(
                        self._reserve(candidate, entry, call.is_repeatable)
                    )
                    self._check_open(entry)
                    answer = await reservation.call(call, attempt, content)
                    await stack.enter_async_context(attempted.pop_all())
            except relayclient.Declined as error:
                detail = f'{candidate.host}: {error}'
                if self._is_runner_down(candidate.host, entry, error):
                    raise webclient.NotSent(detail) from error
                continue
            except relayclient.HostUnreachable as error:
                detail = f'{candidate.host}: {error}'
                continue
            self._telemetry.count('relayed_calls_total')
            eliot.log_message(
                'gateway:relayed',
                attempt=attempt,
                runner=ids.parse_runner(entry.start),
                relay_host=candidate.host,
            )
            return Path(answer, candidate.host)
        raise NoPath(detail)

    def _check_open(self, entry: dialect.RunnerEntry) -> None:
        # It may have left while this host waited for the connection.
        if not self._runners.is_open(entry.start):
            raise NoPath('the runner has left')

    def _is_runner_down(
        self,
        host: ids.Host,
        entry: dialect.RunnerEntry,
        error: relayclient.Declined,
    ) -> bool:
        # The other host does not reach it, but others of the service.
        now = clocks.read_monotonic()
        return (
            error.reason is relayframes.DeclineReason.UNREACHABLE
            and self._choice.is_proven(host, entry.service, now)
        )

    @contextlib.asynccontextmanager
    async def _reserve(
        self,
        candidate: relaychoice.Candidate,
        entry: dialect.RunnerEntry,
        is_repeatable: bool,
        is_new: bool = False,
    ) -> collections.abc.AsyncIterator[relayclient.RelayReservation]:
        host, service = candidate.host, entry.service
        reserve = relayframes.Reserve(
            messages.digest_start(entry.start), is_repeatable, is_new
        )
        client = self._find_relay(host)
        self._choice.note_active(host, 1)
        try:
            async with client.reserve(
                candidate.address, reserve
            ) as reservation:
                now = clocks.read_monotonic()
                self._choice.note_reserved(
                    host, service, client.load, client.domain, now
                )
                self._links.note_reached_by(service, entry.start, host, now)
                yield reservation
        except relayclient.Declined as error:
            now = clocks.read_monotonic()
            self._choice.note_declined(host, service, error.reason, now)
            raise
        except (relayclient.HostUnreachable, relayclient.HostLost):
            self._choice.note_unreachable(host, clocks.read_monotonic())
            raise
        finally:
            self._choice.note_active(host, -1)

    def _find_relay(self, host: ids.Host) -> relayclient.RelayClient:
        client = self._relays.get(host)
        if client is None:
            client = relayclient.RelayClient(
                host, self._own_ip, self._identity
            )
            self._relays[host] = client
        return client

    # Inquiries.

    async def _inquire(self, service: ids.Pool) -> None:
        """Find out whether this host's links to a service are lost."""
        finished = self._inquiries.get(service)
        if finished is not None:
            await finished.wait()
            return
        now = clocks.read_monotonic()
        ended_at = self._inquired_at.get(service)
        if ended_at is not None and now - ended_at < INQUIRY_INTERVAL_S:
            return
        finished = anyio.Event()
        self._inquiries[service] = finished
        try:
            await self._compare(service)
        finally:
            del self._inquiries[service]
            self._inquired_at[service] = clocks.read_monotonic()
            finished.set()

    async def _compare(self, service: ids.Pool) -> None:
        failed = set(self._links.list_failed(service))
        entries = self._list_open(service)
        others = [entry for entry in entries if entry.start not in failed]
        asked = [entry for entry in entries if entry.start in failed]
        now = clocks.read_monotonic()
        hosts = self._choice.rank(service, ids.Domain(''), now)
        hosts = hosts[:MAX_ASKED_HOSTS]
        is_reached = False
        with anyio.move_on_after(INQUIRY_TIMEOUT_S):
            async with anyio.create_task_group() as group:

                async def check(
                    ask: collections.abc.Callable[
                        [], collections.abc.Awaitable[bool]
                    ],
                ) -> None:
                    nonlocal is_reached
                    if await ask():
                        is_reached = True
                        group.cancel_scope.cancel()

                for entry in others[: ownlinks.TRIAL_RUNNERS]:
                    group.start_soon(
                        check, functools.partial(self._try, entry)
                    )
                for entry in (asked or others)[: ownlinks.TRIAL_RUNNERS]:
                    group.start_soon(
                        check, functools.partial(self._ask_hosts, entry, hosts)
                    )
        if is_reached:
            return
        starts = [entry.start for entry in self._list_open(service)]
        self._links.note_unreached(service, starts, clocks.read_monotonic())

    async def _try(self, entry: dialect.RunnerEntry) -> bool:
        # Connects without a call; the links are told by the client. The
        # connection is kept for a call that may follow.
        try:
            async with self._find_client(entry).reserve(True, is_new=True):
                return True
        except webclient.NotSent:
            return False

    async def _ask_hosts(
        self,
        entry: dialect.RunnerEntry,
        hosts: list[relaychoice.Candidate],
    ) -> bool:
        # The first host that reaches the runner ends the questions.
        is_reached = False
        left = len(hosts)

        async def ask(candidate: relaychoice.Candidate) -> None:
            nonlocal is_reached, left
            try:
                async with self._reserve(
                    candidate, entry, is_repeatable=True, is_new=True
                ) as reservation:
                    is_reached = True
                    await reservation.release()
            except (relayclient.Declined, relayclient.HostUnreachable):
                pass
            left -= 1
            if is_reached or not left:
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for candidate in hosts:
                group.start_soon(ask, candidate)
                await anyio.sleep(ASK_INTERVAL_S)
        return is_reached

    # Tasks.

    def tick(self, now: float) -> None:
        """Doubt the links of calls that wait for a connection too long."""
        for connecting in self._connecting:
            if (
                connecting.is_slow
                or now - connecting.began_at < SLOW_CONNECT_S
            ):
                continue
            connecting.is_slow = True
            entry = connecting.entry
            self._links.note_slow(entry.service, entry.start, now)
            if self.is_in_doubt(entry.service, now):
                self._start(self._inquire, entry.service)

    def handle_change(self, service: ids.Pool) -> None:
        """Let calls that wait for a connection take another way."""
        for connecting in self._connecting:
            if connecting.entry.service == service:
                connecting.scope.cancel()

    async def run(self) -> None:
        """Check links that are in doubt or not used, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                now = clocks.read_monotonic()
                for service in self._links.list_services():
                    self._check(service, now)
                await self._clean_up(now)

    def _start(
        self,
        work: collections.abc.Callable[..., collections.abc.Awaitable[object]],
        *arguments: object,
    ) -> None:
        if self._group is not None:
            self._group.start_soon(supervisor.run_guarded, work, *arguments)

    def _check(self, service: ids.Pool, now: float) -> None:
        entries = {entry.start: entry for entry in self._list_open(service)}
        for start in self._links.choose_trials(service, list(entries), now):
            self._start(self._try, entries[start])
        state = self._links.find_state(service)
        if state is ownlinks.State.RELAYED:
            is_wanted = self._choice.count_proven(service, now) < WANTED_HOSTS
        else:
            is_wanted = self._links.is_in_doubt(service, len(entries), now)
        if is_wanted:
            self._start(self._inquire, service)

    async def _clean_up(self, now: float) -> None:
        if not self._relays:
            return
        heard = self._peers.list_heard_hosts()
        self._choice.retain_only(heard)
        for host, client in list(self._relays.items()):
            await client.close_expired(now)
            if host not in heard and not client.active:
                await client.close()
                del self._relays[host]

    def _list_open(self, service: ids.Pool) -> list[dialect.RunnerEntry]:
        return [
            entry
            for entry in self._runners.list_all()
            if entry.service == service and not entry.is_draining
        ]
