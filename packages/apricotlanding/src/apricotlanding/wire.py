"""Messages between daemons.

A *call* is answered by one message with the same call number; a *push* has
call number 0 and is not answered. ``peerlink`` sends both over one
connection. All times are durations in seconds, because hosts do not share a
monotonic clock. The only wall clock times are those in ``Ping`` and ``Pong``,
which are used to compare clocks.
"""

import dataclasses
import enum
import typing as ty

from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import quarantine
from apricotlanding import records

__all__ = [
    'Ack',
    'Attach',
    'AttachEnd',
    'Chunk',
    'ClaimEnd',
    'ClaimReply',
    'ClaimReport',
    'ClaimQuery',
    'ClaimRequest',
    'ClaimState',
    'ClaimVerdict',
    'CrashReport',
    'Drain',
    'Failed',
    'FetchState',
    'Finished',
    'Grant',
    'HeldClaim',
    'Ping',
    'Pong',
    'Promise',
    'PromiseRequest',
    'Register',
    'Registration',
    'Shed',
    'Started',
    'StateReply',
    'Withdraw',
    'Withdrawn',
    'registry',
]

registry = codec.Registry('peer message')


@registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat from the peer that opened the connection."""

    wall: float
    version: ids.Version
    log_next: ids.Offset


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a heartbeat."""

    wall: float
    version: ids.Version
    log_next: ids.Offset
    is_draining: bool


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a call that returns no data."""


@registry.register(4)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call was rejected."""

    code: str
    text: str


@registry.register(10)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequest:
    """An owner asks not to be replaced for the length of a lease."""

    shards: list[tuple[ids.Shard, ids.Epoch]]
    lease_s: float


@registry.register(11)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """The sender appends no Take for these shards for a lease."""

    shards: list[tuple[ids.Shard, ids.Epoch]]
    # Age of the latest proof that the sender had read the log to its end;
    # None if there was none.
    confirmed_age_s: float | None


class ClaimState(enum.Enum):
    """State of a key as the claim owner knows it."""

    HELD = 'held'
    FINISHED = 'finished'
    # Not run; may be claimed again.
    RELEASED = 'released'
    # May have run; this can no longer be determined.
    UNKNOWN = 'unknown'


class ClaimVerdict(enum.Enum):
    """Result of a claim."""

    GRANTED = 'granted'
    # Another daemon holds the key and can stream its answer; see ``Attach``.
    HELD = 'held'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    KEY_REUSED = 'key-reused'
    KEY_FROM_FUTURE = 'key-from-future'
    KEY_EXPIRED = 'key-expired'
    CLOCK_OFF = 'clock-off'
    # The receiver is not allowed to grant at present.
    NOT_OWNER = 'not-owner'


@registry.register(20)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """An entry daemon requests the exclusive right to run a key."""

    shard: ids.Shard
    organisation: ids.Organisation
    key: ids.Key
    # Over route and body: a key identifies one request.
    digest: bytes
    # Unique to this attempt. Without it, a delayed release could undo a
    # later grant to the same daemon, and a third claim would be granted
    # while the second runs.
    ticket: str


