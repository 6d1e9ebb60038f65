"""Server-sent events of chat streams, split without decoding each chunk.

Source: the event stream format of the HTML standard, section "Server-sent events".
"""

import json
from collections import abc

DONE = b"data: [DONE]\n\n"
DONE_LINE = b"[DONE]\n"
BOUNDARY = b"\n\n"
FIELDS = (b"data:", b"id:", b"event:", b"retry:", b":")
ERROR_KEY = b'"error"'
USAGE_KEY = b'"total_tokens"'
MAX_EVENT = 1 << 20  # bytes


class FormatError(Exception):
    """The stream does not follow the event stream format, or tells of an error."""


class Cutter:
    """Cuts a byte stream after its last whole event, changing no byte."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """The beginning of an event that is not whole."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in `data` so far.

        Raises `FormatError` if an event grows past `MAX_EVENT`.
        """
        if not self._rest and data.endswith(BOUNDARY):
            return data
        # A boundary may begin with the last byte of what was there before.
        start = max(0, len(self._rest) - 1)
        self._rest += data
        end = self._rest.rfind(BOUNDARY, start)
        if end < 0:
            if len(self._rest) > MAX_EVENT:
                raise FormatError("an event is too large")
            return b""
        end += len(BOUNDARY)
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        return whole

    def drop(self) -> None:
        """Drop the half event that a broken connection left."""
        self._rest.clear()


class Splitter:
    """Cuts a byte stream into runs of whole events, and takes the closing one off."""

    def __init__(self) -> None:
        self._cutter = Cutter()
        self.last_run = b""  # the last whole events before the closing one
        self.usage_run = b""  # the last whole events that told a usage
        self.done = False
        self._carriage_return = b""

    @property
    def last_id(self) -> str | None:
        """The id of the last whole event, None if it had none."""
        last = None
        for event in events(self.last_run):
            last = event_id(event)
        return last

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in `data` so far, without the closing one.

        Raises `FormatError` if an event grows past `MAX_EVENT`, begins with no known
        field, or is an engine's own report of a failure.
        """
        if self._carriage_return or b"\r" in data:
            data = self._unify_line_ends(data)
        whole = self._cutter.feed(data)
        if not whole:
            return b""
        done = whole.find(DONE_LINE)
        if done >= 0:
            self.done = True
            cut = whole.rfind(BOUNDARY, 0, done)
            whole = whole[: cut + 2] if cut >= 0 else b""
        if not whole:
            return b""
        if not whole.startswith(FIELDS):
            raise FormatError("the answer is not an event stream")
        if ERROR_KEY in whole:
            _raise_reported(whole)
        if USAGE_KEY in whole:
            self.usage_run = whole
        self.last_run = whole
        return whole

    def reconnect(self) -> None:
        """Drop the half event that a broken connection left."""
        self._cutter.drop()
        self._carriage_return = b""

    def _unify_line_ends(self, data: bytes) -> bytes:
        data = self._carriage_return + data
        self._carriage_return = b""
        if data.endswith(b"\r"):
            data, self._carriage_return = data[:-1], b"\r"
        return data.replace(b"\r\n", b"\n")


def events(run: bytes) -> list[bytes]:
    """Return the events of a run, without their boundaries."""
    return [event for event in run.split(BOUNDARY) if event]


def event_id(event: bytes) -> str | None:
    """Return the id of an event, None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode(errors="replace")
    return None


def check_follows(run: bytes, last_id: str | None, *, gaps: bool = False) -> None:
    """Raise `FormatError` if a run does not go on after the event with `last_id`.

    Ids that are no numbers tell nothing. With `gaps` a number may be left out.
    """
    first_id = event_id(events(run)[0]) or ""
    if last_id is None or not (first_id.isdecimal() and last_id.isdecimal()):
        return
    step = int(first_id) - int(last_id)
    if step < 1 or (step > 1 and not gaps):
        raise FormatError(f"the engine resumed at {first_id} after {last_id}")


def payloads(run: bytes) -> abc.Iterator[dict]:
    """Yield the decoded data of each event in a run.

    Raises `FormatError` if one is no JSON object.
    """
    for event in events(run):
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


def usage_tokens(run: bytes) -> int | None:
    """Return the last sane `usage.total_tokens` told in a run, None if there is none.

    Raises `FormatError` if an event is no JSON object.
    """
    tokens = None
    for data in payloads(run):
        usage = data.get("usage")
        total = usage.get("total_tokens") if isinstance(usage, dict) else None
        if isinstance(total, int) and not isinstance(total, bool) and total >= 0:
            tokens = total
    return tokens


def after(data: bytes, last_id: str) -> bytes | None:
    """Return what follows the event with `last_id`, None if there is no such event."""
    position = 0
    while True:
        end = data.find(BOUNDARY, position)
        if end < 0:
            return None
        if event_id(data[position:end]) == last_id:
            return data[end + 2 :]
        position = end + 2


def _raise_reported(run: bytes) -> None:
    for data in payloads(run):
        error = data.get("error")
        if not error:
            continue
        message = error.get("message") if isinstance(error, dict) else error
        raise FormatError(f"the engine reported: {str(message)[:200]}")
