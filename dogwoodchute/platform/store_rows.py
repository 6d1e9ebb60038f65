"""The store's tables: reads, feeds and commits as calls of its protocol.

The store's versions go back when it is restored. Here they get the era in front
(`rows.ERA_SPAN`), so that they only rise.
"""

import base64
import json
import urllib.parse

from dogwoodchute.gateway import rows
from dogwoodchute.platform import names, store, transport

# Stands for a version of an earlier era, which no row has.
NO_VERSION = rows.ERA_SPAN
MAX_PAGES = 40  # of one read, in case the store never sends a last page


def open_store(client: store.Client) -> rows.Store:
    """Return the store that `client` calls, as the gateway uses it."""

    async def read(
        table: str, part: str, first: str | None, stop: str | None
    ) -> rows.ReadOutcome:
        query = {"table": table, "part": part}
        if first is not None:
            query["from"] = first
        if stop is not None:
            query["target"] = stop
        all_rows: list[rows.Row] = []
        version = 0
        for _ in range(MAX_PAGES):
            answer = await client.call(
                "GET", _target(names.GET_PATH, query), table=table
            )
            page = _decode_page(answer, client)
            if isinstance(page, rows.Unavailable | rows.Compacted):
                return _unavailable(answer)
            plain, page_rows = page
            all_rows.extend(page_rows)
            if version and rows.era_of(version) != answer.era:
                return rows.Unavailable(reason="the store was restored", peer=None)
            version = version or _version(plain, answer.era)
            if not plain.get("hasMore") or not page_rows:
                return rows.Rows(rows=all_rows, version=version, now=_now(plain))
            query["from"] = page_rows[-1].key + "\0"
        return rows.Unavailable(reason="the read has no end", peer=None)

    async def feed(table: str, since: int, wait: float) -> rows.FeedOutcome:
        query = {
            "table": table,
            "sinceRev": str(rows.number_of(since)),
            "waitMs": str(int(wait * 1000)),
        }
        answer = await client.call(
            "GET", _target(names.FEED_PATH, query), wait=wait, table=table
        )
        page = _decode_page(answer, client)
        if isinstance(page, rows.Unavailable | rows.Compacted):
            return page
        if answer.era != rows.era_of(since):
            return rows.Compacted()
        plain, changed_rows = page
        version = _version(plain, answer.era) if "ver" in plain else since
        return rows.Rows(rows=changed_rows, version=version, now=_now(plain))

    async def commit(
        part: str, checks: list[rows.Check], puts: list[rows.Put]
    ) -> rows.CommitOutcome:
        body = json.dumps(_transaction(part, checks, puts, client.era)).encode()
        answer = await client.call("POST", names.TX_PATH, body, part=part)
        if isinstance(answer, transport.NotSent):
            return rows.Unavailable(reason=answer.reason, peer=answer.peer)
        if isinstance(answer, transport.NoAnswer):
            return rows.Unknown(reason=answer.reason, peer=answer.peer)
        if transport.is_refusal(answer):
            return rows.Unavailable(
                reason=f"status {answer.status}",
                overloaded=transport.is_too_many_requests(answer),
            )
        if answer.status not in (200, 412):
            text = answer.content[:200].decode(errors="replace")
            return rows.Unknown(reason=f"status {answer.status}: {text}")
        try:
            plain = json.loads(answer.content)
            client.update_clock(_now(plain))
            if answer.status == 200:
                return rows.Committed(version=_version(plain, answer.era))
            found = [_row(each, answer.era) for each in plain.get("rows", ())]
            return rows.Conflict(rows=found)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return rows.Unknown(reason=f"bad answer: {error!r}")

    return rows.Store(
        read=read,
        feed=feed,
        commit=commit,
        now=client.store_now,
        era=lambda: client.era,
        receiving=client.receiving,
    )


def _now(plain: dict) -> float:
    """Return the store's clock in seconds, as stated in an answer's body."""
    return float(plain.get("nowMs", 0)) / 1000


def _checked_version(version: int, era: int) -> int:
    """Return the store's own number of a version that a row must have."""
    if version and rows.era_of(version) != era:
        return NO_VERSION
    return rows.number_of(version)


def _target(path: str, query: dict[str, str]) -> str:
    return f"{path}?{urllib.parse.urlencode(query)}"


def _unavailable(answer: transport.CallOutcome) -> rows.Unavailable:
    return rows.Unavailable(
        reason=transport.failure_reason(answer), peer=getattr(answer, "peer", None)
    )


def _decode_page(
    answer: transport.CallOutcome, client: store.Client
) -> tuple[dict, list[rows.Row]] | rows.Unavailable | rows.Compacted:
    """Return the body of an answer and the rows in it."""
    if not isinstance(answer, transport.Answer):
        return _unavailable(answer)
    if answer.status == 410:
        return rows.Compacted()
    if answer.status != 200:
        return _unavailable(answer)
    try:
        plain = json.loads(answer.content)
        client.update_clock(_now(plain))
        return plain, [_row(each, answer.era) for each in plain["rows"]]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return rows.Unavailable(reason=f"bad answer: {error!r}")


def _version(plain: dict, era: int) -> int:
    """Return the version in an answer's body or row."""
    return rows.version_of(era, int(plain.get("ver", 0)))


def _row(plain: dict, era: int) -> rows.Row:
    value = None
    if not plain.get("removed"):
        value = base64.b64decode(plain.get("value") or "")
    return rows.Row(
        key=str(plain["key"]),
        value=value,
        version=_version(plain, era),
        table=str(plain.get("table", "")),
        part=str(plain.get("part", "")),
    )


def _transaction(
    part: str, checks: list[rows.Check], puts: list[rows.Put], era: int
) -> dict:
    """Return the body of a commit that is sent in an era of the store."""
    written = []
    removed = []
    for put in puts:
        entry = {"table": put.table, "part": part, "key": put.key}
        if put.value is None:
            removed.append(entry)
            continue
        written.append({**entry, "value": base64.b64encode(put.value).decode()})
    conditions = [
        {
            "table": check.table,
            "part": part,
            "key": check.key,
            "ver": _checked_version(check.version, era),
        }
        for check in checks
    ]
    return {"expectedRev": conditions, "puts": written, "remove": removed}
