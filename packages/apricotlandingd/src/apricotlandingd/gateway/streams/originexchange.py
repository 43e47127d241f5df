"""Tells other hosts where streams begin, and asks them.

A host that starts is told what it should keep, and one that stops hands over
what it keeps, so that origins outlast stops of one host after another.
"""

import collections.abc
import dataclasses
import itertools
import typing as ty

import anyio

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.streams import keepers
from apricotlandingd.gateway.streams import originmessages
from apricotlandingd.gateway.streams import origins

__all__ = ['Found', 'Hosts', 'OriginExchange']

# Seconds after which hosts that have not replied are asked again, and more
# hosts with them; and after which an origin counts as not known.
RESEND_INTERVAL_S = 0.06
TIMEOUT_S = 0.3
# Hosts that are asked at most, in the order for the stream.
MAX_ASKED_HOSTS = 20
# Questions at one time; a host with more leaves the next ones unanswered.
MAX_INQUIRIES = 256


class Hosts(ty.Protocol):
    """The other hosts, and a way to send to them."""

    def list_available(self) -> list[ids.Host]:
        """Return the other hosts that are heard and do not stop."""

    def send(self, message: object, address: addresses.Address) -> None:
        """Send a datagram, which may be lost."""

    def send_to_all(self, message: object, hosts: list[ids.Host]) -> None:
        """Send a datagram to several hosts; it may be lost."""


class Found(ty.NamedTuple):
    """The origin of a stream, and the host that knew it."""

    origin: origins.Origin
    host: ids.Host


