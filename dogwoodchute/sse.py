"""Server-sent events of chat streams, split at event boundaries without decoding them.

A batch is the bytes of one or more whole events. The format is that of the HTML
standard, section "Server-sent events".
"""

import hashlib
import json
from collections import abc

DONE = b"data: [DONE]\n\n"
DONE_LINE = b"[DONE]\n"
BOUNDARY = b"\n\n"
FIELDS = (b"data:", b"id:", b"event:", b"retry:", b":")
ERROR_KEY = b'"error"'
USAGE_KEY = b'"total_tokens"'
SOFTWARE_KEY = "system_fingerprint"  # of a chat event: what the model runs with
SOFTWARE_DIGITS = 16  # hex digits of its digest, which resume tokens carry
MAX_EVENT = 1 << 20  # bytes


class FormatError(Exception):
    """The stream violates the event stream format or reports an error."""


class EventFramer:
    """Splits a byte stream after its last whole event, without changing a byte."""

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def partial(self) -> bytes:
        """The bytes of an event whose end has not arrived."""
        return bytes(self._partial)

    @property
    def partial_size(self) -> int:
        """The number of these bytes."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add `data` and return the events that are whole now, empty if none are.

        Raises `FormatError` if an event grows past `MAX_EVENT`.
        """
        if not self._partial and data.endswith(BOUNDARY):
            return data
        # A boundary may begin with the last byte of the data before.
        start = max(0, len(self._partial) - 1)
        self._partial += data
        end = self._partial.rfind(BOUNDARY, start)
        if end < 0:
            if len(self._partial) > MAX_EVENT:
                raise FormatError("an event is too large")
            return b""
        end += len(BOUNDARY)
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        return whole

    def discard_partial(self) -> None:
        """Discard the partial event that a broken connection left."""
        self._partial.clear()


class Splitter:
    """Splits an engine's byte stream into batches, without the closing event."""

    def __init__(self) -> None:
        self._framer = EventFramer()
        self.last_batch = b""  # the last batch before the closing event
        self.usage_batch = b""  # the last batch that contains a usage
        self.done = False  # the closing event has arrived
        self._carriage_return = b""  # kept until the byte after it is known

    @property
    def last_id(self) -> str | None:
        """The id of the last whole event, None if it has none."""
        last = None
        for event in events(self.last_batch):
            last = event_id(event)
        return last

    def feed(self, data: bytes) -> bytes:
        """Add `data` and return the events that are whole now, without the closing one.

        Raises `FormatError` if an event grows past `MAX_EVENT`, if the batch does not
        begin with a known field, or if an event reports an engine's error.
        """
        if self._carriage_return or b"\r" in data:
            data = self._unify_line_ends(data)
        whole = self._framer.feed(data)
        if not whole:
            return b""
        closing = whole.find(DONE_LINE)
        if closing >= 0:
            self.done = True
            boundary = whole.rfind(BOUNDARY, 0, closing)
            whole = whole[: boundary + 2] if boundary >= 0 else b""
        if not whole:
            return b""
        if not whole.startswith(FIELDS):
            raise FormatError("the answer is not an event stream")
        if ERROR_KEY in whole:
            _raise_engine_error(whole)
        if USAGE_KEY in whole:
            self.usage_batch = whole
        self.last_batch = whole
        return whole

    def reconnect(self) -> None:
        """Discard the partial event that a broken connection left."""
        self._framer.discard_partial()
        self._carriage_return = b""

    def _unify_line_ends(self, data: bytes) -> bytes:
        data = self._carriage_return + data
        self._carriage_return = b""
        if data.endswith(b"\r"):
            data, self._carriage_return = data[:-1], b"\r"
        return data.replace(b"\r\n", b"\n")


def events(batch: bytes) -> list[bytes]:
    """Return the events of a batch, without their boundaries."""
    return [event for event in batch.split(BOUNDARY) if event]


def event_id(event: bytes) -> str | None:
    """Return the id of an event, None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode(errors="replace")
    return None


def check_next_id(
    batch: bytes, last_id: str | None, *, allow_gaps: bool = False
) -> None:
    """Raise `FormatError` if a batch does not continue after the event `last_id`.

    Ids that are no numbers are not checked. With `allow_gaps` numbers may be left out.
    """
    first_id = event_id(events(batch)[0]) or ""
    if last_id is None or not (first_id.isdecimal() and last_id.isdecimal()):
        return
    step = int(first_id) - int(last_id)
    if step < 1 or (step > 1 and not allow_gaps):
        raise FormatError(f"the engine resumed at {first_id} after {last_id}")


def payloads(batch: bytes) -> abc.Iterator[dict]:
    """Yield the decoded data of each event in a batch.

    Raises `FormatError` if one is no JSON object.
    """
    for event in events(batch):
        lines = [ln[5:] for ln in event.split(b"\n") if ln.startswith(b"data:")]
        if not lines:
            continue
        try:
            data = json.loads(b"\n".join(lines))
        except ValueError as error:
            raise FormatError("an event is not JSON") from error
        if not isinstance(data, dict):
            raise FormatError("an event is not a JSON object")
        yield data


def usage_tokens(batch: bytes) -> int | None:
    """Return the last valid `usage.total_tokens` in a batch, None if there is none.

    Raises `FormatError` if an event is no JSON object.
    """
    tokens = None
    for data in payloads(batch):
        usage = data.get("usage")
        total = usage.get("total_tokens") if isinstance(usage, dict) else None
        if isinstance(total, int) and not isinstance(total, bool) and total >= 0:
            tokens = total
    return tokens


def software(batch: bytes) -> str:
    """Return a digest of the engine's software, as a batch's first event tells it.

    Returns an empty string if the event tells none.
    """
    try:
        told = next(payloads(batch), {}).get(SOFTWARE_KEY)
    except FormatError:
        # Whoever needs the event's content reports it.
        return ""
    if not isinstance(told, str) or not told:
        return ""
    return hashlib.sha256(told.encode()).hexdigest()[:SOFTWARE_DIGITS]


def events_after(data: bytes, last_id: str) -> bytes | None:
    """Return the events after the one with `last_id`, None if there is no such one."""
    position = 0
    while True:
        end = data.find(BOUNDARY, position)
        if end < 0:
            return None
        if event_id(data[position:end]) == last_id:
            return data[end + 2 :]
        position = end + 2


def _raise_engine_error(batch: bytes) -> None:
    for data in payloads(batch):
        error = data.get("error")
        if not error:
            continue
        message = error.get("message") if isinstance(error, dict) else error
        raise FormatError(f"the engine reported: {str(message)[:200]}")
