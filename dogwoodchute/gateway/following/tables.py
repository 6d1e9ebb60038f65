"""Exchanges copies of the store's tables between hosts.

An answer carries the age of the answering host's copy, so that the asking host does not
take it for newer than it is.
"""

import math
import typing
import zlib
from collections import abc

import aiohttp
import msgpack
import sanic

from dogwoodchute import clock, log, pooled_connection
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import mirror, table_copy

PATH = "/tables"
FORMAT = "application/msgpack"
CONNECT_TIMEOUT = 0.3  # seconds
ANSWER_TIMEOUT = 0.5  # seconds without a byte, beyond the time a call may be held
TOTAL_TIMEOUT = 10.0  # seconds for an answer whose bytes keep arriving
MAX_TABLE = 32 * 1024 * 1024  # bytes of a table, uncompressed


class Answer(typing.NamedTuple):
    """Another host's answer about a table."""

    changes: table_copy.Changes
    age: float  # seconds since the host's copy was current
    seconds_current: float  # seconds for which it was fresh without a break
    # Seconds since the store was back after it was away from all hosts.
    seconds_since_return: float
    receiving: bool  # whether bytes from the store are arriving at the host now


class NoAnswer(typing.NamedTuple):
    """The host did not answer, is leaving, or does not have the table."""

    reason: str
    timed_out: bool = False


# Asks the host at a control address for the changes of a table after a version. The
# last argument is the seconds that the host may wait for a change.
Ask = abc.Callable[[str, str, int | None, float], abc.Awaitable[Answer | NoAnswer]]
# Returns this host's answer about a table, None if it has none. The arguments are the
# table, a version, and the seconds to wait for a change.
ChangesSince = abc.Callable[
    [str, int | None, float], abc.Awaitable[mirror.TableUpdate | None]
]


class Client:
    """Asks other hosts for changes of tables."""

    def __init__(self, *, now: abc.Callable[[], float] = clock.monotonic) -> None:
        self._now = now
        self._session = pooled_connection.LazySession(auto_decompress=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def ask(
        self, address: str, table: str, since: int | None, hold: float
    ) -> Answer | NoAnswer:
        """Return the changes after version `since` that the host at `address` has.

        The host may wait up to `hold` seconds for a change. If it may, and its
        connection has gone silent, it is asked again on a newer one, and does not wait.
        """
        use = pooled_connection.track_use()
        answer = await self._post(address, table, since, hold, use)
        if isinstance(answer, NoAnswer) and answer.timed_out and use.is_reused and hold:
            use = pooled_connection.track_use()
            return await self._post(address, table, since, 0.0, use)
        return answer

    async def _post(
        self,
        address: str,
        table: str,
        since: int | None,
        hold: float,
        use: pooled_connection.Use,
    ) -> Answer | NoAnswer:
        asked_at = self._now()
        try:
            async with self._session.get().post(
                f"http://{address}{PATH}",
                data=msgpack.packb([table, since, hold]),
                headers={"Content-Type": FORMAT},
                timeout=aiohttp.ClientTimeout(
                    total=TOTAL_TIMEOUT,
                    sock_connect=CONNECT_TIMEOUT,
                    sock_read=hold + ANSWER_TIMEOUT,
                ),
            ) as response:
                content = await response.read()
        except TimeoutError as error:
            reason = str(error) or type(error).__name__
            self._session.doubt(address, reason, use=use)
            return NoAnswer(reason, timed_out=True)
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(str(error) or type(error).__name__)
        if response.status != 200:
            return NoAnswer(f"status {response.status}")
        try:
            *times, held, receiving, packed = msgpack.unpackb(content)
            in_transit = max(0.0, self._now() - asked_at - _checked_seconds(held))
            age, current, since_return = map(_checked_seconds, times)
            return Answer(
                _unpack(packed),
                age + in_transit,
                current + in_transit,
                since_return + in_transit,
                bool(receiving),
            )
        except (ValueError, TypeError, OverflowError, zlib.error) as error:
            return NoAnswer(f"bad answer: {error!r}")


def add_routes(
    app: sanic.Sanic,
    *,
    changes_since: ChangesSince,
    now: abc.Callable[[], float] = clock.monotonic,
) -> None:
    """Add the route that answers hosts which follow this one's tables."""
    packer = Packer()

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        received_at = now()
        try:
            table, since, hold = msgpack.unpackb(request.body)
            hold = _checked_seconds(hold)
            if not isinstance(table, str) or not isinstance(since, int | None):
                raise TypeError("the table or the version is malformed")
        except (ValueError, TypeError) as error:
            log.warning("table_call_unreadable", peer=request.ip, reason=repr(error))
            return sanic.empty(status=400)
        update = await changes_since(table, since, hold)
        if update is None:
            return sanic.empty(status=503)
        sent_at = now()
        times = [
            sent_at - update.read_at,
            sent_at - update.current_since,
            sent_at - update.store_returned_at,
            sent_at - received_at,
        ]
        packed = packer.pack(table, since, update.changes)
        body = msgpack.packb([*times, update.receiving, packed])
        return sanic.raw(body, content_type=FORMAT)

    app.add_route(handle, PATH, methods=["POST"], name="tables")


class Packer:
    """Packs changes, once for all hosts that need the same ones."""

    def __init__(self) -> None:
        # Packed changes by table: up to a version, by the version that they start from.
        self._packed: dict[str, tuple[int, dict[int | None, bytes]]] = {}

    def pack(self, table: str, since: int | None, changes: table_copy.Changes) -> bytes:
        """Return the compressed form of what changed in `table` after `since`."""
        version, packed = self._packed.get(table, (None, {}))
        if version != changes.version:
            packed = {}
            self._packed[table] = (changes.version, packed)
        if since not in packed:
            packed[since] = _pack(changes)
        return packed[since]


def _checked_seconds(value: object) -> float:
    """Return a time in seconds; raise `TypeError` or `ValueError` if it is none."""
    if not isinstance(value, int | float):
        raise TypeError("a time is no number")
    if not 0 <= value < math.inf:
        raise ValueError(f"a time of {value} s")
    return float(value)


def _pack(changes: table_copy.Changes) -> bytes:
    fields = [[row.key, row.value, row.version] for row in changes.rows]
    return zlib.compress(msgpack.packb([changes.version, changes.is_snapshot, fields]))


def _unpack(packed: bytes) -> table_copy.Changes:
    """Return the changes that `_pack` packed.

    Raises `ValueError`, `TypeError` or `zlib.error` if they can't be decoded.
    """
    stream = zlib.decompressobj()
    content = stream.decompress(packed, MAX_TABLE)
    if not stream.eof:
        raise ValueError("the compressed changes are incomplete or too large")
    version, is_snapshot, fields = msgpack.unpackb(content)
    changed = [rows.Row(str(key), value, int(number)) for key, value, number in fields]
    if not all(row.value is None or type(row.value) is bytes for row in changed):
        raise TypeError("values must be bytes")
    return table_copy.Changes(changed, int(version), bool(is_snapshot))
