"""Datagrams between hosts about requests that crash runners."""

import dataclasses
import typing as ty

import pydantic

from apricotlanding import crashreports
from apricotlanding import ids
from apricotlanding import quarantine
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages

__all__ = [
    'BlameRow',
    'CrashReport',
    'MeshPeers',
    'PartReport',
    'read_report',
]

# Longest host name, characters.
MAX_HOST_CHARS: ty.Final = 64


class BlameRow(ty.NamedTuple):
    """One row of ``quarantine.Blame``."""

    key: messages.Digest
    crash: messages.Digest
    host: ty.Annotated[ids.Host, pydantic.Field(max_length=MAX_HOST_CHARS)]
    is_cleared: bool
    age_s: messages.Count


@messages.registry.register(11)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Some of the rows that a host knows."""

    rows: ty.Annotated[
        list[BlameRow], pydantic.Field(max_length=crashreports.MAX_ROWS)
    ]


@messages.registry.register(21)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PartReport:
    """Rows of parts of prompts."""

    rows: ty.Annotated[
        list[BlameRow], pydantic.Field(max_length=crashreports.MAX_ROWS)
    ]


def read_report(report: CrashReport | PartReport) -> list[quarantine.Blame]:
    """Return the rows of a message."""
    return [
        quarantine.Blame(
            ids.ContentKey(row.key),
            ids.Crash(row.crash),
            row.host,
            row.is_cleared,
            row.age_s,
        )
        for row in report.rows
    ]


@ty.final
class MeshPeers:
    """The other hosts, reached by datagram."""

    def __init__(
        self,
        hosts: mesh.Mesh,
        report_type: type[CrashReport] | type[PartReport] = CrashReport,
    ) -> None:
        """Send reports of a type by a mesh."""
        self._hosts = hosts
        self._report_type = report_type

    def list_hosts(self) -> list[ids.Host]:
        """Return the hosts that are known."""
        return list(self._hosts.peers)

    def send_blames(
        self, blames: list[quarantine.Blame], hosts: list[ids.Host]
    ) -> None:
        """Send some rows to hosts; they may be lost."""
        rows = [BlameRow(*blame) for blame in blames]
        self._hosts.send_to_all(self._report_type(rows), hosts)
