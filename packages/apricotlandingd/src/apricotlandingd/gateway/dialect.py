"""Interfaces that the adapter of a platform implements.

``Dialect`` parses a caller's headers into a ``RequestHead``, writes the
headers of the call to a runner, parses the head of its answer, and decodes
configurations and registrations. ``Store`` reads the platform's records. Both
only translate; the modules that call them make every decision.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.rollouts import orders

__all__ = [
    'AnswerHead',
    'Batch',
    'CorruptRecord',
    'Dialect',
    'GatewayStore',
    'HeaderList',
    'HistoryGone',
    'Record',
    'RequestHead',
    'RunnerEntry',
    'StatusStore',
    'Store',
    'StoreUnavailable',
    'Topic',
    'Unreadable',
]

HeaderList = list[tuple[bytes, bytes]]
# A log of records in the platform's store: 'config' or 'runners'.
Topic = ty.NewType('Topic', str)
CONFIG = Topic('config')
RUNNERS = Topic('runners')


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Parsed headers of a caller's request."""

    # Id of this attempt; each retry of the caller has another one.
    attempt: str
    hostname: str
    # The credential as sent; None if there is none.
    key: str | None
    # Seconds that the caller will wait; None if not stated.
    deadline_s: float | None
    # Tokens of the prompt, and the limit of generated tokens.
    prompt_tokens: int
    output_tokens: int
    # The caller's estimate of the generated tokens: correct in the median, but
    # often far off. None if not stated.
    expected_tokens: int | None
    # The caller stated the token counts.
    has_token_counts: bool
    # Digest and tokens of each segment of the prompt, in order.
    prefix: tuple[tuple[str, int], ...]
    # Id of the event after which a broken stream resumes; '' to start it.
    last_event: str
    # Headers that are forwarded to the runner unchanged.
    passed: tuple[tuple[bytes, bytes], ...]
    # The attempt that brought the first event of the stream that this one
    # takes up; '' if it takes up none.
    resumes: str = ''


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Parsed status and headers of a runner's answer."""

    status: int
    # Id of the attempt that the answer names.
    attempt: str
    # The runner states that it did not run the request.
    is_not_run: bool
    # Another runner uses this address now.
    is_other_runner: bool
    # Has the seal, without which a success is not accepted.
    is_sealed: bool
    # Requests running and queued at the runner; None if not stated.
    load: tuple[int, int] | None
    # How long work takes on the runner's machine now, in percent of the usual
    # time; None if not stated.
    slowness: int | None
    # It states that in a way that cannot be read.
    is_slowness_unreadable: bool
    # Requests per second that the runner takes from all hosts together; None
    # if it states no limit, or one that cannot be read.
    limit: float | None
    # It states a limit that cannot be read, so that the last one goes on.
    is_limit_unreadable: bool
    # Requests per second that it may turn away before it falls over; None if
    # it is not brittle, or says so in a way that cannot be read.
    tolerance: float | None
    # It says that it is brittle, in a way that cannot be read, so that the
    # last statement goes on.
    is_tolerance_unreadable: bool
    # The runner leaves, and is to get no more requests.
    is_leaving: bool
    # It states whether it leaves, in a way that cannot be read.
    is_leaving_unreadable: bool
    # Seconds for which the runner wants no requests of this host; None if it
    # does not ask for rest.
    rest_s: float | None
    # It asks for rest, for a time that cannot be read.
    is_rest_unreadable: bool
    # Seconds after which the runner closes an idle connection.
    idle_s: float | None
    # Headers that are forwarded to the caller.
    passed: tuple[tuple[bytes, bytes], ...]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerEntry:
    """A runner's registration."""

    start: ids.RunnerStart
    service: ids.Pool
    address: addresses.Address
    domain: ids.Domain
    slots: int
    # Finishes its requests and accepts no new ones.
    is_draining: bool
    # Version of its software; '' if it is not stated.
    release: ids.Release = ids.Release('')
    # Runners of each release are a pool of their own, for roll-outs.
    is_pooled_by_release: bool = True

    @property
    def pool(self) -> ids.Pool:
        """Return the pool that the runner belongs to."""
        if not self.is_pooled_by_release:
            return self.service
        return ids.make_pool(self.service, self.release)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The newest value of a key in a topic."""

    key: str
    offset: int
    # None if the key was removed.
    value: bytes | None


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CorruptRecord:
    """A record whose key cannot be decoded."""

    # None if the offset cannot be decoded either.
    offset: int | None
    detail: str


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records of one read, and the offset of the next one."""

    records: tuple[Record, ...]
    next_offset: int
    # Left out of ``records``. The next offset lies after them: a reader that
    # stopped at a corrupt record would never read another one.
    corrupt_records: tuple[CorruptRecord, ...] = ()
    # Rises by one each time the store comes back from a copy, which gives
    # offsets out again; None if the store did not state it.
    era: int | None = None