@registry.register(21)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim or to a query for one."""

    verdict: ClaimVerdict
    epoch: ids.Epoch
    holder: ids.Incarnation | None = None
    # For KEY_FROM_FUTURE, seconds ahead; for KEY_EXPIRED, the window.
    seconds: float = 0.0
    # Ticket of the attempt that holds the key.
    ticket: str = ''


@registry.register(22)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnd:
    """The holder reports the final state of a key."""

    shard: ids.Shard
    organisation: ids.Organisation
    key: ids.Key
    state: ClaimState
    ticket: str


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaim:
    """One claim, as reported by its holder."""

    organisation: ids.Organisation
    key: ids.Key
    digest: bytes
    state: ClaimState
    holder: ids.Incarnation
    ticket: str


@registry.register(23)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReport:
    """Claims of a shard, sent to an owner that begins to serve.

    Entry daemons report the claims that they hold. An owner that stops
    gracefully sends its whole table to its successor before it releases the
    shard.
    """

    shard: ids.Shard
    # The epoch that the receiver serves; in a handover, the epoch that ends.
    epoch: ids.Epoch
    claims: list[HeldClaim]
    # True in the last message of a report.
    is_last: bool
    is_handover: bool = False


@registry.register(24)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimQuery:
    """A daemon asks for the state of a key on behalf of an operator."""

    shard: ids.Shard
    organisation: ids.Organisation
    key: ids.Key


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What a pool scheduler needs to know of one request."""

    # Unique over all daemons: ``incarnation/number``.
    ticket: str
    organisation: ids.Organisation
    tier: ids.Tier
    weight: float
    prompt_tokens: int
    output_tokens: int
    # Seconds left until the deadline.
    deadline_s: float
    # Hash chain over the blocks of the prompt, in order.
    prefix: list[int]
    # Runners on which this request has failed.
    avoid: list[ids.Runner]
    # Where it is running when it is registered with a new scheduler.
    runner: ids.Runner | None = None
    # Seconds that it has waited so far.
    waited_s: float = 0.0
    # False while the claim is pending: the request is queued, so that it can
    # be shed, but is not granted a runner.
    is_ready: bool = True


@registry.register(30)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Waiting and running requests, sent to the owner of a pool.

    The first message to an owner contains all requests of the sender and is
    a call: a scheduler sheds only after every live daemon has sent it. Later
    messages are pushed.
    """

    pool: ids.Pool
    epoch: ids.Epoch
    entries: list[Registration]


@registry.register(31)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Assigns a runner to a request."""

    pool: ids.Pool
    epoch: ids.Epoch
    ticket: str
    runner: ids.Runner
    expires_s: float


@registry.register(32)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Rejects a queued request; its caller is told immediately."""

    pool: ids.Pool
    epoch: ids.Epoch
    ticket: str
    retry_after_s: float
    # True if no runner could have finished it before its deadline, even with
    # an empty queue.
    is_late: bool = False


@registry.register(33)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """Revokes a grant unless the request was already started with it."""

    pool: ids.Pool
    epoch: ids.Epoch
    ticket: str
    runner: ids.Runner
    # True if the runner no longer answers: a request that was started there
    # is retried on another runner if it may run twice.
    is_lost: bool = False


@registry.register(34)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The entry daemon has started a request with its grant."""

    pool: ids.Pool
    ticket: str
    runner: ids.Runner


@registry.register(35)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request no longer occupies its runner."""

    pool: ids.Pool
    ticket: str
    # False if the runner rejected it or failed.
    is_good: bool
    # Seconds from start to first byte; None if there was none.
    first_s: float | None
    total_s: float
    output_tokens: int


@registry.register(36)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The entry daemon no longer needs a runner for this request."""

    pool: ids.Pool
    ticket: str


@registry.register(40)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Requests the answer to this key, from its beginning."""

    organisation: ids.Organisation
    key: ids.Key
    shard: ids.Shard
    # Ticket of the attempt that the claim owner has recorded.
    ticket: str


@registry.register(41)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of an answer."""

    data: bytes


@registry.register(42)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AttachEnd:
    """End of an answer; the code is empty if it is complete."""

    code: str
    text: str
    retry_after_s: float | None
    runner: ids.Runner | None
    status: int
    outcome: errors.Outcome = errors.Outcome.COMPLETE


@registry.register(45)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks the receiver to stop gracefully, as on SIGTERM."""


@registry.register(46)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Requests that were in progress when runners crashed."""

    rows: list[quarantine.Blame]


@registry.register(50)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class FetchState:
    """Requests the bundle in force if it is newer than this version."""

    version: ids.Version


@registry.register(51)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """The bundle in force and the shard owners known to the sender."""

    bundle: records.BundleRecord | None
    shards: list[records.ShardState]
