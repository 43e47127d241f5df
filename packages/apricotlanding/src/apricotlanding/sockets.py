"""Socket options that show a silent connection.

A connection can fall silent for good without a reset: a host lost power, a
partition cut it, or a device in between forgot it. Nothing then tells the
waiting side, which would wait until its own timeout, with every request that
it sends on this connection. The kernel's own probes show it within seconds
and cost no message of ours.
"""

import socket
import typing as ty

__all__ = ['KEEPALIVE_OPTIONS', 'enable_keepalive']

# Seconds of silence before the first probe, and between probes; probes
# without an answer until the connection breaks. Together about three
# seconds: a lossy link loses one probe now and then, not three in a row.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Milliseconds for which sent data may stay unacknowledged.
UNACKED_TIMEOUT_MS = 2500

KEEPALIVE_OPTIONS: ty.Final[list[tuple[int, int, int]]] = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
]


def enable_keepalive(connected: socket.socket) -> None:
    """Set the options on a connected TCP socket."""
    for level, option, value in KEEPALIVE_OPTIONS:
        connected.setsockopt(level, option, value)
