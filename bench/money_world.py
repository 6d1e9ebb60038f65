"""A simulation that knows the true state of budgets, to measure policies against it.

Requests, faults and ticks happen in order of virtual time. The store is a pair of
numbers for each client account; commits are counted and take no time.
"""

import collections
import heapq
import itertools
import typing
from collections import abc

BILL_INTERVAL = 0.25  # seconds from a host's first unwritten bill to its commit
TICK_INTERVAL = 5.0  # seconds


class Place(typing.NamedTuple):
    """A host and its region."""

    name: str
    region: str


class Call(typing.NamedTuple):
    """One request, the same for every policy."""

    at: float  # seconds
    account: str
    hosts: tuple[str, ...]  # in the order in which its caller tries them
    reserved: int  # tokens
    used: int  # tokens
    seconds: float


class Fault(typing.NamedTuple):
    """One event other than a request."""

    at: float  # seconds
    kind: (
        str  # "cut", "heal", "store_down", "store_up", "stop", "crash", "start", "pay"
    )
    target: str = ""  # a host or a client account
    tokens: int = 0


class Figures(typing.NamedTuple):
    """The figures of one run of one policy."""

    requests: int
    overspend: int  # tokens
    false_refusals: int  # of requests that the budget covers
    false_in_fault: int  # of these, while the regions were cut or the store was down
    true_refusals: int  # of requests that the budget does not cover
    idle: float  # tokens held by live hosts and not reserved, mean over time
    stranded: float  # tokens drawn by hosts that are gone, mean over time
    draws: int  # commits of draws and returns
    bill_commits: int
    messages: int  # to peers

    @property
    def commits_per_request(self) -> float:
        """Store commits for each request."""
        return (self.draws + self.bill_commits) / max(1, self.requests)


class World:
    """Which hosts are alive and connected, and what was really paid and billed."""

    def __init__(self, *, places: list[Place], store_region: str) -> None:
        self.now = 0.0
        self.places = {place.name: place for place in places}
        self.alive = set(self.places)
        self.cut = False
        self.store_down = False
        self.store_region = store_region
        self.paid: dict[str, int] = {}
        self.billed: dict[str, int] = {}
        self.in_flight: dict[str, int] = {}
        self.draws = 0
        self.messages = 0

    def reaches_store(self, host: str) -> bool:
        """Return whether a host can commit."""
        if self.store_down:
            return False
        return not self.cut or self.places[host].region == self.store_region

    def peers(self, host: str) -> list[str]:
        """Return the live hosts that a host can connect to."""
        region = self.places[host].region
        reachable = []
        for name in self.places:
            if name == host or name not in self.alive:
                continue
            if self.cut and self.places[name].region != region:
                continue
            reachable.append(name)
        return reachable

    def unreserved_tokens(self, account: str) -> int:
        """Return the tokens of a budget that are neither billed nor reserved."""
        unbilled = self.paid[account] - self.billed.get(account, 0)
        return unbilled - self.in_flight.get(account, 0)


class Policy(typing.NamedTuple):
    """The functions of a policy: how hosts get the tokens that requests reserve.

    `reserve` and `settle` take host, client account and tokens; `settle` also takes
    the tokens used. They may read from `World` only what their host could know.
    """

    reserve: abc.Callable[
        [str, str, int], str | None
    ]  # returns the holding host or None
    settle: abc.Callable[[str, str, int, int], None]
    paid: abc.Callable[[str, int], None]
    stop: abc.Callable[[str], None]  # gracefully
    crash: abc.Callable[[str], None]
    start: abc.Callable[[str], None]
    tick: abc.Callable[[], None]
    idle: abc.Callable[[], int]
    stranded: abc.Callable[[], int]


