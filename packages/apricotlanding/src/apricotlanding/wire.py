"""Messages between daemons.

A *call* is answered by one message with the same call number; a *push* has
call number 0 and is not answered. ``peerlink`` carries both over one
connection. All times are durations in seconds, since no two hosts share a
monotonic clock; the only wall clock times are those in ``Ping`` and
``Pong``, which exist to compare clocks.
"""

import dataclasses
import enum
import typing as ty

from apricotlanding import codec
from apricotlanding import errors
from apricotlanding import ids
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
    """Heartbeat of the dialer."""

    wall: float
    version: ids.Version
    log_next: ids.Offset


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a heartbeat."""

    wall: float
    version: ids.Version
    log_next: ids.Offset
    is_draining: bool


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Done; nothing to say."""


@registry.register(4)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call was refused."""

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
    """The sender will not send a Take for these shards for a lease."""

    shards: list[tuple[ids.Shard, ids.Epoch]]
    # How old the sender's latest proof is that it had read the log to its
    # end; None if it never had one.
    confirmed_age_s: float | None


class ClaimState(enum.Enum):
    """What the claim owner knows of a key."""

    HELD = 'held'
    FINISHED = 'finished'
    # Not run; may be claimed again.
    RELEASED = 'released'
    # May have run; nobody will ever know better.
    UNKNOWN = 'unknown'


class ClaimVerdict(enum.Enum):
    """Answer to a claim."""

    GRANTED = 'granted'
    # Another daemon holds the key; its answer can be attached to.
    HELD = 'held'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    KEY_REUSED = 'key-reused'
    KEY_FROM_FUTURE = 'key-from-future'
    KEY_EXPIRED = 'key-expired'
    CLOCK_OFF = 'clock-off'
    # The receiver may not grant now.
    NOT_OWNER = 'not-owner'


@registry.register(20)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """An entry daemon asks for the right to run a key."""

    shard: ids.Shard
    organisation: ids.Organisation
    key: ids.Key
    # Of route and body: one key stands for one request.
    digest: bytes
    # Unique to this attempt. Without it a release that was delayed could
    # undo a later grant to the same daemon, and a third claim would be
    # granted while the second runs.
    ticket: str


@registry.register(21)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer to a claim, or to a question about one."""

    verdict: ClaimVerdict
    epoch: ids.Epoch
    holder: ids.Incarnation | None = None
    # For KEY_FROM_FUTURE, seconds ahead; for KEY_EXPIRED, the window.
    seconds: float = 0.0
    # The holder's attempt.
    ticket: str = ''


@registry.register(22)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnd:
    """The holder says what became of a key."""

    shard: ids.Shard
    organisation: ids.Organisation
    key: ids.Key
    state: ClaimState
    ticket: str


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaim:
    """One claim, as its holder reports it."""

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
    """Claims of a shard, for an owner that begins to serve.

    Entry daemons report what they hold; an owner that stops as planned
    hands its whole table to its successor before it releases the shard.
    """

    shard: ids.Shard
    # The epoch that the receiver serves, or, of a hand-over, the epoch
    # that ends.
    epoch: ids.Epoch
    claims: list[HeldClaim]
    # True in the last part.
    is_last: bool
    is_handover: bool = False


@registry.register(24)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimQuery:
    """An operator asks through a daemon what became of a key."""

    shard: ids.Shard
    organisation: ids.Organisation
    key: ids.Key


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What a pool scheduler has to know of one request."""

    # Unique over all daemons: ``incarnation/number``.
    ticket: str
    organisation: ids.Organisation
    tier: ids.Tier
    weight: float
    prompt_tokens: int
    output_tokens: int
    # Seconds left until the answer is useless.
    deadline_s: float
    # Hash chain over the blocks of the prompt, first block first.
    prefix: list[int]
    # Runners that failed this request already.
    avoid: list[ids.Runner]
    # Where it runs already, when registered again with a new scheduler.
    runner: ids.Runner | None = None
    # Seconds that it has waited already.
    waited_s: float = 0.0
    # False while it waits for its claim: it has a place in the queue, so
    # that it can be shed, and is not granted a runner.
    is_ready: bool = True


@registry.register(30)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Requests that wait or run, for the owner of a pool.

    The first one to an owner carries all that the sender has, says so, and
    is a call: a scheduler sheds only once every live daemon has made it.
    Later ones are pushed.
    """

    pool: ids.Pool
    epoch: ids.Epoch
    entries: list[Registration]


@registry.register(31)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A runner has room for a request."""

    pool: ids.Pool
    epoch: ids.Epoch
    ticket: str
    runner: ids.Runner
    expires_s: float


@registry.register(32)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The request will not be run; its caller is told at once."""

    pool: ids.Pool
    epoch: ids.Epoch
    ticket: str
    retry_after_s: float
    # True if no runner could have ended it before its deadline, whatever
    # else waits.
    is_late: bool = False


@registry.register(33)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """A grant is void unless the request was started with it."""

    pool: ids.Pool
    epoch: ids.Epoch
    ticket: str
    runner: ids.Runner
    # True if the runner no longer answers: a request that was started there
    # and may run twice goes elsewhere.
    is_lost: bool = False


@registry.register(34)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The entry daemon uses a grant."""

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
    # False if the runner refused it or failed.
    is_good: bool
    # Seconds from start to first byte; None if there was none.
    first_s: float | None
    total_s: float
    output_tokens: int


@registry.register(36)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The entry daemon no longer wants a runner for this request."""

    pool: ids.Pool
    ticket: str


@registry.register(40)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Send the answer to this key, from its beginning."""

    organisation: ids.Organisation
    key: ids.Key
    shard: ids.Shard
    # The attempt that the claim owner knows of.
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
    """Stop gracefully, as if by SIGTERM."""


@registry.register(50)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class FetchState:
    """Ask for the bundle in force if it is newer than this version."""

    version: ids.Version


@registry.register(51)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class StateReply:
    """The bundle in force, and the owners as far as the sender knows."""

    bundle: records.BundleRecord | None
    shards: list[records.ShardState]
