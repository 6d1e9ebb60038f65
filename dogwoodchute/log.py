"""Structured logging: one line of key=value pairs for each event.

Lines go to standard output and never block the loop: what the reader does not take in
time is dropped and counted. The volume is bounded by a rate for each kind of event.
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
EVENT_BURST = 400  # lines of one kind at once, some seconds of a host's requests
BUFFER_BYTES = 256 * 1024  # lines that wait for a slow reader

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
    """Writes lines to a descriptor without waiting for its reader."""

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = bytearray()

    def write(self, text: str) -> None:
        """Write lines, or keep them for the next write."""
        data = text.encode(errors="backslashreplace")
        if len(self._waiting) + len(data) > BUFFER_BYTES:
            _dropped["slow reader"] += 1
            return
        self._waiting += data
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self._waiting.clear()
                return
            del self._waiting[:written]

    def close(self) -> None:
        """Write what waits; the descriptor stays open."""
        self.flush()


class _Bucket:
    """The lines that one kind of event may still write."""

    def __init__(self) -> None:
        self.level = float(EVENT_BURST)
        self.filled = time.monotonic()

    def take(self) -> bool:
        """Take one line; return whether there was one."""
        now = time.monotonic()
        gained = (now - self.filled) * EVENT_RATE
        self.level = min(float(EVENT_BURST), self.level + gained)
        self.filled = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


_buckets: dict[str, _Bucket] = collections.defaultdict(_Bucket)
_dropped: collections.Counter[str] = collections.Counter()


def setup(*, level: str) -> None:
    """Send events at or above `level` (a key of `LEVELS`) to standard output."""
    # The library's own flags are not used; unparsed ones would cost a warning line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter())
    descriptor = sys.stdout.fileno()
    with contextlib.suppress(OSError):
        # A file has no such mode and never blocks for long.
        os.set_blocking(descriptor, False)
    handler.python_handler.stream = _Output(descriptor=descriptor)
    logging.set_verbosity(LEVELS[level])


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
    """Return the line of an event, None if its kind has written too many."""
    if not _buckets[event].take():
        _dropped[event] += 1
        return None
    dropped = _dropped.pop(event, None)
    return render(event, {**fields, "dropped": dropped})


def debug(event: str, **fields: object) -> None:
    """Log an event of interest while debugging."""
    if logging.vlog_is_on(1):
        logging.debug("%s", render(event, fields))


def info(event: str, **fields: object) -> None:
    """Log an ordinary event."""
    line = _line(event, fields)
    if line is not None:
        logging.info("%s", line)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    line = _line(event, fields)
    if line is not None:
        logging.warning("%s", line)


def error(event: str, **fields: object) -> None:
    """Log an event that an operator must act on."""
    line = _line(event, fields)
    if line is not None:
        logging.error("%s", line)


def exception(event: str, **fields: object) -> None:
    """Log an error event with the traceback of the exception being handled."""
    line = _line(event, fields)
    if line is not None:
        logging.exception("%s", line)
