"""Calls of the table service through a peer that reaches it.

The peer makes each call by its own direct path, never through a third host.
"""

import random
from collections import abc

from dogwoodchute import peers
from dogwoodchute.platform import table

KIND = "table"
HINT = "table"  # gossiped hint, true while the host reaches the service directly
CALL_TIMEOUT = 4.0  # seconds, more than the peer's own timeout

OUTCOMES = {
    "committed": table.Committed,
    "conflict": table.Conflict,
    "unavailable": table.Unavailable,
    "unknown": table.Unknown,
    "rows": table.Rows,
}
Outcome = table.ReadOutcome | table.CommitOutcome


def to_plain(outcome: Outcome) -> dict:
    """Return an outcome as a map that msgpack can carry."""
    kind = type(outcome).__name__.lower()
    if isinstance(outcome, table.Committed):
        return {"kind": kind, "versions": outcome.versions}
    if isinstance(outcome, table.Conflict | table.Rows):
        rows = {key: row and list(row) for key, row in outcome.rows.items()}
        return {"kind": kind, "rows": rows}
    return {"kind": kind, "reason": outcome.reason}


def from_plain(plain: dict, *, peer: str) -> Outcome:
    """Return the outcome in a peer's answer."""
    fields = {key: value for key, value in plain.items() if key != "kind"}
    if "rows" in fields:
        fields["rows"] = {k: r and table.Row(*r) for k, r in fields["rows"].items()}
    if "reason" in fields:
        fields["peer"] = peer
    return OUTCOMES[plain["kind"]](**fields)


def through_peers(layer: peers.Peers, *, rng: random.Random) -> table.Table:
    """Return a table whose calls go through peers that, by their hints, reach it."""

    async def call(body: dict) -> Outcome:
        peer = _choose(layer.known(), rng)
        if peer is None:
            return table.Unavailable(reason="no peer reaches the store")
        answer = await layer.call(peer.host, KIND, body, CALL_TIMEOUT)
        if isinstance(answer, peers.Answer):
            return from_plain(answer.body, peer=peer.host)
        if isinstance(answer, peers.NotSent) or body["call"] != "commit":
            return table.Unavailable(reason=answer.reason, peer=peer.host)
        return table.Unknown(reason=answer.reason, peer=peer.host)

    async def read(keys: list[str]) -> table.ReadOutcome:
        return await call({"call": "read", "keys": keys})

    async def scan(prefix: str) -> table.ReadOutcome:
        return await call({"call": "scan", "prefix": prefix})

    async def commit(
        commit_id: str, checks: list[table.Check], writes: list[table.Write]
    ) -> table.CommitOutcome:
        plain = {
            "checks": [list(check) for check in checks],
            "writes": [list(write) for write in writes],
        }
        return await call({"call": "commit", "id": commit_id, **plain})

    return table.Table(read=read, scan=scan, commit=commit)


def handler(direct: table.Table) -> peers.Handler:
    """Return the handler of peers' `KIND` calls, which makes them on `direct`."""

    async def handle(sender: str, body: dict) -> dict:
        if body["call"] == "read":
            return to_plain(await direct.read(body["keys"]))
        if body["call"] == "scan":
            return to_plain(await direct.scan(body["prefix"]))
        checks = [table.Check(*check) for check in body["checks"]]
        writes = [table.Write(*write) for write in body["writes"]]
        return to_plain(await direct.commit(body["id"], checks, writes))

    return handle


def _choose(known: abc.Iterable[peers.Peer], rng: random.Random) -> peers.Peer | None:
    """Return a peer that reaches the service, preferably one that is not leaving."""
    reaching = [peer for peer in known if peer.alive and peer.hints.get(HINT)]
    staying = [peer for peer in reaching if not peer.leaving]
    return rng.choice(staying or reaching) if reaching else None
