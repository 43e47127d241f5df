"""What all requests of a gateway share: decisions, beliefs, and calls back.

One value, so that a request is made from it and from what its caller sent.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import ids, retrybudget
from apricotlandingd.gateway import catalogue, dialect
from apricotlandingd.gateway.hosts import (
    allowances,
    dispatch,
    sharedallowances,
)
from apricotlandingd.gateway.process import measures
from apricotlandingd.gateway.requests import routestats, runnerclient
from apricotlandingd.gateway.runners import directory, latency

__all__ = ['SharedState']


@ty.final
@dataclasses.dataclass(slots=True)
class SharedState:
    """What all requests of a gateway share."""

    http_dialect: dialect.Dialect
    allowances: allowances.Allowances
    shared_allowances: sharedallowances.SharedAllowances
    retry_budget: retrybudget.RetryBudget
    dispatcher: dispatch.Dispatcher
    directory: directory.Directory
    latencies: latency.LatencyEstimates
    measures: measures.Measures
    find_catalogue: collections.abc.Callable[[], catalogue.Catalogue | None]
    find_client: collections.abc.Callable[
        [dialect.RunnerEntry], runnerclient.RunnerClient
    ]
    count_hosts: collections.abc.Callable[[], int]
    is_stopping: collections.abc.Callable[[], bool]
    on_change: collections.abc.Callable[[], None]
    # Called with each answer that is none, and the reason.
    on_malformed_answer: collections.abc.Callable[
        [ids.Runner, str, float], None
    ]
    routestats: routestats.RouteStats
