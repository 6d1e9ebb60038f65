"""Looks up whether request keys were billed before, with many keys in one read."""

import asyncio

from dogwoodchute import state
from dogwoodchute.coordination import pacing, rows
from dogwoodchute.platform import table

FLEET_READS = 400.0  # reads a second of all hosts together
SHORTEST_INTERVAL = 0.01  # seconds
MAX_GROUP = 200  # keys in one read


class BillLookups:
    """Collects keys until the next read.

    A key is read at once if the interval since the last read is over. The reads of all
    hosts together stay within `FLEET_READS`, whatever the number of requests and hosts.
    """

    def __init__(self, *, host: state.HostState) -> None:
        self._host = host
        self._waiting: dict[str, asyncio.Future] = {}
        self._task: asyncio.Task | None = None

    async def find_bill(self, account: str, request_key: str) -> table.Row | None:
        """Return the bill of a request key; None if there is none or no answer."""
        key = rows.bill(account, request_key)
        found = self._waiting.get(key)
        if found is None:
            found = asyncio.get_running_loop().create_future()
            self._waiting[key] = found
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._read_groups())
        timeout = self._host.config.budget.lookup_wait
        await asyncio.wait({found}, timeout=timeout)
        return found.result() if found.done() else None

    async def _read_groups(self) -> None:
        while self._waiting:
            keys = list(self._waiting)[:MAX_GROUP]
            group = {key: self._waiting.pop(key) for key in keys}
            outcome = await self._host.store.read(keys)
            found = outcome.rows if isinstance(outcome, table.Rows) else {}
            for key, future in group.items():
                future.set_result(found.get(key))
            await asyncio.sleep(
                pacing.shared_interval(
                    1 + len(self._host.peers.known()),
                    fleet_rate=FLEET_READS,
                    shortest=SHORTEST_INTERVAL,
                )
            )
