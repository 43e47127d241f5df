"""Messages between hosts and the decider of a roll-out.

Both state everything that holds, so that one that is lost or repeated needs
no repair, and a new decider learns from the next reports what all hosts have
seen. A report that does not fit one datagram is sent as several.
"""

import dataclasses
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.decisions import evidence
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.rollouts import orders

__all__ = ['MAX_ROWS', 'AnswerRow', 'RolloutReply', 'RolloutReport']

# Most rows of one message; a row takes some twelve bytes.
MAX_ROWS: ty.Final = 100
MAX_SECONDS: ty.Final = 1e6

Duration = ty.Annotated[float, pydantic.Field(ge=0.0, le=MAX_SECONDS)]
Share = ty.Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Bin = ty.Annotated[int, pydantic.Field(ge=0, le=evidence.FAILURE_BIN)]


class AnswerRow(ty.NamedTuple):
    """Answers that a host has counted since the order; see ``evidence``."""

    runner: messages.Digest
    route: messages.Digest
    is_new: bool
    bin: Bin
    answers: messages.Count


@messages.registry.register(13)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """A host's part of a roll-out, for its decider."""

    host: ids.Host
    # Where the reply goes.
    address: messages.AddressText
    process: messages.Digest
    # Sequence number of the message within the process.
    number: messages.Count
    service: ids.Pool
    # Offset of the order.
    order: messages.Count
    # What the host applies.
    phase: orders.Phase
    # Seconds since the order became known.
    elapsed_s: Duration
    # Requests sent since the order, in all and to the new release.
    sent: messages.Count
    sent_new: messages.Count
    # Requests of all other releases in progress.
    running_old: messages.Count
    longest_s: Duration
    rows: ty.Annotated[list[AnswerRow], pydantic.Field(max_length=MAX_ROWS)]


@messages.registry.register(14)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReply:
    """What hosts are to do for an order."""

    host: ids.Host
    # Sequence number of the message within the decider's process.
    number: messages.Count
    service: ids.Pool
    order: messages.Count
    phase: orders.Phase
    sampling: Share
    opened: messages.Count
    elapsed_s: Duration
    # Seconds for which this holds without a later message.
    valid_s: Duration
    # The store has the final status.
    is_stored: bool
