"""A load generator: bounded open-loop load on a local trial fleet."""

import asyncio
import collections
import dataclasses
import ipaddress
import json
import random
import sys
import time
import typing

import aiohttp
import cappa
import uvloop
from hdrh import histogram

from dogwoodchute import exchange, log

MAX_SECONDS = 600.0
MAX_RATE = 2_000.0  # requests a second
MAX_IN_FLIGHT = 5_000  # requests
MICROSECONDS = 1_000_000  # of one second
MAX_RECORDED_TIME = 600 * MICROSECONDS


@dataclasses.dataclass
class Dogwoodload:
    """Send chats at a fixed mean rate to hosts on loopback, and tell what came back.

    Arrivals are a Poisson process, so a slow fleet does not slow the load. The run ends
    by itself after --seconds and the last answers.

    Example: dogwoodload 127.0.0.1:8080 --key demo-client-key --model assistant-llm
    """

    hosts: typing.Annotated[
        list[str], cappa.Arg(help="IP number and port of each host")
    ]
    key: typing.Annotated[
        str, cappa.Arg(long="--key", help="A client account's bearer key")
    ]
    model: typing.Annotated[
        str, cappa.Arg(long="--model", help="The chat service's name")
    ]
    rate: typing.Annotated[
        float, cappa.Arg(long="--rate", help="Mean requests a second")
    ] = 10.0
    seconds: typing.Annotated[
        float, cappa.Arg(long="--seconds", help="Length of the run")
    ] = 10.0
    tokens: typing.Annotated[
        int, cappa.Arg(long="--tokens", help="max_tokens of each")
    ] = 32
    repeats: typing.Annotated[
        int, cappa.Arg(long="--repeats", help="Tries after a failure, same key")
    ] = 0
    leave_share: typing.Annotated[
        float, cappa.Arg(long="--leave-share", help="Share of callers that leave early")
    ] = 0.0
    leave_after: typing.Annotated[
        float, cappa.Arg(long="--leave-after", help="Seconds until these close")
    ] = 0.5
    seed: typing.Annotated[int, cappa.Arg(long="--seed", help="Seed of arrivals")] = 0
    as_json: typing.Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False


class Tally:
    """Counts of outcomes and chunks, and histograms of times in microseconds."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.first_token = histogram.HdrHistogram(1, MAX_RECORDED_TIME, 3)
        self.between_tokens = histogram.HdrHistogram(1, MAX_RECORDED_TIME, 3)
        self.chunks = 0

    def report(self, elapsed: float) -> dict:
        """Return the figures of a run that took `elapsed` seconds."""
        return {
            "seconds": round(elapsed, 3),
            "outcomes": dict(sorted(self.outcomes.items())),
            "answered_per_second": round(self.outcomes["answered"] / elapsed, 3),
            "chunks_per_second": round(self.chunks / elapsed, 3),
            "first_token_ms": percentiles(self.first_token),
            "between_tokens_ms": percentiles(self.between_tokens),
        }


def percentiles(times: histogram.HdrHistogram) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile in milliseconds."""
    values = {}
    for percent in (50, 95, 99):
        values[f"p{percent}"] = times.get_value_at_percentile(percent) / 1000
    return values


def option_faults(options: Dogwoodload) -> list[str]:
    """Return a message for each option that is not valid or out of bounds."""
    faults = []
    for host in options.hosts:
        address, _, port = host.rpartition(":")
        try:
            is_loopback = ipaddress.ip_address(address.strip("[]")).is_loopback
        except ValueError:
            is_loopback = False
        if not is_loopback or not port.isdecimal():
            faults.append(f"{host}: only IP number and port on loopback")
    if not 0 < options.seconds <= MAX_SECONDS:
        faults.append(f"--seconds {options.seconds}: above 0, at most {MAX_SECONDS}")
    if not 0 < options.rate <= MAX_RATE:
        faults.append(f"--rate {options.rate}: above 0, at most {MAX_RATE}")
    if not 0 <= options.leave_share <= 1:
        faults.append(f"--leave-share {options.leave_share}: from 0 to 1")
    if not 0 < options.leave_after <= MAX_SECONDS:
        faults.append(
            f"--leave-after {options.leave_after}: above 0, at most {MAX_SECONDS}"
        )
    return faults


