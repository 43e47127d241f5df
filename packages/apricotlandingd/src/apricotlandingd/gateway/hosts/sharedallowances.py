"""Allowances that one host grants for all, in a large system.

Up to some twenty hosts report to each other the units that they grant, and
each keeps a copy of every allowance (``allowances``). Among hundreds of hosts
the reports arrive seconds later, and the sum over all hosts is wrong both
ways: hosts refuse organisations that ask for half of their allowance, and
grant more than there is. So one host, the allowance's coordinator, is chosen
by the organisation's name (``candidates``). It grants the units for all hosts,
and the others ask it.

When it does not reply, the next host in the order is asked. That host has been
told which units were granted, so they are not granted again. A host that
reaches no coordinator goes by its own copy and its group's share.
"""

import collections
import collections.abc
import dataclasses
import typing as ty

import anyio

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.decisions import returntimes
from apricotlandingd.gateway.hosts import allowancemessages
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages

__all__ = ['SharedAllowances', 'UnitRequest']

# Answers that are remembered, so that a repeated request gets the same one.
MAX_REMEMBERED_ANSWERS = 4096
# Hosts that keep the granted units, including the one that is asked first.
USAGE_REPLICAS = 3
# Seconds between two updates to the others of these.
USAGE_UPDATE_INTERVAL_S = 0.2
# Wait that is remembered as the answer to a request whose units were returned.
RETURNED_WAIT_S = 1.0
# Least share of the hosts that are taken to be heard where backlogs are
# computed, as in ``quotas``: a host that hears no other one may grant nothing.
MIN_HEARD_SHARE = 0.1


@ty.final
@dataclasses.dataclass(slots=True)
class UnitRequest:
    """A request of this host for units."""

    organisation: catalogue.Organisation
    cost: float
    number: int = 0
    target: ids.Host = ids.Host('')
    # When the target was asked first, and when last.
    asked_at: float | None = None
    sent_at: float = 0.0
    # Consecutive hosts that did not reply.
    silent_hosts: int = 0
    # Seconds until there are enough; None if they were granted.
    wait_s: float | None = None
    # Granted by this host, as the coordinator or by its own copy.
    is_granted_locally: bool = False
    answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@ty.final
