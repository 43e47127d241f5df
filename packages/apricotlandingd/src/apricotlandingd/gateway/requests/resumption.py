"""Binds a stream that its caller takes up to the version that began it.

The host may never have heard of the stream. It asks others; if none of them
knows its version, the request is refused as not run: what another version
writes does not fit.
"""

import random
import typing as ty

import eliot

from apricotlanding import clocks
from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import returndelays
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.streams import originexchange
from apricotlandingd.gateway.streams import origins
from apricotlandingd.gateway.streams import releasehistory

__all__ = ['Resumption', 'StreamRequest', 'find_stream']

# Share of a caller's time that may pass before the version is known.
MAX_WAIT_SHARE = 0.1
# Seconds after which hosts that were silent may reply again.
RETRY_AFTER_S = 0.3


class StreamRequest(ty.Protocol):
    """What has to be known of a request."""

    head: dialect.RequestHead
    route: catalogue.Route
    organisation: catalogue.Organisation | None
    service: ids.Pool
    release: ids.Release | None
    arrived_at: float
    caller_timeout_s: float
    deadline_at: float


@ty.final
class Resumption:
    """What this host knows of the streams that callers take up."""

    def __init__(
        self,
        exchange: originexchange.OriginExchange,
        history: releasehistory.ReleaseHistory,
        counts: telemetry.MetricRegistry,
        rng: random.Random,
    ) -> None:
        """Ask other hosts by an exchange.

        ``history`` tells the version where a service has only one.
        """
        self._exchange = exchange
        self._history = history
        self._telemetry = counts
        self._rng = rng

    async def bind(self, admitted: StreamRequest) -> errors.Problem | None:
        """Find the version of a stream that is taken up.

        Returns the problem if the stream may not go on; None also for a
        request that takes up no stream.
        """
        head = admitted.head
        if not admitted.route.is_stream:
            return None
        if not head.resumes and not head.last_event:
            return None
        began_at = clocks.read_monotonic()
        left_s = admitted.deadline_at - began_at
        found: originexchange.Found | None = None
        if head.resumes:
            found = await self._exchange.find(
                find_stream(admitted), left_s * MAX_WAIT_SHARE
            )
        now = clocks.read_monotonic()
        if found is None:
            release = self._history.find_only(admitted.service, now)
            if head.resumes and not self._history.has_watched(now):
                # It may have begun at a version that left before.
                release = None
            if release is None:
                return self._refuse(admitted, 'unknown', now - began_at)
            admitted.release = release
            self._log(admitted, 'only version', now - began_at)
            return None
        if not _allows(admitted, found.origin.service):
            return self._refuse(admitted, 'other service', now - began_at)
        admitted.service = found.origin.service
        admitted.release = found.origin.release
        self._log(admitted, found.host, now - began_at)
        return None

    def publish(self, admitted: StreamRequest, release: ids.Release) -> None:
        """Tell that the first event of an answer is about to be forwarded."""
        if not admitted.route.is_resumable:
            return
        now = clocks.read_monotonic()
        self._exchange.publish(
            find_stream(admitted),
            origins.Origin(admitted.service, release),
            admitted.arrived_at + admitted.caller_timeout_s - now,
            now,
        )

    def _log(
        self, admitted: StreamRequest, known_by: str, took_s: float
    ) -> None:
        self._telemetry.count('streams_taken_up_total')
        eliot.log_message(
            'stream:taken_up',
            attempt=admitted.head.attempt,
            resumes=admitted.head.resumes,
            service=admitted.service,
            release=admitted.release,
            known_by=known_by,
            took_s=round(took_s, 4),
        )

    def _refuse(
        self, admitted: StreamRequest, reason: str, took_s: float
    ) -> errors.Problem:
        self._telemetry.count('streams_refused_total', reason=reason)
        eliot.log_message(
            'stream:refused',
            attempt=admitted.head.attempt,
            resumes=admitted.head.resumes,
            service=admitted.service,
            reason=reason,
            took_s=round(took_s, 4),
        )
        left_s = admitted.deadline_at - clocks.read_monotonic()
        delay_s = returndelays.choose_delay(RETRY_AFTER_S, left_s, self._rng)
        return errors.make_problem(errors.Kind.UNKNOWN_STREAM, delay_s)


def find_stream(admitted: StreamRequest) -> ids.Stream:
    """Return the stream that a request begins or takes up."""
    holder = admitted.organisation
    return origins.derive_stream(
        None if holder is None else holder.name,
        admitted.head.resumes or admitted.head.attempt,
    )


def _allows(admitted: StreamRequest, service: ids.Pool) -> bool:
    return any(target.service == service for target in admitted.route.targets)
