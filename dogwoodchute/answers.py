"""Builds whole chat answers from the events of a stream."""

import json

from dogwoodchute import sse

MAX_ITEMS = 128  # of one list in a message; a higher index is an error
# Strings that a later delta replaces; all others are appended to.
SCALAR_FIELDS = frozenset({"id", "index", "role", "type"})


def join(events: bytes, *, request_key: str, model: str) -> bytes:
    """Return the JSON body of the whole answer that `events` stream.

    Raises `FormatError` if an event is no chat event.
    """
    messages: dict[int, dict] = {}
    finishes: dict[int, str | None] = {}
    usage = None
    try:
        for event in sse.payloads(events):
            usage = event.get("usage") or usage
            for choice in event.get("choices") or []:
                index = choice.get("index", 0)
                message = messages.setdefault(
                    index, {"role": "assistant", "content": ""}
                )
                merge(message, choice.get("delta") or {})
                finishes[index] = choice.get("finish_reason") or finishes.get(index)
    except (AttributeError, TypeError, ValueError) as error:
        raise sse.FormatError("an event is not a chat event") from error
    choices = [
        {"index": i, "message": messages[i], "finish_reason": finishes[i]}
        for i in sorted(messages)
    ]
    answer = {
        "id": request_key,
        "object": "chat.completion",
        "model": model,
        "choices": choices,
        "usage": usage,
    }
    return json.dumps(answer).encode()


def merge(message: dict, delta: dict) -> None:
    """Merge a stream's delta into a message.

    Text is appended, list items merge into the one with the same `index`.
    """
    for name, value in delta.items():
        if value is None:
            continue
        if isinstance(value, str) and name not in SCALAR_FIELDS:
            message[name] = (message.get(name) or "") + value
        elif isinstance(value, dict):
            merge(message.setdefault(name, {}), value)
        elif isinstance(value, list):
            items = message.setdefault(name, [])
            for item in value:
                _merge_item(items, item)
        else:
            message[name] = value


def _merge_item(items: list, item: object) -> None:
    if not isinstance(item, dict):
        items.append(item)
        return
    position = item.get("index", len(items))
    if not 0 <= position < MAX_ITEMS:
        raise ValueError("an index is out of range")
    while len(items) <= position:
        items.append({})
    merge(items[position], {k: v for k, v in item.items() if k != "index"})
