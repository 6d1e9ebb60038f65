"""A stream is cut in a planned stop since its server was silent for a moment."""

import asyncio
import os
import pathlib
import signal
import sys

import site_process as sites

FOLDER = pathlib.Path(__file__).resolve().parent

EVENTS = 60
EVENT_PAUSE = 0.02  # seconds between events
PREEMPTED_AFTER = 30  # events
PREEMPTED_FOR = 1.6  # seconds; clients bear 3.2 s, four times the objective
STREAMS = 3
DEADLINE_MS = 10000
STOP_AFTER = 0.3  # seconds from the requests to SIGTERM
TOKENS = "1460,240"


class Engines:
    """Two model servers. The one that got no stream is full from then on."""

    def __init__(self) -> None:
        self.with_preemption = False
        self.record: sites.Record | None = None
        self.ran = False  # whether a stream was taken
        self._busy: sites.Server | None = None

    async def work(self, server: sites.Server, request: sites.Request) -> None:
        """Run a stream, or refuse it as the server is full."""
        if self._busy is None:
            self._busy = server
        if self._busy is not server:
            self.record.write(f"{request.attempt} reaches {server.id}, which is full")
            await server.answer(request, 503, b"full", not_run=True)
            return
        self.ran = True
        self.record.write(f"{request.attempt} runs at {server.id}")
        await server.begin_stream(request)
        for number in range(1, EVENTS + 1):
            if self.with_preemption and number == PREEMPTED_AFTER:
                self.record.write(f"{request.attempt} is preempted, to be read again")
                await asyncio.sleep(PREEMPTED_FOR)
            piece = f"id: {number}\ndata: text {number}\n\n".encode()
            await server.send_piece(request, piece)
            await asyncio.sleep(EVENT_PAUSE)
        await server.end_stream(request)
        self.record.write(f"{request.attempt} ends whole at {server.id}")


ENGINES = Engines()


def make(record: sites.Record) -> sites.Site:
    """Return the deployment."""
    ENGINES.record = record
    engines = [
        sites.Server(id=f"i-engine-{n}", service="llm", work=ENGINES.work)
        for n in (1, 2)
    ]
    quote = sites.route(
        "quote", "/quote/", "streaming", "llm", resumable=True, maxAttempts=2
    )
    return sites.Site(record=record, config=sites.config([quote]), servers=engines)


async def play(site: sites.Site, with_trouble: bool) -> bool:
    """Stop a host while streams run; return whether all ended complete."""
    ENGINES.with_preemption = with_trouble
    host = site.hosts[0]
    await asyncio.sleep(3.5)  # in touch: contactMs without an impairment

    async def ask(number: int) -> bool:
        attempt = f"quote-{number}"
        headers = {
            "X-Dogwoodchute-Model": "m",
            "X-Dogwoodchute-Token-Count": TOKENS,
            "X-Dogwoodchute-Prompt-Prefix": f"5c1e07a2:1200,{number:08x}:260",
        }
        channel = sites.Channel(host)
        answer = await channel.ask(
            "/quote/x", attempt=attempt, deadline_ms=DEADLINE_MS, headers=headers
        )
        site.record.write(
            f"client of {attempt}: status {answer.status}, {len(answer.ids)} of "
            f"{EVENTS} events, complete {answer.complete}, {answer.seconds:.2f} s"
        )
        channel.close()
        if answer.status != 200:
            # A refusal is a complete answer.
            return answer.complete
        return answer.complete and answer.ids == list(range(1, EVENTS + 1))

    asked = [asyncio.create_task(ask(number)) for number in range(STREAMS)]
    await asyncio.sleep(STOP_AFTER)
    site.record.write(f"SIGTERM to {host.name}")
    host.signal(signal.SIGTERM)
    kept = all(await asyncio.gather(*asked))
    if not ENGINES.ran:
        raise RuntimeError("no stream has run")
    return kept


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
