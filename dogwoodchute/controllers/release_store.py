"""Reads and writes the history of releases: head, deltas and snapshots.

The head row holds the newest revision. Each revision has one row with its delta. Every
`SNAPSHOT_EVERY` revisions the full state goes to the object store as a snapshot, so
that a new host need not read the history from its start.
"""

import asyncio
import dataclasses
import hashlib
import typing
import zlib

import msgpack

from dogwoodchute import catalog, state
from dogwoodchute.coordination import releases, rows
from dogwoodchute.platform import objects, table

BATCH = 128  # rows in one read, items in one part of a snapshot
MAX_DELTAS = 1024  # a host that is more revisions behind starts from a snapshot
SNAPSHOT_EVERY = 512  # revisions from one snapshot to the next
KEPT_DELTAS = 2048  # revisions before a snapshot whose deltas are kept
MAX_PRUNED = 512  # rows deleted by one commit


class Head(typing.NamedTuple):
    """The newest revision; `version` is that of the head row, 0 if there is none."""

    revision: int
    digest: str
    version: int


class SnapshotPointer(typing.NamedTuple):
    """Where the newest snapshot is; deltas of revisions below `first` are deleted."""

    revision: int
    name: str
    sha256: str
    first: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailure:
    """The history could not be read or is not consistent."""

    reason: str
    step: str = "releases"
    peer: str | None = None
    missing: bool = False  # the store answered that it has no such row


def head_of(found: table.Rows) -> Head:
    """Return the head from rows that were read."""
    row = found.rows.get(rows.RELEASE_HEAD)
    if row is None:
        return Head(0, "", 0)
    return Head(row.value["revision"], row.value["digest"], row.version)


async def read_head(store: table.Table) -> Head | ReadFailure:
    """Return the head from the store."""
    found = await store.read([rows.RELEASE_HEAD])
    if isinstance(found, table.Unavailable):
        return ReadFailure(reason=found.reason, peer=found.peer)
    return head_of(found)


async def read_deltas(
    store: table.Table, first: int, last: int
) -> list[releases.Delta] | ReadFailure:
    """Return the deltas of revisions `first` to `last`, both included."""
    deltas = []
    for start in range(first, last + 1, BATCH):
        wanted = range(start, min(start + BATCH, last + 1))
        found = await store.read([rows.release(revision) for revision in wanted])
        if isinstance(found, table.Unavailable):
            return ReadFailure(reason=found.reason, peer=found.peer)
        for revision in wanted:
            row = found.rows.get(rows.release(revision))
            if row is None:
                reason = f"no row of revision {revision}"
                return ReadFailure(reason=reason, missing=True)
            deltas.append(releases.from_plain(row.value["delta"]))
    return deltas


def apply(
    current: catalog.Catalog, deltas: list[releases.Delta], end: str
) -> catalog.Catalog | None:
    """Return the state after `deltas`.

    None unless they continue `current` and lead to the digest `end`.
    """
    if not releases.follows(current.revision, current.digest, deltas, end):
        return None
    for delta in deltas:
        current = catalog.apply_changes(
            current,
            revision=delta.revision,
            digest=releases.chain_digest(current.digest, delta),
            puts=delta.puts,
            removes=delta.removes,
        )
    return current


async def advance(
    host: state.HostState, head: Head
) -> tuple[catalog.Catalog, list[releases.Delta]] | ReadFailure:
    """Return the state at `head`, and the deltas that were applied last to reach it.

    A host that is too far behind, or whose deltas are gone, starts from a snapshot.
    """
    current = host.current
    if head.revision - current.revision <= MAX_DELTAS:
        deltas = await read_deltas(host.store, current.revision + 1, head.revision)
        if isinstance(deltas, ReadFailure) and not deltas.missing:
            return deltas
        newer = None
        if not isinstance(deltas, ReadFailure):
            newer = apply(current, deltas, head.digest)
        if newer is not None:
            return newer, deltas
    return await _rebuild(host, head)


async def _rebuild(
    host: state.HostState, head: Head
) -> tuple[catalog.Catalog, list[releases.Delta]] | ReadFailure:
    start = await read_snapshot(host)
    if isinstance(start, ReadFailure):
        return start
    deltas = await read_deltas(host.store, start.revision + 1, head.revision)
    if isinstance(deltas, ReadFailure):
        return deltas
    newer = apply(start, deltas, head.digest)
    if newer is None:
        return ReadFailure(reason=f"history does not lead to revision {head.revision}")
    return newer, deltas


