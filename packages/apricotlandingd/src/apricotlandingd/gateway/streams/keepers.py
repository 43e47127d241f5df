"""The hosts that keep the origin of a stream.

Rendezvous hashing of the stream picks them, so a host that has never heard of
it knows whom to ask. Hosts that start or end move few streams, and whoever
asks goes on to the next hosts in the order.
"""

import collections.abc
import heapq
import typing as ty

import xxhash

from apricotlanding import ids

__all__ = ['KEEPERS', 'rank_hosts']

# Hosts that are told of a stream, besides the one at which it begins.
KEEPERS: ty.Final = 4


def rank_hosts(
    stream: ids.Stream,
    hosts: collections.abc.Iterable[ids.Host],
    count: int = KEEPERS,
) -> list[ids.Host]:
    """Return the first hosts in the order for a stream."""
    name = f'{stream:016x} '
    return heapq.nsmallest(
        count,
        hosts,
        key=lambda host: xxhash.xxh3_64_intdigest((name + host).encode()),
    )
