"""Passes copies of the store's tables on between hosts, over the hosts' own protocol.

An answer tells how old the teller's knowledge is, so that nobody takes it for newer.
"""

import typing
import zlib
from collections import abc

import aiohttp
import msgpack
import sanic

from dogwoodchute import clock, log
from dogwoodchute.gateway import mirror, rows, table_copy

PATH = "/tables"
FORMAT = "application/msgpack"
CONNECT_TIMEOUT = 0.3  # seconds
ANSWER_TIMEOUT = 0.5  # seconds beyond the time for which a call may be held
LONGEST_ANSWER = 10.0  # seconds for an answer whose bytes keep coming
MAX_TABLE = 32 * 1024 * 1024  # bytes of a table when unpacked


class Answer(typing.NamedTuple):
    """What another host told of a table; times are in seconds before now."""

    changes: table_copy.Changes
    age: float  # of its knowledge
    regained: float  # since the store answered it again after a failure
    receiving: bool  # whether news are coming in there just now


class NoAnswer(typing.NamedTuple):
    """The host did not answer, leaves, or does not know the table."""

    reason: str


# Asks the host at a control address what changed in a table after a version, waiting
# up to some seconds for a change.
Ask = abc.Callable[[str, str, int | None, float], abc.Awaitable[Answer | NoAnswer]]
# What this host tells of a table, None if it tells nothing.
Tell = abc.Callable[[str, int | None, float], abc.Awaitable[mirror.Told | None]]


class Asker:
    """The connections of this host to those whose tables it follows."""

    def __init__(self, *, now: abc.Callable[[], float] = clock.monotonic) -> None:
        self._now = now
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def ask(
        self, address: str, table: str, since: int | None, hold: float
    ) -> Answer | NoAnswer:
        """Return what the host at `address` knows to have changed after `since`."""
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
        began = self._now()
        try:
            async with self._session.post(
                f"http://{address}{PATH}",
                data=msgpack.packb([table, since, hold]),
                headers={"Content-Type": FORMAT},
                timeout=aiohttp.ClientTimeout(
                    total=LONGEST_ANSWER,
                    sock_connect=CONNECT_TIMEOUT,
                    sock_read=hold + ANSWER_TIMEOUT,
                ),
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return NoAnswer(str(error) or type(error).__name__)
        if response.status != 200:
            return NoAnswer(f"status {response.status}")
        try:
            age, regained, held, receiving, packed = msgpack.unpackb(content)
            underway = max(0.0, self._now() - began - held)
            return Answer(
                _unpack(packed), age + underway, regained + underway, bool(receiving)
            )
        except (ValueError, TypeError, zlib.error) as error:
            return NoAnswer(f"bad answer: {error!r}")


def add_routes(
    app: sanic.Sanic, *, tell: Tell, now: abc.Callable[[], float] = clock.monotonic
) -> None:
    """Answer other hosts that follow this one's tables."""
    packer = Packer()

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        began = now()
        try:
            table, since, hold = msgpack.unpackb(request.body)
            hold = float(hold)
        except (ValueError, TypeError) as error:
            log.warning("table_call_unreadable", peer=request.ip, reason=repr(error))
            return sanic.empty(status=400)
        told = await tell(table, since, hold)
        if told is None:
            return sanic.empty(status=503)
        at = now()
        times = [at - told.read_at, at - told.regained_at, at - began]
        packed = packer.pack(table, since, told.changes)
        body = msgpack.packb([*times, told.receiving, packed])
        return sanic.raw(body, content_type=FORMAT)

    app.add_route(handle, PATH, methods=["POST"], name="tables")


class Packer:
    """Changes as they are sent, made once for all hosts that lack the same ones."""

    def __init__(self) -> None:
        self._made: dict[str, tuple[int, dict[int | None, bytes]]] = {}

    def pack(self, table: str, since: int | None, changes: table_copy.Changes) -> bytes:
        """Return the compressed form of what changed in `table` after `since`."""
        version, made = self._made.get(table, (None, {}))
        if version != changes.version:
            made = {}
            self._made[table] = (changes.version, made)
        if since not in made:
            made[since] = _pack(changes)
        return made[since]


def _pack(changes: table_copy.Changes) -> bytes:
    plain = [[row.key, row.value, row.version] for row in changes.rows]
    return zlib.compress(msgpack.packb([changes.version, changes.whole, plain]))


def _unpack(packed: bytes) -> table_copy.Changes:
    """Return the changes of `_pack`.

    Raises `ValueError`, `TypeError` or `zlib.error` if they are none.
    """
    stream = zlib.decompressobj()
    content = stream.decompress(packed, MAX_TABLE)
    if not stream.eof:
        raise ValueError("not whole, or too large")
    version, whole, plain = msgpack.unpackb(content)
    found = [rows.Row(str(key), value, int(number)) for key, value, number in plain]
    if not all(row.value is None or type(row.value) is bytes for row in found):
        raise TypeError("values must be bytes")
    return table_copy.Changes(found, int(version), bool(whole))
