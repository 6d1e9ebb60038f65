"""Release notes and burn summaries: bytes, processor time, memory and delay."""

import asyncio
import json
import statistics
import time
import tracemalloc
from unittest import mock

import msgpack

from bench import figures
from dogwoodchute import catalog, exchange as exchanges, outcomes
from dogwoodchute.controllers import (
    burn,
    release_peers,
    release_store,
    release_submit,
    releases,
)
from dogwoodchute.coordination import notes, releases as decisions
from dogwoodchute.filters import observe
from dogwoodchute.tests import release_support

ACCOUNTS = (1_000, 4_000, 16_000, 32_000)
CHANGES_PER_DAY = 11_000
CHANGES = 20  # measured for each number of accounts
FLEET_SIZES = (9, 40, 100)  # hosts
TRIALS = 10
REQUESTS = 300
TOKENS = 245  # of one answer
DAY = 86_400.0  # seconds


def run() -> None:
    """Print all figures of this area."""
    measure_changes()
    measure_memory()
    measure_in_force()
    measure_burn()


def state_of(accounts: int) -> catalog.Catalog:
    """Return a catalog of 22 services, 2,600 endpoints and that many accounts."""
    services = {f"s{n}": catalog.Service(f"s{n}", catalog.CHAT) for n in range(22)}
    endpoints = {}
    for n in range(2_600):
        place = (f"10.{n // 250}.0.{n % 250}:8000", f"r{n % 5}", f"d{n % 19}")
        endpoints[f"e{n}"] = catalog.Endpoint(f"e{n}", f"s{n % 22}", *place)
    by_name = {}
    for n in range(accounts):
        keys = (catalog.hash_key(f"key {n}"),)
        allowed = (f"s{n % 22}", f"s{(n + 1) % 22}")
        by_name[f"account-{n}"] = catalog.ClientAccount(f"account-{n}", keys, allowed)
    return catalog.indexed(catalog.Catalog(1, by_name, services, endpoints, "start"))


def timed(work: object) -> tuple[float, object]:
    """Return the processor seconds that `work` took, and its result."""
    started_at = time.process_time()
    result = work()
    return time.process_time() - started_at, result


def one_change(current: catalog.Catalog, number: int) -> decisions.Delta:
    """Return the delta of a note that changes one account."""
    section = release_support.account("changed", f"account-{number}", weight=2 + number)
    note = notes.parse(release_support.note(current.revision, section))
    view = release_submit.note_view(current)
    return decisions.build(view, note, current.revision + 1)


def adopt(current: catalog.Catalog, delta: decisions.Delta) -> catalog.Catalog:
    """Return the catalog after a delta, as a host that fetched it computes it."""
    digest = decisions.chain_digest(current.digest, delta)
    return release_store.apply(current, [delta], digest)


def measure_changes() -> None:
    """Print the cost of a delta for each change, and of the full catalog for each."""
    points: dict[str, list] = {}
    for accounts in ACCOUNTS:
        current = state_of(accounts)
        build_seconds, _ = timed(
            lambda c=current: [one_change(c, n) for n in range(CHANGES)]
        )
        delta = one_change(current, 1)
        adopt_seconds, newer = timed(
            lambda c=current, d=delta: [adopt(c, d) for _ in range(CHANGES)][-1]
        )
        packed_delta = msgpack.packb(decisions.to_plain(delta))
        write_seconds, full = timed(lambda n=newer: msgpack.packb(catalog.to_plain(n)))
        read_seconds, _ = timed(lambda f=full: catalog.from_plain(msgpack.unpackb(f)))
        encode_seconds, snapshot = timed(
            lambda n=newer: asyncio.run(release_store.encode(n))
        )
        sha256 = release_store.hashlib.sha256(snapshot).hexdigest()
        decode_seconds, _ = timed(lambda p=snapshot, s=sha256: asyncio.run(load(p, s)))
        values = {
            "delta_build_seconds": build_seconds / CHANGES,
            "delta_adopt_seconds": adopt_seconds / CHANGES,
            "full_write_seconds": write_seconds,
            "full_adopt_seconds": read_seconds,
            "delta_bytes": float(len(packed_delta)),
            "full_bytes": float(len(full)),
            "snapshot_bytes": float(len(snapshot)),
            "snapshot_encode_seconds": encode_seconds,
            "snapshot_decode_seconds": decode_seconds,
        }
        for name, value in values.items():
            points.setdefault(name, []).append((float(accounts), value))
    rate = CHANGES_PER_DAY / DAY
    for name, measured in points.items():
        figures.show_slope(f"release_{name}", measured, unit="a_account")
    for kind in ("delta", "full"):
        core_share = points[f"{kind}_adopt_seconds"][-1][1] * rate
        size = points[f"{kind}_bytes"][-1][1] * rate
        figures.show(
            f"release_{kind}_at_32000_accounts_11000_changes_a_day",
            core_share=core_share,
            bytes_per_second=size,
        )


