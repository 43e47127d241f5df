"""Roll-outs of all services, as one host takes part in them and decides them.

Hosts report to the decider of each roll-out, and it replies with the phase
and the share that hold for all. A host that is asked although another one
decides passes on what it was told itself: the asking host may be cut off from
the decider alone.
"""

import collections.abc
import dataclasses
import itertools
import typing as ty

import anyio
import eliot

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.hosts import rolloutmessages
from apricotlandingd.gateway.rollouts import decider
from apricotlandingd.gateway.rollouts import orders
from apricotlandingd.gateway.rollouts import participant
from apricotlandingd.gateway.rollouts import statuswriter
from apricotlandingd.gateway.runners import directory

__all__ = ['Hosts', 'Rollouts']

# Seconds between two reports of a host, and the reports a second that a
# decider gets at most.
REPORT_INTERVAL_S = 0.25
MAX_REPORTS_PER_S = 400
# How long a reply holds, as a multiple of the interval, and seconds besides.
VALID_INTERVALS = 3
VALID_SLACK_S = 0.5
# Seconds between two attempts to store a status.
STORE_INTERVAL_S = 0.1
STORE_RETRY_S = 0.5


class Hosts(candidates.Hosts, ty.Protocol):
    """The other hosts, and a way to send to them."""

    def count_hosts(self) -> int:
        """Return the number of hosts, this one included."""


@ty.final
@dataclasses.dataclass(slots=True)
class _Link:
    """Exchange with the decider of one roll-out."""

    target: ids.Host
    reported_at: float = 0.0
    # When the oldest report without a reply was sent.
    unanswered_at: float | None = None
    # Number of the last reply, within the process of its sender.
    number: int = -1
    # The final status is stored, so nothing is left to report.
    is_settled: bool = False


