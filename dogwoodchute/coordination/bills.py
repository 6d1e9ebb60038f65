"""Bills: the durable records of what requests used, each written once."""

import typing
from collections import abc


class Entry(typing.NamedTuple):
    """What one request used, as another host can write it too."""

    account: str
    request_key: str
    tokens: int
    fingerprint: str  # hex digest of the request
    incarnation: str  # the host process that served the request
    uncovered: int = 0  # tokens that the budget did not cover
    whole: bool = True  # the answer was whole; another run may raise a bill otherwise


def value(entry: Entry, replaced: dict | None = None) -> dict:
    """Return the value of a bill row, in place of the `replaced` one of a part run."""
    kept = {
        "tokens": max(entry.tokens, replaced["tokens"] if replaced else 0),
        "fingerprint": entry.fingerprint,
        "incarnation": entry.incarnation,
    }
    if entry.uncovered:
        kept["uncovered"] = entry.uncovered
    if not entry.whole:
        kept["whole"] = False
    return kept


def charge(entry: Entry, replaced: dict | None) -> int:
    """Return the tokens that a bill adds to what was billed under its key before."""
    return max(0, entry.tokens - (replaced["tokens"] if replaced else 0))


def may_replace(entry: Entry, row: dict) -> bool:
    """Return whether a bill takes the place of one that is in the store.

    Only the bill of a whole answer does, and only that of a run that broke off.
    """
    same = row.get("fingerprint") == entry.fingerprint
    return same and entry.whole and not row.get("whole", True)


def uncovered(charges: abc.Iterable[int], room: int) -> list[int]:
    """Return what of each charge is beyond `room` tokens in all, in order."""
    beyond = []
    for tokens in charges:
        covered = min(tokens, room)
        room -= covered
        beyond.append(tokens - covered)
    return beyond


class Candidate(typing.NamedTuple):
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
