"""Input that could not be used: counted, and said in the log now and then.

Everything that another program can write or send arrives at some reader; each
of them goes on with what it can use and reports the rest here.
"""

import enum
import typing as ty

import eliot

from apricotlandingd.gateway.decisions import logratelimit
from apricotlandingd.gateway.process import measures

__all__ = ['ForeignInput', 'Source']

# Characters of a key and of a reason that are written.
LOGGED_LENGTH: ty.Final = 200


class Source(enum.Enum):
    """Where input came from."""

    # A runner's entry, by its id.
    REGISTRATION = 'registration'
    # The operators' configuration.
    CONFIGURATION = 'configuration'
    # A record of the store without a key that can be read, by its topic.
    RECORD = 'record'
    # Where another host listens, by its name.
    HOST_RECORD = 'host_record'
    # A message of another host, by the sender's IP number.
    DATAGRAM = 'datagram'
    # A question or a reply about records, by the peer's address.
    PEER = 'peer'
    # An answer, by the runner's id.
    ANSWER = 'answer'
    # The settings file.
    SETTINGS = 'settings'


@ty.final
class ForeignInput:
    """What one process could not use since its start."""

    def __init__(self, found: measures.Measures) -> None:
        """Count into these measures."""
        self._measures = found
        self._limit = logratelimit.LogRateLimit()

    def report(
        self, source: Source, key: str, detail: str, now: float
    ) -> None:
        """Count one input, and log it unless its key was logged lately."""
        self._measures.count('unreadable_total', source=source.value)
        held = self._limit.admit(f'{source.value} {key}', now)
        if held is None:
            return
        eliot.log_message(
            'gateway:unreadable',
            source=source.value,
            key=key[:LOGGED_LENGTH],
            detail=detail[:LOGGED_LENGTH],
            held_back=held,
        )
