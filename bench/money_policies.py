"""The product's policy for budgets and two baselines, for `money_world`."""

import collections
import typing

from bench import money_world as worlds
from dogwoodchute.coordination import grants, sizing


class Constants(typing.NamedTuple):
    """The constants of the policy that sizes grants by demand."""

    near_horizon: float = 600.0  # seconds, for hosts in the store's region
    far_horizon: float = 1200.0  # seconds
    share: float = 0.25
    window: float = sizing.DEMAND_WINDOW  # seconds
    returns: bool = True  # hosts return idle tokens to the budget
    recall: bool = True  # if a budget is spent, peers return what they hold of it
    refill: bool = True  # hosts draw tokens in advance
    scarce: float = (
        sizing.SCARCE_BUDGET_SECONDS
    )  # seconds without refills after a recall
    relay: bool = True  # a host without tokens relays a request to a peer


class ByDemand:
    """Grants sized by demand; calls the decision functions of the product."""

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
        """Reserve tokens; return the host that holds them, None if there is none."""
        if self._reserve_at(host, account, tokens):
            return host
        if self._constants.recall and self._world.reaches_store(host):
            self._recall(host, account)
            if self._reserve_at(host, account, tokens):
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
        """Return all tokens to the budget, or lose them if the store is unavailable."""
        if not self._world.reaches_store(host):
            self.crash(host)
            return
        for name, account in list(self._ledgers):
            if name == host:
                self._return_tokens(
                    host, account, self._ledgers[name, account].available
                )

    def crash(self, host: str) -> None:
        """Lose what the host held in memory; its grants stay drawn."""
        for name, account in list(self._ledgers):
            if name != host:
                continue
            ledger = self._ledgers.pop((name, account))
            self._demands.pop((name, account))
            unbilled = ledger.granted - ledger.billed
            self._lost[host].append((account, unbilled))

    def start(self, host: str) -> None:
        """Close the grants of the host's earlier incarnation, which has ended."""
        for account, tokens in self._lost.pop(host, []):
            self._drawn[account] -= tokens
            self._world.draws += 1

    def tick(self) -> None:
        """Return tokens beyond the expected use, and draw tokens in advance."""
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
                idle=demand.idle_seconds(now),
            )
            if self._constants.returns:
                self._return_tokens(host, account, size)
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

    def _reserve_at(self, host: str, account: str, tokens: int) -> bool:
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
                self._return_tokens(peer, account, ledger.available)

    def _relay(self, host: str, account: str, tokens: int) -> str | None:
        for peer in self._world.peers(host):
            ledger = self._ledgers.get((peer, account))
            if ledger is not None and ledger.reserve(tokens):
                self._world.messages += 1
                return peer
        return None

    def _return_tokens(self, host: str, account: str, tokens: int) -> None:
        if tokens <= 0:
            return
        self._ledgers[host, account].granted -= tokens
        self._drawn[account] -= tokens
        self._world.draws += 1

    def _horizon(self, host: str) -> float:
        is_near = self._world.places[host].region == self._world.store_region
        constants = self._constants
        return constants.near_horizon if is_near else constants.far_horizon


class EqualSplit:
    """Baseline: each payment is split equally among the hosts and stays there."""

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
        """Reserve tokens of the host's share."""
        if self._shares[host, account] < tokens:
            return None
        self._shares[host, account] -= tokens
        return host

    def settle(self, host: str, account: str, reserved: int, used: int) -> None:
        """Return the unused tokens to the host's share."""
        self._shares[host, account] += reserved - used

    def paid(self, account: str, tokens: int) -> None:
        """Split a payment; hosts add their part once they reach the store."""
        share = tokens // len(self._world.places)
        for host in self._world.places:
            self._pending.append((host, account, share))
        self.tick()

    def tick(self) -> None:
        """Add the pending shares of hosts that reach the store."""
        pending, self._pending = self._pending, []
        for host, account, share in pending:
            if not self._world.reaches_store(host):
                self._pending.append((host, account, share))
                continue
            self._world.draws += 1
            self._shares[host, account] += share


class EachRequest:
    """Baseline: every request draws its tokens from the store."""

    def __init__(self, *, world: worlds.World) -> None:
        self._world = world
        self._reserved: dict[str, int] = collections.defaultdict(int)
        self._used: dict[str, int] = collections.defaultdict(int)
        self._lost: dict[str, list[tuple[str, int]]] = collections.defaultdict(list)
        self._in_flight: dict[tuple[str, str], int] = collections.defaultdict(int)

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
        """Draw from the store exactly what one request needs."""
        available = (
            self._world.paid[account] - self._reserved[account] - self._used[account]
        )
        if not self._world.reaches_store(host) or tokens > available:
            return None
        self._world.draws += 1
        self._reserved[account] += tokens
        self._in_flight[host, account] += tokens
        return host

    def settle(self, host: str, account: str, reserved: int, used: int) -> None:
        """Bill the used tokens and return the others to the budget."""
        self._reserved[account] -= reserved
        self._in_flight[host, account] -= reserved
        self._used[account] += used

    def crash(self, host: str) -> None:
        """Lose what was drawn for requests in flight; it stays drawn."""
        for (name, account), tokens in list(self._in_flight.items()):
            if name == host:
                self._lost[host].append((account, tokens))
                del self._in_flight[name, account]

    def start(self, host: str) -> None:
        """Return what the host's earlier incarnation had drawn to the budget."""
        for account, tokens in self._lost.pop(host, []):
            self._reserved[account] -= tokens
