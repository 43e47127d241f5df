"""Starting and ending processes, for tests and the demo.

Every process is ended by its own id, and only those that were started here.
Output goes to a file for each process, which a failing test can show.
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

# Below the range from which Linux takes ports for outgoing connections.
_FIRST_PORT = 15_000
_LAST_PORT = 32_000
# Ports are handed out in blocks. A process keeps the first port of its block
# bound for as long as it lives, so that tests which run side by side never
# choose the same ports. The processes that it starts inherit that socket: if
# a test run is killed they live on and keep calling the addresses of those
# that ended, and a stand-in of the next run would read their messages. The
# block is free again when the last of them has ended.
_PORTS_PER_BLOCK = 100
_block_guards: list[socket.socket] = []
_free_ports: list[int] = []

# Seconds that anything here may take before it counts as failed; generous,
# for machines that are busy.
DEFAULT_TIMEOUT_S = 30.0


def find_port() -> int:
    """Return a loopback port that is free and was not returned before."""
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
    """Poll until something is true; AssertionError if it never is."""
    end = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() > end:
            raise AssertionError(f'{what}: not within {timeout_s} s')
        time.sleep(0.02)


@ty.final
class Process:
    """One process of ours."""

    def __init__(
        self, name: str, arguments: list[str], output: pathlib.Path
    ) -> None:
        """Start ``python -m`` with these arguments."""
        self.name = name
        self.output = output
        # What processes before it have written to the same file.
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
        """Tell whether it still runs."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if it still runs."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self) -> None:
        """End it at once, as a crash would."""
        self.send(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Stop it where it is."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.send(signal.SIGCONT)

    def wait(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        """Return its exit code; AssertionError if it does not end."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise AssertionError(f'{self.name} did not end') from None

    def terminate(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        """Ask it to stop gracefully; return its exit code."""
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def read_output(self) -> str:
        """Return what it has written so far."""
        written = self.output.read_bytes()[self._output_start :]
        return written.decode(errors='replace')
