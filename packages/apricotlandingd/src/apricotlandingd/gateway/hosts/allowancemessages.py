"""Messages between a host and the hosts that keep allowances for all.

``AllowanceRequest`` asks for units of one organisation, or gives some back.
It is repeated until ``AllowanceReply`` comes; the number tells a repetition,
which is answered as before and hands out nothing more. ``UsageUpdate`` goes to
the hosts that are asked next when the sender is lost.
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
    """Asks for units of an organisation's allowance."""

    # Where the reply goes.
    address: messages.AddressText
    process: messages.Digest
    # Counts the requests of the process.
    number: messages.Count
    organisation: ids.Organisation
    cost: Cost
    # The units are given back: their request was not run.
    is_returned: bool


@messages.registry.register(9)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceReply:
    """Says whether the units were handed out."""

    host: ids.Host
    # The process and the request that are answered.
    process: messages.Digest
    number: messages.Count
    # Seconds until there are enough; 0 if they were handed out.
    wait_s: Cost
    is_stopping: bool


@messages.registry.register(10)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class UsageUpdate:
    """What a host has handed out for all since its start."""

    incarnation: ids.Incarnation
    # Totals of units by organisation, now and in the news before.
    usage: dict[ids.Organisation, messages.Units]
    before: dict[ids.Organisation, messages.Units]
