"""The policy of the product and its two baselines, over the bench's world."""

import collections
import typing

from bench import money_world as worlds
from dogwoodchute.coordination import grants, sizing


class Constants(typing.NamedTuple):
    """The constants of the policy of grants by demand."""

    near_horizon: float = 600.0  # seconds, for hosts in the store's region
    far_horizon: float = 1200.0  # seconds
    share: float = 0.25
    window: float = sizing.DEMAND_WINDOW
    returns: bool = True  # idle tokens go back
    recall: bool = True  # a spent budget asks the peers for what they hold
    refill: bool = True  # grants are drawn ahead of need
    scarce: float = sizing.SCARCE_BUDGET_SECONDS  # without refills after a recall
    relay: bool = True  # a host out of tokens passes a request to a peer


class ByDemand:
    """Grants sized by demand; uses the product's own decisions."""

    def __init__(self, *, world: worlds.World, constants: Constants) -> None:
        self._world = world
        self._constants = constants
        self._drawn: dict[str, int] = {}
        self._ledgers: dict[tuple[str, str], grants.Ledger] = {}
        self._demands: dict[tuple[str, str], sizing.Demand] = {}
        self._lost: dict[str, list[tuple[str, int]]] = collections.defaultdict(list)
        self._scarce_until: dict[tuple[str, str], float] = {}

    def policy(self) -> worlds.Policy:
        """Return the policy's operations."""
        return worlds.Policy(
            reserve=self.reserve,
            settle=self.settle,
            paid=lambda account, tokens: None,
            stop=self.stop,
            crash=self.crash,
            start=self.start,
            tick=self.tick,
            idle=lambda: sum(each.available for each in self._ledgers.values()),
            stranded=lambda: sum(t for lost in self._lost.values() for _, t in lost),
        )

    def reserve(self, host: str, account: str, tokens: int) -> str | None:
        """Set tokens aside; return the host that holds them."""
        if self._take(host, account, tokens):
            return host
        if self._constants.recall and self._world.reaches_store(host):
            self._recall(host, account)
            if self._take(host, account, tokens):
                return host
        if self._constants.relay:
            return self._relay(host, account, tokens)
        return None

    def settle(self, host: str, account: str, reserved: int, used: int) -> None:
        """End a reservation."""
        key = host, account
        ledger = self._ledgers[key]
        ledger.settle(reserved, used)
        self._demands[key].record_use(self._world.now, used)

    def stop(self, host: str) -> None:
        """Give everything back, or lose it if the store is away."""
        if not self._world.reaches_store(host):
            self.crash(host)
            return
        for name, account in list(self._ledgers):
            if name == host:
                self._give_back(host, account, self._ledgers[name, account].available)

    def crash(self, host: str) -> None:
        """Lose what the host's memory held; the grants stay drawn."""
        for name, account in list(self._ledgers):
            if name != host:
                continue
            ledger = self._ledgers.pop((name, account))
            self._demands.pop((name, account))
            left = ledger.granted - ledger.billed
            self._lost[host].append((account, left))

    def start(self, host: str) -> None:
        """Close the grants of the host's lost incarnation, on that evidence."""
        for account, tokens in self._lost.pop(host, []):
            self._drawn[account] -= tokens
            self._world.draws += 1

    def tick(self) -> None:
        """Give back what the expected use leaves over, and draw ahead of need."""
        now = self._world.now
        for (host, account), ledger in self._ledgers.items():
            if host not in self._world.alive or not self._world.reaches_store(host):
                continue
            demand = self._demands[host, account]
            size = sizing.return_size(
                available=ledger.available,
                reserved=ledger.reserved,
                rate=demand.rate(now),
                horizon=self._horizon(host),
                idle=demand.idle(now),
            )
            if self._constants.returns:
                self._give_back(host, account, size)
            if size == 0 and self._constants.refill:
                self._refill(host, account)

    def _refill(self, host: str, account: str) -> None:
        if self._world.now < self._scarce_until.get((host, account), 0.0):
            return
        ledger = self._ledgers[host, account]
        size = sizing.refill_size(
            balance=self._balance(account),
            available=ledger.available,
            reserved=ledger.reserved,
            rate=self._demands[host, account].rate(self._world.now),
            horizon=self._horizon(host),
            share=self._constants.share,
        )
        self._draw(host, account, size)

    def _balance(self, account: str) -> grants.Balance:
        return grants.Balance(self._world.paid[account], self._drawn.get(account, 0))

    def _draw(self, host: str, account: str, tokens: int) -> None:
        if tokens <= 0:
            return
        self._world.draws += 1
        self._drawn[account] = self._drawn.get(account, 0) + tokens
        self._ledgers[host, account].granted += tokens

    def _take(self, host: str, account: str, tokens: int) -> bool:
        key = host, account
        ledger = self._ledgers.get(key)
        if ledger is None:
            ledger = self._ledgers[key] = grants.Ledger()
            self._demands[key] = sizing.Demand(window=self._constants.window)
        if ledger.reserve(tokens):
            return True
        if not self._world.reaches_store(host):
            return False
        size = sizing.draw_size(
            balance=self._balance(account),
            needed=tokens - ledger.available,
            rate=self._demands[key].rate(self._world.now),
            horizon=self._horizon(host),
            share=self._constants.share,
        )
        self._draw(host, account, size)
        return ledger.reserve(tokens)

    def _recall(self, host: str, account: str) -> None:
        until = self._world.now + self._constants.scarce
        self._scarce_until[host, account] = until
        for peer in self._world.peers(host):
            self._scarce_until[peer, account] = until
            ledger = self._ledgers.get((peer, account))
            if ledger is None or ledger.available <= 0:
                continue
            self._world.messages += 1
            if self._world.reaches_store(peer):
                self._give_back(peer, account, ledger.available)

    def _relay(self, host: str, account: str, tokens: int) -> str | None:
        for peer in self._world.peers(host):
            ledger = self._ledgers.get((peer, account))
            if ledger is not None and ledger.reserve(tokens):
                self._world.messages += 1
                return peer
        return None

    def _give_back(self, host: str, account: str, tokens: int) -> None:
        if tokens <= 0:
            return
        self._ledgers[host, account].granted -= tokens
        self._drawn[account] -= tokens
        self._world.draws += 1

    def _horizon(self, host: str) -> float:
        near = self._world.places[host].region == self._world.store_region
        constants = self._constants
        return constants.near_horizon if near else constants.far_horizon


