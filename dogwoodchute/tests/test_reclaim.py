"""Closing holdings of ended processes, also of a whole fleet that was killed."""

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import escrow
from dogwoodchute.gateway import host_rows, rows
from dogwoodchute.gateway.accounts import account_rows, reclaim
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual

HOSTS = [f"edge-{n}" for n in range(62)]
ACCOUNTS = [f"acc{n}" for n in range(24)]
GRANTED, LIMIT, SPENT, RESERVED, MOVED = 1000, 400, 300, 45, 20
HEADROOM = LIMIT - SPENT - RESERVED - MOVED


class Site:
    """A store with the holdings of a killed fleet, and the processes after it."""

    def __init__(self, *, accounts=ACCOUNTS, names=HOSTS):
        self.loop = virtual.Loop()
        self.store = row_store.RowStore(now=self.loop.time)
        self.fault = row_store.NO_FAULT
        self.commits = 0
        for account in accounts:
            drawn = GRANTED * len(names)
            self.put(account, account_rows.ACCOUNTS, account, [drawn, 0])
            for name in names:
                self.hold(account, f"{name}-old")
        self.newest = {name: self.host(name) for name in names}

    def put(self, account, table, key, plain):
        put = rows.Put(table, key, account_rows.encode_value(plain))
        self.store.commit(account_rows.part_of(account), [], [put])

    def hold(self, account, holder, *, registered=1):
        key = f"{account}/{holder}"
        holding = escrow.Holding(
            granted=GRANTED,
            spent=SPENT,
            limit=LIMIT,
            commit=1,
            at=self.loop.time(),
            registered=registered,
            reserved=RESERVED,
            moved=MOVED,
        )
        self.put(account, account_rows.HOLDINGS, key, list(holding))

    def host(self, name):
        place = {**dict.fromkeys(host_rows.TEXTS, ""), "name": name}
        host = host_rows.Host(id=f"{name}-new", **place)
        version = self.store.version + 1
        return host._replace(registered=version, began=self.loop.time() + 1.0)

    def inject_fault(self, kind):
        self.commits += kind == "commit"
        return self.fault

    def reclaimer(self, *, is_responsible_for=lambda part: True):
        return reclaim.Reclaimer(
            store=row_store.in_process_client(self.store, faults=self.inject_fault),
            registered=lambda: self.newest,
            is_responsible_for=is_responsible_for,
            now=self.loop.time,
        )

    def run(self, reclaimer, seconds):
        task = self.loop.create_task(reclaimer.run())
        self.loop.run_for(seconds)
        task.cancel()
        self.loop.run_for(0.1)

    def drawn(self, account):
        part = account_rows.part_of(account)
        found = self.store.read(account_rows.ACCOUNTS, part, account, account + "\0")
        return account_rows.decode_account(found.rows[0].value)

    def held(self):
        found = []
        for part in account_rows.parts():
            found += self.store.read(account_rows.HOLDINGS, part, None, None).rows
        return [row.key for row in found]


