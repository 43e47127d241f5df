"""The gauges of a gateway: values that are read when metrics are fetched."""

import collections.abc

from apricotlanding import clocks
from apricotlandingd.gateway.decisions import returntimes
from apricotlandingd.gateway.decisions import serviceshares
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.process import placebuilding
from apricotlandingd.gateway.process import processmemory
from apricotlandingd.gateway.process import relaying
from apricotlandingd.gateway.process import reports
from apricotlandingd.gateway.process import stalls
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.requests import heldanswers
from apricotlandingd.gateway.requests import listener
from apricotlandingd.gateway.rollouts import rollouts
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import rests
from apricotlandingd.gateway.streams import originexchange

__all__ = ['make_gauges']

Gauges = dict[str, collections.abc.Callable[[], float]]


def make_gauges(
    requests: listener.Listener,
    hosts: mesh.Mesh,
    relays: relaying.Relaying,
    all_reports: reports.Reports,
    all_rollouts: rollouts.Rollouts,
    replica: records.Replica,
    runners: directory.Directory,
    own_rests: rests.Rests,
    process_stalls: stalls.StallDetector,
    stream_origins: originexchange.OriginExchange,
    placing: placebuilding.PlaceBuilder,
    backlogs: returntimes.Backlogs | None,
) -> Gauges:
    """Return the functions that read the gauges, by name."""
    learned = placing.knowledge.limits
    found: Gauges = {
        'open_requests': lambda: requests.open_requests,
        'peers_known': lambda: len(hosts.peers),
        'runner_connects_total': relays.clients.count_connects,
        'services_without_links': relays.links.count_cut,
        'relayed_for_others': lambda: relays.server.active,
        'relayed_for_others_total': lambda: relays.server.calls,
        'quarantined_contents': all_reports.crashes.count_quarantined,
        'blamed_contents': all_reports.crashes.count_blamed,
        'quarantined_parts': all_reports.part_reports.count_quarantined,
        'blamed_parts': all_reports.part_reports.count_blamed,
        'rollouts_open': all_rollouts.count_open,
        'rollout_trial_requests': all_rollouts.count_trials,
        'store_era': replica.find_era,
        'leaving_runners': runners.departures.count,
        'resting_runners': lambda: own_rests.count(clocks.read_monotonic()),
        'limited_runners': lambda: len(placing.limits.list_limited()),
        'learned_limit_runners': lambda: learned.count_limited(
            clocks.read_monotonic()
        ),
        'learned_limit_withheld_slots': lambda: learned.count_withheld(
            clocks.read_monotonic()
        ),
        'brittle_runners': lambda: len(placing.brittle.list_brittle()),
        'contended_services': placing.knowledge.contention.count,
        'largest_prefill_backlog_seconds': lambda: (
            placing.knowledge.prompts.find_largest_backlog(
                clocks.read_monotonic()
            )
        ),
        'stream_origins': stream_origins.count,
        'stalls_total': lambda: process_stalls.count,
        'stalled_seconds_total': lambda: process_stalls.seconds,
    }
    found |= _make_memory_gauges(requests.held_answers)
    if placing.knowledge.contention.is_configured:
        found |= _make_runner_memory_gauges(placing)
    if backlogs is not None:
        found['largest_allowance_backlog_seconds'] = lambda: (
            backlogs.find_largest(clocks.read_monotonic())
        )
    if placing.sharing is not None:
        found |= _make_share_gauges(placing.sharing)
    return found


def _make_runner_memory_gauges(placing: placebuilding.PlaceBuilder) -> Gauges:
    return {
        'runner_memory_tokens': placing.scheduler.count_memory,
        'runner_memory_waits_total': lambda: placing.knowledge.memory.waits,
    }


def _make_memory_gauges(held: heldanswers.HeldAnswers) -> Gauges:
    return {
        'process_bytes': processmemory.read_process_bytes,
        'held_bytes': lambda: held.total,
        'uncounted_bytes': lambda: held.uncounted.bytes,
        'held_bytes_limit': lambda: held.limit or 0,
        'held_requests': held.count_open,
        'memory_refusals_total': lambda: held.refused,
        'answers_cut_total': lambda: held.cut,
    }


def _make_share_gauges(sharing: serviceshares.ServiceShares) -> Gauges:
    return {
        'sharing_organisations': lambda: sharing.count_active(
            clocks.read_monotonic()
        ),
        'organisations_above_share': lambda: sharing.count_above(
            clocks.read_monotonic()
        ),
    }
