"""Structured logging: one line of key=value pairs for each event."""

import json
import logging as std_logging

from absl import logging

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


def setup(*, level: str) -> None:
    """Send events at or above `level` (a key of `LEVELS`) to standard error."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(KeyValueFormatter())
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


def debug(event: str, **fields: object) -> None:
    """Log an event of interest while debugging."""
    if logging.vlog_is_on(1):
        logging.debug("%s", render(event, fields))


def info(event: str, **fields: object) -> None:
    """Log an ordinary event."""
    logging.info("%s", render(event, fields))


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    logging.warning("%s", render(event, fields))


def error(event: str, **fields: object) -> None:
    """Log an event that an operator must act on."""
    logging.error("%s", render(event, fields))


def exception(event: str, **fields: object) -> None:
    """Log an error event with the traceback of the exception being handled."""
    logging.exception("%s", render(event, fields))
