"""The money core of three hosts under every failure, against a simple oracle."""

import sys
from unittest import mock

from hypothesis import stateful, strategies as st

from dogwoodchute import log
from dogwoodchute.tests import money_fleet, money_oracle, support, virtual

HOSTS = st.sampled_from(sorted(money_fleet.PLACES))
ACCOUNTS = st.sampled_from(sorted(money_fleet.ACCOUNTS))
KEYS = st.integers(min_value=0, max_value=5)
SPANS = st.sampled_from([0.01, 0.05, 0.3, 1.0, 4.0, 15.0, 70.0])
DELAYS = st.sampled_from([0.0, 0.0, 0.2, 2.0, 9.0])
MODES = st.sampled_from(["answer", "answer", "answer", "refuse", "cut", "raise"])
PAIRS = st.sampled_from([("h1", "h2"), ("h1", "h3"), ("h2", "h3")])
QUIET = 200.0  # seconds


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
        keys=st.lists(KEYS, min_size=1, max_size=4),
        body=st.sampled_from([b"x", b"x", b"x", b"y"]),
        idempotent=st.booleans(),
        tokens=st.integers(min_value=1, max_value=60),
        delay=DELAYS,
        mode=MODES,
    )
    def ask(self, host, account, keys, body, idempotent, tokens, delay, mode):
        for key in keys:
            self.send(
                (host, account, key, idempotent),
                body=body,
                tokens=tokens,
                reserved=tokens + 10,
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

    @stateful.rule(seconds=SPANS)
    def wait(self, seconds):
        self.pass_time(seconds)

    @stateful.rule(down=st.booleans(), delay=st.sampled_from([0.0, 0.0, 0.5, 3.0]))
    def change_store(self, down, delay):
        self.fleet.table.down = down
        self.fleet.table.delay = delay

    @stateful.rule(count=st.integers(min_value=1, max_value=3))
    def lose_commit_answers(self, count):
        self.fleet.table.lose_answers = count
        self.pass_time(0.3)

    @stateful.rule(count=st.integers(min_value=1, max_value=3))
    def hold_commits(self, count):
        self.fleet.table.hold_commits = count
        self.pass_time(0.3)

    @stateful.rule(drop=st.booleans(), backwards=st.booleans(), twice=st.booleans())
    def deliver_commits(self, drop, backwards, twice):
        held = self.fleet.table.held
        if drop:
            held.clear()
        if backwards:
            held.reverse()
        if twice:
            held.extend(list(held))
        self.fleet.table.deliver_held()

    @stateful.rule(host=HOSTS, cut=st.booleans())
    def cut_from_store(self, host, cut):
        (self.fleet.store_cut.add if cut else self.fleet.store_cut.discard)(host)

    @stateful.rule(pair=PAIRS, cut=st.booleans())
    def cut_between_hosts(self, pair, cut):
        known = self.fleet.net.cut
        (known.add if cut else known.discard)(frozenset(pair))

    @stateful.rule(
        calls=st.integers(0, 2), answers=st.integers(0, 2), twice=st.integers(0, 2)
    )
    def disturb_peers(self, calls, answers, twice):
        self.fleet.net.lose_calls = calls
        self.fleet.net.lose_answers = answers
        self.fleet.net.duplicate_calls = twice

    @stateful.rule(host=HOSTS)
    def kill(self, host):
        if not self.fleet.hosts[host].gate.dead:
            self.fleet.kill(host)

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.loop.run_until_complete(self.fleet.restart(host))

    @stateful.rule(host=HOSTS, paused=st.booleans())
    def pause(self, host, paused):
        (self.fleet.pause if paused else self.fleet.resume)(host)

    @stateful.rule(host=HOSTS, listed=st.booleans())
    def change_list(self, host, listed):
        if listed:
            self.fleet.list.set(host, "127.0.0.1")
        else:
            self.fleet.list.remove(host)

    @stateful.rule(lag=st.booleans())
    def let_list_lag(self, lag):
        (self.fleet.list.freeze if lag else self.fleet.list.thaw)()

    @stateful.rule(host=HOSTS, account=ACCOUNTS)
    def reclaim(self, host, account):
        self.fleet.keep(self.fleet.hosts[host].reclaim.check(account))
        self.pass_time(0.05)

    @stateful.rule(host=HOSTS, account=ACCOUNTS, number=st.integers(0, 3))
    def top_up(self, host, account, number):
        self.fleet.top_up(host, account, f"invoice-{number}", 20 + number % 2)
        self.pass_time(0.05)

    @stateful.rule(host=HOSTS)
    def return_grants(self, host):
        self.fleet.keep(self.fleet.hosts[host].grants.return_all())
        self.pass_time(0.05)

    @stateful.rule()
    def keep_no_closed_grants(self):
        self.fleet.wall_speed = 1_000.0

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
        fleet = self.fleet
        fleet.table.down = False
        fleet.table.delay = 0.0
        fleet.table.lose_answers = fleet.table.hold_commits = 0
        fleet.store_cut.clear()
        fleet.net.cut.clear()
        fleet.net.lose_calls = fleet.net.lose_answers = fleet.net.duplicate_calls = 0
        fleet.list.thaw()
        for host in fleet.hosts:
            fleet.resume(host)
        self.pass_time(5.0)
        fleet.table.deliver_held()


class MoneyMachineTest(support.TestCase):
    def test_promises_hold_under_every_failure(self):
        stateful.run_state_machine_as_test(
            MoneyMachine, settings=support.fuzz_settings(examples=40, steps=30)
        )
