"""The structured log: JSON lines on standard output, never in the way.

Lines go through a bounded queue to a thread that writes them. When the
reader of standard output is slow, or lines come faster than the limit,
lines are dropped and counted; the count is written with the next line that
goes through. No request ever waits for its log.
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

# Lines that wait to be written.
MAX_QUEUED_LINES = 2000
# Lines a second on average, and at once. A host of today takes some twenty
# requests a second with two or three lines each.
LINES_PER_S = 300.0
BURST_LINES = 900.0
# Characters of a text in a line. Callers write ids and paths of up to 64 KB,
# and QUEUE_LINES of them would be most of a host's memory; a traceback of ours
# fits.
MAX_FIELD_CHARS = 4000
# Fields of eliot's that our lines do not need.
_OMITTED_FIELDS = ('task_uuid', 'task_level')


@ty.final
class LogWriter:
    """An eliot destination that does not block."""

    def __init__(self, stream: ty.TextIO, fields: dict[str, str]) -> None:
        """Write to a stream, with these fields in each line."""
        self._stream = stream
        self._fields = fields
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def start(self) -> None:
        """Start the writer."""
        self._thread.start()

    def stop(self) -> None:
        """Write what waits; gives up after a second."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)
        self._thread.join(timeout=1.0)

    def __call__(self, message: dict[str, ty.Any]) -> None:
        """Take one message of eliot's."""
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
        passed = now - self._refilled_at
        self._refilled_at = now
        allowed = self._tokens + passed * LINES_PER_S
        self._tokens = min(BURST_LINES, allowed)
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
                # Nobody reads: the lines are lost, and there is no place
                # left to say so.
                continue


def _shorten(value: object) -> object:
    return value[:MAX_FIELD_CHARS] if isinstance(value, str) else value


@contextlib.contextmanager
def open_log(**fields: str) -> collections.abc.Iterator[None]:
    """Write log lines to standard output while the context lasts."""
    logwriter = LogWriter(sys.stdout, fields)
    logwriter.start()
    eliot.add_destinations(logwriter)
    try:
        yield
    finally:
        eliot.remove_destination(logwriter)
        logwriter.stop()
