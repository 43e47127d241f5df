"""Starts and stops processes, for tests and the demo.

Only processes that were started here are stopped, each by its process id.
The output of each process is written to a file, which a failing test can
show.
"""

import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing as ty

__all__ = ['Process', 'find_port', 'wait_until']

# Below Linux's range of ephemeral ports for outgoing connections.
_FIRST_PORT = 15_000
_LAST_PORT = 32_000
# Ports are allocated in blocks. A process keeps the first port of its block
# bound while it runs, so that parallel tests never choose the same ports.
# Child processes inherit that socket: if a test run is killed, they continue
# to call the addresses of the processes that ended, and a stand-in of the
# next run would read their messages. The block is free again when the last
# of these processes has ended.
_PORTS_PER_BLOCK = 100
_block_guards: list[socket.socket] = []
_free_ports: list[int] = []

# Long enough for machines under load.
DEFAULT_TIMEOUT_S = 30.0


def find_port() -> int:
    """Return a free loopback port that was not returned before."""
    while True:
        if not _free_ports:
            _free_ports.extend(_reserve_block())
        port = _free_ports.pop()
        if _try_bind(port) is not None:
            return port


def _reserve_block() -> list[int]:
    starts = list(range(_FIRST_PORT, _LAST_PORT, _PORTS_PER_BLOCK))
    random.shuffle(starts)
    for start in starts:
        guard = _try_bind(start, is_kept=True)
        if guard is not None:
            _block_guards.append(guard)
            return list(range(start + 1, start + _PORTS_PER_BLOCK))
    raise OSError('every block of ports is taken')


def _try_bind(port: int, is_kept: bool = False) -> socket.socket | None:
    probe = socket.socket()
    try:
        probe.bind(('127.0.0.1', port))
    except OSError:
        probe.close()
        return None
    if not is_kept:
        probe.close()
    return probe


def wait_until(
    is_true: ty.Callable[[], bool],
    what: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Poll a condition; raise AssertionError on timeout."""
    end = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() > end:
            raise AssertionError(f'{what}: not within {timeout_s} s')
        time.sleep(0.02)


@ty.final
class Process:
    """A Python process that was started here."""

    def __init__(
        self, name: str, arguments: list[str], output: pathlib.Path
    ) -> None:
        """Start ``python -m`` with these arguments."""
        self.name = name
        self.output = output
        # Skips the output that earlier processes wrote to the same file.
        self._output_start = output.stat().st_size if output.exists() else 0
        with output.open('ab') as file:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                pass_fds=[guard.fileno() for guard in _block_guards],
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait; the process stops as in a crash."""
        self.send(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.send(signal.SIGCONT)

    def wait(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        """Return the exit code; raise AssertionError on timeout."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise AssertionError(f'{self.name} did not end') from None

    def terminate(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        """Stop the process gracefully with SIGTERM; return the exit code."""
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def read_output(self) -> str:
        """Return the output of this process so far."""
        written = self.output.read_bytes()[self._output_start :]
        return written.decode(errors='replace')
