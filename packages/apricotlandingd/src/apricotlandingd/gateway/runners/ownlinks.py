"""What this host believes about its own links to the runners of each service.

A host may lose its links to runners while callers, the store and other hosts
still reach it. Its own failures alone do not show that: the runners may be
dead. So they only make it doubt its links, and what other hosts reach at the
same time decides:

    direct    it connects to runners itself
    relayed   another host reaches a runner that this one does not; requests go
              through other hosts
    lost      neither it nor another host reaches any runner of the service

A connection that it makes itself ends the other two at once. Only connection
attempts count: open connections may go on while new ones fail, and a slow
answer says nothing of a link.
"""

import collections.abc
import dataclasses
import enum
import typing as ty

import eliot

from apricotlanding import ids

__all__ = ['OwnLinks', 'State']

# Failed runners of a service that cast doubt on this host's links; fewer if it
# has fewer runners.
DOUBT_RUNNERS = 2
# Seconds for which a failed attempt counts while the service is reached.
FAILURE_MAX_AGE_S = 5.0
# Seconds between trials of links that are not used, and runners of a trial.
TRIAL_INTERVAL_S = 0.5
TRIAL_RUNNERS = 2


class State(enum.Enum):
    """How this host reaches a service."""

    DIRECT = 'direct'
    RELAYED = 'relayed'
    LOST = 'lost'


@ty.final
@dataclasses.dataclass(slots=True)
class _ServiceLinks:
    state: State = State.DIRECT
    since: float = 0.0
    # When the last attempt to connect to each runner failed, since the last
    # connection to any.
    failed: dict[ids.RunnerStart, float] = dataclasses.field(
        default_factory=dict
    )
    # Those of them at which the attempt goes on, and may still succeed.
    slow: set[ids.RunnerStart] = dataclasses.field(default_factory=set)
    tried_at: float = 0.0
    # Number of trials, so that each one takes other runners.
    trials: int = 0


@ty.final
class OwnLinks:
    """The state of this host's links, by service."""

    def __init__(
        self,
        on_change: collections.abc.Callable[
            [ids.Pool, State], None
        ] = lambda service, state: None,
    ) -> None:
        """Start with links that are not in doubt.

        ``on_change`` is called with each new state of a service.
        """
        self._on_change = on_change
        self._services: dict[ids.Pool, _ServiceLinks] = {}

    def find_state(self, service: ids.Pool) -> State:
        """Return how this host reaches a service."""
        links = self._services.get(service)
        return State.DIRECT if links is None else links.state

    def count_cut(self) -> int:
        """Return the number of services that this host does not reach."""
        return sum(
            links.state is not State.DIRECT
            for links in self._services.values()
        )

    def note_dialed(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        is_connected: bool,
        now: float,
    ) -> None:
        """Note an attempt to connect to a runner."""
        links = self._services.get(service)
        if is_connected:
            if links is None:
                return
            failed, links.failed = links.failed, {}
            links.slow.clear()
            self._change(service, links, State.DIRECT, failed, now, start)
            return
        if links is None:
            links = _ServiceLinks()
            self._services[service] = links
        links.failed[start] = now
        links.slow.discard(start)

    def note_slow(
        self, service: ids.Pool, start: ids.RunnerStart, now: float
    ) -> None:
        """Note an attempt to connect that takes long and goes on."""
        links = self._services.setdefault(service, _ServiceLinks())
        if start not in links.failed:
            links.slow.add(start)
        links.failed[start] = now

    def is_in_doubt(
        self, service: ids.Pool, open_runners: int, now: float
    ) -> bool:
        """Tell whether failures may be the fault of this host's links."""
        links = self._services.get(service)
        if links is None:
            return False
        if links.state is not State.DIRECT:
            return True
        _drop_old(links, now)
        wanted = max(1, min(DOUBT_RUNNERS, open_runners))
        return len(links.failed) >= wanted

    def list_failed(self, service: ids.Pool) -> list[ids.RunnerStart]:
        """Return the runners that could not be connected to, latest first."""
        links = self._services.get(service)
        if links is None:
            return []
        found = sorted(links.failed.items(), key=_find_time, reverse=True)
        return [start for start, _ in found]

    def note_reached_by(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        host: ids.Host,
        now: float,
    ) -> None:
        """Note that another host reaches a runner."""
        links = self._services.get(service)
        if links is None:
            return
        if links.state is State.DIRECT and start not in links.failed:
            # This host has reached it since.
            return
        self._change(
            service, links, State.RELAYED, links.failed, now, start, host
        )

    def note_unreached(
        self,
        service: ids.Pool,
        open_runners: list[ids.RunnerStart],
        now: float,
    ) -> None:
        """Note that no host that was asked reaches a runner that failed."""
        links = self._services.get(service)
        if links is None:
            return
        if links.state is State.DIRECT and not all(
            start in links.failed and start not in links.slow
            for start in open_runners
        ):
            # The others may still be reached.
            return
        self._change(service, links, State.LOST, links.failed, now)

    def choose_trials(
        self,
        service: ids.Pool,
        open_runners: list[ids.RunnerStart],
        now: float,
    ) -> list[ids.RunnerStart]:
        """Return the runners to connect to now, to see if links are back."""
        links = self._services.get(service)
        if links is None or links.state is State.DIRECT:
            return []
        if now - links.tried_at < TRIAL_INTERVAL_S:
            return []
        links.tried_at = now
        links.trials += 1
        first = links.trials * TRIAL_RUNNERS
        count = len(open_runners)
        return [
            open_runners[(first + offset) % count]
            for offset in range(min(TRIAL_RUNNERS, count))
        ]

    def list_services(self) -> list[ids.Pool]:
        """Return the services of which a runner could not be connected to."""
        return [
            service
            for service, links in self._services.items()
            if links.failed or links.state is not State.DIRECT
        ]

    def retain_only(
        self,
        services: collections.abc.Iterable[ids.Pool],
        starts: set[ids.RunnerStart],
    ) -> None:
        """Forget all other services and runners."""
        for service in set(self._services) - set(services):
            del self._services[service]
        for links in self._services.values():
            for start in set(links.failed) - starts:
                del links.failed[start]
            links.slow &= starts

    def _change(
        self,
        service: ids.Pool,
        links: _ServiceLinks,
        state: State,
        failed: dict[ids.RunnerStart, float],
        now: float,
        reached: ids.RunnerStart | None = None,
        reached_by: ids.Host | None = None,
    ) -> None:
        before = links.state
        if state is before:
            return
        eliot.log_message(
            'gateway:runner_links',
            service=service,
            state=state.value,
            before=before.value,
            lasted_s=round(now - links.since, 3) if links.since else None,
            failed={
                ids.parse_runner(start): round(now - at, 3)
                for start, at in failed.items()
            },
            reached=None if reached is None else ids.parse_runner(reached),
            reached_by=reached_by,
        )
        links.state, links.since, links.tried_at = state, now, now
        self._on_change(service, state)


def _find_time(item: tuple[ids.RunnerStart, float]) -> float:
    return item[1]


def _drop_old(links: _ServiceLinks, now: float) -> None:
    for start, at in list(links.failed.items()):
        if now - at > FAILURE_MAX_AGE_S:
            del links.failed[start]
