"""Reserving tokens, with and without an available store, on virtual time."""

from dogwoodchute.coordination import escrow
from dogwoodchute.gateway import host_rows, model, rows
from dogwoodchute.gateway.accounts import (
    account_rows,
    accounts,
    amounts,
    draw_plan,
    gifts,
    reclaim,
    reservations,
    transfer_sources,
)
from dogwoodchute.platform import store
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual


def config(prepaid):
    """Return a configuration with the one account "ann"."""
    return model.Config(
        version=1,
        routes={},
        services={},
        accounts={"ann": model.Account("ann", frozenset(), None, prepaid)},
        accounts_by_key={},
        limits=model.Limits(),
    )


class Fleet:
    """Several hosts on one store, which request tokens from one another."""

    def __init__(self, names, *, prepaid, home=None, era=0):
        self.max_sources = 1000  # other hosts that are asked for tokens at most
        self.home = home  # the host that draws in advance; None if every host does
        self.loop = virtual.Loop()
        self.store = row_store.RowStore(now=self.loop.time, era=era)
        self.fault = row_store.NO_FAULT
        self.faults = {}  # by kind of call, in place of `fault`
        self.config = config(prepaid)
        self.hosts = {}
        self.tasks = {}
        self.killed = set()
        for name in names:
            self.start(name)

    def start(self, name):
        host = accounts.Accounts(
            holder=f"{name}-{len(self.tasks)}{self.loop.time():.0f}",
            store=row_store.in_process_client(
                self.store,
                faults=lambda kind: self.faults.get(kind, self.fault),
                timeout=store.commit_timeout,
            ),
            config=lambda: self.config,
            hosts=lambda: len(self.hosts) or 1,
            request_tokens=lambda *request: self.request_tokens(name, *request),
            home=reservations.Home(
                is_local=lambda account: self.home_of(name) == name,
                is_remote=lambda account: self.home_of(name) not in (None, name),
                request=lambda *request: self.request_from_home(name, *request),
                give_back=lambda *given: self.give_back_to_home(name, *given),
            ),
            now=self.loop.time,
            horizon=self.horizon(name),
        )
        self.hosts[name] = host
        self.tasks[name] = self.loop.create_task(host.run())
        self.loop.create_task(self.reclaim(name))
        return host

    def horizon(self, name):
        """Return a function for the seconds of use that a host draws in advance."""
        began, killed = self.loop.time(), name in self.killed

        def seconds():
            return amounts.horizon(age=self.loop.time() - began, was_killed=killed)

        return seconds

    async def reclaim(self, name):
        """Close holdings of a host's earlier processes, as after its registration."""
        began, version = self.loop.time(), self.store.version + 1
        place = dict.fromkeys(host_rows.TEXTS, "")
        host = host_rows.Host(**{**place, "name": name}, id="new")
        host = host._replace(registered=version, began=began)
        reclaimer = reclaim.Reclaimer(
            store=row_store.in_process_client(
                self.store, faults=lambda kind: self.fault
            ),
            registered=lambda: {name: host},
            is_responsible_for=lambda part: True,
            now=self.loop.time,
        )
        for part in account_rows.parts():
            await reclaimer.close(part, {name: host})

    def kill(self, name):
        self.tasks.pop(name).cancel()
        del self.hosts[name]
        self.killed.add(name)

    async def request_tokens(self, name, account, tokens, holders):
        received = 0
        others = [host for other, host in self.hosts.items() if other != name]
        for host in others[: self.max_sources]:
            received += await host.transfer_out(account, tokens - received)
        return reservations.TokensReceived(received, len(others) <= self.max_sources)

    def home_of(self, name):
        """Return the account's home as the host `name` sees it, None without one."""
        return self.home

    async def request_from_home(self, name, account, tokens):
        return await self.hosts[self.home_of(name)].transfer_out(account, tokens)

    async def give_back_to_home(self, name, account, tokens):
        home = self.hosts.get(self.home_of(name))
        return home is None or not home.take_back(account, tokens)

    def reserve(self, name, tokens, **options):
        return self.loop.run_until_complete(
            self.hosts[name].reserve("ann", tokens, **options)
        )

    def drawn(self):
        found = self.store.read(
            "accounts", account_rows.part_of("ann"), None, None
        ).rows
        return int(found[0].value.strip(b"[]").split(b",")[0]) if found else 0


