"""The endpoints' wire format: headers of requests, and heads of their answers."""

import math
from collections import abc

from dogwoodchute import bounded_json
from dogwoodchute.gateway import calls, end_check, model, upstream
from dogwoodchute.platform import names

DEFAULT_URGENCY = 5  # of 0 to 9, where 0 is the most urgent
LEAST_URGENT = 9
# From an endpoint other than the one named in the request, which it did not run.
ANOTHER_INSTANCE = 421


def wire_format() -> upstream.WireFormat:
    """Return the functions that encode requests and parse answers."""
    return upstream.WireFormat(
        request_headers=request_headers,
        parse_head=parse_head,
        question=end_check.Question(
            path=names.REPORT_PATH,
            headers=lambda endpoint: [(names.TARGET, endpoint.id)],
            parse_start=parse_start,
        ),
    )


def request_headers(
    call: calls.Call,
    endpoint: model.Endpoint,
    time_left: float,
    last_event_id: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to `endpoint`.

    `time_left` is the seconds until the call's deadline. `last_event_id` is set if the
    request resumes a stream.
    """
    headers = [
        (name, value)
        for name, value in call.request.headers
        if name.lower() != names.LAST_EVENT_ID.lower()
    ]
    headers.append((names.DEADLINE_MS, str(max(1, math.floor(time_left * 1000)))))
    headers.append((names.TARGET, endpoint.id))
    if last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, last_event_id))
    if call.account is not None:
        headers.append((names.ACCOUNT, call.account.name))
    if call.service.engine is not None:
        urgency = min(LEAST_URGENT, DEFAULT_URGENCY - 2 + max(0, call.priority))
        headers.append((names.PRIORITY, str(urgency)))
    return headers


def parse_head(status: int, headers: abc.Mapping[str, str], raw: list) -> upstream.Head:
    """Return the decoded head of an answer; `raw` has its headers as pairs of bytes."""
    forwarded = []
    for name, value in raw:
        text = name.decode("latin-1")
        if text.lower() in names.HOP_BY_HOP:
            continue
        forwarded.append((text, value.decode("latin-1")))
    limit, bad_limit = _limit(headers, raw)
    cold_ms = _number(headers.get(names.COLD_MS))
    retry_after = headers.get(names.RETRY_AFTER)
    seconds = _number(retry_after)
    return upstream.Head(
        status=status,
        attempt_id=headers.get(names.ATTEMPT_ID),
        signed=names.SIGNATURE in headers,
        not_run=names.NOT_EXECUTED in headers or status == ANOTHER_INSTANCE,
        retry_after=seconds,
        bad_retry_after=retry_after if seconds is None else None,
        limit=limit,
        bad_limit=bad_limit,
        cold_for=None if cold_ms is None else cold_ms / 1000,
        leaving=headers.get(names.LEAVING) == names.LEAVING_YES,
        idle_timeout=_idle_timeout(headers.get("Keep-Alive", "")),
        headers=forwarded,
    )


def parse_start(status: int, content: bytes) -> int | None:
    """Return the Unix milliseconds of an endpoint's start, as its report says.

    Returns None if it does not say. Raises `ValueError` if another endpoint answers.
    """
    if status == ANOTHER_INSTANCE:
        raise ValueError("another endpoint answers")
    try:
        started = bounded_json.load_object(content).get("born")
    except bounded_json.FormatError:
        return None  # not every endpoint reports about itself
    is_whole = isinstance(started, int) and not isinstance(started, bool)
    return started if is_whole else None


def _limit(
    headers: abc.Mapping[str, str], raw: list
) -> tuple[float | None, str | None]:
    """Return the rate that an endpoint names, and the header's value if it is bad."""
    text = headers.get(names.LIMIT)
    if text is None:
        return None, None
    wanted = names.LIMIT.lower().encode()
    values = [value for name, value in raw if name.lower() == wanted]
    if len(values) > 1:
        return None, b", ".join(values).decode("latin-1")
    rate = _number(text)
    return rate, text if rate is None else None


def _idle_timeout(value: str) -> float | None:
    """Return the `timeout` parameter of a Keep-Alive header, in seconds."""
    for field in value.split(","):
        name, _, number = field.strip().partition("=")
        if name.lower() == "timeout":
            return _number(number)
    return None


def _number(text: str | None) -> float | None:
    """Return `text` as a number of at least 0, None if it is none."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
