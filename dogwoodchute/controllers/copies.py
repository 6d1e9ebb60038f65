"""Keeps copies of pending bills at peers while the store is unavailable.

A copy is a pending write, not a replica: it is dropped once the bill is in the store.
Any host that has a copy may write it, each through its own grant; the first commit
counts.
"""

import asyncio
import typing

from dogwoodchute import controller, log, metrics_money as metrics, peers, state
from dogwoodchute.controllers import account_grants, bills, grants
from dogwoodchute.coordination import bills as pure_bills, rows
from dogwoodchute.platform import table

KIND = "pending_bill"
KIND_OF = "pending_bills_of"
COPIES_PER_BILL = 2  # peers that keep a copy
OFFER_AGE = 0.3  # seconds that a bill waits for the store before peers get copies
WRITE_AGE = 5.0  # seconds that a copy waits for the bill's own host to write it
CALL_TIMEOUT = 1.0  # seconds
INTERVAL = 0.25  # seconds
READ_GROUP = 50  # bills read at once, to see which are in the store
MAX_COPIES = 10_000


class Copy(typing.NamedTuple):
    """A copy of another host's bill."""

    entry: pure_bills.Entry
    checks: list[table.Check]
    writes: list[table.Write]
    received: float  # monotonic seconds

    @property
    def key(self) -> str:
        """The key of the bill's row."""
        return rows.bill(self.entry.account, self.entry.request_key)


def to_plain(bill: bills.Bill) -> dict:
    """Return the body of a call that asks a peer to keep a copy of a bill."""
    return {
        "entry": list(bill.entry),
        "checks": [list(check) for check in bill.checks],
        "writes": [list(write) for write in bill.writes],
    }


def from_plain(body: dict, received: float) -> Copy:
    """Return the copy in the body of such a call."""
    return Copy(
        pure_bills.Entry(*body["entry"]),
        [table.Check(*check) for check in body["checks"]],
        [table.Write(*write) for write in body["writes"]],
        received,
    )


