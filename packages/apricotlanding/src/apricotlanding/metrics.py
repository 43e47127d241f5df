"""Metrics that are sent to statsd.

Counts and timings are added to a pipeline in memory, which is sent over UDP
once a second. A metrics host that is slow or unreachable does not delay any
request: its packets are dropped.
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
        """Send to a statsd address, or only count in memory if None."""
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
        """Record a duration in seconds."""
        if self._pipeline is not None:
            self._pipeline.timing(name, seconds * 1000.0)

    async def flush_forever(self) -> None:
        """Send the collected metrics once a second."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            if self._pipeline is not None:
                self._pipeline.send()
