"""Socket options that detect dead connections.

A connection can die without a reset: a host loses power, the network is
partitioned, or a middlebox drops its connection state. Each request on such a
connection would wait until its own timeout. TCP keepalive detects it within
seconds and needs no messages in the protocol.

The kernel gives up a connection in one of two ways. Data that was sent is
unacknowledged for longer than TCP_USER_TIMEOUT; or nothing is under way, and
probes remain unanswered. If TCP_USER_TIMEOUT is set, it also decides when
probes are given up, whatever their count. So both are always set, to the same
time: a library that sets only one of them would change the other.
"""

import socket
import typing as ty

__all__ = ['KEEPALIVE_OPTIONS', 'enable_keepalive', 'find_give_up_time']

# Idle time before the first probe, interval between probes, and number of
# unanswered probes that break the connection. A lossy link occasionally loses
# one probe, but not three in a row.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MS_PER_S = 1000
# How long sent data or probes may remain unacknowledged: a runner may pause
# for a second or two and go on.
UNACKED_TIMEOUT_MS = MS_PER_S * (
    KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
)

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


def find_give_up_time(connection: socket.socket) -> float | None:
    """Return the seconds after which the kernel gives up an idle connection.

    None if it sends no probes. Follows what Linux does: with a user timeout,
    the first probe that finds it exceeded ends the connection.
    """

    def read(option: int) -> int:
        return connection.getsockopt(socket.IPPROTO_TCP, option)

    if not connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return None
    idle_s = read(socket.TCP_KEEPIDLE)
    interval_s = read(socket.TCP_KEEPINTVL)
    probes = read(socket.TCP_KEEPCNT)
    user_timeout_s = read(socket.TCP_USER_TIMEOUT) / MS_PER_S
    if not user_timeout_s:
        return idle_s + interval_s * probes
    # The first probe is sent in any case.
    ends_at = float(idle_s + interval_s)
    while ends_at < user_timeout_s:
        ends_at += interval_s
    return ends_at
