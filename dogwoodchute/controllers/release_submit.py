"""Has a release note accepted by one commit that moves the head, or refuses it."""

import asyncio
import dataclasses
import secrets
from collections import abc

from dogwoodchute import catalog, log, state
from dogwoodchute.controllers import release_store
from dogwoodchute.coordination import notes, releases, rows
from dogwoodchute.platform import table

MAX_TRIES = 12  # races lost to other notes
RESOLVE_TRIES = 40  # copies of one commit sent while its outcome is unknown
FIRST_PAUSE = 0.05  # seconds
MAX_PAUSE = 1.0  # seconds
MAX_CHANGES = 500  # sections of one note, which bounds its row
INITIAL = rows.INITIAL_TOP_UP


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The note is in the store and will be in force everywhere."""

    revision: int
    note: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Nothing of the note was applied, nor ever will be."""

    code: str
    faults: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Undecided:
    """This call did not learn the outcome; the same note may be submitted again."""

    code: str
    reason: str
    note: str


Verdict = Accepted | Refused | Undecided
Adopt = abc.Callable[[catalog.Catalog, list[releases.Delta]], bool]


class Submitter:
    """Submits notes to the store; `adopt` puts an accepted state in force here."""

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
        """Return whether the note of this text was accepted.

        A note that was accepted before gets the answer that it got then.
        """
        note = notes.parse(text)
        if isinstance(note, notes.Faults):
            return _refuse("bad_note", note.faults)
        if len(note.changes) > MAX_CHANGES:
            allowed = f"{len(note.changes)} sections; split it, {MAX_CHANGES} at most"
            return _refuse("note_too_large", [notes.Fault("note", "", "", allowed)])
        for attempt in range(MAX_TRIES):
            verdict = await self._try(note)
            if verdict is not None:
                log.info("release_note", note=note.id, verdict=type(verdict).__name__)
                return verdict
            await self._pause(attempt)
        reason = "other notes kept coming first"
        return Undecided(code="busy", reason=reason, note=note.id)

    async def _try(self, note: notes.Note) -> Verdict | None:
        note_key = rows.release_note(note.id)
        found = await self._host.store.read([rows.RELEASE_HEAD, note_key])
        if isinstance(found, table.Unavailable):
            return _away(note, found.reason)
        row = found.rows.get(note_key)
        if row is not None:
            return _repeated(note, row)
        head = release_store.head_of(found)
        current = await self._at(head)
        if isinstance(current, release_store.Failed):
            return _away(note, current.reason)
        if current is None:
            return None
        refusal = await self._check_base(note, head)
        if refusal is not None:
            return refusal
        delta = releases.build(view(current), note, head.revision + 1)
        if isinstance(delta, notes.Faults):
            return _refuse("bad_note", delta.faults)
        return await self._commit(note, head, current, delta)

    async def _at(
        self, head: release_store.Head
    ) -> catalog.Catalog | release_store.Failed | None:
        if head.revision > self._host.current.revision:
            found = await release_store.advance(self._host, head)
            if isinstance(found, release_store.Failed):
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
        if isinstance(since, release_store.Failed):
            if since.missing:
                return _refuse("base_too_old", [fault])
            return _away(note, since.reason)
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
        moved = {"revision": delta.revision, "digest": digest}
        row = {"delta": releases.to_plain(delta), "digest": digest}
        # The note's row comes first: only copies of this commit ever write it, so
        # that it proves whether one took effect.
        writes = [
            table.Write(rows.release_note(note.id), accepted),
            table.Write(rows.RELEASE_HEAD, moved),
            table.Write(rows.release(delta.revision), row),
        ]
        budgets = await self._budgets(note, delta)
        if isinstance(budgets, table.Unavailable):
            return _away(note, budgets.reason)
        checks += budgets[0]
        writes += budgets[1]
        outcome = await self._resolve(checks, writes)
        if isinstance(outcome, table.Committed):
            newer = release_store.apply(current, [delta], digest)
            self._adopt(newer, [delta])
            return Accepted(revision=delta.revision, note=note.id)
        if isinstance(outcome, table.Conflict):
            other = outcome.rows.get(rows.release_note(note.id))
            return _repeated(note, other) if other is not None else None
        if isinstance(outcome, table.Unavailable):
            return _away(note, outcome.reason)
        return Undecided(code="answer_lost", reason=outcome.reason, note=note.id)

    async def _budgets(
        self, note: notes.Note, delta: releases.Delta
    ) -> tuple[list[table.Check], list[table.Write]] | table.Unavailable:
        """Return what gives each added account its budget row, once for ever."""
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
        """Send one commit until its outcome is definite, or the tries run out.

        Every copy carries the same checks, and a head version never comes again, so
        at most one copy takes effect. Only a commit of which no copy may be under way
        ends in `Unavailable`.
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
            await self._pause(attempt)
        return unknown

    async def _pause(self, attempt: int) -> None:
        longest = min(MAX_PAUSE, FIRST_PAUSE * 2**attempt)
        await self._sleep(longest * self._host.rng.uniform(0.5, 1.0))


def view(current: catalog.Catalog) -> releases.View:
    """Return what a note is checked against."""

    def fields(kind: str, name: str) -> dict | None:
        item = catalog.items(current, kind).get(name)
        return item._asdict() if item is not None else None

    def endpoints_of(service: str) -> list[str]:
        return [endpoint.name for endpoint in catalog.endpoints_of(current, service)]

    index = current.index or catalog.indexed(current).index
    return releases.View(
        fields=fields, key_owner=index.accounts_by_key.get, endpoints_of=endpoints_of
    )


def _refuse(code: str, faults: list[notes.Fault]) -> Refused:
    return Refused(code=code, faults=[str(fault) for fault in faults])


def _away(note: notes.Note, reason: str) -> Undecided:
    return Undecided(code="store_unavailable", reason=reason, note=note.id)


def _repeated(note: notes.Note, row: table.Row) -> Accepted | Refused:
    if row.value["text"] == note.text_digest:
        return Accepted(revision=row.value["revision"], note=note.id)
    allowed = f"used by another note at revision {row.value['revision']}"
    return _refuse("note_id_reused", [notes.Fault("note", "id", note.id, allowed)])