class _Run:
    """One simulation of calls and faults under one policy."""

    def __init__(self, *, world: World, policy: Policy) -> None:
        self.world = world
        self.policy = policy
        self.counts: collections.Counter[str] = collections.Counter()
        self._order = itertools.count()
        self._queue: list[tuple] = []
        self._bills_due: dict[str, float] = {}  # by host, when it commits its bills
        self._crashes: dict[str, int] = {}  # by host

    def schedule(self, at: float, action: abc.Callable, *arguments: object) -> None:
        """Schedule `action` at a time."""
        heapq.heappush(self._queue, (at, next(self._order), action, arguments))

    def run(self) -> None:
        """Run all scheduled actions in order of time."""
        while self._queue:
            at, _, action, arguments = heapq.heappop(self._queue)
            self.world.now = at
            action(*arguments)

    def call(self, call: Call) -> None:
        """Handle the arrival of a request."""
        world = self.world
        host = next((h for h in call.hosts if h in world.alive), None)
        if host is None:
            return
        self.counts["requests"] += 1
        is_covered = call.reserved <= world.unreserved_tokens(call.account)
        holder = self.policy.reserve(host, call.account, call.reserved)
        if holder is None:
            self.counts["false_refusals"] += is_covered
            self.counts["false_in_fault"] += is_covered and (
                world.cut or world.store_down
            )
            self.counts["true_refusals"] += not is_covered
            return
        reserved = world.in_flight.get(call.account, 0) + call.reserved
        world.in_flight[call.account] = reserved
        crashes = self._crashes.get(holder, 0)
        self.schedule(world.now + call.seconds, self._finish, call, holder, crashes)

    def fault(self, fault: Fault) -> None:
        """Apply a fault to the world and to the policy."""
        world = self.world
        kind = fault.kind
        if kind == "pay":
            world.paid[fault.target] = world.paid.get(fault.target, 0) + fault.tokens
            self.policy.paid(fault.target, fault.tokens)
        elif kind in ("cut", "heal"):
            world.cut = kind == "cut"
        elif kind in ("store_down", "store_up"):
            world.store_down = kind == "store_down"
        elif kind == "start":
            world.alive.add(fault.target)
            self.policy.start(fault.target)
        else:
            world.alive.discard(fault.target)
            if kind == "crash":
                crashes = self._crashes.get(fault.target, 0)
                self._crashes[fault.target] = crashes + 1
                self.policy.crash(fault.target)
            else:
                self.policy.stop(fault.target)

    def _finish(self, call: Call, holder: str, crashes: int) -> None:
        world = self.world
        world.in_flight[call.account] -= call.reserved
        if self._crashes.get(holder, 0) != crashes:
            return
        world.billed[call.account] = world.billed.get(call.account, 0) + call.used
        overspend = world.billed[call.account] - world.paid[call.account]
        self.counts["overspend"] = max(self.counts["overspend"], overspend)
        self.policy.settle(holder, call.account, call.reserved, call.used)
        if holder not in self._bills_due:
            due = world.now + BILL_INTERVAL
            self._bills_due[holder] = due
            self.schedule(due, self._commit_bills, holder)

    def _commit_bills(self, host: str) -> None:
        if not self.world.reaches_store(host):
            self.schedule(self.world.now + TICK_INTERVAL, self._commit_bills, host)
            return
        del self._bills_due[host]
        self.counts["bill_commits"] += 1


def simulate(
    *,
    world: World,
    policy: Policy,
    calls: list[Call],
    faults: list[Fault],
    until: float,
) -> Figures:
    """Simulate calls and faults, with ticks up to `until` seconds; return figures."""
    run = _Run(world=world, policy=policy)
    idle = []
    stranded = []

    def tick() -> None:
        policy.tick()
        idle.append(policy.idle())
        stranded.append(policy.stranded())
        if world.now + TICK_INTERVAL <= until:
            run.schedule(world.now + TICK_INTERVAL, tick)

    for fault in faults:
        run.schedule(fault.at, run.fault, fault)
    for call in calls:
        run.schedule(call.at, run.call, call)
    run.schedule(TICK_INTERVAL, tick)
    run.run()
    return Figures(
        requests=run.counts["requests"],
        overspend=run.counts["overspend"],
        false_refusals=run.counts["false_refusals"],
        false_in_fault=run.counts["false_in_fault"],
        true_refusals=run.counts["true_refusals"],
        idle=sum(idle) / len(idle),
        stranded=sum(stranded) / len(stranded),
        draws=world.draws,
        bill_commits=run.counts["bill_commits"],
        messages=world.messages,
    )
