"""Builds what grants the units of the organisations' allowances."""

import collections.abc
import dataclasses
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import returntimes
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import candidates
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import sharedallowances
from apricotlandingd.gateway.process import settings

__all__ = ['AllowanceParts', 'build_allowances']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceParts:
    """What grants the units of a host."""

    local: allowances.Allowances
    shared: sharedallowances.SharedAllowances
    # None where capacity is not contended.
    backlogs: returntimes.Backlogs | None


def build_allowances(
    config: settings.GatewaySettings,
    process: ids.Incarnation,
    others: mesh.Mesh,
    candidate_hosts: candidates.Candidates,
    find_catalogue: collections.abc.Callable[[], catalogue.Catalogue | None],
    is_stopping: collections.abc.Callable[[], bool],
    rng: random.Random,
    now: float,
) -> AllowanceParts:
    """Build them; the mesh delivers their messages to them."""
    slack_units = config.bounds.quota_slack
    backlogs = returntimes.Backlogs(rng) if config.has_contention else None
    local = allowances.Allowances(slack_units, others, now)
    shared = sharedallowances.SharedAllowances(
        config.host,
        config.state,
        process,
        local,
        slack_units,
        others,
        candidate_hosts,
        lambda name: catalogue.find_organisation(find_catalogue(), name),
        is_stopping,
        now,
        backlogs,
    )
    shared.subscribe(others)
    return AllowanceParts(local, shared, backlogs)
