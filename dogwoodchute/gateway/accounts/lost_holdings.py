"""Returns tokens that hosts without a next process drew and can't have used.

Such a host may be removed for good, or only look lost: frozen, or cut off from the
store and from the others. What it may use is bounded by its last commit's limit unless
its witnesses have confirmed more (see `coordination.witnesses`). Once enough of them
deny that, its holding is reduced to the limit, and the rest returns to the budget. A
host that wakes up learns of this from the conflict of its next commit.

For each partition of the account rows one host does this, as in `reclaim`.
"""

import asyncio
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import escrow, witnesses
from dogwoodchute.gateway import host_rows, rows
from dogwoodchute.gateway.accounts import account_rows, settlements, witnessing

CHECK_INTERVAL = 1.0  # seconds between checks whether a look at the holdings is due
# Seconds after a host was marked as down at which the holdings are looked at. Witnesses
# deny a commit only once it is `CONTACT_WINDOW` old, and may not answer at first.
LOOK_DELAYS = (
    witnesses.CONTACT_WINDOW + 1.0,
    witnesses.CONTACT_WINDOW + 6.0,
    witnesses.CONTACT_WINDOW + 20.0,
)
LOOK_INTERVAL = 60.0  # seconds between further looks, for what was missed

CountDenials = abc.Callable[
    [tuple[str, ...], witnessing.Denial], abc.Awaitable[int]
]  # see `Witnessing.count_denials`


# Rows and their holdings, by holder and the witnesses of its last commit.
LostByHolder = dict[tuple[str, tuple[str, ...]], list[tuple[rows.Row, escrow.Holding]]]


class Fleet(typing.NamedTuple):
    """The hosts, as this one knows them."""

    live: abc.Callable[[], frozenset[str]]  # ids of live incarnations, this included
    down: abc.Callable[[], frozenset[str]]  # ids of those that are marked as down
    # The newest incarnation of each host, by name.
    registered: abc.Callable[[], dict[str, host_rows.Host]]
    is_responsible_for: abc.Callable[[str], bool]  # this host, for a partition


class LostHoldings:
    """Looks for holdings of lost hosts, in partitions assigned to this host."""

    def __init__(
        self,
        *,
        store: rows.Store,
        fleet: Fleet,
        count_denials: CountDenials,
        now: abc.Callable[[], float],
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._count_denials = count_denials
        self._now = now
        self._reader = account_rows.holding_reader()
        self._down: frozenset[str] = frozenset()  # at the last check
        self._look_times: list[float] = [now() + LOOK_DELAYS[0]]  # monotonic seconds

    async def run(self) -> None:
        """Look at the holdings whenever that is due, until cancelled."""
        while True:
            try:
                await self.check()
            except Exception:
                log.exception("lost_holdings_failed")
            await asyncio.sleep(CHECK_INTERVAL)

    async def check(self) -> None:
        """Look at the holdings if that is due."""
        now = self._now()
        down = self._fleet.down()
        if down - self._down:
            times = {*self._look_times, *(now + delay for delay in LOOK_DELAYS)}
            self._look_times = sorted(times)
        self._down = down
        if now < self._look_times[0]:
            return
        self._look_times = [at for at in self._look_times if at > now]
        if not self._look_times:
            self._look_times = [now + LOOK_INTERVAL]
        for part in account_rows.parts():
            if self._fleet.is_responsible_for(part):
                await self.look(part)

    async def look(self, part: str) -> None:
        """Return what lost hosts can't have used of a partition's accounts."""
        found = await self._store.read(account_rows.HOLDINGS, part, None, None)
        if isinstance(found, rows.Unavailable):
            log.warning("lost_holdings_put_off", part=part, reason=found.reason)
            return
        denied: list[settlements.Settlement] = []
        for (holder, names), lost in self._group_lost(found.rows).items():
            times = [holding.at for _, holding in lost]
            question = witnessing.Denial(holder, min(times), max(times))
            denials = await self._count_denials(names, question)
            log.info(
                "lost_holdings_seen",
                part=part,
                holder=holder,
                holdings=len(lost),
                age=f"{found.now - question.last:.2f}",
                denials=denials,
                needed=witnesses.needed_denials(len(names)),
            )
            if denials >= witnesses.needed_denials(len(names)):
                denied.extend(
                    _return_unused(row, holding, now=found.now) for row, holding in lost
                )
        await settlements.settle(self._store, part, denied)

    def _group_lost(self, found: list[rows.Row]) -> LostByHolder:
        """Return holdings that seem lost and have tokens above their limit.

        One of an unknown registration is left out: once its row was changed here, it
        could not be told from that of the host's next process.
        """
        lost: LostByHolder = {}
        live, registered = self._fleet.live(), self._fleet.registered()
        for row in found:
            holder = row.key.partition("/")[2]
            holding = None if holder in live else self._reader.read(row)
            if holding is None or holding.granted <= holding.limit:
                continue
            if not holding.witnesses or not holding.registered:
                continue
            if not account_rows.is_certain(row, holding):
                continue
            newest = registered.get(holder.rpartition("-")[0])
            if newest is not None and newest.id != holder:
                continue  # `reclaim` closes it
            key = (holder, holding.witnesses)
            lost.setdefault(key, []).append((row, holding))
        return lost


def _return_unused(
    row: rows.Row, holding: escrow.Holding, *, now: float
) -> settlements.Settlement:
    """Return the settlement that leaves a holding only its limit."""
    return settlements.Settlement(
        row=row,
        holding=holding,
        unused=holding.granted - holding.limit,
        spent=0,
        lost=escrow.Lost(),
        remaining=holding._replace(granted=holding.limit),
        age=now - holding.at,
    )
