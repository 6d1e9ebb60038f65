"""Cost of grants, bills and claims for a host, by client accounts and by requests."""

import asyncio
import gc
import time
import tracemalloc

from bench import figures
from dogwoodchute import runtime, settings, state
from dogwoodchute.controllers import bills, claims, grants
from dogwoodchute.coordination import bills as bill_rows, rows
from dogwoodchute.platform import table, wire
from dogwoodchute.standins import table as memory_table
from dogwoodchute.tools import demo

ACCOUNT_COUNTS = (250, 500, 1000, 2000)  # client accounts with a grant on the host
REQUEST_COUNTS = (500, 1000, 2000, 4000)  # requests of one account
CLAIMS = 500
TOKENS = 245  # of one request, the mean at the two-year size
PAID = 10_000_000
FINGERPRINT = "f" * 64
SETTINGS = settings.parse(
    demo.SETTINGS.format(caller_port=0, operator_port=0), source="bench"
)


def run() -> None:
    """Print the figures."""
    draws, memory = [], []
    for count in ACCOUNT_COUNTS:
        seconds, size = asyncio.run(_draw_all(count))
        draws.append((count, seconds))
        memory.append((count, size))
    figures.show_slope("grant_draw_cpu_seconds", draws, unit="a_draw")
    figures.show_slope("grant_memory_bytes", memory, unit="an_account")
    requests, written = [], []
    for count in REQUEST_COUNTS:
        seconds, size, commits = asyncio.run(_bill_all(count))
        requests.append((count, seconds))
        written.append((count, size))
        figures.show("bill_commits", requests=count, commits=commits)
    figures.show_slope("bill_cpu_seconds", requests, unit="a_request")
    figures.show_slope("bill_bytes_to_the_store", written, unit="a_request")
    seconds, size = asyncio.run(_claim_all(CLAIMS))
    figures.show(
        "claim",
        cpu_us=seconds / CLAIMS * 1e6,
        bytes_to_the_store=size / CLAIMS,
        commits=1,
    )


class _CountingHost:
    """A host state that counts the bytes of its commits in the wire format."""

    def __init__(self, *, accounts: int) -> None:
        memory = memory_table.MemoryTable()
        for number in range(accounts):
            write = table.Write(rows.budget(_name(number)), {"paid": PAID, "drawn": 0})
            memory.apply("paid", [], [write])
        self.memory = memory
        self.bytes = 0
        self.host = runtime.embedded_state(SETTINGS, memory=memory)
        store = self.host.store

        async def commit(
            commit_id: str, checks: list[table.Check], writes: list[table.Write]
        ) -> table.CommitOutcome:
            body = wire.commit_to_plain(commit_id, checks, writes)
            self.bytes += len(wire.encode(body))
            return await store.commit(commit_id, checks, writes)

        self.host.store = self.host.definite_store = store._replace(commit=commit)


def _name(number: int) -> str:
    return f"account-{number:05d}"


async def _draw_all(count: int) -> tuple[float, float]:
    """Return processor seconds and memory bytes of one grant on each account."""
    counting = _CountingHost(accounts=count)
    grant_controller = grants.Grants(host=counting.host)
    started_at = time.process_time()
    for number in range(count):
        await grant_controller.reserve(_name(number), TOKENS)
    seconds = time.process_time() - started_at
    gc.collect()
    tracemalloc.start()
    grant_controller = grants.Grants(host=_CountingHost(accounts=count).host)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        grant_controller.ledger(_name(number))
        await grant_controller.reserve(_name(number), TOKENS)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return seconds, after - before


async def _bill_all(count: int) -> tuple[float, float, int]:
    """Return processor seconds, bytes and commits of `count` billed requests."""
    counting = _CountingHost(accounts=1)
    grant_controller = grants.Grants(host=counting.host)
    bill_writer = bills.Bills(host=counting.host, grant_controller=grant_controller)
    await grant_controller.draw(_name(0), lambda: TOKENS * count)
    commits_before, counting.bytes = counting.memory.commits, 0
    started_at = time.process_time()
    for number in range(count):
        await grant_controller.reserve(_name(0), TOKENS)
        tokens = grant_controller.settle(_name(0), TOKENS, TOKENS)
        bill_writer.submit(_entry(counting.host, number, tokens))
    await bill_writer.flush()
    seconds = time.process_time() - started_at
    commits = counting.memory.commits - commits_before
    if len(bill_writer.unwritten) > 0:
        raise RuntimeError("some bills were not written")
    return seconds, counting.bytes, commits


async def _claim_all(count: int) -> tuple[float, float]:
    """Return processor seconds and bytes of `count` claims."""
    counting = _CountingHost(accounts=1)
    claim_controller = claims.Claims(host=counting.host)
    started_at = time.process_time()
    for number in range(count):
        await claim_controller.insert(_name(0), f"key-{number:032d}", FINGERPRINT)
    return time.process_time() - started_at, counting.bytes


def _entry(host: state.HostState, number: int, tokens: int) -> bill_rows.Entry:
    return bill_rows.Entry(
        _name(0), f"{number:032d}", tokens, FINGERPRINT, host.incarnation
    )
