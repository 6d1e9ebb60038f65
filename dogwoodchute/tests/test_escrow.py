"""Escrow of prepaid budgets if commits are lost, late or repeated, and hosts crash."""

import contextlib
from unittest import mock

from hypothesis import stateful, strategies as st

from dogwoodchute.coordination import escrow
from dogwoodchute.tests import support

PREPAID = 1000
# Seconds after a commit until all granted tokens may be used.
FULL_RAMP = escrow.WRITE_AHEAD + escrow.RAMP
HOSTS = st.sampled_from(["a", "b"])
AMOUNTS = st.sampled_from([0, 50, 400])  # tokens
RATES = st.sampled_from([0, 0, 50, 1000])  # tokens a second
SHARES = st.sampled_from([0.5, 1, 1])
DRAWS = st.sampled_from([1, 1, 0.5, 0, -0.5, -1])  # share of undrawn, or idle, tokens
SPARES = st.sampled_from([True, True, False])
FATES = st.sampled_from(["done", "done", "done", "lost", "refused"])
SPANS = st.sampled_from([0.05, 0.4, 1.0, 2.5, 6.0])  # seconds


class Store:
    """The account's row and the holders' rows, each with a version."""

    def __init__(self):
        self.drawn = 0
        self.version = 0
        self.holdings = {}  # by holder: (holding, version)
        self.count = 0


class Commit:
    """A commit on its way to the store, conditional on the rows' versions."""

    def __init__(self, holder, holding, holding_version, draw, version):
        self.holder = holder
        self.holding = holding
        self.holding_version = holding_version
        self.draw = draw
        self.version = version

    def apply(self, store):
        """Apply the commit unless a version differs; return whether it was applied."""
        found = store.holdings.get(self.holder, (None, 0))[1]
        if found != self.holding_version or (
            self.draw and store.version != self.version
        ):
            return False
        if store.drawn + self.draw > PREPAID:
            raise AssertionError("drawn above the prepaid total")
        store.count += 1
        if self.draw:
            store.drawn += self.draw
            store.version = store.count
        store.holdings[self.holder] = (self.holding, store.count)
        return True


class Request:
    """A request in flight: its reserved tokens, and those counted as spent so far."""

    def __init__(self, reserved):
        self.reserved = reserved
        self.spent = 0


class Host:
    """One run of a host's process."""

    def __init__(self, name, began):
        self.name = name
        self.began = began
        self.ledger = escrow.Ledger()
        self.pending = None  # commit
        self.requests = []


