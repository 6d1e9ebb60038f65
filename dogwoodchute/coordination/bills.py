"""Bills: the durable records of what requests used, each written once."""

from collections import abc
from typing import NamedTuple


class Entry(NamedTuple):
    """What one request used, as another host can write it too."""

    account: str
    request_key: str
    tokens: int
    fingerprint: str  # hex digest of the request
    incarnation: str  # the host process that served the request
    uncovered: int = 0  # tokens that the budget did not cover


def value(entry: Entry) -> dict:
    """Return the value of a bill row."""
    kept = {
        "tokens": entry.tokens,
        "fingerprint": entry.fingerprint,
        "incarnation": entry.incarnation,
    }
    if entry.uncovered:
        kept["uncovered"] = entry.uncovered
    return kept


def cover(entries: abc.Iterable[Entry], room: int) -> list[Entry]:
    """Return the entries with what exceeds `room` tokens in all marked uncovered."""
    covered = []
    for entry in entries:
        tokens = min(entry.tokens, room)
        room -= tokens
        uncovered = entry.uncovered + entry.tokens - tokens
        covered.append(entry._replace(tokens=tokens, uncovered=uncovered))
    return covered


class Candidate(NamedTuple):
    """A peer that may keep a copy of a pending bill."""

    host: str
    data_centre: str
    alive: bool
    leaving: bool


def holders(
    candidates: abc.Iterable[Candidate], *, data_centre: str, anywhere: bool
) -> list[str]:
    """Return the peers to ask to keep a copy, in order.

    Those in other data centres than `data_centre` first, and each such data centre
    once before any twice; those in the same one only with `anywhere`.
    """
    fresh, repeated, near = [], [], []
    seen = set()
    for peer in candidates:
        if not peer.alive or peer.leaving:
            continue
        if peer.data_centre == data_centre:
            near.append(peer.host)
        elif peer.data_centre in seen:
            repeated.append(peer.host)
        else:
            seen.add(peer.data_centre)
            fresh.append(peer.host)
    return fresh + repeated + (near if anywhere else [])
