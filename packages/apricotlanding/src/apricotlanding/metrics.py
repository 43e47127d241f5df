"""Metrics by statsd, counted in process and sent by time.

A count or a timing costs an addition to a pipeline in memory; once a second
the pipeline goes out over UDP. A metrics host that is off, slow or gone is
not noticed by any request: UDP to nobody is dropped.
"""

import typing as ty

import anyio
import statsd

from apricotlanding import addresses

__all__ = ['Metrics']

FLUSH_INTERVAL_S = 1.0


@ty.final
class Metrics:
    """Counters and timings of one process."""

    def __init__(self, address: addresses.Address | None) -> None:
        """Send to a statsd address, or count in process only."""
        self.counts: dict[str, int] = {}
        self._pipeline: ty.Any = None
        if address is None:
            return
        client = statsd.StatsClient(
            address.host,
            address.port,
            prefix='apricotlanding',
            ipv6=':' in address.host,
        )
        self._pipeline = client.pipeline()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount
        if self._pipeline is not None:
            self._pipeline.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Report a duration in seconds."""
        if self._pipeline is not None:
            self._pipeline.timing(name, seconds * 1000.0)

    async def flush_forever(self) -> None:
        """Send what was counted, once a second."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            if self._pipeline is not None:
                self._pipeline.send()