class EscrowMachine(stateful.RuleBasedStateMachine):
    """Two hosts, each replaced when it crashes; the test adds up the used tokens."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.late = []  # commits that may still arrive
        self.used = 0  # by requests that ended, or were in flight at a crash
        self.starts = 0
        self.hosts = {name: self.start(name) for name in ("a", "b")}

    def start(self, name):
        self.starts += 1
        return Host(f"{name}-{self.starts}", self.now)

    def in_use(self):
        requests = [each for host in self.hosts.values() for each in host.requests]
        return sum(request.reserved for request in requests)

    @stateful.rule(
        name=HOSTS,
        part=DRAWS,
        headroom=AMOUNTS,
        fate=FATES,
        rate=RATES,
        awaited=AMOUNTS,
    )
    def commit(self, name, part, headroom, fate, rate=0, awaited=0):
        host = self.hosts[name]
        if host.pending is None:
            self.begin_commit(host, part, headroom, rate, awaited)
        self.send(host, fate)

    def begin_commit(self, host, part, headroom, rate, awaited):
        available = PREPAID - self.store.drawn if part > 0 else host.ledger.idle
        draw = int(part * max(0, available))
        holding = host.ledger.begin_commit(
            draw=draw,
            awaited=awaited,
            headroom=headroom,
            rate=rate,
            now=self.now,
            store_now=self.now - 0.01,
        )
        if holding is None:
            return
        found = self.store.holdings.get(host.name, (None, 0))[1]
        host.pending = Commit(host.name, holding, found, draw, self.store.version)

    def send(self, host, fate):
        if host.pending is None:
            return
        if fate == "refused" and host.pending not in self.late:
            host.ledger.end_commit(applied=False)
            host.pending = None
            return
        if fate == "lost":
            self.late.append(host.pending)
            return
        if not host.pending.apply(self.store):
            # Either it was applied before, when it arrived late, or the commit of
            # another host conflicted with it.
            stored = self.store.holdings.get(host.name, (None, 0))[0]
            host.ledger.end_commit(applied=stored == host.pending.holding)
        else:
            host.ledger.end_commit(applied=True)
        host.pending = None

    @stateful.rule()
    def arrive_late(self):
        if self.late:
            self.late.pop(0).apply(self.store)

    @stateful.rule(hosts=st.lists(HOSTS, min_size=2, max_size=4), part=SHARES)
    def reserve(self, hosts, part):
        for name in hosts:
            host = self.hosts[name]
            tokens = int(part * host.ledger.available(self.now))
            if tokens > 0 and host.ledger.reserve(tokens, self.now):
                host.requests.append(Request(tokens))

    @stateful.rule(name=HOSTS, part=SHARES)
    def begin(self, name, part):
        """Count a part of a request in flight as spent."""
        host = self.hosts[name]
        for request in host.requests:
            if not request.spent:
                request.spent = int(part * request.reserved)
                host.ledger.spend(request.spent)
                return

    @stateful.rule(name=HOSTS, share=st.sampled_from([0, 0.5, 1, 1]))
    def settle(self, name, share):
        host = self.hosts[name]
        while host.requests:
            request = host.requests.pop()
            spent = int(request.reserved * share)
            still_reserved = request.reserved - request.spent
            host.ledger.settle(still_reserved, spent - request.spent)
            self.used += spent

    @stateful.rule(giver=HOSTS, taker=HOSTS, part=SHARES, lost=st.booleans())
    def give(self, giver, taker, part, lost):
        if giver == taker:
            return
        tokens = int(part * self.hosts[giver].ledger.available(self.now))
        given = self.hosts[giver].ledger.transfer_out(tokens, self.now)
        if not lost:
            self.hosts[taker].ledger.transfer_in(given)

    @stateful.rule(seconds=SPANS)
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(name=HOSTS, pause=SPANS, reclaim=st.booleans(), spare=SPARES)
    def die(self, name, pause, reclaim, spare):
        if spare:
            return
        dead = self.hosts[name]
        self.used += sum(request.reserved for request in dead.requests)
        self.now += pause
        self.hosts[name] = self.start(name)
        stored = self.store.holdings.pop(dead.name, None)
        if stored is None or not reclaim:
            return
        tokens = escrow.reclaimable_tokens(stored[0], successor_started_at=self.now)
        self.store.drawn -= tokens
        self.store.count += 1
        self.store.version = self.store.count

    @stateful.invariant()
    def spend_stays_within_the_budget(self):
        if self.used + self.in_use() > PREPAID:
            raise AssertionError(f"{self.used} + {self.in_use()} of {PREPAID}")


EscrowMachine.TestCase.settings = support.fuzz_settings(60, 40)
EscrowMachineTest = EscrowMachine.TestCase


def overspent(scenario, name=None, replacement=None):
    """Return whether `scenario` overspends if a method of the ledger is replaced."""
    machine = EscrowMachine()
    patched = mock.patch.object(escrow.Ledger, name or "used", replacement)
    with patched if name else contextlib.nullcontext():
        scenario(machine)
        try:
            machine.spend_stays_within_the_budget()
        except AssertionError:
            return True
    return False


def gift(machine):
    machine.commit("a", 1, 400, "done")
    machine.pass_time(FULL_RAMP)
    machine.give("a", "b", 1, False)
    machine.reserve(["a", "b"], 1)


def death_above_the_limit(machine):
    machine.commit("a", 1, 0, "done")
    machine.commit("a", 0, 50, "done")
    machine.reserve(["a"], 1)
    machine.die("a", 0.4, True, False)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(FULL_RAMP)
    machine.reserve(["b"], 1)


def death_on_the_ramp(machine):
    machine.commit("a", 1, 0, "done")
    machine.pass_time(escrow.WRITE_AHEAD + 0.5 * escrow.RAMP)
    machine.reserve(["a"], 1)
    machine.die("a", 0.4, True, False)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(FULL_RAMP)
    machine.reserve(["b"], 1)


def begun_twice(machine):
    machine.commit("a", 1, 400, "done")
    machine.pass_time(FULL_RAMP)
    machine.reserve(["a"], 0.5)
    machine.begin("a", 1)
    machine.reserve(["a"], 1)


def death_of_a_waiter(machine):
    machine.commit("a", 1, 0, "done")
    machine.commit("a", 0, 0, "done", awaited=400)
    machine.reserve(["a"], 1)
    machine.begin("a", 1)
    machine.die("a", 0.4, True, False)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(FULL_RAMP)
    machine.reserve(["b"], 1)


def draw_without_answer(machine):
    machine.commit("a", 1, 400, "lost")
    machine.pass_time(FULL_RAMP)
    machine.reserve(["a"], 1)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(FULL_RAMP)
    machine.reserve(["b"], 1)


class PlantedFaultsTest(support.TestCase):
    """Each scenario overspends with its mutant of the ledger, and only with it."""

    def check(self, scenario, name, replacement):
        self.assertFalse(overspent(scenario))
        self.assertTrue(overspent(scenario, name, replacement))

    def test_a_gift_that_the_giver_keeps(self):
        def transfer_out(ledger, tokens, now):
            return max(0, min(tokens, ledger.available(now)))

        self.check(gift, "transfer_out", transfer_out)

    def test_a_limit_that_is_not_kept(self):
        self.check(death_above_the_limit, "available", lambda ledger, now: ledger.idle)

    def test_a_ramp_that_is_not_kept(self):
        def available(ledger, now):
            if now - ledger.sent_at() >= escrow.WRITE_AHEAD:
                return ledger.idle
            return ledger.confirmed.limit - ledger.used

        self.check(death_on_the_ramp, "available", available)

    def test_a_begun_request_whose_tokens_are_free(self):
        def spend(ledger, tokens):
            ledger.reserved -= tokens

        self.check(begun_twice, "spend", spend)

    def test_a_waiter_that_the_row_does_not_know(self):
        begin_commit = escrow.Ledger.begin_commit

        def forget(ledger, **known):
            holding = begin_commit(ledger, **known)
            if holding is not None and known["awaited"]:
                limit = holding.limit - known["awaited"]
                holding = holding._replace(limit=limit)
            return holding

        self.check(death_of_a_waiter, "begin_commit", forget)

    def test_a_draw_that_counts_before_it_is_certain(self):
        def possible_commits(ledger):
            return [ledger._pending or ledger._confirmed]

        self.check(draw_without_answer, "_possible_commits", possible_commits)