@ty.final
class Rollouts:
    """All roll-outs at one host."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        process: ids.Incarnation,
        hosts: Hosts,
        runners: directory.Directory,
        store: dialect.StatusStore,
        bounds: rolloutplan.Bounds,
        has_rollouts: bool,
    ) -> None:
        """Start without orders."""
        self._host = host
        self._address = str(address)
        self._process = messages.digest_process(process)
        self._hosts = hosts
        # Its own instance: a host that does not decide may still coordinate.
        self._candidates = candidates.Candidates(host, hosts)
        self._runners = runners
        self._writer = statuswriter.StatusWriter(store, self._is_decider)
        self._bounds = bounds
        self.participant = participant.Participant(runners, has_rollouts)
        self._links: dict[ids.Pool, _Link] = {}
        self._deciders: dict[ids.Pool, decider.Decider] = {}
        self._numbers = itertools.count(1)
        self._store_requested = anyio.Event()

    def set_bounds(self, bounds: rolloutplan.Bounds) -> None:
        """Replace the operators' bounds, for orders to come."""
        self._bounds = bounds

    def count_open(self) -> int:
        """Return the number of roll-outs that have not ended."""
        return sum(not link.is_settled for link in self._links.values())

    def count_trials(self) -> int:
        """Return the requests sent to new releases for the newest orders."""
        return sum(
            rollout.sent_new for rollout in self.participant.rollouts.values()
        )

    def note_era(self) -> None:
        """Read and write the statuses again: the store may have lost them."""
        for found in self._deciders.values():
            found.forget_stored()
        self._store_requested.set()

    def handle_order(self, order: orders.Order, now: float) -> bool:
        """Handle an operator's order; return whether it is an older one."""
        change = self.participant.follow(order, now)
        if change is participant.Change.RESTATED:
            found = self._deciders.get(order.service)
            if found is not None:
                found.restate(order)
        if change is not participant.Change.NEW:
            return change is participant.Change.OLDER
        self._links[order.service] = _Link(self._choose(order.service, now))
        self._deciders.pop(order.service, None)
        eliot.log_message(
            'gateway:rollout_order',
            service=order.service,
            release=order.release,
            duration_s=order.duration_s,
            offset=order.offset,
            base=self.participant.find_base(order.service),
        )
        return False

    # Reports and replies.

    def tick(self, now: float) -> None:
        """Send the reports and make the decisions that are due."""
        for service, link in self._links.items():
            if link.is_settled:
                continue
            self._decide(service, now)
            self._check_target(service, link, now)
            if now - link.reported_at >= self._find_interval():
                self._report(service, link, now)

    def handle_report(
        self, report: rolloutmessages.RolloutReport, now: float
    ) -> None:
        """Handle a host's report."""
        rollout = self.participant.rollouts.get(report.service)
        if rollout is None or rollout.order.offset != report.order:
            return
        address = messages.read_address(report.address)
        if not self._is_decider(report.service):
            self._pass_on(rollout, address, now)
            return
        found = self._get_decider(rollout, now)
        found.handle_report(report, now)
        self._reply(found, address, now)

    def handle_reply(
        self, reply: rolloutmessages.RolloutReply, now: float
    ) -> None:
        """Handle what the decider says."""
        rollout = self.participant.rollouts.get(reply.service)
        link = self._links.get(reply.service)
        if link is None or rollout is None:
            return
        if rollout.order.offset != reply.order:
            return
        if reply.host != link.target or reply.number <= link.number:
            return
        link.number = reply.number
        link.unanswered_at = None
        self._candidates.mark_reachable(reply.host)
        rollout.began_at = min(rollout.began_at, now - reply.elapsed_s)
        rollout.sampling = reply.sampling
        rollout.valid_until = now + reply.valid_s
        self._open_runners(rollout, reply.opened)
        link.is_settled = reply.is_stored and reply.phase.is_final
        if reply.phase <= rollout.phase:
            return
        eliot.log_message(
            'gateway:rollout_phase',
            service=reply.service,
            release=rollout.order.release,
            order=reply.order,
            phase=reply.phase.name.lower(),
            decider=reply.host,
            elapsed_s=round(now - rollout.began_at, 3),
            sent=rollout.sent,
            sent_new=rollout.sent_new,
        )
        rollout.phase = reply.phase
        # The decider waits for all hosts to be in the phase.
        self._report(reply.service, link, now)

    def _open_runners(self, rollout: participant.Rollout, opened: int) -> None:
        rollout.opened = opened
        self._runners.limit_pool(rollout.new_pool, opened)

    def _find_interval(self) -> float:
        hosts = self._hosts.count_hosts()
        return max(REPORT_INTERVAL_S, hosts / MAX_REPORTS_PER_S)

    def _find_valid_time(self) -> float:
        return VALID_INTERVALS * self._find_interval() + VALID_SLACK_S

    def _choose(self, service: ids.Pool, now: float) -> ids.Host:
        return self._candidates.choose(f'rollout/{service}', now)

    def _is_decider(self, service: ids.Pool) -> bool:
        return self._choose(service, clocks.read_monotonic()) == self._host

    def _check_target(
        self, service: ids.Pool, link: _Link, now: float
    ) -> None:
        if (
            link.unanswered_at is not None
            and now - link.unanswered_at > self._find_interval() * 2
        ):
            self._candidates.mark_silent(link.target, now)
        target = self._choose(service, now)
        if target == link.target:
            return
        link.target = target
        link.unanswered_at = None
        link.number = -1
        link.reported_at = 0.0

    def _report(self, service: ids.Pool, link: _Link, now: float) -> None:
        rollout = self.participant.rollouts[service]
        link.reported_at = now
        if link.target != self._host and link.unanswered_at is None:
            link.unanswered_at = now
        rows = [
            rolloutmessages.AnswerRow(*cell, count)
            for cell, count in rollout.counts.items()
        ]
        step = rolloutmessages.MAX_ROWS
        for start in range(0, max(1, len(rows)), step):
            self._send_report(rollout, rows[start : start + step], link, now)

    def _send_report(
        self,
        rollout: participant.Rollout,
        rows: list[rolloutmessages.AnswerRow],
        link: _Link,
        now: float,
    ) -> None:
        service = rollout.order.service
        report = rolloutmessages.RolloutReport(
            host=self._host,
            address=self._address,
            process=self._process,
            number=next(self._numbers),
            service=service,
            order=rollout.order.offset,
            phase=rollout.phase,
            elapsed_s=min(
                max(0.0, now - rollout.began_at), rolloutmessages.MAX_SECONDS
            ),
            sent=rollout.sent,
            sent_new=rollout.sent_new,
            running_old=self._count_old(rollout),
            longest_s=min(rollout.longest_s, rolloutmessages.MAX_SECONDS),
            rows=rows,
        )
        if link.target == self._host:
            self._apply_own(report, rollout, now)
            return
        address = self._hosts.find_address(link.target)
        if address is not None:
            self._hosts.send(report, address)

    def _count_old(self, rollout: participant.Rollout) -> int:
        service = rollout.order.service
        return sum(
            count
            for pool, count in self.participant.running.items()
            if ids.parse_service(pool) == service and pool != rollout.new_pool
        )

    # Deciding.

    def _get_decider(
        self, rollout: participant.Rollout, now: float
    ) -> decider.Decider:
        found = self._deciders.get(rollout.order.service)
        if found is None:
            found = decider.Decider(rollout.order, self._bounds, now)
            self._deciders[rollout.order.service] = found
            self._store_requested.set()
        return found

    def _apply_own(
        self,
        report: rolloutmessages.RolloutReport,
        rollout: participant.Rollout,
        now: float,
    ) -> None:
        found = self._get_decider(rollout, now)
        found.handle_report(report, now)
        self.handle_reply(self._make_reply(found, now), now)

    def _decide(self, service: ids.Pool, now: float) -> None:
        found = self._deciders.get(service)
        if found is None:
            return
        if self._choose(service, now) != self._host:
            # Another host decides now, and learns from the reports.
            del self._deciders[service]
            return
        if found.decide(self._count_runners(found.order), now):
            self._publish(found, now)

    def _count_runners(self, order: orders.Order) -> decider.Runners:
        known = self._runners.count_releases(order.service)
        new = known.pop(order.release, 0)
        return decider.Runners(sum(known.values()), new)

    def _publish(self, found: decider.Decider, now: float) -> None:
        for process, reporter in list(found.reporters.items()):
            if process == self._process:
                self.handle_reply(self._make_reply(found, now), now)
            else:
                self._reply(found, reporter.address, now)

    def _reply(
        self, found: decider.Decider, address: addresses.Address, now: float
    ) -> None:
        self._hosts.send(self._make_reply(found, now), address)

    def _make_reply(
        self, found: decider.Decider, now: float
    ) -> rolloutmessages.RolloutReply:
        return rolloutmessages.RolloutReply(
            host=self._host,
            number=next(self._numbers),
            service=found.order.service,
            order=found.order.offset,
            phase=found.step.phase,
            sampling=found.step.sampling,
            opened=found.step.opened,
            elapsed_s=min(
                max(0.0, found.find_elapsed(now)), rolloutmessages.MAX_SECONDS
            ),
            valid_s=self._find_valid_time(),
            is_stored=found.is_stored,
        )

    def _pass_on(
        self,
        rollout: participant.Rollout,
        address: addresses.Address,
        now: float,
    ) -> None:
        link = self._links[rollout.order.service]
        if not link.is_settled and now >= rollout.valid_until:
            return
        reply = rolloutmessages.RolloutReply(
            host=self._host,
            number=next(self._numbers),
            service=rollout.order.service,
            order=rollout.order.offset,
            phase=rollout.phase,
            sampling=rollout.sampling,
            opened=rollout.opened,
            elapsed_s=min(
                max(0.0, now - rollout.began_at), rolloutmessages.MAX_SECONDS
            ),
            valid_s=max(0.0, rollout.valid_until - now),
            is_stored=link.is_settled,
        )
        self._hosts.send(reply, address)

    # The store.

    async def run(self) -> None:
        """Store statuses until cancelled."""
        while True:
            if not self._deciders:
                await self._store_requested.wait()
                self._store_requested = anyio.Event()
            await anyio.sleep(STORE_INTERVAL_S)
            for found in list(self._deciders.values()):
                await self._store_status(found)

    async def _store_status(self, found: decider.Decider) -> None:
        now = clocks.read_monotonic()
        phase = found.find_unstored(self._hosts.list_coordinators(), now)
        if phase is None:
            return
        began_at = clocks.read_wall() - found.find_elapsed(now)
        try:
            status = await self._writer.write(found.order, phase, began_at)
        except dialect.StoreUnavailable as error:
            eliot.log_message(
                'gateway:rollout_status_failed',
                service=found.order.service,
                order=found.order.offset,
                phase=phase.name.lower(),
                detail=str(error),
            )
            await anyio.sleep(STORE_RETRY_S)
            return
        if status is None:
            return
        found.note_stored(status, clocks.read_monotonic(), clocks.read_wall())
        if found.step.phase.is_final:
            self._publish(found, clocks.read_monotonic())

    def list_handlers(
        self,
    ) -> list[
        tuple[type[object], collections.abc.Callable[[ty.Any, float], None]]
    ]:
        """Return the handlers of messages, by type."""
        return [
            (rolloutmessages.RolloutReport, self.handle_report),
            (rolloutmessages.RolloutReply, self.handle_reply),
        ]
