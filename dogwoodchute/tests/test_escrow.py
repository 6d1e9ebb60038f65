"""Escrow of prepaid budgets under lost, late and doubled messages, and deaths."""

import contextlib
from unittest import mock

from hypothesis import stateful, strategies as st

from dogwoodchute.coordination import escrow
from dogwoodchute.tests import support

PREPAID = 1000
WHOLE = escrow.WRITE_AHEAD + escrow.RAMP  # seconds until all of a holding may be used
HOSTS = st.sampled_from(["a", "b"])
AMOUNTS = st.sampled_from([0, 50, 400])
PACES = st.sampled_from([0, 0, 50, 1000])  # tokens a second
PARTS = st.sampled_from([0.5, 1, 1])
DRAWS = st.sampled_from([1, 1, 0.5, 0, -0.5, -1])  # of what is left, or is idle
SPARES = st.sampled_from([True, True, False])
FATES = st.sampled_from(["done", "done", "done", "lost", "refused"])
SPANS = st.sampled_from([0.05, 0.4, 1.0, 2.5, 6.0])


class Store:
    """The account's row and the holders' rows, each with a version."""

    def __init__(self):
        self.drawn = 0
        self.version = 0
        self.holdings = {}  # by holder: (holding, version)
        self.count = 0


class Copy:
    """A commit on its way to the store."""

    def __init__(self, holder, holding, own_version, draw, version):
        self.holder = holder
        self.holding = holding
        self.own_version = own_version
        self.draw = draw
        self.version = version

    def apply(self, store):
        own = store.holdings.get(self.holder, (None, 0))[1]
        if own != self.own_version or (self.draw and store.version != self.version):
            return False
        if store.drawn + self.draw > PREPAID:
            raise AssertionError("drawn above the prepaid total")
        store.count += 1
        if self.draw:
            store.drawn += self.draw
            store.version = store.count
        store.holdings[self.holder] = (self.holding, store.count)
        return True


class Flight:
    """A request under way: what it reserved, and what was counted as spent of it."""

    def __init__(self, reserved):
        self.reserved = reserved
        self.begun = 0


class Host:
    def __init__(self, name, began):
        self.name = name
        self.began = began
        self.ledger = escrow.Ledger()
        self.copy = None
        self.flying = []