async def send_with_repeats(
    session: aiohttp.ClientSession,
    options: Dogwoodload,
    tally: Tally,
    number: int,
    rng: random.Random,
) -> None:
    """Send one chat; on failure repeat it with its key as often as options allow.

    The host of each attempt is chosen at random. A share of the callers close their
    connection before the answer is complete, and don't repeat.
    """
    leaves = rng.random() < options.leave_share
    patience = options.leave_after if leaves else None
    body = {
        "model": options.model,
        "stream": True,
        "max_tokens": options.tokens,
        "messages": [{"role": "user", "content": f"load request {number}"}],
    }
    headers = {"Idempotency-Key": f"load-{options.seed}-{number}-{rng.random()}"}
    for attempt in range(options.repeats + 1):
        host = rng.choice(options.hosts)
        headers[exchange.ATTEMPT_HEADER] = str(attempt + 1)
        url = f"http://{host}/v1/chat/completions"
        try:
            async with asyncio.timeout(patience) as wait:
                outcome = await _send_once(session, url, body, headers, tally)
        except (aiohttp.ClientError, OSError, TimeoutError):
            outcome = "left" if wait.expired() else "no_answer"
        if outcome in ("answered", "left") or attempt == options.repeats:
            tally.outcomes[outcome] += 1
            return
        tally.outcomes["repeated"] += 1


async def _send_once(
    session: aiohttp.ClientSession, url: str, body: dict, headers: dict, tally: Tally
) -> str:
    """Send one request and record its times; return the label of its outcome."""
    started_at = time.monotonic()
    previous_at = None
    tail = b""
    async with session.post(url, json=body, headers=headers) as response:
        if response.status != 200:
            return _error_label(await response.read())
        async for data in response.content.iter_any():
            now = time.monotonic()
            tally.chunks += data.count(b"\n\n")
            if previous_at is None:
                _record(tally.first_token, now - started_at)
            else:
                _record(tally.between_tokens, now - previous_at)
            previous_at = now
            tail = (tail + data)[-4096:]
    if tail.endswith(b"data: [DONE]\n\n"):
        return "answered"
    _, _, error = tail.rpartition(b"event: error\ndata: ")
    return _error_label(error)


def _record(times: histogram.HdrHistogram, seconds: float) -> None:
    times.record_value(max(1, min(MAX_RECORDED_TIME, int(seconds * MICROSECONDS))))


def _error_label(content: bytes) -> str:
    try:
        error = json.loads(content)["error"]
        return f"{error['outcome']}:{error['code']}"
    except (ValueError, KeyError, TypeError):
        return "no_answer"


async def run(options: Dogwoodload) -> dict:
    """Run the load and return the report."""
    rng = random.Random(options.seed)
    tally = Tally()
    headers = {"Authorization": f"Bearer {options.key}"}
    timeout = aiohttp.ClientTimeout(total=MAX_SECONDS)
    connector = aiohttp.TCPConnector(limit=0)
    started_at = time.monotonic()
    due = 0.0  # seconds after the start at which the next request is sent
    number = 0
    async with (
        aiohttp.ClientSession(
            headers=headers, timeout=timeout, connector=connector
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        in_flight: set[asyncio.Task] = set()
        while True:
            due += rng.expovariate(options.rate)
            if due > options.seconds:
                break
            await asyncio.sleep(max(0.0, started_at + due - time.monotonic()))
            if len(in_flight) >= MAX_IN_FLIGHT:
                tally.outcomes["not_sent"] += 1
                continue
            number += 1
            task = group.create_task(
                send_with_repeats(session, options, tally, number, rng)
            )
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)
    return tally.report(time.monotonic() - started_at)


def main(argv: list[str] | None = None) -> int:
    """Parse the command line and run; return the exit code."""
    options = cappa.parse(
        Dogwoodload, argv=argv, backend=cappa.backend, completion=False
    )
    faults = option_faults(options)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return 2
    report = uvloop.run(run(options))
    if options.as_json:
        print(json.dumps(report, indent=2))
        return 0
    for key, value in report.items():
        if isinstance(value, dict):
            print(log.render(key, value))
            continue
        print(log.render(key, {"value": value}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
