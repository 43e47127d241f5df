"""Messages between a host and the coordinators of allowances.

``AllowanceRequest`` asks for units of one organisation, or returns some. It
is resent until ``AllowanceReply`` arrives. Its number identifies a repetition,
which gets the same answer and grants nothing more. ``UsageUpdate`` goes to the
hosts that are asked next when the sender is lost.
"""

import dataclasses
import typing as ty

import pydantic

from apricotlanding import ids
from apricotlandingd.gateway.hosts import messages

__all__ = ['AllowanceReply', 'AllowanceRequest', 'UsageUpdate']

Cost = ty.Annotated[float, pydantic.Field(ge=0.0, le=messages.MAX_UNITS)]


@messages.registry.register(8)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """Asks for units of an organisation's allowance, or returns them."""

    # Where the reply goes.
    address: messages.AddressText
    process: messages.Digest
    # Sequence number of the request within the process.
    number: messages.Count
    organisation: ids.Organisation
    cost: Cost
    # The units are returned: their request was not run.
    is_returned: bool


@messages.registry.register(9)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceReply:
    """Tells whether the units were granted."""

    host: ids.Host
    # The process and the request that are answered.
    process: messages.Digest
    number: messages.Count
    # Seconds until there are enough; 0 if they were granted.
    wait_s: Cost
    is_stopping: bool


@messages.registry.register(10)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class UsageUpdate:
    """Units that a host has granted for all since its start."""

    incarnation: ids.Incarnation
    # Totals of units by organisation, now and in the previous update.
    usage: dict[ids.Organisation, messages.Units]
    before: dict[ids.Organisation, messages.Units]
