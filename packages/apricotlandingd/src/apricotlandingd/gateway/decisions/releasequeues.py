"""Queues of requests that may use runners of one release only.

A stream goes on at the version of the software that began it. Where runners
of several versions serve one pool, its requests are listed apart, so that no
host leaves a slot of another version to them.
"""

import collections.abc

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway import dialect

__all__ = ['find_queue', 'list_bound']

ListWaiting = collections.abc.Callable[[ids.Pool], list[queueing.Rank]]


def find_queue(
    service: ids.Pool,
    release: ids.Release,
    entries: list[dialect.RunnerEntry],
) -> ids.Pool:
    """Return the name under which requests for a release are listed.

    ``entries`` are the runners of the service.
    """
    if len(_list_releases(entries)) < 2:
        return service
    return ids.make_pool(service, release)


def list_bound(
    service: ids.Pool,
    entries: list[dialect.RunnerEntry],
    list_waiting: ListWaiting,
) -> dict[ids.Release, list[queueing.Rank]]:
    """Return what waits at peers for each release; empty if there is one.

    ``list_waiting`` returns the sorted ranks of a queue at peers.
    """
    releases = _list_releases(entries)
    if len(releases) < 2:
        return {}
    return {
        release: list_waiting(ids.make_pool(service, release))
        for release in releases
    }


def _list_releases(entries: list[dialect.RunnerEntry]) -> set[ids.Release]:
    return {entry.release for entry in entries}
