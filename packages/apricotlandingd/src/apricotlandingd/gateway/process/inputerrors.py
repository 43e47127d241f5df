"""Counts invalid input from other programs and logs it at a limited rate.

Each reader of external input continues with what it can decode and reports
the rest here.
"""

import enum
import typing as ty

import eliot

from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.process import telemetry

__all__ = ['InputErrors', 'Source']

# Longer keys and reasons are truncated in the log.
MAX_LOGGED_CHARS: ty.Final = 200


class Source(enum.Enum):
    """Where invalid input came from."""

    # A runner's registration; the key is the runner's id.
    REGISTRATION = 'registration'
    # The operators' configuration.
    CONFIGURATION = 'configuration'
    # A record whose key cannot be decoded; the key is the topic.
    RECORD = 'record'
    # Another host's record of its address; the key is the host's name.
    HOST_RECORD = 'host_record'
    # A message of another host; the key is the sender's IP address.
    DATAGRAM = 'datagram'
    # A query for records or its reply; the key is the peer's address.
    PEER = 'peer'
    # A runner's answer; the key is the runner's id.
    ANSWER = 'answer'
    # The settings file.
    SETTINGS = 'settings'


@ty.final
class InputErrors:
    """Counts and logs the invalid input of one process."""

    def __init__(self, found: telemetry.MetricRegistry) -> None:
        """Count into a registry of metrics."""
        self._telemetry = found
        self._limit = logratelimit.LogRateLimit()

    def report(
        self, source: Source, key: str, detail: str, now: float
    ) -> None:
        """Count an input, and log it unless its key was logged recently."""
        self._telemetry.count('unreadable_total', source=source.value)
        held = self._limit.admit(f'{source.value} {key}', now)
        if held is None:
            return
        eliot.log_message(
            'gateway:unreadable',
            source=source.value,
            key=key[:MAX_LOGGED_CHARS],
            detail=detail[:MAX_LOGGED_CHARS],
            held_back=held,
        )
