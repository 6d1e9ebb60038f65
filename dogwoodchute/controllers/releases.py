"""Accepts release notes and puts the accepted state in force on this host."""

import dataclasses
import secrets

from dogwoodchute import catalog, controller, log, state
from dogwoodchute.coordination import releases, rows
from dogwoodchute.platform import table

POLL_INTERVAL = 1.0  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The note is in the store and will be in force everywhere."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Nothing of the note was applied."""

    code: str
    faults: list[str]


class Releases:
    """The release state of this host."""

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host

    async def submit(self, text: str) -> Accepted | Refused:
        """Check a note against the head and move the head to its state."""
        note = releases.parse(text)
        if isinstance(note, releases.Faults):
            return Refused(code="bad_note", faults=note.faults)
        found = await self._host.store.read([rows.RELEASE_HEAD])
        if isinstance(found, table.Unavailable):
            return Refused(code="store_unavailable", faults=[found.reason])
        row = found.rows.get(rows.RELEASE_HEAD)
        head = catalog.from_plain(row.value) if row is not None else catalog.EMPTY
        if note.base != head.revision:
            fault = f"[note] base = {note.base}: the head is at {head.revision}"
            return Refused(code="stale_base", faults=[fault])
        newer = _apply(head, note)
        writes = [table.Write(rows.RELEASE_HEAD, catalog.to_plain(newer))]
        for change in note.changes:
            if change.kind != "account" or change.action != "added":
                continue
            budget = {"paid": newer.accounts[change.name].budget, "drawn": 0}
            writes.append(table.Write(rows.budget(change.name), budget))
        outcome = await self._host.store.commit(
            secrets.token_hex(8),
            [table.Check(rows.RELEASE_HEAD, row.version if row is not None else 0)],
            writes,
        )
        if not isinstance(outcome, table.Committed):
            return Refused(code="not_accepted", faults=[str(outcome)])
        self._host.adopt(newer)
        return Accepted(revision=newer.revision)

    async def poll(self) -> None:
        """Read the head and put it in force if it is newer."""
        found = await self._host.store.read([rows.RELEASE_HEAD])
        if isinstance(found, table.Unavailable):
            log.warning("release_poll_failed", reason=found.reason, peer=found.peer)
            return
        self._host.ready = True
        row = found.rows.get(rows.RELEASE_HEAD)
        if row is not None and self._host.adopt(catalog.from_plain(row.value)):
            log.info("release_in_force", revision=self._host.current.revision)

    def controller(self) -> controller.Controller:
        """Return the controller that polls the head."""
        return controller.periodic("releases", self.poll, interval=POLL_INTERVAL)


def _apply(head: catalog.Catalog, note: releases.Note) -> catalog.Catalog:
    kinds = {
        "account": (dict(head.accounts), _account),
        "service": (dict(head.services), _service),
        "endpoint": (dict(head.endpoints), _endpoint),
    }
    for change in note.changes:
        items, build = kinds[change.kind]
        if change.action == "withdrawn":
            items.pop(change.name, None)
            continue
        items[change.name] = build(change.name, change.fields)
    newer = [items for items, _ in kinds.values()]
    return catalog.Catalog(head.revision + 1, *newer)


def _words(text: str) -> tuple[str, ...]:
    return tuple(text.replace(",", " ").split())


def _account(name: str, fields: dict[str, str]) -> catalog.ClientAccount:
    return catalog.ClientAccount(
        name,
        _words(fields["keys"]),
        _words(fields.get("services", "")),
        budget=int(fields.get("budget", "0")),
    )


def _service(name: str, fields: dict[str, str]) -> catalog.Service:
    return catalog.Service(
        name,
        fields["kind"],
        price=int(fields.get("price", "0")),
        max_output=int(fields.get("max_output", "4096")),
    )


def _endpoint(name: str, fields: dict[str, str]) -> catalog.Endpoint:
    return catalog.Endpoint(
        name,
        fields["service"],
        fields["address"],
        fields["region"],
        fields["data_centre"],
    )
