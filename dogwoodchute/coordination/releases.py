"""Decides whether a release note is accepted, and what it changes.

The configuration at each revision is that of the revision before plus a delta. Deltas
are chained by digests, so a host that fetched them from any peer can detect gaps,
deltas out of order, and a history that differs from its own.
"""

import hashlib
import json
import typing
from collections import abc

from dogwoodchute.coordination import notes

FLEET_READS = 100.0  # reads of the head row per second, by all hosts together
MAX_NAMED = 3  # most items that one fault names


class Delta(typing.NamedTuple):
    """The changes of one accepted note, in plain values only."""

    revision: int
    note: str  # id of the note
    reason: str
    puts: list[tuple[str, dict]]  # kind, all fields
    removes: list[tuple[str, str]]  # kind, name


class View(typing.NamedTuple):
    """Look-ups in the configuration that a note is checked against."""

    fields: abc.Callable[[str, str], dict | None]  # of the item of a kind and name
    key_owner: abc.Callable[[str], str | None]  # account with a bearer key's digest
    endpoints_of: abc.Callable[[str], list[str]]  # names of a service's endpoints


def build(view: View, note: notes.Note, revision: int) -> Delta | notes.Faults:
    """Return the delta of `note` to the configuration of `view`, or all its faults."""
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
    """Add faults if the action does not fit the item or has keys that it must not."""
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
    """Add faults for services that are missing, or withdrawn while still in use."""
    changes = {(c.kind, c.name): c for c in note.changes}
    service_of = {f["name"]: f["service"] for kind, f in puts if kind == "endpoint"}

    def exists(service: str) -> bool:
        change = changes.get(("service", service))
        if change is not None:
            return change.action != "withdrawn"
        return view.fields("service", service) is not None

    for kind, fields in puts:
        change = changes[kind, fields["name"]]
        references = []
        if kind == "endpoint" and "service" in change.fields:
            references = [("service", fields["service"])]
        if kind == "account" and "services" in change.fields:
            references = [("services", service) for service in fields["services"]]
        for key, service in references:
            if not exists(service):
                fault = notes.Fault(change.section, key, service, "no such service")
                faults.append(fault)
    for change in note.changes:
        if change.action != "withdrawn" or change.kind != "service":
            continue
        users = []
        for name in view.endpoints_of(change.name):
            other = changes.get(("endpoint", name))
            is_withdrawn = other is not None and other.action == "withdrawn"
            if not is_withdrawn and service_of.get(name, change.name) == change.name:
                users.append(name)
        if users:
            some = ", ".join(users[:MAX_NAMED])
            allowed = f"{len(users)} endpoints still serve it ({some}); withdraw them"
            faults.append(notes.Fault(change.section, "", "", allowed))


def _check_keys(
    view: View,
    note: notes.Note,
    puts: list[tuple[str, dict]],
    faults: list[notes.Fault],
) -> None:
    """Add faults for bearer keys that two accounts would have."""
    sections = {(c.kind, c.name): c.section for c in note.changes}
    changed_accounts = {c.name for c in note.changes if c.kind == "account"}
    owners: dict[str, str] = {}
    for kind, fields in puts:
        if kind != "account":
            continue
        name = fields["name"]
        for digest in fields["keys"]:
            owner = owners.setdefault(digest, name)
            previous = view.key_owner(digest)
            # An account that the note changes or withdraws may give up its key.
            if owner == name and (previous is None or previous in changed_accounts):
                continue
            other = owner if owner != name else previous
            allowed = f"the key belongs to account {other!r} too"
            value = f"{digest[:8]}…"
            fault = notes.Fault(sections["account", name], "keys", value, allowed)
            faults.append(fault)


def conflicts(note: notes.Note, since: list[Delta]) -> list[notes.Fault]:
    """Return faults for sections of `note` whose items changed since its base.

    `since` are the deltas after the note's base revision.
    """
    latest = {}
    for delta in since:
        for kind, fields in delta.puts:
            latest[kind, fields["name"]] = delta
        for kind, name in delta.removes:
            latest[kind, name] = delta
    faults = []
    for change in note.changes:
        delta = latest.get((change.kind, change.name))
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
    """Return a delta as plain dicts, lists, strings and numbers."""
    return {
        "revision": delta.revision,
        "note": delta.note,
        "reason": delta.reason,
        "puts": [[kind, fields] for kind, fields in delta.puts],
        "removes": [[kind, name] for kind, name in delta.removes],
    }


def from_plain(plain: dict) -> Delta:
    """Return the delta of a value that `to_plain` returned."""
    return Delta(
        plain["revision"],
        plain["note"],
        plain["reason"],
        [(kind, fields) for kind, fields in plain["puts"]],
        [(kind, name) for kind, name in plain["removes"]],
    )


def chain_digest(previous: str, delta: Delta) -> str:
    """Return the digest of the history that ends with `delta`.

    `previous` is the digest of the history before it.
    """
    text = json.dumps(to_plain(delta), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(f"{previous}\n{text}".encode()).hexdigest()


def follows(revision: int, digest: str, deltas: list[Delta], end: str) -> bool:
    """Return whether deltas continue a history without gaps.

    The history ends with `revision` and has the given digest; `end` is the digest that
    it must have after the deltas.
    """
    for delta in deltas:
        if delta.revision != revision + 1:
            return False
        revision = delta.revision
        digest = chain_digest(digest, delta)
    return digest == end
