"""Orders to engines: one host orders at a time, even if engines check no fences.

The seed of the search is a digest of the source of the machine's class, without its
comments, so any other change of the class draws other examples.
"""

import asyncio
from unittest import mock

import hypothesis
from hypothesis import stateful, strategies as st

from dogwoodchute import catalog
from dogwoodchute.controllers import order_client, orders as ordering
from dogwoodchute.coordination import orders
from dogwoodchute.platform import table, weights
from dogwoodchute.standins import weights as weight_standins
from dogwoodchute.tests import release_support, support

HOSTS = ("a", "b", "c")
ENGINES = {"checks": "10.0.0.1:1", "trusts": "10.0.0.2:1"}
# Seconds until the wanted state.
BOUND = 2 * orders.LEASE + 2 * orders.MAX_DELIVERY + 60.0


class FakeEngine:
    """An engine at which orders may arrive up to `orders.MAX_DELIVERY` seconds late."""

    def __init__(self, *, checks_fence):
        self.checks_fence = checks_fence
        self.state = {"models": [], "role": ""}
        self.arrived = []  # fencing numbers of orders that took effect
        self.senders = {}  # incarnations by fencing number
        self.under_way = []  # orders in flight: (latest arrival, order, sender)

    def apply(self, body, sender):
        if self.checks_fence and self.arrived and body["fence"] < max(self.arrived):
            return order_client.Stale()
        self.arrived.append(body["fence"])
        self.senders.setdefault(body["fence"], set()).add(sender)
        self.state = {**self.state, **body["want"]}
        return order_client.Reported(state=dict(self.state))


class OrderFleet(release_support.Fleet):
    """Hosts with orders to two engines, one of which ignores fencing numbers."""

    def __init__(self):
        super().__init__(seed=1)
        self.engines = {
            address: FakeEngine(checks_fence=name == "checks")
            for name, address in ENGINES.items()
        }
        self.weights = weight_standins.MemoryWeights(now=lambda: self.time)
        self.ordering = {}
        self.stalled = None  # awaited before the next permit, while its host is paused
        self.late = 0  # how many of the next orders arrive late, without an answer
        self.revision = 0
        self.want = ""
        self.ask_for("m1")
        for name in HOSTS:
            self.begin(name)

    def begin(self, name):
        """Start a host, or a new incarnation of it."""
        self.start(name)
        self.hosts[name].ready = True
        sender = self.hosts[name].incarnation

        async def order(address, body):
            return self._order(address, body, sender)

        async def permit(load):
            if self.stalled is not None and load == "trusts":
                stalled, self.stalled = self.stalled, None
                await stalled
            return await self.weights.client().permit(load)

        self.hosts[name].weights = weights.Weights(permit=permit)
        self.ordering[name] = ordering.Orders(
            host=self.hosts[name],
            engines=order_client.Engines(
                report=self._report, order=order, close=self._close
            ),
        )
        self.give(name)

    def ask_for(self, model):
        """Change the wanted model."""
        self.revision += 1
        self.want = model

    def give(self, name):
        """Put the newest wanted state into force on one host."""
        endpoints = {}
        for endpoint, address in ENGINES.items():
            endpoints[endpoint] = catalog.Endpoint(
                endpoint,
                "llm",
                address,
                "dar",
                "dar-a",
                checks_fence=endpoint == "checks",
                model=self.want,
            )
        self.hosts[name].adopt(catalog.Catalog(self.revision, {}, {}, endpoints))

    async def _report(self, address):
        return order_client.Reported(state=dict(self.engines[address].state))

    def _order(self, address, body, sender):
        engine = self.engines[address]
        if self.late > 0:
            self.late -= 1
            engine.under_way.append((self.time + orders.MAX_DELIVERY, body, sender))
            return order_client.NoAnswer(reason="timed out", peer=address)
        return engine.apply(body, sender)

    async def _close(self):
        return None

    def pass_time(self, seconds):
        """Advance the clock; orders in flight arrive at the latest moment allowed."""
        self.time += seconds
        for engine in self.engines.values():
            due = [late for late in engine.under_way if late[0] <= self.time]
            engine.under_way = [o for o in engine.under_way if o[0] > self.time]
            for _, order, sender in due:
                engine.apply(order, sender)

    async def others_work(self, name, steps):
        """Advance the clock and let the other hosts work, cut off from `name`."""
        for _ in range(steps):
            self.pass_time(ordering.INTERVAL)
            for other in self.cut_off(name):
                await self.ordering[other].step()

    def cut_off(self, name):
        """Cut a host off from the others, and return them."""
        others = [other for other in HOSTS if other != name]
        self.net.cut |= {frozenset((name, other)) for other in others}
        return others