class AccountsTest(support.TestCase):
    def fleet(self, *names, prepaid=100_000, home=None):
        fleet = Fleet(names, prepaid=prepaid, home=home)
        self.addCleanup(fleet.loop.finish)
        return fleet

    def test_hosts_spend_a_budget_to_its_end_and_not_beyond(self):
        fleet = self.fleet("a", "b", prepaid=10_000)
        reserved = 0
        for number in range(30):
            outcome = fleet.reserve("ab"[number % 2], 700)
            reserved += 700 * isinstance(outcome, reservations.Reserved)
        self.assertEqual(9_800, reserved)
        self.assertIsInstance(outcome, reservations.Exhausted)
        self.assertLessEqual(fleet.drawn(), 10_000)

    def test_what_an_idle_host_drew_serves_another(self):
        fleet = self.fleet("a", "b", prepaid=10_000)
        for _ in range(4):
            fleet.reserve("a", 500)
        fleet.loop.run_for(3)
        # Now nothing is left to draw, and some drawn tokens are idle.
        prepaid = int(fleet.drawn() / draw_plan.USABLE_SHARE) + 1
        lowered = model.Account("ann", frozenset(), None, prepaid)
        fleet.config = fleet.config._replace(accounts={"ann": lowered})
        self.assertGreater(fleet.drawn() - 2_000, 500)
        self.assertIsInstance(fleet.reserve("b", 500), reservations.Reserved)

    def test_a_lowered_budget_takes_effect_at_once(self):
        fleet = self.fleet("a")
        fleet.reserve("a", 1000)
        fleet.loop.run_for(5)
        self.assertGreater(fleet.drawn(), 3_000)
        lowered = model.Account("ann", frozenset(), None, 2_000)
        fleet.config = fleet.config._replace(accounts={"ann": lowered})
        fleet.loop.run_for(2 * accounts.CHECK_INTERVAL)
        self.assertEqual(1_000, fleet.drawn())

    def test_requests_are_served_while_a_checkpoint_has_no_answer(self):
        """A checkpoint without an answer blocked all accounts for the whole outage."""
        fleet = self.fleet("a", "b")
        for name in ("a", "b"):
            fleet.reserve(name, 1000)
        fleet.loop.run_for(1)
        for name in ("a", "b"):
            fleet.reserve(name, 1000)
        fleet.loop.run_for(2)
        fleet.fault = row_store.Fault(silent=True)
        fleet.loop.run_for(4)
        served = 0
        began = fleet.loop.time()
        wait = reservations.max_wait(0.6)
        while isinstance(fleet.reserve("a", 1000, wait=wait), reservations.Reserved):
            # Half of the tightest target for a first event.
            self.assertLess(fleet.loop.time() - began, 0.3)
            began = fleet.loop.time()
            served += 1
        self.assertGreater(served, 2)
        self.assertLessEqual((served + 4) * 1000, fleet.drawn())

    def test_hosts_serve_from_their_home_s_tokens_while_the_store_is_silent(self):
        """Each host's own tokens were too few for its next request."""
        names = [f"h{number}" for number in range(20)]
        fleet = self.fleet(*names, prepaid=1_000_000, home="h0")
        for name in names:
            self.assertIsInstance(fleet.reserve(name, 5_000), reservations.Reserved)
            fleet.loop.run_for(0.2)
        holders = fleet.store.read(
            "holdings", account_rows.part_of("ann"), None, None
        ).rows
        self.assertEqual(["ann/h0"], [row.key.rpartition("-")[0] for row in holders])
        fleet.fault = row_store.Fault(silent=True)
        for name in names:
            began = fleet.loop.time()
            self.assertIsInstance(fleet.reserve(name, 5_000), reservations.Reserved)
            # Half of the tightest target for a first event.
            self.assertLess(fleet.loop.time() - began, 0.3)
            fleet.loop.run_for(0.2)

    def test_what_requests_leave_on_many_hosts_is_used_up(self):
        """A tenth of a small budget lay on hosts that no request asked."""
        names = [f"h{number}" for number in range(63)]
        prepaid = 120_000
        fleet = self.fleet(*names, prepaid=prepaid, home="h0")
        fleet.max_sources = transfer_sources.MAX_SOURCES
        used = 0
        for number in range(4 * len(names)):
            name = names[number % len(names)]
            outcome = fleet.reserve(name, 1_000)
            if not isinstance(outcome, reservations.Reserved):
                break
            bill = account_rows.Bill(f"r{number}", 600, 50)
            fleet.hosts[name].settle("ann", 1_000, bill)
            used += 650
            fleet.loop.run_for(0.3)
        # The share that the users count as owed.
        self.assertGreaterEqual(used + 1_000, 0.97 * prepaid)
        self.assertLessEqual(used, prepaid)

    def test_tokens_come_back_if_the_home_does_not_take_them(self):
        fleet = self.fleet("a", "b", home="a")
        outcome = fleet.reserve("b", 1_000)
        self.assertIsInstance(outcome, reservations.Reserved)
        fleet.hosts["a"].take_back = lambda account, tokens: False
        fleet.hosts["b"].settle("ann", 1_000, account_rows.Bill("r", 300, 0))
        fleet.loop.run_for(3.0)
        del fleet.hosts["a"].take_back
        fleet.fault = row_store.Fault(silent=True)
        fleet.hosts["a"].transfer_out = self.transfer_nothing
        self.assertIsInstance(fleet.reserve("b", 700), reservations.Reserved)

    def test_a_host_that_is_no_home_gives_only_what_it_holds(self):
        """Hosts drew tokens for the requests of others, and held more and more."""
        fleet = self.fleet("a", "b")
        fleet.reserve("a", 1_000)
        fleet.loop.run_for(1)
        idle = fleet.drawn() - 1_000
        transfer = fleet.hosts["a"].transfer_out("ann", 50_000)
        self.assertLessEqual(fleet.loop.run_until_complete(transfer), idle)

    def test_a_host_draws_itself_if_its_home_has_nothing(self):
        fleet = self.fleet("a", "b", prepaid=10_000, home="a")
        fleet.hosts["a"].transfer_out = self.transfer_nothing
        self.assertIsInstance(fleet.reserve("b", 700), reservations.Reserved)
        self.assertEqual(700, fleet.drawn())

    async def transfer_nothing(self, account, tokens):
        return 0

    def test_a_request_is_refused_at_once_if_the_store_is_away_and_others_lack(self):
        """Such a request waited 2.5 s before it was refused."""
        fleet = self.fleet("a", "b", "c")
        for name in "abc":
            fleet.reserve(name, 500)
        fleet.loop.run_for(3)
        fleet.fault = row_store.Fault(status=503)
        fleet.loop.run_for(1)
        began = fleet.loop.time()
        outcome = fleet.reserve("a", 50_000)
        self.assertIsInstance(outcome, reservations.OutOfReach)
        self.assertLess(fleet.loop.time() - began, 0.05)
        again = fleet.reserve("a", 60_000)
        self.assertIsInstance(again, reservations.OutOfReach)
        self.assertLess(fleet.loop.time() - began, 0.05)

    def test_a_request_waits_for_a_silent_store_no_longer_than_it_may(self):
        fleet = self.fleet("a")
        fleet.reserve("a", 500)
        fleet.loop.run_for(1)
        fleet.fault = row_store.Fault(silent=True)
        began = fleet.loop.time()
        wait = reservations.max_wait(0.8)
        outcome = fleet.reserve("a", 90_000, wait=wait)
        self.assertIsInstance(outcome, reservations.OutOfReach)
        self.assertLess(fleet.loop.time() - began, 0.21)

    def test_a_smaller_request_is_not_refused_because_a_larger_one_was(self):
        fleet = self.fleet("a", "b")
        for name in "ab":
            fleet.reserve(name, 2_000)
        fleet.loop.run_for(3)
        fleet.fault = row_store.Fault(status=503)
        fleet.loop.run_for(3)
        large = fleet.loop.create_task(fleet.hosts["a"].reserve("ann", 80_000))
        small = fleet.loop.create_task(fleet.hosts["a"].reserve("ann", 600))
        self.assertIsInstance(
            fleet.loop.run_until_complete(large), reservations.OutOfReach
        )
        self.assertIsInstance(
            fleet.loop.run_until_complete(small), reservations.Reserved
        )

    def test_a_refusal_tells_when_this_host_s_tokens_may_be_used(self):
        fleet = self.fleet("a")
        fleet.reserve("a", 4_000)
        fleet.loop.run_for(2)
        fleet.fault = row_store.Fault(status=503)
        idle = fleet.drawn() - 4_000
        outcome = fleet.reserve("a", idle - 10, wait=0.15)
        self.assertIsInstance(outcome, reservations.OutOfReach)
        self.assertGreaterEqual(outcome.retry_after, reservations.MAX_RETRY_AFTER)
        fleet.loop.run_for(escrow.WRITE_AHEAD + escrow.RAMP)
        self.assertIsInstance(fleet.reserve("a", idle - 10), reservations.Reserved)

    def test_a_home_without_tokens_answers_at_once_while_the_store_is_away(self):
        """Each request of a host took 0.1 s, which left no time to try another host."""
        fleet = self.fleet("a", "b", home="a")
        fleet.reserve("b", 1_000)
        fleet.loop.run_for(1)
        fleet.fault = row_store.Fault(silent=True)
        fleet.loop.run_for(4)
        home = fleet.hosts["a"]
        while fleet.loop.run_until_complete(home.transfer_out("ann", 20_000)):
            pass
        fleet.loop.run_for(gifts.UNAVAILABLE_FOR)
        began = fleet.loop.time()
        fleet.loop.run_until_complete(home.transfer_out("ann", 20_000))
        self.assertLess(fleet.loop.time() - began, 0.01)

    def test_a_home_keeps_more_than_nine_seconds_of_its_region_s_use(self):
        names = [f"h{number}" for number in range(13)]
        fleet = self.fleet(*names, prepaid=10_000_000, home="h0")
        for number in range(80):
            name = names[1 + number % 12]
            self.assertIsInstance(fleet.reserve(name, 2_000), reservations.Reserved)
            fleet.loop.run_for(0.25)
            used = (number + 1) * 2_000
            if number > 40:
                self.assertGreater(fleet.drawn() - used, 9 * 2_000 / 0.25)

    def test_a_quick_restart_gives_back_what_was_not_used(self):
        fleet = self.fleet("a")
        fleet.reserve("a", 1000)
        fleet.loop.run_for(1.5)
        drawn = fleet.drawn()
        self.assertGreater(drawn, 5_000)
        fleet.kill("a")
        fleet.loop.run_for(1)
        fleet.start("a")
        fleet.loop.run_for(0.5)
        self.assertLess(fleet.drawn(), drawn - 2_000)
        self.assertGreaterEqual(fleet.drawn(), 1_000)

    def test_the_longer_a_host_is_down_the_less_comes_back(self):
        kept = []
        for pause in (1.0, 4.0, 7.0, escrow.WRITE_AHEAD + escrow.RAMP):
            fleet = self.fleet("a")
            fleet.reserve("a", 1000)
            fleet.loop.run_for(1.5)
            drawn = fleet.drawn()
            fleet.kill("a")
            fleet.loop.run_for(pause)
            fleet.start("a")
            fleet.loop.run_for(0.5)
            kept.append(fleet.drawn())
            part = account_rows.part_of("ann")
            self.assertEqual([], fleet.store.read("holdings", part, "a", "b").rows)
        self.assertEqual(sorted(set(kept)), kept)
        self.assertEqual(drawn, kept[-1])

    def test_a_killed_host_draws_no_more_seconds_of_use_than_its_age(self):
        seconds = [amounts.horizon(age=age, was_killed=True) for age in (0, 9, 14, 60)]
        self.assertEqual([amounts.MIN_HORIZON, 9, 14, amounts.HORIZON], seconds)
        self.assertEqual(amounts.HORIZON, amounts.horizon(age=0, was_killed=False))

    def test_a_late_commit_counts_once(self):
        fleet = self.fleet("a")
        fleet.fault = row_store.Fault(apply_after=1.0)
        first = fleet.reserve("a", 1000)
        self.assertIsInstance(first, reservations.OutOfReach)
        fleet.fault = row_store.NO_FAULT
        fleet.loop.run_for(3)
        self.assertIsInstance(fleet.reserve("a", 1000), reservations.Reserved)
        held = fleet.store.read(
            "holdings", account_rows.part_of("ann"), None, None
        ).rows
        self.assertEqual(1, len(held))
        self.assertIsInstance(held[0], rows.Row)
        self.assertLessEqual(fleet.drawn(), 100_000)
