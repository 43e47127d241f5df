"""Slots of runners that fail while the others of their service are full.

Answers overload while a runner resets its connections. It fails requests in
some hundredths of a second, so it always has free slots, and a scheduler that
uses it once no other runner has any sends it most of what waits. A request
that waits instead is served, or is refused and may return.
"""

import collections.abc
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import schedulingviews
from apricotlandingd.gateway.runners import health

__all__ = ['describe_unreachable', 'limit_free']


def limit_free(
    view: schedulingviews.RunnerView, fitness: health.Health, now: float
) -> None:
    """Withhold the free slots of failing runners in a view.

    One that has been avoided for a while gets one request at a time, which
    shows whether it has recovered. If all runners fail alike, none is avoided.
    """
    starts = [entry.start for entry in view.entries]
    if len(view.avoided) == len(starts):
        return
    for start in view.avoided:
        view.free[start] = min(view.free[start], 0)
    for start in fitness.list_tried_again(starts, now):
        view.free[start] = min(view.free[start], 1 - view.used[start])


def describe_unreachable(
    fitness: health.Health,
    starts: list[ids.RunnerStart],
    count_running: collections.abc.Callable[[ids.RunnerStart], int],
    now: float,
) -> list[dict[str, ty.Any]]:
    """Return those of some runners that are in backoff, for the log.

    ``count_running`` returns the requests of other hosts at a runner; they
    show that only this host's link to it is lost.
    """
    return [
        {
            'runner': ids.parse_runner(item.start),
            'failures': item.failures,
            'left_s': round(item.left_s, 2),
            'running_elsewhere': count_running(item.start),
        }
        for item in fitness.list_unreachable(starts, now)
    ]
