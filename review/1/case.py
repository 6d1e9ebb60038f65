"""A withdrawn key is used on, as hosts hold on to silent channels to the store."""

import asyncio
import os
import pathlib
import sys
import time

import site_process as sites

FOLDER = pathlib.Path(__file__).resolve().parent
WITHDRAWN = "key-of-bob"
CHANGE_AFTER = 0.3  # seconds from the silence to the change
CONTACT = 3.0  # seconds, `contactMs`
CONFIG_APPLY = 2.5  # seconds, `configApplyMs`
INTERVAL = 0.1  # seconds between requests to a host
CALM = 15.0  # seconds before the silence
WATCH = 20.0  # seconds after the change


class Orders:
    """Servers that record which requests ran."""

    def __init__(self) -> None:
        self.ran: set[str] = set()

    async def work(self, server: sites.Server, request: sites.Request) -> None:
        """Run an order."""
        self.ran.add(request.attempt)
        await server.answer(request, 200, b"placed")


ORDERS = Orders()


def config(version: int, *, with_bob: bool) -> dict:
    """Return the desired state."""
    order = sites.route("order", "/order/", "non_idempotent", "orders", timeoutMs=800)
    state = sites.config([order], version=version)
    if with_bob:
        bob = {"name": "bob", "apiKeys": [WITHDRAWN], "prepaid": 10**9}
        state["tenants"].append(bob)
    return state


def make(record: sites.Record) -> sites.Site:
    """Return the deployment."""
    servers = [
        sites.Server(id=f"i-order-{n}", service="orders", work=ORDERS.work, slots=6)
        for n in (1, 2, 3)
    ]
    return sites.Site(record=record, config=config(1, with_bob=True), servers=servers)


async def play(site: sites.Site, with_trouble: bool) -> bool:
    """Withdraw a key; return whether it is refused in time."""
    began = time.monotonic()
    bound = float("inf")
    broken: list[str] = []
    last_run: dict[str, float] = {}  # seconds from the acknowledgement
    acknowledged = 0.0

    async def client(host: sites.Host, key: str, name: str) -> None:
        channel = sites.Channel(host)
        count = 0
        while time.monotonic() < began + CALM + CHANGE_AFTER + WATCH:
            count += 1
            attempt = f"{name}-{host.name[-1]}-{count}"
            sent = time.monotonic()
            answer = await channel.ask(
                "/order/x",
                attempt=attempt,
                deadline_ms=800,
                headers={"X-Dogwoodchute-Credential": key},
            )
            if key == WITHDRAWN and attempt in ORDERS.ran and acknowledged:
                last_run[host.name] = sent - acknowledged
                if sent > bound:
                    broken.append(attempt)
                    site.record.write(
                        f"{attempt} sent {sent - acknowledged:.2f} s after the "
                        f"acknowledgement ran with the withdrawn key: {answer.status}"
                    )
            await asyncio.sleep(INTERVAL)

    clients = [
        asyncio.create_task(client(host, key, name))
        for host in site.hosts
        for key, name in ((WITHDRAWN, "bob"), (sites.KEY, "ann"))
    ]
    await asyncio.sleep(CALM)
    silent_at = time.monotonic()
    if with_trouble:
        count = site.store_proxy.silence()
        site.record.write(f"{count} open channels to the store go silent for good")
    await asyncio.sleep(CHANGE_AFTER)
    site.put("op", "config", config(2, with_bob=False))
    acknowledged = time.monotonic()
    bound = max(acknowledged + CONFIG_APPLY, silent_at + CONTACT)
    site.record.write(
        f"version 2, without the key, is acknowledged; from {bound - acknowledged:.2f} "
        f"s on the key must be refused"
    )
    await asyncio.gather(*clients)
    for name, seconds in sorted(last_run.items()):
        site.record.write(f"{name}: last run with the key sent after {seconds:.2f} s")
    site.record.write(f"{len(broken)} requests ran with the withdrawn key too late")
    return not broken


if __name__ == "__main__":
    sys.exit(
        sites.run(
            play,
            record=FOLDER / "record.txt",
            make=make,
            hosts=3,
            with_trouble=os.environ.get("TROUBLE", "1") != "0",
        )
    )
