"""What all requests of a gateway share: decisions, estimates, and callbacks.

A single value, so that a request is made from it and what its caller sent.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlanding import retrybudget
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import allowances
from apricotlandingd.gateway.hosts import brittlemessages
from apricotlandingd.gateway.hosts import departuremessages
from apricotlandingd.gateway.hosts import dispatch
from apricotlandingd.gateway.hosts import limitmessages
from apricotlandingd.gateway.hosts import sharedallowances
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.relays import runnerpaths
from apricotlandingd.gateway.requests import crashguard
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import resumption
from apricotlandingd.gateway.requests import routestats
from apricotlandingd.gateway.rollouts import participant
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import contention
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import rests
from apricotlandingd.gateway.runners import statedlimits

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
    telemetry: telemetry.MetricRegistry
    find_catalogue: collections.abc.Callable[[], catalogue.Catalogue | None]
    paths: runnerpaths.RunnerPaths
    count_hosts: collections.abc.Callable[[], int]
    contention: contention.Contention
    held_answers: heldanswers.HeldAnswers
    is_stopping: collections.abc.Callable[[], bool]
    on_change: collections.abc.Callable[[], None]
    # Called for each malformed answer of a runner, with the reason.
    on_malformed_answer: collections.abc.Callable[
        [ids.Runner, str, float], None
    ]
    routestats: routestats.RouteStats
    crash_guard: crashguard.CrashGuard
    departure_reports: departuremessages.DepartureReports
    rests: rests.Rests
    closed: closedrunners.ClosedRunners
    limits: statedlimits.StatedLimits
    limit_reports: limitmessages.LimitReports
    brittle: brittleness.Brittleness
    brittle_reports: brittlemessages.BrittleReports
    participant: participant.Participant
    resumption: resumption.Resumption
