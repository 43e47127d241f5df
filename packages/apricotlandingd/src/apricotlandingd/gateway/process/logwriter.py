"""Structured log: JSON lines on standard output, written without blocking.

Lines pass through a bounded queue to a thread that writes them. When the
reader of standard output is slow, or lines exceed the rate limit, lines are
dropped and counted; the next line that is written contains the count. No
request ever waits for its log.
"""

import collections.abc
import contextlib
import json
import queue
import sys
import threading
import time
import typing as ty

import eliot

__all__ = ['LogWriter', 'open_log']

MAX_QUEUED_LINES = 2000
# Rate and burst of the token bucket that limits lines. A host handles about
# twenty requests a second, with two or three lines each.
LINES_PER_S = 300.0
BURST_LINES = 900.0
# Longer texts are truncated. Callers send ids and paths of up to 64 KB, and a
# full queue of them would take most of a host's memory. A traceback of this
# code fits.
MAX_FIELD_CHARS = 4000
# Fields of eliot's messages that are not written.
_OMITTED_FIELDS = ('task_uuid', 'task_level')


@ty.final
class LogWriter:
    """A non-blocking eliot destination."""

    def __init__(self, stream: ty.TextIO, fields: dict[str, str]) -> None:
        """Write to a stream; each line contains these fields."""
        self._stream = stream
        self._fields = fields
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines; give up after a second."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)
        self._thread.join(timeout=1.0)

    def __call__(self, message: dict[str, ty.Any]) -> None:
        """Queue or drop one message."""
        if not self._take_token(time.monotonic()):
            self._dropped += 1
            return
        line = {
            name: _shorten(value)
            for name, value in message.items()
            if name not in _OMITTED_FIELDS
        }
        line.update(self._fields)
        if self._dropped:
            line['dropped_lines'] = self._dropped
        try:
            self._lines.put_nowait(json.dumps(line, default=str))
        except queue.Full:
            self._dropped += 1
            return
        self._dropped = 0

    def _take_token(self, now: float) -> bool:
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        tokens = self._tokens + elapsed_s * LINES_PER_S
        self._tokens = min(BURST_LINES, tokens)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            try:
                self._stream.write(line + '\n')
                self._stream.flush()
            except OSError:
                # Standard output is closed. The lines are lost, and there is
                # nowhere else to report it.
                continue


def _shorten(value: object) -> object:
    return value[:MAX_FIELD_CHARS] if isinstance(value, str) else value


@contextlib.contextmanager
def open_log(**fields: str) -> collections.abc.Iterator[None]:
    """Log to standard output while the context is active."""
    writer = LogWriter(sys.stdout, fields)
    writer.start()
    eliot.add_destinations(writer)
    try:
        yield
    finally:
        eliot.remove_destination(writer)
        writer.stop()