class EscrowMachine(stateful.RuleBasedStateMachine):
    """Two hosts, each replaced when it dies; the oracle adds up what was used."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.late = []  # copies that may still arrive
        self.used = 0  # by requests that ended, or were under way at a death
        self.lives = 0
        self.hosts = {name: self.born(name) for name in ("a", "b")}

    def born(self, name):
        self.lives += 1
        return Host(f"{name}-{self.lives}", self.now)

    def in_use(self):
        flying = [flight for host in self.hosts.values() for flight in host.flying]
        return sum(flight.reserved for flight in flying)

    @stateful.rule(
        name=HOSTS, part=DRAWS, ahead=AMOUNTS, fate=FATES, pace=PACES, waiting=AMOUNTS
    )
    def commit(self, name, part, ahead, fate, pace=0, waiting=0):
        host = self.hosts[name]
        if host.copy is None:
            self.propose(host, part, ahead, pace, waiting)
        self.send(host, fate)

    def propose(self, host, part, ahead, pace, waiting):
        whole = PREPAID - self.store.drawn if part > 0 else host.ledger.idle
        draw = int(part * max(0, whole))
        holding = host.ledger.propose(
            draw=draw,
            waiting=waiting,
            ahead=ahead,
            pace=pace,
            now=self.now,
            store_now=self.now - 0.01,
        )
        if holding is None:
            return
        own = self.store.holdings.get(host.name, (None, 0))[1]
        host.copy = Copy(host.name, holding, own, draw, self.store.version)

    def send(self, host, fate):
        if host.copy is None:
            return
        if fate == "refused" and host.copy not in self.late:
            host.ledger.end(applied=False)
            host.copy = None
            return
        if fate == "lost":
            self.late.append(host.copy)
            return
        if not host.copy.apply(self.store):
            # Either an earlier copy applied, or another commit came between.
            held = self.store.holdings.get(host.name, (None, 0))[0]
            host.ledger.end(applied=held == host.copy.holding)
        else:
            host.ledger.end(applied=True)
        host.copy = None

    @stateful.rule()
    def arrive_late(self):
        if self.late:
            self.late.pop(0).apply(self.store)

    @stateful.rule(hosts=st.lists(HOSTS, min_size=2, max_size=4), part=PARTS)
    def reserve(self, hosts, part):
        for name in hosts:
            host = self.hosts[name]
            tokens = int(part * host.ledger.available(self.now))
            if tokens > 0 and host.ledger.reserve(tokens, self.now):
                host.flying.append(Flight(tokens))

    @stateful.rule(name=HOSTS, part=PARTS)
    def begin(self, name, part):
        """Count a part of a request under way as spent."""
        host = self.hosts[name]
        for flight in host.flying:
            if not flight.begun:
                flight.begun = int(part * flight.reserved)
                host.ledger.spend(flight.begun)
                return

    @stateful.rule(name=HOSTS, share=st.sampled_from([0, 0.5, 1, 1]))
    def settle(self, name, share):
        host = self.hosts[name]
        while host.flying:
            flight = host.flying.pop()
            spent = int(flight.reserved * share)
            left = flight.reserved - flight.begun
            host.ledger.settle(left, spent - flight.begun)
            self.used += spent

    @stateful.rule(giver=HOSTS, taker=HOSTS, part=PARTS, lost=st.booleans())
    def give(self, giver, taker, part, lost):
        if giver == taker:
            return
        tokens = int(part * self.hosts[giver].ledger.available(self.now))
        given = self.hosts[giver].ledger.give(tokens, self.now)
        if not lost:
            self.hosts[taker].ledger.take(given)

    @stateful.rule(seconds=SPANS)
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(name=HOSTS, pause=SPANS, reclaim=st.booleans(), spare=SPARES)
    def die(self, name, pause, reclaim, spare):
        if spare:
            return
        dead = self.hosts[name]
        self.used += sum(flight.reserved for flight in dead.flying)
        self.now += pause
        self.hosts[name] = self.born(name)
        held = self.store.holdings.pop(dead.name, None)
        if held is None or not reclaim:
            return
        tokens = escrow.reclaimable(held[0], began=self.now)
        self.store.drawn -= tokens
        self.store.count += 1
        self.store.version = self.store.count

    @stateful.invariant()
    def spend_stays_within_the_budget(self):
        if self.used + self.in_use() > PREPAID:
            raise AssertionError(f"{self.used} + {self.in_use()} of {PREPAID}")


EscrowMachine.TestCase.settings = support.fuzz_settings(60, 40)
EscrowMachineTest = EscrowMachine.TestCase


def overspent(story, name=None, replacement=None):
    """Return whether `story` overspends, with a fault planted in the ledger."""
    machine = EscrowMachine()
    patched = mock.patch.object(escrow.Ledger, name or "used", replacement)
    with patched if name else contextlib.nullcontext():
        story(machine)
        try:
            machine.spend_stays_within_the_budget()
        except AssertionError:
            return True
    return False


def gift(machine):
    machine.commit("a", 1, 400, "done")
    machine.pass_time(WHOLE)
    machine.give("a", "b", 1, False)
    machine.reserve(["a", "b"], 1)


def death_above_the_limit(machine):
    machine.commit("a", 1, 0, "done")
    machine.commit("a", 0, 50, "done")
    machine.reserve(["a"], 1)
    machine.die("a", 0.4, True, False)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(WHOLE)
    machine.reserve(["b"], 1)


def death_on_the_ramp(machine):
    machine.commit("a", 1, 0, "done")
    machine.pass_time(escrow.WRITE_AHEAD + 0.5 * escrow.RAMP)
    machine.reserve(["a"], 1)
    machine.die("a", 0.4, True, False)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(WHOLE)
    machine.reserve(["b"], 1)


def begun_twice(machine):
    machine.commit("a", 1, 400, "done")
    machine.pass_time(WHOLE)
    machine.reserve(["a"], 0.5)
    machine.begin("a", 1)
    machine.reserve(["a"], 1)


def death_of_a_waiter(machine):
    machine.commit("a", 1, 0, "done")
    machine.commit("a", 0, 0, "done", waiting=400)
    machine.reserve(["a"], 1)
    machine.begin("a", 1)
    machine.die("a", 0.4, True, False)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(WHOLE)
    machine.reserve(["b"], 1)


def draw_without_answer(machine):
    machine.commit("a", 1, 400, "lost")
    machine.pass_time(WHOLE)
    machine.reserve(["a"], 1)
    machine.commit("b", 1, 400, "done")
    machine.pass_time(WHOLE)
    machine.reserve(["b"], 1)


class PlantedFaultsTest(support.TestCase):
    """Each story overspends with its fault planted, and not without."""

    def check(self, story, name, replacement):
        self.assertFalse(overspent(story))
        self.assertTrue(overspent(story, name, replacement))

    def test_a_gift_that_the_giver_keeps(self):
        def give(ledger, tokens, now):
            return max(0, min(tokens, ledger.available(now)))

        self.check(gift, "give", give)

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
        propose = escrow.Ledger.propose

        def forget(ledger, **known):
            holding = propose(ledger, **known)
            if holding is not None and known["waiting"]:
                limit = holding.limit - known["waiting"]
                holding = holding._replace(limit=limit)
            return holding

        self.check(death_of_a_waiter, "propose", forget)

    def test_a_draw_that_counts_before_it_is_certain(self):
        def possible_commits(ledger):
            return [ledger._pending or ledger._confirmed]

        self.check(draw_without_answer, "_possible_commits", possible_commits)
