"""Clients of the platform's services over HTTP.

They set the timeouts of single calls. `table_client` adds retries, a rate limit and a
circuit breaker.
"""

import dataclasses

import aiohttp

from dogwoodchute import pooled_connection
from dogwoodchute.platform import hostlist, objects, table, weights, wire


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """The call certainly had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoAnswer:
    """The call may have had its effect, or may have it later."""

    reason: str


class Connection:
    """The connections of this process to one service of the platform."""

    def __init__(self, *, address: str, timeout: float) -> None:
        self.address = address
        self._session = pooled_connection.LazySession(
            timeout=aiohttp.ClientTimeout(total=timeout, sock_connect=timeout / 2)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(self, path: str, body: dict) -> dict | NotSent | NoAnswer:
        """Send one call; return the answer's body, or how it failed."""
        use = pooled_connection.track_use()
        try:
            async with self._session.get().post(
                f"http://{self.address}{path}", data=wire.encode(body)
            ) as response:
                content = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return NotSent(reason=str(error))
        except aiohttp.ConnectionTimeoutError:
            return NotSent(reason="connecting timed out")
        except TimeoutError as error:
            reason = str(error) or type(error).__name__
            self._session.doubt(self.address, reason, use=use)
            return NoAnswer(reason=reason)
        except (aiohttp.ClientError, OSError) as error:
            return NoAnswer(reason=str(error) or type(error).__name__)
        if status == 503:
            return NotSent(reason="service answered 503")
        if status != 200:
            return NoAnswer(reason=f"service answered {status}")
        try:
            return wire.decode(content)
        except wire.FormatError as error:
            return NoAnswer(reason=f"bad answer: {error}")


def table_client(connection: Connection) -> table.Table:
    """Return a client of the table service behind `connection`."""
    peer = connection.address

    async def read_rows(path: str, body: dict) -> table.ReadOutcome:
        answer = await connection.call(path, body)
        if isinstance(answer, NotSent | NoAnswer):
            return table.Unavailable(reason=answer.reason, peer=peer)
        try:
            return wire.rows_from_plain(answer)
        except wire.FormatError as error:
            return table.Unavailable(reason=f"bad answer: {error}", peer=peer)

    async def read(keys: list[str]) -> table.ReadOutcome:
        return await read_rows(wire.TABLE_READ, {"keys": keys})

    async def scan(prefix: str) -> table.ReadOutcome:
        return await read_rows(wire.TABLE_SCAN, {"prefix": prefix})

    async def commit(
        commit_id: str, checks: list[table.Check], writes: list[table.Write]
    ) -> table.CommitOutcome:
        body = wire.commit_to_plain(commit_id, checks, writes)
        answer = await connection.call(wire.TABLE_COMMIT, body)
        if isinstance(answer, NotSent):
            return table.Unavailable(reason=answer.reason, peer=peer)
        if isinstance(answer, NoAnswer):
            return table.Unknown(reason=answer.reason, peer=peer)
        try:
            return wire.outcome_from_plain(answer)
        except wire.FormatError as error:
            return table.Unknown(reason=f"bad answer: {error}", peer=peer)

    return table.Table(read=read, scan=scan, commit=commit)


def objects_client(connection: Connection) -> objects.Objects:
    """Return a client of the object store behind `connection`."""
    peer = connection.address

    async def call(path: str, body: dict) -> dict | objects.Unavailable:
        answer = await connection.call(path, body)
        if isinstance(answer, NotSent | NoAnswer):
            return objects.Unavailable(reason=answer.reason, peer=peer)
        return answer

    async def put(name: str, content: bytes) -> objects.Stored | objects.Unavailable:
        body = {"name": name, "content": wire.bytes_to_plain(content)}
        answer = await call(wire.OBJECT_PUT, body)
        return answer if isinstance(answer, objects.Unavailable) else objects.Stored()

    async def get(
        name: str,
    ) -> objects.Found | objects.Absent | objects.Unavailable:
        answer = await call(wire.OBJECT_GET, {"name": name})
        if isinstance(answer, objects.Unavailable):
            return answer
        if answer.get("content") is None:
            return objects.Absent()
        try:
            return objects.Found(content=wire.bytes_from_plain(answer["content"]))
        except wire.FormatError as error:
            return objects.Unavailable(reason=str(error), peer=peer)

    async def list_names(prefix: str) -> list[str] | objects.Unavailable:
        answer = await call(wire.OBJECT_LIST, {"prefix": prefix})
        if isinstance(answer, objects.Unavailable):
            return answer
        names = answer.get("names")
        if not isinstance(names, list):
            return objects.Unavailable(reason="bad answer: no names", peer=peer)
        return [str(name) for name in names]

    async def delete(name: str) -> objects.Stored | objects.Unavailable:
        answer = await call(wire.OBJECT_DELETE, {"name": name})
        return answer if isinstance(answer, objects.Unavailable) else objects.Stored()

    return objects.Objects(put=put, get=get, list=list_names, delete=delete)


def hosts_client(connection: Connection) -> hostlist.Hosts:
    """Return a client of the host list behind `connection`."""
    peer = connection.address

    async def fetch() -> hostlist.HostList | hostlist.Unavailable:
        answer = await connection.call(wire.HOST_LIST, {})
        if isinstance(answer, NotSent | NoAnswer):
            return hostlist.Unavailable(reason=answer.reason, peer=peer)
        try:
            return wire.host_list_from_plain(answer)
        except wire.FormatError as error:
            return hostlist.Unavailable(reason=f"bad answer: {error}", peer=peer)

    return hostlist.Hosts(fetch=fetch)


def weights_client(connection: Connection) -> weights.Weights:
    """Return a client of the weight store behind `connection`."""

    async def permit(
        name: str,
    ) -> weights.Permitted | weights.Wait | weights.Unavailable:
        answer = await connection.call(wire.WEIGHTS_PERMIT, {"name": name})
        if isinstance(answer, NotSent | NoAnswer):
            return weights.Unavailable(reason=answer.reason, peer=connection.address)
        wait = answer.get("wait")
        if not isinstance(wait, int | float):
            return weights.Unavailable(reason="bad answer", peer=connection.address)
        return weights.Wait(seconds=wait) if wait > 0 else weights.Permitted()

    return weights.Weights(permit=permit)