async def read_pointer(store: table.Table) -> SnapshotPointer | ReadFailure:
    """Return where the newest snapshot is; revision 0 means that there is none."""
    found = await store.read([rows.RELEASE_SNAPSHOT])
    if isinstance(found, table.Unavailable):
        return ReadFailure(reason=found.reason, peer=found.peer)
    row = found.rows.get(rows.RELEASE_SNAPSHOT)
    if row is None:
        return SnapshotPointer(0, "", "", 1, 0)
    value = row.value
    return SnapshotPointer(
        value["revision"], value["name"], value["sha256"], value["first"], row.version
    )


async def read_snapshot(host: state.HostState) -> catalog.Catalog | ReadFailure:
    """Return the state in the newest snapshot, the empty state if there is none."""
    pointer = await read_pointer(host.store)
    if isinstance(pointer, ReadFailure):
        return pointer
    if pointer.revision == 0:
        return catalog.indexed(catalog.EMPTY)
    found = await host.objects.get(pointer.name)
    if not isinstance(found, objects.Found):
        reason = getattr(found, "reason", f"no object {pointer.name}")
        return ReadFailure(reason=reason, step="objects")
    return await decode(found.content, pointer.sha256)


async def encode(current: catalog.Catalog) -> bytes:
    """Return a state as compressed bytes; yields to the event loop between parts."""
    packer = zlib.compressobj(1)
    head = {"revision": current.revision, "digest": current.digest}
    parts = [packer.compress(msgpack.packb(head))]
    for kind in catalog.KINDS:
        items = list(catalog.items_of_kind(current, kind).values())
        for start in range(0, len(items), BATCH):
            batch = [item._asdict() for item in items[start : start + BATCH]]
            parts.append(packer.compress(msgpack.packb([kind, batch])))
            await asyncio.sleep(0)
    parts.append(packer.flush())
    return b"".join(parts)


async def decode(content: bytes, sha256: str) -> catalog.Catalog | ReadFailure:
    """Return the state in the bytes of `encode`, after checking their digest."""
    if hashlib.sha256(content).hexdigest() != sha256:
        return ReadFailure(reason="snapshot has another digest", step="objects")
    unpacker = msgpack.Unpacker(max_buffer_size=0)
    unpacker.feed(zlib.decompress(content))
    head = unpacker.unpack()
    maps: dict[str, dict] = {kind: {} for kind in catalog.KINDS}
    for kind, batch in unpacker:
        for fields in batch:
            maps[kind][fields["name"]] = catalog.build_item(kind, fields)
        await asyncio.sleep(0)
    found = catalog.Catalog(head["revision"], *maps.values(), head["digest"])
    return catalog.indexed(found)


async def write_snapshot(host: state.HostState, current: catalog.Catalog) -> int:
    """Store a snapshot of `current` if one is due; return the newest one's revision.

    The object is written before the pointer, so that the pointer never names a missing
    object. The commit that moves the pointer also deletes rows of old revisions.
    """
    pointer = await read_pointer(host.store)
    if isinstance(pointer, ReadFailure):
        return 0
    if current.revision - pointer.revision < SNAPSHOT_EVERY:
        return pointer.revision
    content = await encode(current)
    sha256 = hashlib.sha256(content).hexdigest()
    name = f"releases/{current.revision}-{sha256[:16]}"
    stored = await host.objects.put(name, content)
    if not isinstance(stored, objects.Stored):
        return pointer.revision
    first, writes = await _prune(host, pointer, current.revision)
    value = {
        "revision": current.revision,
        "name": name,
        "sha256": sha256,
        "first": first,
    }
    outcome = await host.store.commit(
        f"snapshot-{host.incarnation}-{current.revision}",
        [table.Check(rows.RELEASE_SNAPSHOT, pointer.version)],
        [table.Write(rows.RELEASE_SNAPSHOT, value), *writes],
    )
    if not isinstance(outcome, table.Committed):
        return pointer.revision
    if pointer.name and pointer.name != name:
        await host.objects.delete(pointer.name)
    return current.revision


async def _prune(
    host: state.HostState, pointer: SnapshotPointer, revision: int
) -> tuple[int, list[table.Write]]:
    last = min(revision - KEPT_DELTAS, pointer.first + MAX_PRUNED - 1)
    if last < pointer.first:
        return pointer.first, []
    deltas = await read_deltas(host.store, pointer.first, last)
    if isinstance(deltas, ReadFailure):
        return pointer.first, []
    writes = []
    for delta in deltas:
        writes.append(table.Write(rows.release(delta.revision), None))
        writes.append(table.Write(rows.release_note(delta.note), None))
    return last + 1, writes