class EqualSplit:
    """Baseline: each payment is split equally among the hosts, for good."""

    def __init__(self, *, world: worlds.World) -> None:
        self._world = world
        self._shares: dict[tuple[str, str], int] = collections.defaultdict(int)
        self._pending: list[tuple[str, str, int]] = []

    def policy(self) -> worlds.Policy:
        """Return the policy's operations."""
        return worlds.Policy(
            reserve=self.reserve,
            settle=self.settle,
            paid=self.paid,
            stop=lambda host: None,
            crash=lambda host: None,
            start=lambda host: None,
            tick=self.tick,
            idle=lambda: sum(
                t for (h, _), t in self._shares.items() if h in self._world.alive
            ),
            stranded=lambda: sum(
                t for (h, _), t in self._shares.items() if h not in self._world.alive
            ),
        )

    def reserve(self, host: str, account: str, tokens: int) -> str | None:
        """Set tokens aside from the host's share."""
        if self._shares[host, account] < tokens:
            return None
        self._shares[host, account] -= tokens
        return host

    def settle(self, host: str, account: str, reserved: int, used: int) -> None:
        """Free what was not used."""
        self._shares[host, account] += reserved - used

    def paid(self, account: str, tokens: int) -> None:
        """Split a payment; hosts take their part when they reach the store."""
        part = tokens // len(self._world.places)
        for host in self._world.places:
            self._pending.append((host, account, part))
        self.tick()

    def tick(self) -> None:
        """Take the parts that are within reach."""
        waiting, self._pending = self._pending, []
        for host, account, part in waiting:
            if not self._world.reaches_store(host):
                self._pending.append((host, account, part))
                continue
            self._world.draws += 1
            self._shares[host, account] += part


class EachRequest:
    """Baseline: every request draws its tokens from the store."""

    def __init__(self, *, world: worlds.World) -> None:
        self._world = world
        self._held: dict[str, int] = collections.defaultdict(int)
        self._used: dict[str, int] = collections.defaultdict(int)
        self._lost: dict[str, list[tuple[str, int]]] = collections.defaultdict(list)
        self._open: dict[tuple[str, str], int] = collections.defaultdict(int)

    def policy(self) -> worlds.Policy:
        """Return the policy's operations."""
        return worlds.Policy(
            reserve=self.reserve,
            settle=self.settle,
            paid=lambda account, tokens: None,
            stop=lambda host: None,
            crash=self.crash,
            start=self.start,
            tick=lambda: None,
            idle=lambda: 0,
            stranded=lambda: sum(t for lost in self._lost.values() for _, t in lost),
        )

    def reserve(self, host: str, account: str, tokens: int) -> str | None:
        """Draw exactly what one request needs."""
        left = self._world.paid[account] - self._held[account] - self._used[account]
        if not self._world.reaches_store(host) or tokens > left:
            return None
        self._world.draws += 1
        self._held[account] += tokens
        self._open[host, account] += tokens
        return host

    def settle(self, host: str, account: str, reserved: int, used: int) -> None:
        """Give back with the bill what was not used."""
        self._held[account] -= reserved
        self._open[host, account] -= reserved
        self._used[account] += used

    def crash(self, host: str) -> None:
        """Leave what was drawn for requests in flight drawn."""
        for (name, account), tokens in list(self._open.items()):
            if name == host:
                self._lost[host].append((account, tokens))
                del self._open[name, account]

    def start(self, host: str) -> None:
        """Give back what the host's lost incarnation had drawn."""
        for account, tokens in self._lost.pop(host, []):
            self._held[account] -= tokens