async def load(content: bytes, sha256: str) -> catalog.Catalog:
    """Decode a snapshot."""
    return await release_store.decode(content, sha256)


def measure_memory() -> None:
    """Print the memory of the catalog in force, and while a newer one is adopted."""
    sizes = []
    peaks = []
    for accounts in ACCOUNTS:
        tracemalloc.start()
        current = state_of(accounts)
        sizes.append((float(accounts), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.reset_peak()
        newer = adopt(current, one_change(current, 1))
        peaks.append((float(accounts), float(tracemalloc.get_traced_memory()[1])))
        tracemalloc.stop()
        del newer
    figures.show_slope("release_memory_bytes", sizes, unit="a_account")
    figures.show_slope("release_memory_bytes_while_adopting", peaks, unit="a_account")


def measure_in_force() -> None:
    """Print the virtual seconds from a note's acceptance until all hosts have it."""
    for hosts in FLEET_SIZES:
        for way in ("hints", "polls_only", "store_away"):
            seconds = [asyncio.run(in_force(hosts, way, n)) for n in range(TRIALS)]
            figures.show(
                "release_in_force",
                hosts=hosts,
                way=way,
                median_seconds=statistics.median(seconds),
                worst_seconds=max(seconds),
            )


async def in_force(hosts: int, way: str, seed: int) -> float:
    """Return the seconds until a note is in force on all hosts.

    `way` is `hints` with all mechanisms, `polls_only` without the hints of peers, and
    `store_away` if only the accepting host reaches the store.
    """
    fleet = release_support.Fleet(seed=seed)
    names = [f"h{n}" for n in range(hosts)]
    for name in names:
        fleet.start(name)
    await fleet.wait(fleet.rng.uniform(4.0, 8.0))
    if way == "store_away":
        fleet.no_store.update(names[1:])
        await fleet.wait(1.0)
    text = release_support.note(0, release_support.account("added", "growers"))
    verdict = await fleet.releases[names[0]].submit(text)
    accepted_at = fleet.time
    no_hints = mock.patch.object(
        release_peers.ReleaseExchange, "newest_peer", lambda exchange: None
    )
    if way == "polls_only":
        no_hints.start()
    while any(h.current.revision < verdict.revision for h in fleet.hosts.values()):
        await fleet.wait(releases.TICK_INTERVAL)
    if way == "polls_only":
        no_hints.stop()
    return fleet.time - accepted_at


def measure_burn() -> None:
    """Print the cost of recording for a request and a chunk, and of a summary."""
    recorder = burn.Recorder()
    baseline = asyncio.run(answer_all(None))
    recorded = asyncio.run(answer_all(recorder))
    figures.show(
        "burn_cost",
        request_seconds=(recorded - baseline) / REQUESTS,
        chunk_seconds=(recorded - baseline) / REQUESTS / TOKENS,
        baseline_request_seconds=baseline / REQUESTS,
    )
    recorder = burn.Recorder()
    for endpoint in range(200):
        place = burn.Place(f"r{endpoint % 5}/d{endpoint % 19}", f"e{endpoint}")
        for service in range(22):
            recorder.count(f"s{service}", place, "availability", 1, 0)
            recorder.record_time(f"s{service}", "first_token", 0.2)
    seconds, content = timed(lambda: msgpack.packb(recorder.summary()))
    figures.show(
        "burn_summary",
        endpoints=200,
        services=22,
        bytes=len(content),
        json_bytes=len(json.dumps(recorder.summary(), default=str)),
        seconds=seconds,
        bytes_per_second=len(content) / burn.MINUTE,
    )


async def answer_all(recorder: burn.Recorder | None) -> float:
    """Return the processor seconds of `REQUESTS` answers of `TOKENS` chunks each."""
    service = catalog.Service(
        "s",
        catalog.CHAT,
        first_token_share=0.95,
        first_token_seconds=1.2,
        between_tokens_share=0.95,
        between_tokens_seconds=0.026,
    )
    endpoint = catalog.Endpoint("e", "s", "10.0.0.1:1", "r", "d")
    answered = outcomes.Answered(status=200, tokens=TOKENS, endpoint="e")

    async def nothing(*arguments: object) -> None:
        return None

    async def dispatch(
        exchange: exchanges.Exchange, proceed: exchanges.Proceed
    ) -> outcomes.Outcome:
        exchange.service = service
        exchange.endpoint = endpoint
        exchange.first_token = 0.1
        for _ in range(TOKENS):
            await exchange.reply.chunk(b"")
        return answered

    filters = [dispatch]
    if recorder is not None:
        filters.insert(0, observe.make(recorder=recorder))
    chain = exchanges.chain(filters)
    started_at = time.process_time()
    for number in range(REQUESTS):
        exchange = exchanges.Exchange(
            request=None,
            reply=exchanges.Reply(start=nothing, chunk=nothing),
            received=0.0,
            request_key=str(number),
        )
        await chain(exchange)
    return time.process_time() - started_at
