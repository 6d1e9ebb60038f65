"""Submits a release note to the store: one commit accepts it and moves the head."""

import asyncio
import dataclasses
import secrets
from collections import abc

from dogwoodchute import catalog, log, state
from dogwoodchute.controllers import release_store
from dogwoodchute.coordination import notes, releases, rows
from dogwoodchute.platform import table

MAX_TRIES = 12  # attempts at a note while others keep moving the head first
RESOLVE_TRIES = 40  # times that one commit is sent while its outcome is unknown
BASE_BACKOFF = 0.05  # seconds
BACKOFF_LIMIT = 1.0  # seconds
MAX_CHANGES = 500  # sections of one note, which bounds its row
INITIAL = rows.INITIAL_TOP_UP


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The note is in the store and will come into force on every host."""

    revision: int
    note: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Nothing of the note was applied, and nothing of it will be later."""

    code: str
    faults: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Undecided:
    """The outcome is not known; it is safe to submit the same note again."""

    code: str
    reason: str
    note: str


Verdict = Accepted | Refused | Undecided
Adopt = abc.Callable[[catalog.Catalog, list[releases.Delta]], bool]


class Submitter:
    """Submits notes to the store; `adopt` puts an accepted state in force locally."""

    def __init__(
        self,
        *,
        host: state.HostState,
        adopt: Adopt,
        sleep: abc.Callable = asyncio.sleep,
    ) -> None:
        self._host = host
        self._adopt = adopt
        self._sleep = sleep

    async def submit(self, text: str) -> Verdict:
        """Submit the note with this text and return the verdict.

        A note that was accepted before gets the same answer again.
        """
        note = notes.parse(text)
        if isinstance(note, notes.Faults):
            return _refuse("bad_note", note.faults)
        if len(note.changes) > MAX_CHANGES:
            allowed = f"{len(note.changes)} sections; split it, {MAX_CHANGES} at most"
            return _refuse("note_too_large", [notes.Fault("note", "", "", allowed)])
        for attempt in range(MAX_TRIES):
            verdict = await self._try_commit(note)
            if verdict is not None:
                log.info("release_note", note=note.id, verdict=type(verdict).__name__)
                return verdict
            await self._back_off(attempt)
        reason = "other notes kept coming first"
        return Undecided(code="busy", reason=reason, note=note.id)

    async def _try_commit(self, note: notes.Note) -> Verdict | None:
        note_key = rows.release_note(note.id)
        found = await self._host.store.read([rows.RELEASE_HEAD, note_key])
        if isinstance(found, table.Unavailable):
            return _store_unavailable(note, found.reason)
        row = found.rows.get(note_key)
        if row is not None:
            return _repeat_verdict(note, row)
        head = release_store.head_of(found)
        current = await self._catalog_at(head)
        if isinstance(current, release_store.ReadFailure):
            return _store_unavailable(note, current.reason)
        if current is None:
            return None
        refusal = await self._check_base(note, head)
        if refusal is not None:
            return refusal
        delta = releases.build(note_view(current), note, head.revision + 1)
        if isinstance(delta, notes.Faults):
            return _refuse("bad_note", delta.faults)
        return await self._commit(note, head, current, delta)

    async def _catalog_at(
        self, head: release_store.Head
    ) -> catalog.Catalog | release_store.ReadFailure | None:
        if head.revision > self._host.current.revision:
            found = await release_store.advance(self._host, head)
            if isinstance(found, release_store.ReadFailure):
                return found
            self._adopt(*found)
            return found[0]
        current = self._host.current
        return current if current.digest == head.digest else None

    async def _check_base(
        self, note: notes.Note, head: release_store.Head
    ) -> Refused | Undecided | None:
        if note.base == head.revision:
            return None
        fault = notes.Fault("note", "base", str(note.base), f"head is {head.revision}")
        if note.base > head.revision:
            return _refuse("unknown_base", [fault])
        since = await release_store.read_deltas(
            self._host.store, note.base + 1, head.revision
        )
        if isinstance(since, release_store.ReadFailure):
            if since.missing:
                return _refuse("base_too_old", [fault])
            return _store_unavailable(note, since.reason)
        faults = releases.conflicts(note, since)
        if faults or not note.rebase:
            return _refuse("conflict", [fault, *faults])
        return None

    async def _commit(
        self,
        note: notes.Note,
        head: release_store.Head,
        current: catalog.Catalog,
        delta: releases.Delta,
    ) -> Verdict | None:
        digest = releases.chain_digest(current.digest, delta)
        accepted = {"revision": delta.revision, "text": note.text_digest}
        checks = [
            table.Check(rows.RELEASE_HEAD, head.version),
            table.Check(rows.release_note(note.id), 0),
        ]
        new_head = {"revision": delta.revision, "digest": digest}
        row = {"delta": releases.to_plain(delta), "digest": digest}
        # The note's row comes first: only this commit ever writes it, however often it
        # is sent, so that the row proves whether the commit took effect.
        writes = [
            table.Write(rows.release_note(note.id), accepted),
            table.Write(rows.RELEASE_HEAD, new_head),
            table.Write(rows.release(delta.revision), row),
        ]
        budgets = await self._budgets(note, delta)
        if isinstance(budgets, table.Unavailable):
            return _store_unavailable(note, budgets.reason)
        checks += budgets[0]
        writes += budgets[1]
        outcome = await self._resolve(checks, writes)
        if isinstance(outcome, table.Committed):
            newer = release_store.apply(current, [delta], digest)
            self._adopt(newer, [delta])
            return Accepted(revision=delta.revision, note=note.id)
        if isinstance(outcome, table.Conflict):
            other = outcome.rows.get(rows.release_note(note.id))
            return _repeat_verdict(note, other) if other is not None else None
        if isinstance(outcome, table.Unavailable):
            return _store_unavailable(note, outcome.reason)
        return Undecided(code="answer_lost", reason=outcome.reason, note=note.id)

    async def _budgets(
        self, note: notes.Note, delta: releases.Delta
    ) -> tuple[list[table.Check], list[table.Write]] | table.Unavailable:
        """Return the checks and writes that give each added account its budget row.

        An account that was withdrawn and is added again keeps its first budget.
        """
        added = {c.name for c in note.changes if c.action == "added"}
        budgets = {}
        for kind, fields in delta.puts:
            if kind == "account" and fields["name"] in added:
                budgets[fields["name"]] = fields["budget"]
        keys = [rows.budget(name) for name in budgets]
        keys += [rows.top_up(name, INITIAL) for name in budgets]
        checks: list[table.Check] = []
        writes: list[table.Write] = []
        if not keys:
            return checks, writes
        found = await self._host.store.read(keys)
        if isinstance(found, table.Unavailable):
            return found
        for name, tokens in budgets.items():
            key = rows.budget(name)
            top_up = rows.top_up(name, INITIAL)
            row = found.rows.get(key)
            if top_up in found.rows:
                continue
            value = row.value if row is not None else {"paid": 0, "drawn": 0}
            checks.append(table.Check(key, row.version if row is not None else 0))
            checks.append(table.Check(top_up, 0))
            paid = value["paid"] + tokens
            writes.append(table.Write(key, {**value, "paid": paid}))
            writes.append(table.Write(top_up, {"tokens": tokens}))
        return checks, writes

    async def _resolve(
        self, checks: list[table.Check], writes: list[table.Write]
    ) -> table.CommitOutcome:
        """Send one commit until its outcome is known or the attempts run out.

        Every attempt carries the same checks, and a version of the head row is never
        used again, so at most one attempt takes effect. `Unavailable` is returned only
        while no attempt can be in flight.
        """
        commit_id = secrets.token_hex(16)
        unknown = None
        for attempt in range(RESOLVE_TRIES):
            outcome = await self._host.store.commit(commit_id, checks, writes)
            if isinstance(outcome, table.Committed | table.Conflict):
                return outcome
            if isinstance(outcome, table.Unavailable) and unknown is None:
                return outcome
            if isinstance(outcome, table.Unknown):
                unknown = outcome
            await self._back_off(attempt)
        return unknown

    async def _back_off(self, attempt: int) -> None:
        longest = min(BACKOFF_LIMIT, BASE_BACKOFF * 2**attempt)
        await self._sleep(longest * self._host.rng.uniform(0.5, 1.0))


def note_view(current: catalog.Catalog) -> releases.View:
    """Return the view of a catalog that a note is checked against."""

    def fields(kind: str, name: str) -> dict | None:
        item = catalog.items_of_kind(current, kind).get(name)
        return item._asdict() if item is not None else None

    def endpoints_of(service: str) -> list[str]:
        return [endpoint.name for endpoint in catalog.endpoints_of(current, service)]

    index = current.index or catalog.indexed(current).index
    return releases.View(
        fields=fields, key_owner=index.accounts_by_key.get, endpoints_of=endpoints_of
    )


def _refuse(code: str, faults: list[notes.Fault]) -> Refused:
    return Refused(code=code, faults=[str(fault) for fault in faults])


def _store_unavailable(note: notes.Note, reason: str) -> Undecided:
    return Undecided(code="store_unavailable", reason=reason, note=note.id)


def _repeat_verdict(note: notes.Note, row: table.Row) -> Accepted | Refused:
    if row.value["text"] == note.text_digest:
        return Accepted(revision=row.value["revision"], note=note.id)
    allowed = f"used by another note at revision {row.value['revision']}"
    return _refuse("note_id_reused", [notes.Fault("note", "id", note.id, allowed)])