class ReclaimTest(support.TestCase):
    def test_a_fleet_killed_at_once_gets_its_tokens_back_in_few_commits(self):
        site = Site()
        site.run(site.reclaimer(), 5.0)
        self.assertEqual([], site.held())
        self.assertLessEqual(site.commits, 2 * len(ACCOUNTS))
        for account in ACCOUNTS:
            expected = escrow.Account(
                drawn=LIMIT * len(HOSTS),
                closed_spent=SPENT * len(HOSTS),
                lost_reserved=RESERVED * len(HOSTS),
                lost_headroom=HEADROOM * len(HOSTS),
            )
            self.assertEqual(expected, site.drawn(account))

    def test_hosts_that_all_close_count_each_holding_once(self):
        site = Site()
        tasks = [
            site.loop.create_task(reclaimer.run())
            for reclaimer in [site.reclaimer() for _ in range(4)]
        ]
        site.loop.run_for(10.0)
        for task in tasks:
            task.cancel()
        site.loop.run_for(0.1)
        self.assertEqual([], site.held())
        for account in ACCOUNTS:
            self.assertEqual(LIMIT * len(HOSTS), site.drawn(account).drawn)

    def test_holdings_of_living_and_unknown_incarnations_stay(self):
        site = Site(accounts=["ann"], names=HOSTS[:2])
        for holder in ("edge-0-new", "edge-0-newer", "elsewhere-1"):
            site.hold("ann", holder, registered=0)
        site.hold("ann", "edge-0-newest", registered=site.store.version)
        site.run(site.reclaimer(), 3.0)
        left = ["edge-0-new", "edge-0-newer", "edge-0-newest", "elsewhere-1"]
        self.assertEqual([f"ann/{holder}" for holder in left], sorted(site.held()))

    def test_only_the_host_responsible_for_a_part_closes(self):
        site = Site(accounts=["ann"], names=HOSTS[:2])
        site.run(site.reclaimer(is_responsible_for=lambda part: False), 3.0)
        self.assertEqual(2, len(site.held()))
        self.assertEqual(0, site.commits)

    def test_what_became_of_a_dead_host_s_tokens_is_reported(self):
        logged = []
        self.patch(log, "info", lambda event, **fields: logged.append((event, fields)))
        ends = ("spent", "returned", "reserved", "headroom", "risen")
        before = {end: self.count(end) for end in ends}
        site = Site(accounts=["ann"], names=HOSTS[:1])
        site.run(site.reclaimer(), 3.0)
        fields = dict(logged)["holding_closed"]
        self.assertEqual(
            (GRANTED - LIMIT, RESERVED + HEADROOM, MOVED),
            (fields["reclaimed"], fields["lost"], fields["moved"]),
        )
        counted = {end: self.count(end) - before[end] for end in before}
        expected = (SPENT, GRANTED - LIMIT, RESERVED, HEADROOM, 0)
        self.assertEqual(expected, tuple(counted.values()))

    def count(self, end):
        name = "dogwoodchute_closed_tokens_total"
        return prometheus_client.REGISTRY.get_sample_value(name, {"end": end}) or 0

    def test_a_store_that_was_away_is_tried_again(self):
        site = Site(accounts=["ann"], names=HOSTS[:2])
        site.fault = row_store.Fault(status=503)
        reclaimer = site.reclaimer()
        site.run(reclaimer, 4.0)
        self.assertEqual(2, len(site.held()))
        site.fault = row_store.NO_FAULT
        site.run(reclaimer, 4.0)
        self.assertEqual([], site.held())
        self.assertEqual(2 * LIMIT, site.drawn("ann").drawn)

    def test_what_was_closed_since_the_copy_of_a_restored_store_is_closed_again(self):
        site = Site(names=HOSTS[:5], accounts=ACCOUNTS[:3])
        copy = site.store.copy()
        reclaimer = site.reclaimer()
        site.run(reclaimer, 15.0)
        self.assertEqual([], site.held())
        site.store.restore(copy)
        self.assertNotEqual([], site.held())
        site.run(reclaimer, 5.0)
        self.assertEqual([], site.held())

    def test_a_holding_that_a_restored_store_shows_as_it_was_gives_nothing_back(self):
        """Its holder may have used more under commits that the copy lacks."""
        site = Site(names=HOSTS[:2], accounts=["ann"])
        site.store.restore(site.store.copy())
        site.run(site.reclaimer(), 5.0)
        self.assertEqual([], site.held())
        self.assertEqual(2 * GRANTED, site.drawn("ann").drawn)

    def test_hosts_are_not_ranked_while_nothing_is_to_be_closed(self):
        checked_parts = []
        site = Site(accounts=["ann"], names=HOSTS[:2])
        reclaimer = site.reclaimer(
            is_responsible_for=lambda part: checked_parts.append(part) or True
        )
        site.run(reclaimer, 10.0)
        checked_parts.clear()
        site.run(reclaimer, 10.0)
        self.assertEqual([], checked_parts)

    def test_a_holding_that_changes_while_it_is_closed_is_closed_later(self):
        """In the last recheck it was dropped, until a host started the next time."""
        site = Site(accounts=["ann"], names=HOSTS[:2])
        read = site.store.read
        changes = []

        def read_then_change(table, part, first, stop):
            answer = read(table, part, first, stop)
            if table == account_rows.HOLDINGS and answer.rows and not changes:
                changes.append(True)
                site.hold("ann", "edge-0-old")
            return answer

        site.store.read = read_then_change
        newest = {name: site.newest[name] for name in HOSTS[:2]}
        part = account_rows.part_of("ann")
        reclaimer = site.reclaimer()
        self.assertFalse(
            site.loop.run_until_complete(reclaimer.close(part, newest)),
            "a holding was left, though nothing says so",
        )
        self.assertTrue(site.loop.run_until_complete(reclaimer.close(part, newest)))
        self.assertEqual([], site.held())

    def test_a_holding_that_cannot_be_read_keeps_no_other_one(self):
        site = Site(accounts=["ann"], names=HOSTS[:2])
        site.put("ann", account_rows.HOLDINGS, "ann/edge-0-odd", {"deep": [[]]})
        site.run(site.reclaimer(), 3.0)
        self.assertEqual(["ann/edge-0-odd"], site.held())

    def test_a_first_draw_that_lands_after_all_was_closed_comes_back(self):
        site = Site(accounts=["ann"], names=HOSTS[:2])
        reclaimer = site.reclaimer()
        site.run(reclaimer, 2.0)
        self.assertEqual([], site.held())
        site.hold("ann", "edge-0-old")
        site.run(reclaimer, 7.0)
        self.assertEqual([], site.held())

    def test_a_lost_answer_gives_nothing_back_twice(self):
        site = Site(accounts=["ann"], names=HOSTS[:2])
        site.fault = row_store.Fault(lose_answer=True)
        site.run(site.reclaimer(), 1.0)
        site.fault = row_store.NO_FAULT
        site.run(site.reclaimer(), 4.0)
        self.assertEqual([], site.held())
        self.assertEqual(2 * LIMIT, site.drawn("ann").drawn)

    def test_a_successor_that_began_late_gives_nothing_back(self):
        site = Site(accounts=["ann"], names=HOSTS[:1])
        late = site.newest["edge-0"].began + escrow.WRITE_AHEAD
        site.newest["edge-0"] = site.newest["edge-0"]._replace(began=late)
        site.run(site.reclaimer(), 3.0)
        self.assertEqual([], site.held())
        self.assertEqual(GRANTED, site.drawn("ann").drawn)
