"""Server-sent events of chat streams, split without decoding each chunk.

Source: the event stream format of the HTML standard, section "Server-sent events".
"""

import json

DONE = b"data: [DONE]\n\n"
BOUNDARY = b"\n\n"
MAX_EVENT = 1 << 20  # bytes


class FormatError(Exception):
    """The stream does not follow the event stream format."""


class Splitter:
    """Cuts a byte stream into runs of whole events, and keeps the last event."""

    def __init__(self) -> None:
        self.last_event = b""  # the last whole event before `DONE`
        self.done = False
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in `data` so far, without the closing `DONE`.

        Raises `FormatError` if an event grows past `MAX_EVENT`.
        """
        data = self._rest + data
        end = data.rfind(BOUNDARY)
        if end < 0:
            if len(data) > MAX_EVENT:
                raise FormatError("event too large")
            self._rest = data
            return b""
        whole, self._rest = data[: end + 2], data[end + 2 :]
        if whole.endswith(DONE):
            self.done = True
            whole = whole[: -len(DONE)]
        if whole:
            start = whole.rfind(BOUNDARY, 0, len(whole) - 2)
            self.last_event = whole[start + 2 if start >= 0 else 0 :]
        return whole


def usage_tokens(event: bytes) -> int | None:
    """Return `usage.total_tokens` of a chat event, None if it tells none."""
    for line in event.split(b"\n"):
        if not line.startswith(b"data:"):
            continue
        try:
            usage = json.loads(line[5:]).get("usage")
            return int(usage["total_tokens"])
        except (ValueError, TypeError, KeyError, AttributeError):
            continue
    return None
