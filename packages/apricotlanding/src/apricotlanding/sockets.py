"""Socket options that detect dead connections.

A connection can die without a reset: a host loses power, the network is
partitioned, or a middlebox drops its connection state. Each request on such a
connection would wait until its own timeout. TCP keepalive detects it within
seconds and needs no messages in the protocol.
"""

import socket
import typing as ty

__all__ = ['KEEPALIVE_OPTIONS', 'enable_keepalive']

# Idle time before the first probe, interval between probes, and number of
# unanswered probes that break the connection: about three seconds in total. A
# lossy link occasionally loses one probe, but not three in a row.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# How long sent data may remain unacknowledged.
UNACKED_TIMEOUT_MS = 2500

KEEPALIVE_OPTIONS: ty.Final[list[tuple[int, int, int]]] = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
]


def enable_keepalive(connection: socket.socket) -> None:
    """Enable TCP keepalive on a connected socket."""
    for level, option, value in KEEPALIVE_OPTIONS:
        connection.setsockopt(level, option, value)
