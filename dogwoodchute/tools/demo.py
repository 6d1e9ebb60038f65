"""Runs a whole host on an embedded platform and shows the main promises."""

import argparse
import asyncio
import json
import sys

import aiohttp
import uvloop

from dogwoodchute import catalog, daemon, log, peers, settings, state
from dogwoodchute.standins import engine, hostlist, objects, service, site, table

CLIENT_KEY = "demo-client-key"
OPERATOR_KEY = "demo-operator-key"
BUDGET = 2_000  # tokens

SETTINGS = f"""
[host]
id = demo-1
region = dar
data_centre = dar-a
address = 127.0.0.1
caller_port = {{caller_port}}
operator_port = {{operator_port}}
[platform]
mode = embedded
[keys]
operator_sha256 = {catalog.hash_key(OPERATOR_KEY)}
fleet_key = demo-fleet-secret-not-for-use
[log]
level = warning
"""

NOTE = """
[note]
base = 0
[added service assistant-llm]
kind = chat
max_output = 512
[added service order-api]
kind = plain
price = 10
[added endpoint llm-1]
service = assistant-llm
address = {engine}
region = dar
data_centre = dar-a
[added endpoint orders-1]
service = order-api
address = {orders}
region = dar
data_centre = dar-a
[added account growers]
keys = {key}
services = assistant-llm order-api
budget = {budget}
"""


class Demo:
    """The daemon and the stand-ins around it, all in this process."""

    def __init__(self, *, caller_port: int = 0, operator_port: int = 0) -> None:
        text = SETTINGS.format(caller_port=caller_port, operator_port=operator_port)
        self.engine = engine.Engine()
        self.orders = service.Service()
        self._listeners = [
            site.Site(app=self.engine.app()),
            site.Site(app=self.orders.app()),
        ]
        self.table = table.MemoryTable()
        self.daemon = daemon.Daemon(
            host=state.HostState(
                config=settings.parse(text, source="demo"),
                store=self.table.client(),
                objects_store=objects.MemoryObjects().client(),
                hosts=hostlist.MemoryHostList().client(),
                peer_layer=peers.without_peers(),
            )
        )

    async def start(self) -> None:
        """Start everything and put the demo's release note in force."""
        for listener in self._listeners:
            await listener.start()
        await self.daemon.start()
        note = NOTE.format(
            engine=self._listeners[0].address,
            orders=self._listeners[1].address,
            key=catalog.hash_key(CLIENT_KEY),
            budget=BUDGET,
        )
        url = f"http://127.0.0.1:{self.daemon.operators.port}/ops/v1/releases"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            response = await session.post(url, data=note)
            if response.status != 200:
                raise RuntimeError(await response.text())

    async def stop(self) -> None:
        """Stop everything."""
        await self.daemon.stop()
        for listener in self._listeners:
            await listener.stop()


async def run_demo() -> bool:
    """Send the demo's requests; return whether all results are as expected."""
    demo = Demo()
    await demo.start()
    base_url = f"http://127.0.0.1:{demo.daemon.callers.port}"
    headers = {"Authorization": f"Bearer {CLIENT_KEY}"}
    checks = []
    async with aiohttp.ClientSession(base_url=base_url, headers=headers) as session:
        checks.append(await _show_chat(session))
        checks.append(await _show_order(session, demo))
        checks.append(await _show_refusal(session, demo))
    checks.append(_show_bills(demo))
    await demo.stop()
    return all(checks)


async def _show_chat(session: aiohttp.ClientSession) -> bool:
    body = {
        "model": "assistant-llm",
        "stream": True,
        "max_tokens": 12,
        "messages": [{"role": "user", "content": "Summarise the agronomist's notes"}],
    }
    async with session.post("/v1/chat/completions", json=body) as response:
        text = await response.text()
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    is_complete = events[-1:] == ["[DONE]"] and len(events) == 13
    print(f"chat: status={response.status} events={len(events)} whole={is_complete}")
    return response.status == 200 and is_complete


async def _show_order(session: aiohttp.ClientSession, demo: Demo) -> bool:
    headers = {"Idempotency-Key": "order-4711"}
    path = "/services/order-api/orders"
    answers = []
    for label in ("order", "repeat"):
        async with session.post(path, json={"nets": 3}, headers=headers) as response:
            answers.append((response.status, await response.text()))
        runs = len(demo.orders.calls)
        print(f"{label}: status={response.status} answer={answers[-1][1]} ran={runs}")
    return len(demo.orders.calls) == 1 and answers[0] == answers[1]


async def _show_refusal(session: aiohttp.ClientSession, demo: Demo) -> bool:
    runs_before = len(demo.engine.runs)
    content = "plan " * BUDGET
    body = {
        "model": "assistant-llm",
        "messages": [{"role": "user", "content": content}],
    }
    async with session.post("/v1/chat/completions", json=body) as response:
        error = json.loads(await response.text())["error"]
    print(
        f"beyond the budget: status={response.status} outcome={error['outcome']} "
        f"code={error['code']} message={error['message']!r}"
    )
    is_refused = response.status == 402 and error["outcome"] == "not_run"
    return is_refused and len(demo.engine.runs) == runs_before


def _show_bills(demo: Demo) -> bool:
    bills = [bill for key, bill in demo.table.rows.items() if key.startswith("bill/")]
    tokens = [row.value["tokens"] for row in bills]
    budget = demo.table.rows["budget/growers"].value
    print(f"billed: requests={len(bills)} tokens={sum(tokens)} budget={budget}")
    return len(bills) == 2 and sum(tokens) <= budget["drawn"] <= budget["paid"]


async def serve() -> None:
    """Print example commands and run until interrupted."""
    demo = Demo(caller_port=8080, operator_port=8081)
    await demo.start()
    print(
        "Serving. Try:\n"
        "  curl -N http://127.0.0.1:8080/v1/chat/completions \\\n"
        f"    -H 'Authorization: Bearer {CLIENT_KEY}' \\\n"
        '    -d \'{"model": "assistant-llm", "stream": true, "max_tokens": 8, '
        '"messages": [{"role": "user", "content": "hello"}]}\'\n'
        f"  DOGWOODCTL_KEY={OPERATOR_KEY} dogwoodctl account show growers\n"
        "Stop with Ctrl-C."
    )
    try:
        await asyncio.Event().wait()
    finally:
        await demo.stop()


def main() -> int:
    """Run the demo; return 0 only if all results are as expected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="keep running")
    arguments = parser.parse_args()
    log.setup(level="warning")
    if arguments.serve:
        uvloop.run(serve())
        return 0
    passed = uvloop.run(run_demo())
    print("demo: passed" if passed else "demo: FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