class Copies:
    """The copies that this host keeps for peers, and that peers keep for it."""

    def __init__(
        self,
        *,
        host: state.HostState,
        grant_controller: grants.Grants,
        bill_writer: bills.Bills,
    ) -> None:
        self._host = host
        self._grants = grant_controller
        self._bills = bill_writer
        self._copies: dict[str, Copy] = {}
        self._writing: set[str] = set()
        host.peers.handle(KIND, self._handle_offer)
        host.peers.handle(KIND_OF, self._handle_query)

    async def step(self) -> None:
        """Offer bills that wait for the store, and write copies whose bill it lacks."""
        await self.offer(age=OFFER_AGE, anywhere=False)
        await self._write_copies()

    async def offer(self, *, age: float, anywhere: bool) -> None:
        """Ask peers to keep copies of unwritten bills older than `age` seconds.

        Peers of the same data centre are asked only with `anywhere`.
        """
        submitted_before = self._host.now() - age
        waiting = []
        for bill in self._bills.unwritten:
            if (
                bill.from_peer
                or bill.submitted > submitted_before
                or len(bill.holders) >= COPIES_PER_BILL
            ):
                continue
            waiting.append(bill)
        if waiting:
            await asyncio.gather(*(self._offer(bill, anywhere) for bill in waiting))

    async def hand_over(self) -> int:
        """Copy all unwritten bills to any peers; return how many no peer accepted."""
        await self.offer(age=0.0, anywhere=True)
        unplaced = 0
        for bill in self._bills.unwritten:
            if bill.from_peer or bill.holders:
                continue
            unplaced += 1
            log.error("bill_left_behind", **bill.entry._asdict())
        return unplaced

    async def pending_bills_of(self, incarnation: str) -> list[Copy]:
        """Return the copies of a host process's bills at this host and its live peers.

        Peers that don't answer are left out.
        """
        found = {c.key: c for c in self._copies.values() if _is_of(c, incarnation)}
        alive = [peer for peer in self._host.peers.known() if peer.alive]
        body = {"incarnation": incarnation}
        answers = await asyncio.gather(
            *(self._host.peers.call(p.host, KIND_OF, body, CALL_TIMEOUT) for p in alive)
        )
        for answer in answers:
            if not isinstance(answer, peers.Answer):
                continue
            for plain in answer.body["bills"]:
                copy = from_plain(plain, 0.0)
                found.setdefault(copy.key, copy)
        return list(found.values())

    def controller(self) -> controller.Controller:
        """Return the controller that offers bills and writes copies."""
        return controller.periodic(
            "copies", self.step, interval=INTERVAL, final=self._stop
        )

    async def _stop(self) -> None:
        await self.hand_over()

    async def _offer(self, bill: bills.Bill, anywhere: bool) -> None:
        candidates = [
            pure_bills.Candidate(p.host, p.data_centre, p.alive, p.leaving)
            for p in self._host.peers.known()
        ]
        own_data_centre = self._host.config.host.data_centre
        body = to_plain(bill)
        for peer in pure_bills.rank_peers(
            candidates, data_centre=own_data_centre, anywhere=anywhere
        ):
            if len(bill.holders) >= COPIES_PER_BILL or bill.durable.done():
                break
            if peer in bill.holders:
                continue
            answer = await self._host.peers.call(peer, KIND, body, CALL_TIMEOUT)
            if isinstance(answer, peers.Answer) and answer.body.get("kept"):
                bill.holders.add(peer)
        if len(bill.holders) >= COPIES_PER_BILL and not bill.secured.done():
            bill.secured.set_result(bills.AtPeers(hosts=tuple(sorted(bill.holders))))

    async def _handle_offer(self, sender: str, body: dict) -> dict:
        copy = from_plain(body, self._host.now())
        if len(self._copies) >= MAX_COPIES and copy.key not in self._copies:
            return {"kept": False}
        self._copies.setdefault(copy.key, copy)
        metrics.PENDING_COPIES.set(len(self._copies))
        return {"kept": True}

    async def _handle_query(self, sender: str, body: dict) -> dict:
        incarnation = body["incarnation"]
        found = [c for c in self._copies.values() if _is_of(c, incarnation)]
        return {"bills": [_copy_to_plain(copy) for copy in found]}

    async def _write_copies(self) -> None:
        received_before = self._host.now() - WRITE_AGE
        due = [c for c in self._copies.values() if c.received <= received_before]
        due = [c for c in due if c.key not in self._writing][:READ_GROUP]
        if not due:
            return
        found = await self._host.store.read([copy.key for copy in due])
        if isinstance(found, table.Unavailable):
            return
        for copy in due:
            row = found.rows.get(copy.key)
            if row is not None and not pure_bills.may_replace(copy.entry, row.value):
                self._drop(copy.key)
                continue
            await self._write(copy)

    async def _write(self, copy: Copy) -> None:
        entry = copy.entry
        result = await self._grants.reserve(entry.account, entry.tokens)
        if not isinstance(result, account_grants.Reserved):
            return
        self._grants.settle(entry.account, entry.tokens, entry.tokens)
        bill = self._bills.submit(
            entry, checks=copy.checks, writes=copy.writes, from_peer=True
        )
        self._writing.add(copy.key)
        bill.durable.add_done_callback(lambda _: self._drop(copy.key))

    def _drop(self, key: str) -> None:
        self._copies.pop(key, None)
        self._writing.discard(key)
        metrics.PENDING_COPIES.set(len(self._copies))


def _is_of(copy: Copy, incarnation: str) -> bool:
    return copy.entry.incarnation == incarnation


def _copy_to_plain(copy: Copy) -> dict:
    return {
        "entry": list(copy.entry),
        "checks": [list(check) for check in copy.checks],
        "writes": [list(write) for write in copy.writes],
    }
