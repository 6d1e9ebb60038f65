"""Budgets, grants, bills and claims of three hosts under random faults.

The oracle checks the rows of the table and the answers to callers after each step.
The seed of the search is a digest of the source of the machine's class, without its
comments, so any other change of the class draws other examples.
"""

import sys
from unittest import mock

from hypothesis import stateful, strategies as st

from dogwoodchute import log
from dogwoodchute.tests import money_fleet, money_oracle, support, virtual

HOSTS = st.sampled_from(sorted(money_fleet.PLACES))
ACCOUNTS = st.sampled_from(sorted(money_fleet.ACCOUNTS))
KEYS = st.integers(min_value=0, max_value=8)
SPANS = st.sampled_from([0.01, 0.05, 0.3, 1.0, 4.0, 15.0, 70.0])
DELAYS = st.sampled_from([0.0, 0.0, 0.2, 2.0, 9.0])
MODES = st.sampled_from(["answer", "answer", "answer", "refuse", "cut", "raise"])
PAIR_LIST = [("h1", "h2"), ("h1", "h3"), ("h2", "h3")]
PAIRS = st.sampled_from(PAIR_LIST)
NETWORK_FAULTS = [
    "cut_store",
    "cut",
    "heal",
    "heal",
    "lose_calls",
    "lose_answers",
    "duplicate_calls",
]
FLAGS = st.sampled_from([False, False, True])
QUIET = 100.0  # seconds after the last fault, for everything to settle


class MoneyMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = virtual.Loop()
        self.fleet = money_fleet.Fleet(seed=7, loop=self.loop)
        self.patch = mock.patch.object(log, "exception", self.note_exception)
        self.patch.start()
        self.loop.run_until_complete(self.fleet.start())
        self.pass_time(0.3)

    def note_exception(self, event, **fields):
        if event != "request_failed":
            self.fleet.errors.append((event, fields, repr(sys.exception())))

    def pass_time(self, seconds):
        self.loop.run_for(seconds)

    def send(self, what, **options):
        host, account, key, idempotent = what
        name = f"{'get' if idempotent else 'order'}-{key}"
        self.fleet.ask(
            host, account=account, key=name, idempotent=idempotent, **options
        )

    @stateful.rule(
        host=HOSTS,
        account=ACCOUNTS,
        keys=st.lists(KEYS, min_size=2, max_size=6),
        body=st.sampled_from([b"x", b"x", b"x", b"y"]),
        idempotent=st.booleans(),
        tokens=st.integers(min_value=1, max_value=30),
        spare=st.sampled_from([0, 10, 30]),
        delay=DELAYS,
        mode=MODES,
    )
    def ask(self, host, account, keys, body, idempotent, tokens, spare, delay, mode):
        for key in keys:
            self.send(
                (host, account, key, idempotent),
                body=body,
                tokens=tokens,
                reserved=tokens + spare,
                delay=delay,
                mode=mode,
            )
        self.pass_time(0.01)

    @stateful.rule(
        hosts=st.lists(HOSTS, min_size=2, max_size=4),
        account=ACCOUNTS,
        key=KEYS,
        idempotent=st.booleans(),
        delay=DELAYS,
    )
    def ask_at_several(self, hosts, account, key, idempotent, delay):
        for host in hosts:
            self.send((host, account, key, idempotent), delay=delay)
        self.pass_time(0.02)

    @stateful.rule(
        host=HOSTS,
        account=ACCOUNTS,
        key=KEYS,
        idempotent=st.booleans(),
        kind=st.sampled_from(["down", "down", "lose", "hold"]),
        alone=FLAGS,
        lasts=FLAGS,
    )
    def ask_in_an_outage(self, host, account, key, idempotent, kind, alone, lasts):
        self.send((host, account, key + 20, True), tokens=1, reserved=30)
        self.pass_time(0.5)
        self.set_store(kind, 2)
        if alone:
            self.fleet.net.cut |= {frozenset(pair) for pair in PAIR_LIST}
        self.send((host, account, key, idempotent), tokens=5, reserved=8)
        self.pass_time(1.0)
        self.set_store(kind if lasts else "fine", 2)

    @stateful.rule(host=HOSTS, account=ACCOUNTS, key=KEYS, delay=DELAYS)
    def freeze_and_lose_the_grant(self, host, account, key, delay):
        self.send((host, account, key, True), tokens=20, reserved=20, delay=delay)
        self.pass_time(0.02)
        self.fleet.pause(host)
        self.fleet.list.remove(host)
        self.pass_time(1.5)
        for other in self.fleet.hosts.values():
            self.fleet.keep(other.reclaim.check(account))
        self.pass_time(0.1)

    @stateful.rule(host=HOSTS, account=ACCOUNTS, key=KEYS, idempotent=st.booleans())
    def ask_through_a_peer(self, host, account, key, idempotent):
        self.fleet.store_cut.add(host)
        self.pass_time(1.2)
        self.send((host, account, key, idempotent))
        self.pass_time(0.3)
        self.fleet.store_cut.discard(host)

    @stateful.rule()
    def calm(self):
        self.heal()

    @stateful.rule(seconds=SPANS)
    def wait(self, seconds):
        self.pass_time(seconds)

    @stateful.rule(
        kind=st.sampled_from(["down", "slow", "lose", "lose", "hold", "hold", "fine"]),
        count=st.integers(min_value=1, max_value=3),
    )
    def disturb_store(self, kind, count):
        self.set_store(kind, count)
        self.pass_time(0.3)

    def set_store(self, kind, count):
        table = self.fleet.table
        table.down = kind == "down"
        table.delay = 0.3 * count if kind == "slow" else 0.0
        table.lose_answers = count if kind == "lose" else 0
        table.hold_commits = count if kind == "hold" else 0

    @stateful.rule(drop=FLAGS, backwards=st.booleans(), twice=st.booleans())
    def deliver_commits(self, drop, backwards, twice):
        held = self.fleet.table.held
        if drop:
            held.clear()
        if backwards:
            held.reverse()
        if twice:
            held.extend(list(held))
        self.fleet.table.deliver_held()

    @stateful.rule(host=HOSTS, pair=PAIRS, kind=st.sampled_from(NETWORK_FAULTS))
    def disturb_network(self, host, pair, kind):
        net = self.fleet.net
        if kind == "cut_store":
            self.fleet.store_cut.add(host)
        elif kind == "cut":
            net.cut.add(frozenset(pair))
        elif kind == "heal":
            self.fleet.store_cut.discard(host)
            net.cut.discard(frozenset(pair))
        else:
            setattr(net, kind, 2)

    @stateful.rule(host=HOSTS)
    def kill(self, host):
        if not self.fleet.hosts[host].gate.dead:
            self.fleet.kill(host)

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.loop.run_until_complete(self.fleet.restart(host))

    @stateful.rule(host=HOSTS, paused=FLAGS)
    def pause(self, host, paused):
        (self.fleet.pause if paused else self.fleet.resume)(host)

    @stateful.rule(host=HOSTS, kind=st.sampled_from(["add", "remove", "lag", "fresh"]))
    def disturb_list(self, host, kind):
        hosts = self.fleet.list
        if kind == "add":
            hosts.set(host, "127.0.0.1")
        elif kind == "remove":
            hosts.remove(host)
        elif kind == "lag":
            hosts.freeze()
        else:
            hosts.thaw()

    @stateful.rule(host=HOSTS, account=ACCOUNTS, purge=st.booleans())
    def keep_house(self, host, account, purge):
        self.fleet.wall_speed = 1_000.0 if purge else 1.0
        self.fleet.keep(self.fleet.hosts[host].reclaim.check(account))
        self.fleet.keep(self.fleet.hosts[host].grants.return_all())
        self.pass_time(0.05)

    @stateful.rule(host=HOSTS, account=ACCOUNTS, number=st.integers(0, 3))
    def top_up(self, host, account, number):
        self.fleet.top_up(host, account, f"invoice-{number}", 20 + number % 2)
        self.pass_time(0.05)

    @stateful.invariant()
    def promises_hold(self):
        money_oracle.check(self.fleet)

    def teardown(self):
        try:
            self.heal()
            self.pass_time(QUIET)
            money_oracle.check_quiet(self.fleet)
        finally:
            self.patch.stop()
            self.loop.finish()

    def heal(self):
        self.fleet.heal()
        self.pass_time(5.0)
        self.fleet.table.deliver_held()


class MoneyMachineTest(support.TestCase):
    def test_promises_hold_under_every_failure(self):
        stateful.run_state_machine_as_test(
            MoneyMachine, settings=support.fuzz_settings(examples=70, steps=30)
        )
