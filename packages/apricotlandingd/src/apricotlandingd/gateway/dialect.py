"""What an adapter supplies: how one platform writes what we have to know.

``Dialect`` turns a caller's headers into a ``RequestHead``, writes the
headers of the call to a runner, and reads a runner's answer. ``Store`` reads
the platform's records and decodes them. Both only translate; every decision
is made by the modules that call them.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import catalogue

__all__ = [
    'AnswerHead',
    'Batch',
    'CorruptRecord',
    'Dialect',
    'HeaderList',
    'HistoryGone',
    'Record',
    'RequestHead',
    'RunnerEntry',
    'Store',
    'StoreUnavailable',
    'Topic',
    'Unreadable',
]

HeaderList = list[tuple[bytes, bytes]]
# A stream of records in the platform's store: 'config' or 'runners'.
Topic = ty.NewType('Topic', str)
CONFIG = Topic('config')
RUNNERS = Topic('runners')


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller's headers say."""

    # Names this attempt of the caller; a retry has another one.
    attempt: str
    hostname: str
    # The credential as sent; None if there is none.
    key: str | None
    # Seconds that the caller will wait; None if it does not say.
    deadline_s: float | None
    # Tokens of the prompt, and the most that may be generated.
    prompt_tokens: int
    output_tokens: int
    # Tokens that the caller expects to be generated: right in the median,
    # often far off. None if it does not say.
    expected_tokens: int | None
    # The tokens were stated by the caller.
    has_token_counts: bool
    # Parts of the prompt in order: digest and tokens.
    prefix: tuple[tuple[str, int], ...]
    # Position after which a broken stream goes on; '' for a whole one.
    last_event: str
    # Headers that go on to the runner, as the caller wrote them.
    passed: tuple[tuple[bytes, bytes], ...]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What a runner's status and headers say."""

    status: int
    # The attempt that the answer names.
    attempt: str
    # The runner states that it did not run the request.
    is_not_run: bool
    # Another runner has this address now.
    is_other_runner: bool
    # Bears the mark without which no success counts.
    is_sealed: bool
    # Requests that run and wait at the runner; None if it does not say.
    load: tuple[int, int] | None
    # Seconds after which the runner closes the connection if it is idle.
    idle_s: float | None
    # Headers that go on to the caller.
    passed: tuple[tuple[bytes, bytes], ...]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerEntry:
    """A runner as it registered itself."""

    start: ids.RunnerStart
    service: ids.Pool
    address: addresses.Address
    domain: ids.Domain
    slots: int
    # Serves what it has and takes nothing new.
    is_draining: bool


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The newest value of a key in a topic."""

    key: str
    offset: int
    # None says that the key was removed.
    value: bytes | None


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CorruptRecord:
    """A record of which not even the key can be read."""

    # None if the record does not tell its offset either.
    offset: int | None
    detail: str


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read at once, and the offset to go on at."""

    records: tuple[Record, ...]
    next_offset: int
    # What was left out of ``records``. The offset to go on at lies behind it:
    # a reader that stopped before a bad record would never read another one.
    corrupt_records: tuple[CorruptRecord, ...] = ()


class Unreadable(ValueError):
    """Data from outside cannot be used; the text says why, and the remedy."""


class StoreUnavailable(Exception):
    """The store did not answer, or refused; try again later."""


class HistoryGone(Exception):
    """The records from this offset on were dropped; take a snapshot."""


class Dialect(ty.Protocol):
    """How callers and runners of a platform write requests and answers."""

    def read_request(
        self, method: str, target: str, headers: HeaderList
    ) -> RequestHead | None:
        """Return what a caller's headers say; None if no attempt is named.

        Raises Unreadable for headers that no call to a runner may have.
        """

    def write_request(
        self,
        head: RequestHead,
        runner: ids.Runner,
        organisation: ids.Organisation | None,
        left_s: float,
        last_event: str,
    ) -> HeaderList:
        """Return the headers of a call to a runner."""

    def read_answer(self, status: int, headers: HeaderList) -> AnswerHead:
        """Return what a runner's answer says."""

    def write_refusal(
        self, attempt: str, return_s: float | None
    ) -> HeaderList:
        """Return the headers of an answer of ours.

        They name the attempt, and when to come back if that is given.
        """

    def decode_catalogue(self, data: bytes) -> catalogue.Catalogue:
        """Return a configuration; Unreadable if it is none."""

    def decode_runner(self, key: str, data: bytes) -> RunnerEntry:
        """Return a registration; Unreadable if it names no runner."""


class Store(ty.Protocol):
    """The platform's records."""

    async def read_snapshot(self, topic: Topic) -> Batch:
        """Return the newest record of each key.

        Raises StoreUnavailable.
        """

    async def read_from(
        self, topic: Topic, offset: int, wait_s: float
    ) -> Batch:
        """Wait so long for records at or after an offset; may return none.

        Raises StoreUnavailable or HistoryGone.
        """

    async def read_hosts(
        self,
    ) -> collections.abc.Mapping[ids.Host, addresses.Address | Unreadable]:
        """Return where hosts said that they listen for peers.

        Raises StoreUnavailable.
        """

    async def write_host(
        self, host: ids.Host, address: addresses.Address
    ) -> None:
        """State where this host listens for peers."""