@ty.final
@dataclasses.dataclass(slots=True)
class _Inquiry:
    # Hosts that have not replied.
    awaited: set[ids.Host] = dataclasses.field(default_factory=set)
    found: Found | None = None
    # Set when it is found, or when all have replied.
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@ty.final
class OriginExchange:
    """The origins that this host knows, and those that it asks for."""

    def __init__(
        self,
        host: ids.Host,
        address: addresses.Address,
        process: ids.Incarnation,
        hosts: Hosts,
    ) -> None:
        """Start without origins; replies arrive at ``address``."""
        self._host = host
        self._address = str(address)
        self._process = messages.digest_process(process)
        self._hosts = hosts
        self._table = origins.OriginTable()
        self._numbers = itertools.count(1)
        self._inquiries: dict[int, _Inquiry] = {}

    def count(self) -> int:
        """Return the number of origins that are kept."""
        return len(self._table)

    def publish(
        self,
        stream: ids.Stream,
        origin: origins.Origin,
        retention_s: float,
        now: float,
    ) -> None:
        """Keep the origin of a stream, here and at a few other hosts."""
        row = self._table.note(stream, origin, retention_s, now)
        hosts = keepers.rank_hosts(stream, self._hosts.list_available())
        report = originmessages.OriginReport([_write_row(row, now)])
        self._hosts.send_to_all(report, hosts)

    async def find(self, stream: ids.Stream, timeout_s: float) -> Found | None:
        """Return the origin of a stream; None if no host tells it in time."""
        known = self._table.find(stream, clocks.read_monotonic())
        if known is not None:
            return Found(known, self._host)
        if len(self._inquiries) >= MAX_INQUIRIES:
            return None
        number = next(self._numbers)
        inquiry = _Inquiry()
        self._inquiries[number] = inquiry
        try:
            with anyio.move_on_after(min(timeout_s, TIMEOUT_S)):
                await self._ask(stream, number, inquiry)
        finally:
            del self._inquiries[number]
        return inquiry.found

    async def _ask(
        self, stream: ids.Stream, number: int, inquiry: _Inquiry
    ) -> None:
        query = originmessages.OriginQuery(
            self._address, self._process, number, stream
        )
        ranked = keepers.rank_hosts(
            stream, self._hosts.list_available(), MAX_ASKED_HOSTS
        )
        first, others = ranked[: keepers.KEEPERS], ranked[keepers.KEEPERS :]
        for hosts in (first, others):
            if not hosts:
                continue
            # Those of the first round that have not replied are asked again.
            inquiry.awaited.update(hosts)
            inquiry.ended = anyio.Event()
            self._hosts.send_to_all(query, sorted(inquiry.awaited))
            with anyio.move_on_after(RESEND_INTERVAL_S):
                await inquiry.ended.wait()
            if inquiry.found is not None:
                return
        while inquiry.awaited and inquiry.found is None:
            inquiry.ended = anyio.Event()
            self._hosts.send_to_all(query, sorted(inquiry.awaited))
            with anyio.move_on_after(RESEND_INTERVAL_S):
                await inquiry.ended.wait()

    # Messages.

    def list_handlers(
        self,
    ) -> list[
        tuple[type[ty.Any], collections.abc.Callable[[ty.Any, float], None]]
    ]:
        """Return the types of messages to subscribe to, and their handlers."""
        return [
            (originmessages.OriginReport, self.handle_report),
            (originmessages.OriginQuery, self.handle_query),
            (originmessages.OriginReply, self.handle_reply),
        ]

    def handle_report(
        self, report: originmessages.OriginReport, now: float
    ) -> None:
        """Keep the origins that another host tells."""
        for row in report.rows:
            self._table.note(
                ids.Stream(row.stream), _read_origin(row), row.left_s, now
            )

    def handle_query(
        self, query: originmessages.OriginQuery, now: float
    ) -> None:
        """Tell another host where a stream began."""
        row = self._table.find_row(ids.Stream(query.stream), now)
        reply = originmessages.OriginReply(
            self._host,
            query.process,
            query.number,
            [] if row is None else [_write_row(row, now)],
        )
        self._hosts.send(reply, messages.read_address(query.address))

    def handle_reply(
        self, reply: originmessages.OriginReply, now: float
    ) -> None:
        """Take what another host tells of a stream."""
        inquiry = self._inquiries.get(reply.number)
        if inquiry is None or reply.process != self._process:
            return
        host = ids.Host(reply.host)
        inquiry.awaited.discard(host)
        for row in reply.rows:
            inquiry.found = Found(_read_origin(row), host)
            self._table.note(
                ids.Stream(row.stream),
                inquiry.found.origin,
                row.left_s,
                now,
            )
        if inquiry.found is not None or not inquiry.awaited:
            inquiry.ended.set()

    def greet(self, host: ids.Host, now: float) -> None:
        """Tell a host that has just started what it is to keep."""
        hosts = {*self._hosts.list_available(), host}
        self._send_rows(
            host,
            [
                row
                for row in self._table.list_rows(now)
                if host in keepers.rank_hosts(row.stream, hosts)
            ],
            now,
        )

    def hand_over(self, now: float) -> None:
        """Tell the hosts that are left what this one keeps."""
        hosts = self._hosts.list_available()
        by_host: dict[ids.Host, list[origins.Row]] = {}
        for row in self._table.list_rows(now):
            for host in keepers.rank_hosts(row.stream, hosts):
                by_host.setdefault(host, []).append(row)
        for host, rows in by_host.items():
            self._send_rows(host, rows, now)

    def expire(self, now: float) -> None:
        """Drop the origins of streams whose callers come back no more."""
        self._table.expire(now)

    def _send_rows(
        self, host: ids.Host, rows: list[origins.Row], now: float
    ) -> None:
        for first in range(0, len(rows), originmessages.MAX_ROWS):
            part = rows[first : first + originmessages.MAX_ROWS]
            report = originmessages.OriginReport(
                [_write_row(row, now) for row in part]
            )
            self._hosts.send_to_all(report, [host])


def _write_row(row: origins.Row, now: float) -> originmessages.OriginRow:
    left_s = min(max(0.0, row.ends_at - now), origins.MAX_RETENTION_S)
    return originmessages.OriginRow(
        row.stream, row.origin.service, row.origin.release, round(left_s, 2)
    )


def _read_origin(row: originmessages.OriginRow) -> origins.Origin:
    return origins.Origin(ids.Pool(row.service), ids.Release(row.release))
