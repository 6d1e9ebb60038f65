"""Structured logging: one line of key=value pairs for each event.

Lines go to standard output. Writing never blocks the event loop: lines that the reader
of the output is too slow for are dropped and counted. Each kind of event has a rate
limit.
"""

import collections
import contextlib
import json
import logging as std_logging
import os
import sys
import time

from absl import flags, logging

EVENT_RATE = 50.0  # lines a second of one kind of event
EVENT_BURST = 400  # lines of one kind at once; covers some seconds of a host's requests
BUFFER_BYTES = 256 * 1024  # of lines that wait for a slow reader

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class KeyValueFormatter(std_logging.Formatter):
    """Formats a record as ``time=… level=… event=… key=value …``."""

    def format(self, record: std_logging.LogRecord) -> str:
        stamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        head = f"time={stamp}.{int(record.msecs):03d} level={record.levelname.lower()}"
        line = f"{head} {record.getMessage()}"
        if record.exc_info:
            line += f" trace={quote(self.formatException(record.exc_info))}"
        return line


class _Output:
    """A file-like object that writes to a descriptor without waiting for its reader."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._lost = 0  # lines that were dropped since the last one was written

    def write(self, text: str) -> None:
        """Write lines, or buffer them for the next write; drop them without room."""
        data = text.encode(errors="backslashreplace")
        if self._lost:
            lost = render("log_lines_lost", {"lines": self._lost})
            data = f"level=warning {lost}\n".encode() + data
        if len(self._buffer) + len(data) > BUFFER_BYTES:
            self._lost += 1
            return
        self._lost = 0
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts at present."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output, and no other place is left to
                # report it.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def close(self) -> None:
        """Flush the buffer; the descriptor stays open."""
        self.flush()


class _Bucket:
    """Token bucket that limits the lines of one kind of event."""

    def __init__(self) -> None:
        self.level = float(EVENT_BURST)
        self.filled_at = time.monotonic()

    def try_take(self) -> bool:
        """Take one line from the bucket; return False if it is empty."""
        now = time.monotonic()
        gained = (now - self.filled_at) * EVENT_RATE
        self.level = min(float(EVENT_BURST), self.level + gained)
        self.filled_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


_buckets: dict[str, _Bucket] = collections.defaultdict(_Bucket)
# Dropped lines by event. The count goes into the event's next line.
_dropped: collections.Counter[str] = collections.Counter()


def setup(*, level: str) -> None:
    """Send events at or above `level` (a key of `LEVELS`) to standard output."""
    # absl's own flags are not used; while they are unparsed, absl logs a warning.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter())
    descriptor = sys.stdout.fileno()
    with contextlib.suppress(OSError):
        # A regular file has no such mode, and writing to one never blocks for long.
        os.set_blocking(descriptor, False)
    handler.python_handler.stream = _Output(descriptor=descriptor)
    logging.set_verbosity(LEVELS[level])
    # Lines name neither threads nor processes, so records need not look for them.
    std_logging.logThreads = std_logging.logProcesses = False
    std_logging.logMultiprocessing = std_logging.logAsyncioTasks = False


def quote(value: object) -> str:
    """Return `value` as a log token, JSON-quoted where it needs quoting."""
    text = str(value)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)


def render(event: str, fields: dict[str, object]) -> str:
    """Return the line of an event, leaving out fields that are None."""
    parts = [f"event={quote(event)}"]
    for key, value in fields.items():
        if value is None:
            continue
        parts.append(f"{key}={quote(value)}")
    return " ".join(parts)


def _line(event: str, fields: dict[str, object]) -> str | None:
    """Return the line of an event, None if it exceeds the rate of its kind."""
    if not _buckets[event].try_take():
        _dropped[event] += 1
        return None
    dropped = _dropped.pop(event, None)
    return render(event, {**fields, "dropped": dropped})


def debug(event: str, **fields: object) -> None:
    """Log an event for debugging."""
    if logging.vlog_is_on(1):
        _log(std_logging.DEBUG, event, fields)


def info(event: str, **fields: object) -> None:
    """Log an ordinary event."""
    _log(std_logging.INFO, event, fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should investigate."""
    _log(std_logging.WARNING, event, fields)


def error(event: str, **fields: object) -> None:
    """Log an event that an operator must act on."""
    _log(std_logging.ERROR, event, fields)


def exception(event: str, **fields: object) -> None:
    """Log an error event with the traceback of the exception being handled."""
    _log(std_logging.ERROR, event, fields, exc_info=sys.exc_info())


def _log(
    level: int,
    event: str,
    fields: dict[str, object],
    *,
    exc_info: tuple | None = None,
) -> None:
    """Hand the line of an event to absl's logger.

    The record is made here, as absl would first look for the line of code that logs,
    which no line of the log names.
    """
    line = _line(event, fields)
    logger = logging.get_absl_logger()
    if line is None or not logger.isEnabledFor(level):
        return
    logger.handle(
        std_logging.LogRecord(logger.name, level, __file__, 0, line, None, exc_info)
    )