class SharedAllowances:
    """Requests units, and grants those that this host coordinates."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        process: ids.Incarnation,
        local: allowances.Allowances,
        slack_units: float,
        hosts: candidates.Hosts,
        candidate_hosts: candidates.Candidates,
        find_organisation: collections.abc.Callable[
            [ids.Organisation], catalogue.Organisation | None
        ],
        is_stopping: collections.abc.Callable[[], bool],
        now: float,
        backlogs: returntimes.Backlogs | None = None,
    ) -> None:
        """Start without requests.

        ``local`` holds this host's copies, ``slack_units`` is the operators'
        slack, and ``find_organisation`` returns an organisation of the
        configuration in force. Without ``backlogs``, callers are told the wait
        for their own units.
        """
        self._host = host
        self._address = str(address)
        self._incarnation = process
        # Identifies this process in messages.
        self.process = messages.digest_process(process)
        self._local = local
        # Buckets of what this host grants for all, or would if it were asked.
        self._shared_buckets = quotas.Quotas(slack_units, now)
        self._sent_usage: quotas.Usage = {}
        self._usage_sent_at = now
        self._hosts = hosts
        self._candidates = candidate_hosts
        self._find_organisation = find_organisation
        self._is_stopping = is_stopping
        self._backlogs = backlogs
        self._request_count = 0
        self._pending: dict[int, UnitRequest] = {}
        self._answers: collections.OrderedDict[
            tuple[int, int], float | None
        ] = collections.OrderedDict()

    def set_slack(self, slack_units: float) -> None:
        """Set the operators' slack."""
        self._shared_buckets.set_slack(slack_units)

    def forget(self, process: ids.Incarnation) -> None:
        """Drop what is kept about a process that has ended."""
        self._shared_buckets.forget(process)

    # Requests of this host.

    def ask(
        self, organisation: catalogue.Organisation, cost: float, now: float
    ) -> UnitRequest:
        """Request units; the answer may be there at once."""
        unit_request = UnitRequest(organisation, cost)
        if (
            organisation.units_per_s <= 0
            or not self._hosts.has_multiple_groups()
        ):
            self._decide_locally(unit_request, now)
            return unit_request
        self._request_count += 1
        unit_request.number = self._request_count
        self._pending[unit_request.number] = unit_request
        self._send(unit_request, now)
        return unit_request

    def give_back(self, unit_request: UnitRequest, now: float) -> None:
        """Return the units of a request that was not run.

        Also of one that has no answer yet: its units may still be granted.
        """
        is_open = self._pending.pop(unit_request.number, None) is not None
        if (
            unit_request.is_granted_locally
            and unit_request.target == self._host
        ):
            self._refund(unit_request.organisation, unit_request.cost, now)
        elif unit_request.is_granted_locally:
            self._local.give_back(
                unit_request.organisation, unit_request.cost, now
            )
        elif is_open or unit_request.wait_s is None:
            request = self._make_request(unit_request, is_returned=True)
            self._send_request(request, unit_request.target)

    def choose_return_time(self, wait_s: float, left_s: float) -> float | None:
        """Return the seconds after which a refused caller should return.

        ``wait_s`` is the answer to its request, ``left_s`` the time that the
        caller has left. None if the answer is to be stated as it is.
        """
        if self._backlogs is None:
            return None
        return returntimes.choose_time(wait_s, left_s, self._backlogs.rng)

    def handle_reply(
        self, reply: allowancemessages.AllowanceReply, now: float
    ) -> None:
        """Handle the reply of an allowance's coordinator."""
        if reply.process != self.process:
            return
        self._candidates.mark_reachable(reply.host)
        if reply.is_stopping:
            self._candidates.mark_stopping(reply.host, now)
        unit_request = self._pending.pop(reply.number, None)
        if unit_request is not None:
            unit_request.wait_s = reply.wait_s or None
            unit_request.answered.set()

    def tick(self, now: float) -> None:
        """Resend requests without an answer, or ask another host."""
        for unit_request in list(self._pending.values()):
            asked_at = unit_request.asked_at or now
            if now - asked_at > candidates.REPLY_TIMEOUT_S:
                self._candidates.mark_silent(unit_request.target, now)
                unit_request.silent_hosts += 1
                unit_request.asked_at = None
                self._send(unit_request, now)
            elif now - unit_request.sent_at > candidates.RESEND_INTERVAL_S:
                self._send(unit_request, now)
        if (
            self._hosts.has_multiple_groups()
            and now - self._usage_sent_at > USAGE_UPDATE_INTERVAL_S
        ):
            self._usage_sent_at = now
            self._send_usage_update()

    # Requests of other hosts.

    def subscribe(self, peers: mesh.Mesh) -> None:
        """Take the messages that arrive at a mesh."""
        peers.subscribe(
            allowancemessages.AllowanceRequest, self.handle_request
        )
        peers.subscribe(
            allowancemessages.UsageUpdate, self.handle_usage_update
        )
        peers.subscribe(allowancemessages.AllowanceReply, self.handle_reply)

    def handle_request(
        self, request: allowancemessages.AllowanceRequest, now: float
    ) -> None:
        """Grant units to another host, or take some back."""
        organisation = self._find_organisation(request.organisation)
        if organisation is None or not self._local.knows_hosts(now):
            return
        key = (request.process, request.number)
        if request.is_returned:
            self._handle_return(key, organisation, request.cost, now)
            return
        if key not in self._answers:
            wait = self._grant(organisation, request.cost, now)
            self._remember(key, wait)
        reply = allowancemessages.AllowanceReply(
            host=self._host,
            process=request.process,
            number=request.number,
            wait_s=self._answers[key] or 0.0,
            is_stopping=self._is_stopping(),
        )
        self._hosts.send(reply, messages.read_address(request.address))

    def _handle_return(
        self,
        key: tuple[int, int],
        organisation: catalogue.Organisation,
        cost: float,
        now: float,
    ) -> None:
        # Only units that were granted here are refunded. A request that
        # arrives after its return is granted nothing.
        if self._answers.get(key, RETURNED_WAIT_S) is None:
            self._refund(organisation, cost, now)
        self._remember(key, RETURNED_WAIT_S)

    def handle_usage_update(
        self, usage_update: allowancemessages.UsageUpdate, now: float
    ) -> None:
        """Apply the units that another coordinator has granted."""
        if not self._shared_buckets.has_totals(usage_update.incarnation):
            self.apply_usage(
                usage_update.incarnation, usage_update.before, False, now
            )
        self.apply_usage(
            usage_update.incarnation, usage_update.usage, False, now
        )

    def apply_usage(
        self,
        process: ids.Incarnation,
        usage: quotas.Usage,
        is_new: bool,
        now: float,
    ) -> None:
        """Apply the totals that a process has granted, for all or locally.

        The first totals of a process that did not just start are not charged:
        they were granted in the past.
        """
        if process == self._incarnation:
            return
        if is_new or self._shared_buckets.has_totals(process):
            self._shared_buckets.apply_totals(process, usage, now, is_new)
        else:
            self._shared_buckets.set_baseline(process, usage)

    def _grant(
        self, organisation: catalogue.Organisation, cost: float, now: float
    ) -> float | None:
        terms = self._local.find_coordinator_terms(now)
        wait = self._shared_buckets.find_wait(organisation, cost, terms, now)
        if wait is None:
            self._shared_buckets.charge(organisation, cost)
            self._local.record_grant(organisation, cost, now)
            return None
        asked = self._shared_buckets.find_asked(organisation.name, now)
        return self._add_backlog(
            organisation, cost, wait, terms, 1, asked, now
        )

    def _add_backlog(
        self,
        organisation: catalogue.Organisation,
        cost: float,
        wait_s: float,
        terms: quotas.AllowanceShare,
        hosts: int,
        asked: float,
        now: float,
    ) -> float:
        # ``hosts`` grant what the terms leave, and this one is asked for
        # ``asked`` units per second.
        if self._backlogs is None:
            return wait_s
        heard_share = max(MIN_HEARD_SHARE, 1 - terms.silent_share)
        most = organisation.units_per_s * terms.group_share * heard_share
        granted = self._backlogs.find_granted(organisation.name, now)
        refusal = returntimes.Refusal(
            wait_s=wait_s,
            cost=cost,
            granted_per_s=min(most, max(granted, most / hosts)),
            asked_per_s=asked,
        )
        return self._backlogs.note_refusal(organisation.name, refusal, now)

    def _refund(
        self, organisation: catalogue.Organisation, cost: float, now: float
    ) -> None:
        self._shared_buckets.charge(organisation, -cost)
        self._local.give_back(organisation, cost, now)

    def _send_usage_update(self) -> None:
        usage = self._local.buckets.usage
        if usage == self._sent_usage:
            return
        targets = {
            host
            for name, units in usage.items()
            if units != self._sent_usage.get(name)
            for host in self._candidates.list_first(
                _make_allowance_key(name), USAGE_REPLICAS
            )
            if host != self._host
        }
        before, self._sent_usage = self._sent_usage, dict(usage)
        usage_update = allowancemessages.UsageUpdate(
            self._incarnation, self._sent_usage, before
        )
        for host in targets:
            address = self._hosts.find_address(host)
            if address is not None:
                self._hosts.send(usage_update, address)

    def _remember(self, key: tuple[int, int], wait: float | None) -> None:
        self._answers[key] = wait
        if len(self._answers) > MAX_REMEMBERED_ANSWERS:
            self._answers.popitem(last=False)

    # Requests to coordinators.

    def _send(self, unit_request: UnitRequest, now: float) -> None:
        if unit_request.silent_hosts >= candidates.MAX_SILENT_HOSTS:
            self._decide_locally(unit_request, now)
            return
        if unit_request.asked_at is None:
            unit_request.asked_at = now
            unit_request.target = self._choose_coordinator(
                unit_request.organisation, now
            )
        unit_request.sent_at = now
        if unit_request.target == self._host:
            wait = self._grant(
                unit_request.organisation, unit_request.cost, now
            )
            self._answer(unit_request, wait)
            return
        request = self._make_request(unit_request, is_returned=False)
        self._send_request(request, unit_request.target)

    def _decide_locally(self, unit_request: UnitRequest, now: float) -> None:
        terms = self._local.find_terms(unit_request.organisation, now)
        wait = self._local.grant(
            unit_request.organisation, unit_request.cost, terms, now
        )
        organisation = unit_request.organisation
        name = organisation.name
        if wait is not None:
            wait = self._add_backlog(
                organisation,
                unit_request.cost,
                wait,
                terms,
                self._local.count_near_hosts(),
                self._local.buckets.find_asked(name, now),
                now,
            )
        elif self._backlogs is not None and organisation.units_per_s > 0:
            self._backlogs.note_grant(name, unit_request.cost, now)
        self._answer(unit_request, wait)

    def _answer(self, unit_request: UnitRequest, wait: float | None) -> None:
        self._pending.pop(unit_request.number, None)
        unit_request.is_granted_locally = wait is None
        unit_request.wait_s = wait
        unit_request.answered.set()

    def _choose_coordinator(
        self, organisation: catalogue.Organisation, now: float
    ) -> ids.Host:
        return self._candidates.choose(
            _make_allowance_key(organisation.name), now
        )

    def _make_request(
        self, unit_request: UnitRequest, is_returned: bool
    ) -> allowancemessages.AllowanceRequest:
        return allowancemessages.AllowanceRequest(
            address=self._address,
            process=self.process,
            number=unit_request.number,
            organisation=unit_request.organisation.name,
            cost=unit_request.cost,
            is_returned=is_returned,
        )

    def _send_request(
        self, request: allowancemessages.AllowanceRequest, target: ids.Host
    ) -> None:
        address = self._hosts.find_address(target)
        if address is not None:
            self._hosts.send(request, address)


def _make_allowance_key(organisation: ids.Organisation) -> str:
    return f'allowance/{organisation}'
