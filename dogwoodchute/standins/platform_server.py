"""Serves the in-memory platform over HTTP in the platform's wire format."""

import asyncio
from collections import abc

from aiohttp import web

from dogwoodchute.platform import hostlist, objects, table, weights, wire
from dogwoodchute.standins import (
    hostlist as standin_hostlist,
    objects as standin_objects,
    table as standin_table,
    weights as standin_weights,
)

Answer = abc.Callable[[dict], abc.Awaitable[dict | None]]  # None is sent as 503


class PlatformServer:
    """Table service, object store, host list and weight store behind one listener.

    While `answering` is clear, calls run and are not answered. `lose_answers` is how
    many of the next calls run and have their connection closed without an answer.
    """

    def __init__(
        self,
        *,
        tables: standin_table.MemoryTable | None = None,
        object_store: standin_objects.MemoryObjects | None = None,
        hosts: standin_hostlist.MemoryHostList | None = None,
        weight_store: standin_weights.MemoryWeights | None = None,
    ) -> None:
        self.table = tables or standin_table.MemoryTable()
        self.objects = object_store or standin_objects.MemoryObjects()
        self.hosts = hosts or standin_hostlist.MemoryHostList()
        self.weights = weight_store or standin_weights.MemoryWeights()
        self.answering = asyncio.Event()
        self.answering.set()
        self.lose_answers = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        for path, answer in self._routes().items():
            app.router.add_post(path, self._handler(answer))
        return app

    def _handler(self, answer: Answer) -> abc.Callable:
        async def handle(request: web.Request) -> web.Response:
            try:
                body = await answer(wire.decode(await request.read()))
            except (wire.FormatError, KeyError) as error:
                return web.json_response({"error": str(error)}, status=400)
            await self.answering.wait()
            if self.lose_answers > 0:
                self.lose_answers -= 1
                request.transport.abort()
            if body is None:
                return web.json_response({"error": "down"}, status=503)
            return web.Response(body=wire.encode(body))

        return handle

    def _routes(self) -> dict[str, Answer]:
        store = self.table.client()
        object_store = self.objects.client()
        hosts = self.hosts.client()

        async def read(body: dict) -> dict | None:
            return _encode_rows(await store.read(body["keys"]))

        async def scan(body: dict) -> dict | None:
            return _encode_rows(await store.scan(body["prefix"]))

        async def commit(body: dict) -> dict | None:
            outcome = await store.commit(*wire.commit_from_plain(body))
            if isinstance(outcome, table.Committed | table.Conflict):
                return wire.outcome_to_plain(outcome)
            return None

        async def put(body: dict) -> dict | None:
            content = wire.bytes_from_plain(body["content"])
            outcome = await object_store.put(body["name"], content)
            return {} if isinstance(outcome, objects.Stored) else None

        async def get(body: dict) -> dict | None:
            outcome = await object_store.get(body["name"])
            if isinstance(outcome, objects.Found):
                return {"content": wire.bytes_to_plain(outcome.content)}
            return {"content": None} if isinstance(outcome, objects.Absent) else None

        async def listing(body: dict) -> dict | None:
            names = await object_store.list(body["prefix"])
            return {"names": names} if isinstance(names, list) else None

        async def delete(body: dict) -> dict | None:
            outcome = await object_store.delete(body["name"])
            return {} if isinstance(outcome, objects.Stored) else None

        async def host_list(body: dict) -> dict | None:
            fetched = await hosts.fetch()
            if isinstance(fetched, hostlist.Unavailable):
                return None
            return wire.host_list_to_plain(fetched)

        async def permit(body: dict) -> dict | None:
            permitted = await self.weights.client().permit(body["name"])
            if isinstance(permitted, weights.Unavailable):
                return None
            return {"wait": getattr(permitted, "seconds", 0)}

        return {
            wire.WEIGHTS_PERMIT: permit,
            wire.TABLE_READ: read,
            wire.TABLE_SCAN: scan,
            wire.TABLE_COMMIT: commit,
            wire.OBJECT_PUT: put,
            wire.OBJECT_GET: get,
            wire.OBJECT_LIST: listing,
            wire.OBJECT_DELETE: delete,
            wire.HOST_LIST: host_list,
        }


def _encode_rows(outcome: table.ReadOutcome) -> dict | None:
    return wire.rows_to_plain(outcome) if isinstance(outcome, table.Rows) else None