class Unreadable(ValueError):
    """External data is invalid; the text states the reason and the remedy."""


class StoreUnavailable(Exception):
    """The store did not answer or rejected the call; retry later."""


class HistoryGone(Exception):
    """The records at this offset were deleted; read a snapshot."""


class Dialect(ty.Protocol):
    """Formats of a platform's requests, answers and records."""

    def read_request(
        self, method: str, target: str, headers: HeaderList
    ) -> RequestHead | None:
        """Parse a caller's headers; return None if they name no attempt.

        Raises Unreadable for headers that a call to a runner must not have.
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

    def limit_time(self, headers: HeaderList, left_s: float) -> HeaderList:
        """Return the headers of a call with another time that is left."""

    def read_part_keys(self, headers: HeaderList) -> frozenset[ids.ContentKey]:
        """Return the keys of the parts in the headers of a call."""

    def read_answer(self, status: int, headers: HeaderList) -> AnswerHead:
        """Parse the head of a runner's answer."""

    def write_refusal(
        self, attempt: str, return_s: float | None
    ) -> HeaderList:
        """Return the headers of an answer that the gateway itself gives.

        They name the attempt and, if given, the time until a retry.
        """

    def decode_catalogue(self, data: bytes) -> catalogue.Catalogue:
        """Decode a configuration; raises Unreadable."""

    def decode_runner(self, key: str, data: bytes) -> RunnerEntry:
        """Decode a registration; raises Unreadable."""

    def decode_order(
        self, key: str, offset: int, data: bytes
    ) -> orders.Order | None:
        """Decode the order of a roll-out; None if the key is of no order.

        Raises Unreadable.
        """


class Store(ty.Protocol):
    """The platform's store of records."""

    async def read_snapshot(self, topic: Topic) -> Batch:
        """Return the newest record of each key.

        Raises StoreUnavailable.
        """

    async def read_from(
        self, topic: Topic, offset: int, wait_s: float
    ) -> Batch:
        """Return records at or after an offset; wait for them if none exist.

        The batch is empty if none come within ``wait_s`` seconds.
        Raises StoreUnavailable or HistoryGone.
        """

    async def read_hosts(
        self,
    ) -> collections.abc.Mapping[ids.Host, addresses.Address | Unreadable]:
        """Return the peer addresses that hosts published.

        Raises StoreUnavailable.
        """

    async def write_host(
        self, host: ids.Host, address: addresses.Address
    ) -> None:
        """Publish the address at which this host listens for peers."""


class StatusStore(ty.Protocol):
    """The statuses of roll-outs in the platform's store."""

    async def read_status(self, service: ids.Pool) -> orders.StatusPage:
        """Return the status of a service's roll-out.

        Raises StoreUnavailable.
        """

    async def write_status(
        self, service: ids.Pool, status: orders.Status, page: orders.StatusPage
    ) -> bool:
        """Write a status if nothing was written since a page was read.

        Returns whether it was written. Raises StoreUnavailable, in which case
        it may have been, or may be for as long as the condition holds.
        """


class GatewayStore(Store, StatusStore, ty.Protocol):
    """Everything that a gateway uses of the platform's store."""
