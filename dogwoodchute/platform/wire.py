"""The wire format between this project's adapters and the platform's services.

Every call is an HTTP POST with a JSON body, every answer a JSON body with status 200.
A status of 503 says that the service did nothing. For a platform with another format,
only this module has to change.

Functions named `..._to_plain` return values that JSON can represent, and
`..._from_plain` read them back.
"""

import base64
import json

from dogwoodchute.platform import hostlist, table

TABLE_READ = "/table/read"
TABLE_SCAN = "/table/scan"
TABLE_COMMIT = "/table/commit"
OBJECT_PUT = "/objects/put"
OBJECT_GET = "/objects/get"
OBJECT_LIST = "/objects/list"
OBJECT_DELETE = "/objects/delete"
HOST_LIST = "/hosts/list"
WEIGHTS_PERMIT = "/weights/permit"


class FormatError(Exception):
    """A body does not follow the wire format."""


def encode(body: dict) -> bytes:
    """Return `body` as JSON."""
    return json.dumps(body, separators=(",", ":")).encode()


def decode(content: bytes) -> dict:
    """Return the body in `content`; raise `FormatError` if it is not a JSON object."""
    try:
        body = json.loads(content)
    except ValueError as error:
        raise FormatError(str(error)) from error
    if not isinstance(body, dict):
        raise FormatError("not an object")
    return body


def commit_to_plain(
    commit_id: str, checks: list[table.Check], writes: list[table.Write]
) -> dict:
    """Return the body of a commit."""
    return {
        "id": commit_id,
        "checks": [list(check) for check in checks],
        "writes": [list(write) for write in writes],
    }


def commit_from_plain(
    body: dict,
) -> tuple[str, list[table.Check], list[table.Write]]:
    """Return commit id, checks and writes of a commit's body.

    Raise `FormatError` if one is missing or malformed.
    """
    try:
        checks = [
            table.Check(str(key), int(version)) for key, version in body["checks"]
        ]
        writes = [table.Write(str(key), value) for key, value in body["writes"]]
        return str(body["id"]), checks, writes
    except (KeyError, TypeError, ValueError) as error:
        raise FormatError(f"commit: {error}") from error


def row_to_plain(row: table.Row | None) -> list | None:
    """Return a row as a list, None for an absent row."""
    return None if row is None else list(row)


def row_from_plain(plain: list | None) -> table.Row | None:
    """Return the row that `row_to_plain` encoded; raise `FormatError` if it is none."""
    if plain is None:
        return None
    try:
        key, value, version, commit_id = plain
        return table.Row(str(key), dict(value), int(version), str(commit_id))
    except (TypeError, ValueError) as error:
        raise FormatError(f"row: {error}") from error


def rows_to_plain(outcome: table.Rows) -> dict:
    """Return the body that answers a read or scan."""
    return {"rows": [list(row) for row in outcome.rows.values()]}


def rows_from_plain(body: dict) -> table.Rows:
    """Return the rows in the answer to a read or scan."""
    rows = {}
    for plain in _field(body, "rows", list):
        row = row_from_plain(plain)
        rows[row.key] = row
    return table.Rows(rows=rows)


def outcome_to_plain(outcome: table.Committed | table.Conflict) -> dict:
    """Return the body that answers a commit."""
    if isinstance(outcome, table.Committed):
        return {"committed": outcome.versions}
    rows = {key: row_to_plain(row) for key, row in outcome.rows.items()}
    return {"conflict": rows}


def outcome_from_plain(body: dict) -> table.Committed | table.Conflict:
    """Return the outcome in the answer to a commit."""
    if "committed" in body:
        return table.Committed(versions=dict(_field(body, "committed", dict)))
    rows = _field(body, "conflict", dict)
    return table.Conflict(rows={k: row_from_plain(row) for k, row in rows.items()})


def bytes_to_plain(content: bytes) -> str:
    """Return bytes as text for a JSON body."""
    return base64.b64encode(content).decode("ascii")


def bytes_from_plain(text: object) -> bytes:
    """Return the bytes that `bytes_to_plain` encoded."""
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError) as error:
        raise FormatError(f"bytes: {error}") from error


def host_list_to_plain(listed: hostlist.HostList) -> dict:
    """Return the body that answers a request for the host list."""
    hosts = {name: list(host) for name, host in listed.hosts.items()}
    return {"revision": listed.revision, "hosts": hosts}


def host_list_from_plain(body: dict) -> hostlist.HostList:
    """Return the host list in an answer."""
    hosts = {}
    for name, plain in _field(body, "hosts", dict).items():
        try:
            address, leaving = plain
        except (TypeError, ValueError) as error:
            raise FormatError(f"host {name}: {error}") from error
        hosts[name] = hostlist.ListedHost(str(address), bool(leaving))
    return hostlist.HostList(revision=_field(body, "revision", int), hosts=hosts)


def _field(body: dict, name: str, kind: type) -> object:
    """Return a field of `body`; raise `FormatError` if it is not of type `kind`."""
    value = body.get(name)
    if not isinstance(value, kind):
        raise FormatError(f"{name}: missing or not a {kind.__name__}")
    return value
