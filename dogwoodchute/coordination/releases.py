"""Decides whether a release note is accepted, and what it changes.

The state at each revision is the one before it plus a delta. Deltas are chained by
digest, so that a host which got them from anywhere can tell a gap, a swap or another
history from the one it holds.
"""

import hashlib
import json
import typing
from collections import abc

from dogwoodchute.coordination import notes

FLEET_READS = 100.0  # reads a second of the head, by all hosts together
MAX_NAMED = 3  # items named in one fault


class Delta(typing.NamedTuple):
    """What one accepted note changed; plain values only."""

    revision: int
    note: str  # id of the note
    reason: str
    puts: list[tuple[str, dict]]  # kind, all fields
    removes: list[tuple[str, str]]  # kind, name


class View(typing.NamedTuple):
    """What has to be known of the state that a note is checked against."""

    fields: abc.Callable[[str, str], dict | None]  # of a kind and name
    key_owner: abc.Callable[[str], str | None]  # account of a bearer key's digest
    endpoints_of: abc.Callable[[str], list[str]]  # endpoint names by service


def build(view: View, note: notes.Note, revision: int) -> Delta | notes.Faults:
    """Return what `note` changes in the state of `view`, or all its faults."""
    faults: list[notes.Fault] = []
    puts = []
    removes = []
    for change in note.changes:
        existing = view.fields(change.kind, change.name)
        _check_presence(change, existing, faults)
        if change.action == "withdrawn":
            removes.append((change.kind, change.name))
            continue
        base = existing if change.action == "changed" else None
        fields = notes.check_fields(change, base, faults)
        if fields is not None:
            puts.append((change.kind, fields))
    _check_references(view, note, puts, faults)
    _check_keys(view, note, puts, faults)
    if faults:
        return notes.Faults(faults=faults)
    return Delta(revision, note.id, note.reason, puts, removes)


def _check_presence(
    change: notes.Change, existing: dict | None, faults: list[notes.Fault]
) -> None:
    allowed = None
    if change.action == "added" and existing is not None:
        allowed = "exists already; use 'changed'"
    elif change.action != "added" and existing is None:
        allowed = f"no such {change.kind}"
    if allowed is not None:
        faults.append(notes.Fault(change.section, "", "", allowed))
    if change.action == "withdrawn" and change.fields:
        key = next(iter(change.fields))
        allowed = "a withdrawn section has no keys"
        faults.append(notes.Fault(change.section, key, change.fields[key], allowed))
    if change.action == "changed" and "budget" in change.fields:
        allowed = "only set when the account is added; use a top-up"
        value = change.fields["budget"]
        faults.append(notes.Fault(change.section, "budget", value, allowed))


def _check_references(
    view: View,
    note: notes.Note,
    puts: list[tuple[str, dict]],
    faults: list[notes.Fault],
) -> None:
    actions = {(c.kind, c.name): c for c in note.changes}
    placed = {f["name"]: f["service"] for kind, f in puts if kind == "endpoint"}

    def exists(service: str) -> bool:
        change = actions.get(("service", service))
        if change is not None:
            return change.action != "withdrawn"
        return view.fields("service", service) is not None

    for kind, fields in puts:
        change = actions[kind, fields["name"]]
        wanted = []
        if kind == "endpoint" and "service" in change.fields:
            wanted = [("service", fields["service"])]
        if kind == "account" and "services" in change.fields:
            wanted = [("services", service) for service in fields["services"]]
        for key, service in wanted:
            if not exists(service):
                fault = notes.Fault(change.section, key, service, "no such service")
                faults.append(fault)
    for change in note.changes:
        if change.action != "withdrawn" or change.kind != "service":
            continue
        left = []
        for name in view.endpoints_of(change.name):
            other = actions.get(("endpoint", name))
            leaves = other is not None and other.action == "withdrawn"
            if not leaves and placed.get(name, change.name) == change.name:
                left.append(name)
        if left:
            some = ", ".join(left[:MAX_NAMED])
            allowed = f"{len(left)} endpoints still serve it ({some}); withdraw them"
            faults.append(notes.Fault(change.section, "", "", allowed))


def _check_keys(
    view: View,
    note: notes.Note,
    puts: list[tuple[str, dict]],
    faults: list[notes.Fault],
) -> None:
    sections = {(c.kind, c.name): c.section for c in note.changes}
    holders = {c.name for c in note.changes if c.kind == "account"}
    owners: dict[str, str] = {}
    for kind, fields in puts:
        if kind != "account":
            continue
        name = fields["name"]
        for digest in fields["keys"]:
            owner = owners.setdefault(digest, name)
            held = view.key_owner(digest)
            if owner == name and (held is None or held in holders):
                continue
            other = owner if owner != name else held
            allowed = f"the key belongs to account {other!r} too"
            value = f"{digest[:8]}…"
            fault = notes.Fault(sections["account", name], "keys", value, allowed)
            faults.append(fault)


def conflicts(note: notes.Note, since: list[Delta]) -> list[notes.Fault]:
    """Return the sections of `note` whose items the deltas since its base changed."""
    touched = {}
    for delta in since:
        for kind, fields in delta.puts:
            touched[kind, fields["name"]] = delta
        for kind, name in delta.removes:
            touched[kind, name] = delta
    faults = []
    for change in note.changes:
        delta = touched.get((change.kind, change.name))
        if delta is None:
            continue
        allowed = (
            f"changed since base {note.base} by revision {delta.revision} "
            f"(note {delta.note!r})"
        )
        keys = list(change.fields) or [""]
        for key in keys:
            value = "" if key in ("", "keys") else change.fields[key]
            faults.append(notes.Fault(change.section, key, value, allowed))
    return faults


def to_plain(delta: Delta) -> dict:
    """Return a delta as maps, lists, strings and numbers."""
    return {
        "revision": delta.revision,
        "note": delta.note,
        "reason": delta.reason,
        "puts": [[kind, fields] for kind, fields in delta.puts],
        "removes": [[kind, name] for kind, name in delta.removes],
    }


def from_plain(plain: dict) -> Delta:
    """Return the delta that `to_plain` was given."""
    return Delta(
        plain["revision"],
        plain["note"],
        plain["reason"],
        [(kind, fields) for kind, fields in plain["puts"]],
        [(kind, name) for kind, name in plain["removes"]],
    )


def chain_digest(previous: str, delta: Delta) -> str:
    """Return the digest of the history that ends with `delta`."""
    text = json.dumps(to_plain(delta), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(f"{previous}\n{text}".encode()).hexdigest()


def follows(revision: int, digest: str, deltas: list[Delta], end: str) -> bool:
    """Return whether deltas continue a history without a gap and end in `end`."""
    for delta in deltas:
        if delta.revision != revision + 1:
            return False
        revision = delta.revision
        digest = chain_digest(digest, delta)
    return digest == end
