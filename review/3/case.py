"""Requests of a tenant are denied as its tokens on a lost machine never come back."""

import asyncio
import os
import pathlib
import signal
import sys
import time

import site_process as sites

FOLDER = pathlib.Path(__file__).resolve().parent
PREPAID = 3_000_000  # tokens
INPUT = 1460  # tokens of a request
EVENTS = 20  # of a whole stream
TOKENS_PER_EVENT = 4
MOST = INPUT + EVENTS * TOKENS_PER_EVENT  # tokens that a request may consume
CLIENTS = 6
INTERVAL = 0.1  # seconds between the requests of a client
KILL_AFTER = 12.0  # seconds
PLAY_TIME = 60.0  # seconds
OWED_SHARE = 0.97  # of the prepaid total, into which a request that is owed fits


class Play:
    """What the clients saw."""

    def __init__(self) -> None:
        self.consumed = 0  # tokens of requests that have ended, at their most
        self.running = 0
        self.statuses: dict[int | None, int] = {}
        self.denied = 0  # answered 402 though it fitted
        self.sent = 0

    def fits(self) -> bool:
        """Return whether a request fits into what is left, all others at their most."""
        most = self.consumed + (self.running + 1) * MOST
        return most <= OWED_SHARE * PREPAID


async def work(server: sites.Server, request: sites.Request) -> None:
    """Run a stream."""
    await server.begin_stream(request)
    for number in range(1, EVENTS + 1):
        await server.send_piece(request, f"id: {number}\ndata: text\n\n".encode())
    await server.end_stream(request)


def make(record: sites.Record) -> sites.Site:
    """Return the deployment."""
    engines = [
        sites.Server(id=f"i-engine-{n}", service="llm", work=work) for n in (1, 2, 3)
    ]
    summary = sites.route("summary", "/summary/", "streaming", "llm")
    config = sites.config([summary], prepaid=PREPAID)
    return sites.Site(record=record, config=config, servers=engines)


async def play(site: sites.Site, with_trouble: bool) -> bool:
    """Lose a machine; return whether few requests that fitted were denied."""
    seen = Play()
    began = time.monotonic()
    lost: set[str] = set()

    async def ask(channel: sites.Channel, attempt: str) -> None:
        headers = {
            "X-Dogwoodchute-Model": "m",
            "X-Dogwoodchute-Token-Count": f"{INPUT},{EVENTS * TOKENS_PER_EVENT}",
            "X-Dogwoodchute-Prompt-Prefix": f"5c1e07a2:1200,{seen.sent:08x}:260",
        }
        seen.sent += 1
        fitted = seen.fits()
        seen.running += 1
        answer = await channel.ask(
            "/summary/x", attempt=attempt, deadline_ms=6000, headers=headers
        )
        seen.running -= 1
        seen.statuses[answer.status] = seen.statuses.get(answer.status, 0) + 1
        if answer.status == 200 or answer.status is None:
            # One that was cut counts at its most.
            seen.consumed += MOST
        if answer.status != 402:
            return
        await asyncio.sleep(0.2)
        if not fitted:
            return
        seen.denied += 1
        if seen.denied <= 10:
            body = answer.body.decode()
            site.record.write(f"{attempt}: 402 at {seen.consumed} consumed: {body}")

    async def client(number: int) -> None:
        home = number % len(site.hosts)
        channel = sites.Channel(site.hosts[home])
        count = 0
        while time.monotonic() < began + PLAY_TIME:
            if site.hosts[home].name in lost:
                channel.close()
                home = (home + 1) % len(site.hosts)
                channel = sites.Channel(site.hosts[home])
            count += 1
            await ask(channel, f"c{number}-{count}")
            await asyncio.sleep(INTERVAL)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(KILL_AFTER)
    if with_trouble:
        gone = site.hosts[0]
        gone.signal(signal.SIGKILL)
        lost.add(gone.name)
        site.record.write(f"{gone.name} is lost for good at {seen.consumed} consumed")
    await asyncio.gather(*clients)
    site.record.write(f"{seen.sent} requests; answers by status: {seen.statuses}")
    share = seen.consumed / PREPAID
    site.record.write(
        f"consumed: {seen.consumed} of {PREPAID} prepaid ({share:.3f}); "
        f"{seen.denied} requests that fitted were answered 402"
    )
    return seen.denied <= 5 + seen.sent / 500


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
