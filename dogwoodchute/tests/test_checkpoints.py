"""How often account rows are written, computed and in a fleet on simulated time."""

import collections
import random

from dogwoodchute.coordination import checkpoints, ranking
from dogwoodchute.gateway import model
from dogwoodchute.gateway.accounts import (
    account_rows,
    accounts,
    reservations,
    transfer_sources,
)
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual

HEARTBEATS = 1.0  # commits per second of each host, part of the fleet's rate
REGIONS = 2
TARGET_LATENCY = 0.8  # seconds of a request


class Fleet:
    """Hosts of two regions and a store that limits the rate of each partition."""

    def __init__(self, *, hosts, clients, prepaid, seed):
        self.random = random.Random(seed)
        random.seed(seed)  # for the random pauses in the tested code
        self.loop = virtual.Loop()
        rates = checkpoints.Rates()
        self.store = row_store.RowStore(now=self.loop.time, part_rate=rates.part)
        self.names = [f"h{number}" for number in range(hosts)]
        self.clients = [f"client{number}" for number in range(clients)]
        self.config = model.Config(
            version=1,
            routes={},
            services={},
            accounts={
                name: model.Account(name, frozenset(), None, prepaid)
                for name in self.clients
            },
            accounts_by_key={},
            limits=model.Limits(),
        )
        self.fault = row_store.NO_FAULT
        self.hosts = {}
        self.outcomes = collections.Counter()
        for name in self.names:
            self.start(name)

    def start(self, name):
        host = accounts.Accounts(
            holder=f"{name}-1",
            store=row_store.in_process_client(
                self.store, faults=lambda kind: self.fault
            ),
            config=lambda: self.config,
            hosts=lambda: len(self.names),
            request_tokens=lambda *arguments: self.request_tokens(name, *arguments),
            home=reservations.Home(
                is_local=lambda account: self.home(account, name) == name,
                is_remote=lambda account: self.home(account, name) != name,
                request=lambda account, tokens: self.transfer_out(
                    self.home(account, name), account, tokens
                ),
                give_back=lambda account, tokens: self.give_back(
                    self.home(account, name), account, tokens
                ),
            ),
            now=self.loop.time,
            regions=REGIONS,
        )
        self.hosts[name] = host
        self.loop.create_task(host.run())

    async def give_back(self, home, account, tokens):
        return not self.hosts[home].take_back(account, tokens)

    def home(self, account, name):
        """Return the account's home host in the region of the host `name`."""
        region = self.names[int(name[1:]) % REGIONS :: REGIONS]
        return max(region, key=lambda other: ranking.score(account, other, 1.0))

    async def transfer_out(self, name, account, tokens):
        return await self.hosts[name].transfer_out(account, tokens)

    async def request_tokens(self, name, account, tokens, holders):
        """Request tokens for the host `name` from other hosts, home hosts first."""
        received = 0
        homes = [self.home(account, name), self.home(account, self.names[0])]
        homes.append(self.home(account, self.names[1]))
        known = [holder.rpartition("-")[0] for holder in holders]
        order = dict.fromkeys([*homes, *known, *self.names])
        for other in [other for other in order if other != name][
            : transfer_sources.MAX_SOURCES
        ]:
            received += await self.transfer_out(other, account, tokens - received)
            if received >= tokens:
                break
        return reservations.TokensReceived(received, False)

    async def request(self, name, client):
        tokens = self.random.randrange(500, 20_000)
        wait = reservations.max_wait(TARGET_LATENCY)
        outcome = await self.hosts[name].reserve(client, tokens, wait=wait)
        self.outcomes[type(outcome).__name__] += 1
        if not isinstance(outcome, reservations.Reserved):
            return
        self.loop.call_later(
            self.random.uniform(0.5, 4.0),
            self.hosts[name].settle,
            client,
            tokens,
            account_rows.Bill("request", tokens // 2, tokens // 4),
        )

    def run(self, *, rate, seconds):
        """Send requests, most of them by a few of the accounts."""
        weights = [1 / (1 + number) for number in range(len(self.clients))]
        for _ in range(int(rate * seconds)):
            client = self.random.choices(self.clients, weights)[0]
            name = self.random.choice(self.names)
            self.loop.create_task(self.request(name, client))
            self.loop.run_for(1 / rate)
        self.loop.run_for(1)


class CheckpointsTest(support.TestCase):
    def test_checkpoints_of_62_hosts_stay_below_the_rate_of_a_part(self):
        """Once all rows were in one partition, and the fleet exceeded its rate.

        The store refused commits with status 429, and hosts got no tokens.
        """
        fleet = Fleet(hosts=62, clients=24, prepaid=30_000_000, seed=1)
        self.addCleanup(fleet.loop.finish)
        fleet.run(rate=200, seconds=8)
        rates = checkpoints.Rates()
        self.assertEqual({"Reserved": 1600}, dict(fleet.outcomes))
        self.assertLess(max(fleet.store.arrivals.values()), 0.75 * rates.part)
        by_second = collections.Counter()
        for (_, second), count in fleet.store.arrivals.items():
            by_second[second] += count
        self.assertLess(max(by_second.values()) + 62 * HEARTBEATS, 0.75 * rates.fleet)

    def test_hosts_that_empty_a_budget_do_not_fill_its_part(self):
        """Once draws conflicted with one another and all hosts retried at once."""
        fleet = Fleet(hosts=62, clients=24, prepaid=2_000_000, seed=2)
        self.addCleanup(fleet.loop.finish)
        fleet.run(rate=200, seconds=6)
        self.assertGreater(fleet.outcomes["OutOfReach"], 0)
        rate = checkpoints.Rates().part
        self.assertLess(max(fleet.store.arrivals.values()), 0.75 * rate)

    def test_homes_serve_a_region_through_nine_seconds_without_the_store(self):
        """Once home hosts had too few tokens and refused only after a timeout."""
        fleet = Fleet(hosts=40, clients=12, prepaid=40_000_000, seed=1)
        self.addCleanup(fleet.loop.finish)
        fleet.run(rate=100, seconds=7)
        self.assertEqual({"Reserved": 700}, dict(fleet.outcomes))
        fleet.fault = row_store.Fault(silent=True)
        fleet.run(rate=100, seconds=8)
        self.assertLess(fleet.outcomes["OutOfReach"], 6)

    def test_all_commit_rates_together_leave_room_for_draws(self):
        for hosts in (1, 7, 16, 62, 340):
            for rates in (checkpoints.Rates(), checkpoints.Rates(part=50, fleet=90)):
                homes = checkpoints.max_home_hosts(accounts=24, regions=2, hosts=hosts)
                self.assertLessEqual(homes, hosts)
                commits = 0.0
                for commit_rate, writers in [
                    (checkpoints.HOME_COMMITS, homes),
                    (checkpoints.OWN_COMMITS, hosts),
                    (checkpoints.BILL_COMMITS, hosts),
                ]:
                    seconds = checkpoints.commit_interval(
                        commit_rate, writers=writers, rates=rates
                    )
                    self.assertGreaterEqual(seconds, commit_rate.min_interval)
                    commits += writers / seconds
                self.assertLess(commits, 0.61 * rates.part)
                self.assertLess(commits * checkpoints.PARTS, 0.61 * rates.fleet)

    def test_homes_write_often_enough_for_a_restart_in_a_second(self):
        homes = checkpoints.max_home_hosts(accounts=24, regions=2, hosts=340)
        seconds = checkpoints.commit_interval(
            checkpoints.HOME_COMMITS, writers=homes, rates=checkpoints.Rates()
        )
        self.assertLess(seconds, 1.0)

    def test_accounts_spread_over_all_parts(self):
        parts = collections.Counter(
            account_rows.part_of(f"client{number}") for number in range(300)
        )
        self.assertEqual(set(account_rows.parts()), set(parts))
        self.assertLess(max(parts.values()), 130)