class OrderMachine(stateful.RuleBasedStateMachine):
    """Hosts that pause, lose each other and the store while they order."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = OrderFleet()

    def teardown(self):
        self.loop.close()

    def ask_anew(self):
        """Want another model on every host."""
        self.fleet.ask_for(f"m{self.fleet.revision}")
        for name in HOSTS:
            self.fleet.give(name)

    @stateful.rule(name=st.sampled_from(HOSTS))
    def step(self, name):
        self.loop.run_until_complete(self.fleet.ordering[name].step())

    @stateful.rule(names=st.lists(st.sampled_from(HOSTS), unique=True, min_size=2))
    def step_together(self, names):
        self.ask_anew()
        for name in names:
            self.fleet.cut_off(name)

        async def together():
            self.fleet.table.delay = 1.0
            await asyncio.gather(*(self.fleet.ordering[n].step() for n in names))
            self.fleet.table.delay = 0.0

        self.loop.run_until_complete(together())

    @stateful.rule(
        name=st.sampled_from(HOSTS),
        paused=st.sampled_from((0, 2, 4, 12)),
        after=st.sampled_from((0, 9)),
        late=st.sampled_from((0, 2)),
    )
    def pause(self, name, paused, after, late):
        self.ask_anew()
        self.fleet.cut_off(name)

        async def paused_step():
            stalled = self.fleet.others_work(name, paused)
            self.fleet.stalled = stalled
            self.fleet.late = late
            await self.fleet.ordering[name].step()
            self.fleet.late = 0
            if self.fleet.stalled is not None:
                stalled.close()
                self.fleet.stalled = None
            await self.fleet.others_work(name, after)

        self.loop.run_until_complete(paused_step())

    @stateful.rule(seconds=st.sampled_from((1.0, 5.0, 16.0, 31.0)))
    def wait(self, seconds):
        self.fleet.pass_time(seconds)

    @stateful.rule(number=st.integers(1, 3))
    def model(self, number):
        self.fleet.ask_for(f"m{number}")

    @stateful.rule(name=st.sampled_from(HOSTS))
    def give(self, name):
        self.fleet.give(name)

    @stateful.rule(name=st.sampled_from(HOSTS))
    def restart(self, name):
        self.fleet.begin(name)

    @stateful.rule(one=st.sampled_from(HOSTS), other=st.sampled_from(HOSTS))
    def cut(self, one, other):
        self.fleet.net.cut ^= {frozenset((one, other))}

    @stateful.rule(name=st.sampled_from(HOSTS))
    def store_path(self, name):
        self.fleet.no_store ^= {name}

    @stateful.rule(lost=st.integers(0, 2), held=st.integers(0, 1))
    def lose(self, lost, held):
        self.fleet.table.lose_answers = lost
        self.fleet.table.hold_commits = held

    @stateful.rule()
    def deliver(self):
        self.fleet.table.deliver_held()

    @stateful.rule(late=st.integers(0, 2))
    def delay_orders(self, late):
        self.fleet.late = late

    @stateful.rule()
    def converge(self):
        fleet = self.fleet
        fleet.net.cut.clear()
        fleet.no_store.clear()
        fleet.late = fleet.table.lose_answers = fleet.table.hold_commits = 0
        for name in HOSTS:
            fleet.give(name)
        end = fleet.time + BOUND
        while fleet.time < end:
            for name in HOSTS:
                self.step(name)
            fleet.pass_time(ordering.INTERVAL)
        for engine in fleet.engines.values():
            assert engine.state["models"] == [fleet.want], engine.state

    @stateful.invariant()
    def no_order_of_an_old_holder_follows_a_new_one(self):
        for engine in self.fleet.engines.values():
            assert engine.arrived == sorted(engine.arrived), engine.arrived
            for fence, senders in engine.senders.items():
                assert len(senders) == 1, (fence, senders)


def search(phases=tuple(hypothesis.Phase)):
    """Run the machine."""
    settings = hypothesis.settings(
        support.fuzz_settings(60, 15), phases=phases, report_multiple_bugs=False
    )
    stateful.run_state_machine_as_test(OrderMachine, settings=settings)


class OrderMachineTest(support.TestCase):
    def test_machine_keeps_one_orderer(self):
        search()

    def assert_caught(self, target, name, mutant):
        with mock.patch.object(target, name, mutant):
            self.assertRaises(AssertionError, search, (hypothesis.Phase.generate,))

    def test_machine_catches_an_order_after_the_lease(self):
        self.assert_caught(orders, "may_order", lambda held, now: True)

    def test_machine_catches_a_holder_that_does_not_wait(self):
        real_held_lease = orders.held_lease

        def without_wait(lease, version, *, sent, checks_fence):
            return real_held_lease(lease, version, sent=sent, checks_fence=True)

        self.assert_caught(orders, "held_lease", without_wait)

    def test_machine_catches_a_renewal_without_its_check(self):
        async def unchecked(self, name, lease, version):
            key = ordering.lease_key(name)
            writes = [table.Write(key, lease._asdict())]
            return await self._host.store.commit("unchecked", [], writes)

        self.assert_caught(ordering.Orders, "_write", unchecked)


class OrderTest(support.TestCase):
    def fences_after_a_pause(self):
        """Return the fencing numbers that arrived when a holder paused in its lease.

        Its order is sent late in the lease and takes as long as is allowed to arrive.
        """
        fleet = OrderFleet()

        async def paused():
            await fleet.others_work("a", 2)
            fleet.late = 1

        async def scenario():
            fleet.cut_off("a")
            fleet.stalled = paused()
            await fleet.ordering["a"].step()
            await fleet.others_work("a", 20)

        self.run_async(scenario())
        return fleet.engines[ENGINES["trusts"]].arrived

    def test_a_late_order_leaves_nothing_to_order_again(self):
        self.assertEqual([1], self.fences_after_a_pause())

    def test_a_lease_that_is_acquired_too_early_is_detected(self):
        with mock.patch.object(orders, "may_acquire", lambda lease, unchanged: True):
            self.assertEqual([2, 1], self.fences_after_a_pause()[:2])

    def test_an_idle_fleet_writes_nothing(self):
        fleet = OrderFleet()
        for _ in range(30):
            for name in HOSTS:
                self.run_async(fleet.ordering[name].step())
            fleet.pass_time(ordering.INTERVAL)
        commits = fleet.table.commits
        for _ in range(10):
            for name in HOSTS:
                self.run_async(fleet.ordering[name].step())
            fleet.pass_time(ordering.INTERVAL)
        self.assertEqual(commits, fleet.table.commits)
        self.assertEqual([1], fleet.engines[ENGINES["trusts"]].arrived)

    def test_loads_keep_to_the_weight_stores_rate(self):
        fleet = OrderFleet()
        fleet.weights = weight_standins.MemoryWeights(
            rate=0.1, burst=0.1, now=lambda: fleet.time
        )
        for name in HOSTS:
            fleet.begin(name)
        started_at = fleet.time
        for _ in range(10):
            for name in HOSTS:
                self.run_async(fleet.ordering[name].step())
            fleet.pass_time(1.0)
        self.assertEqual(1, len(fleet.weights.permitted))
        while len(fleet.weights.permitted) < 2 and fleet.time < started_at + 60:
            for name in HOSTS:
                self.run_async(fleet.ordering[name].step())
            fleet.pass_time(1.0)
        first, second = (at for at, _ in fleet.weights.permitted)
        self.assertGreaterEqual(second - first, 10.0)

    def test_no_load_starts_while_the_weight_store_is_unavailable(self):
        fleet = OrderFleet()
        fleet.weights.down = True
        for name in HOSTS:
            self.run_async(fleet.ordering[name].step())
        self.assertEqual([], fleet.engines[ENGINES["trusts"]].arrived)
        reasons = [
            s.why
            for controller in fleet.ordering.values()
            for s in controller.statuses.values()
        ]
        self.assertIn("weight store: weight store is down", reasons)

    def test_only_what_differs_is_missing(self):
        want = orders.wanted("m", ("b", "a"), "2", "decode")
        reported = {"models": ["m"], "adapters": ["a", "b"], "versions": {"m": "1"}}
        self.assertEqual(["versions", "role"], orders.missing(want, reported))
        self.assertFalse(orders.needs_weights(["role"]))
        self.assertIsInstance(
            self.run_async(weights.unlimited().permit("m")), weights.Permitted
        )
