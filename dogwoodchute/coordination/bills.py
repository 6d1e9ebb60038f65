"""Bills: durable records of the tokens that requests used, one for each request key."""

import typing
from collections import abc


class Entry(typing.NamedTuple):
    """The bill of one request, complete enough for any host to write it."""

    account: str
    request_key: str
    tokens: int
    fingerprint: str  # hex digest of the request
    incarnation: str  # the host process that served the request
    uncovered: int = 0  # tokens that the budget did not cover
    whole: bool = True  # the answer was complete; otherwise a repeat may raise the bill


def bill_value(entry: Entry, replaced: dict | None = None) -> dict:
    """Return the value of a bill row.

    `replaced` is the value of an earlier bill under the same key, of a run that broke
    off.
    """
    row = {
        "tokens": max(entry.tokens, replaced["tokens"] if replaced else 0),
        "fingerprint": entry.fingerprint,
        "incarnation": entry.incarnation,
    }
    if entry.uncovered:
        row["uncovered"] = entry.uncovered
    if not entry.whole:
        row["whole"] = False
    return row


def charge(entry: Entry, replaced: dict | None) -> int:
    """Return the tokens that a bill adds to those already billed under its key."""
    return max(0, entry.tokens - (replaced["tokens"] if replaced else 0))


def may_replace(entry: Entry, row: dict) -> bool:
    """Return whether a bill may replace the one in the store.

    Only the bill of a complete answer may replace one, and only that of a run of the
    same request that broke off.
    """
    same = row.get("fingerprint") == entry.fingerprint
    return same and entry.whole and not row.get("whole", True)


def uncovered(charges: abc.Iterable[int], available: int) -> list[int]:
    """Return the tokens of each charge that `available` tokens don't cover.

    The available tokens cover the charges in order.
    """
    excess = []
    for tokens in charges:
        covered = min(tokens, available)
        available -= covered
        excess.append(tokens - covered)
    return excess


class Candidate(typing.NamedTuple):
    """A peer that may keep a copy of a pending bill."""

    host: str
    data_centre: str
    alive: bool
    leaving: bool


def rank_peers(
    candidates: abc.Iterable[Candidate], *, data_centre: str, anywhere: bool
) -> list[str]:
    """Return the peers to ask to keep a copy of a bill, in order.

    One peer of each data centre other than `data_centre` comes first, then the other
    peers of those data centres. Peers in `data_centre` come last, and only if
    `anywhere` is set.
    """
    first, further, same = [], [], []
    seen = set()
    for peer in candidates:
        if not peer.alive or peer.leaving:
            continue
        if peer.data_centre == data_centre:
            same.append(peer.host)
        elif peer.data_centre in seen:
            further.append(peer.host)
        else:
            seen.add(peer.data_centre)
            first.append(peer.host)
    return first + further + (same if anywhere else [])
