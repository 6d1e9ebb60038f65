"""A simulated fleet whose hosts are lost, frozen or cut off while they hold tokens."""

from dogwoodchute.coordination import witnesses
from dogwoodchute.gateway import contact, host_rows, rows
from dogwoodchute.gateway.accounts import (
    account_rows,
    accounts,
    lost_holdings,
    reservations,
    witnessing,
)
from dogwoodchute.standins import row_store
from dogwoodchute.tests import network_gate, test_accounts, virtual

PART = account_rows.part_of("ann")
ENDED = rows.Unavailable(reason="the process has ended")


class Host:
    """One host: what it holds, and what it can reach."""

    def __init__(self, *, name, fleet, clock_offset=0.0):
        self.id = f"{name}-1"
        self.reaches_store = True
        self.reaches_hosts = True
        self.fault = row_store.NO_FAULT
        self.gate = network_gate.NetworkGate()
        self.used = 0  # tokens of requests that ran here
        self._fleet = fleet
        self._tasks = []

        def now():
            return fleet.loop.time() + clock_offset

        client = row_store.in_process_client(
            fleet.store, faults=lambda kind: self._fault()
        )
        watcher = contact.Contact(now=now)
        self.store = watcher.watch(
            client._replace(
                read=self.gate.guard(client.read),
                feed=self.gate.guard(client.feed),
                commit=self.gate.guard(client.commit),
            )
        )
        self.witnessing = witnessing.Witnessing(
            id=self.id,
            live=lambda: fleet.rows_of_others(self),
            contact=watcher,
            store=self.store,
            client=witnessing.Client(
                confirm=self.gate.guard(self._ask_to_confirm),
                denies=self.gate.guard(self._ask_to_deny),
            ),
            now=now,
        )
        self.accounts = accounts.Accounts(
            holder=self.id,
            store=self.store,
            config=lambda: fleet.config,
            hosts=lambda: len(fleet.hosts),
            request_tokens=self._request_tokens,
            home=reservations.Home(
                is_local=lambda account: False,
                is_remote=lambda account: False,
                request=None,
                give_back=None,
            ),
            now=now,
            registered=lambda: 1,
            witnesses=reservations.Witnesses(
                names=self.witnessing.names,
                may_rise=self.witnessing.may_rise,
                live_ids=fleet.live_ids,
            ),
        )
        self.lost_holdings = lost_holdings.LostHoldings(
            store=self.store,
            fleet=lost_holdings.Fleet(
                live=fleet.live_ids,
                down=lambda: frozenset(fleet.down),
                registered=lambda: {},
                is_responsible_for=lambda part: fleet.closer() is self,
            ),
            count_denials=self.witnessing.count_denials,
            now=now,
        )

    def run(self):
        parts = (self.accounts, self.witnessing, self.lost_holdings)
        self._tasks = [self._fleet.loop.create_task(part.run()) for part in parts]

    def kill(self):
        for task in self._tasks:
            task.cancel()
        self.gate.dead = True

    def freeze(self):
        """Hold back all that the host sends or receives; send it no requests."""
        self.gate.pause()

    def wake(self):
        self.gate.resume()

    async def reserve(self, tokens, **options):
        """Reserve tokens and use them all; return the outcome."""
        outcome = await self.accounts.reserve("ann", tokens, **options)
        if isinstance(outcome, reservations.Reserved):
            self.used += tokens
            bill = account_rows.Bill("r", tokens, 0)
            self.accounts.settle("ann", tokens, bill)
        return outcome

    @property
    def answers(self):
        return self.reaches_hosts and not self.gate.paused and not self.gate.dead

    def _fault(self):
        if not self.reaches_store or not self._fleet.store_answers:
            return row_store.Fault(silent=True)
        return self.fault

    async def _request_tokens(self, account, tokens, holders):
        received, all_answered = 0, True
        for other in self._fleet.hosts.values():
            if other is self or other.id in self._fleet.down:
                continue
            if not (self.answers and other.answers):
                all_answered = False
                continue
            received += await other.accounts.transfer_out(account, tokens - received)
        return reservations.TokensReceived(received, all_answered)

    async def _ask_to_confirm(self, address, witness, holder, asked):
        other = self._fleet.by_id(witness)
        if not (self.answers and other.answers):
            return None
        return await other.witnessing.confirm(holder, asked)

    async def _ask_to_deny(self, address, witness, question):
        other = self._fleet.by_id(witness)
        return self.answers and other.answers and other.witnessing.denies(question)


class LostFleet:
    """Hosts on one store that use the tokens of the account `ann`."""

    def __init__(self, names, *, prepaid, clock_offsets=None):
        self.loop = virtual.Loop()
        self.prepaid = prepaid
        self.store = row_store.RowStore(now=self.loop.time)
        self.store_answers = True
        self.down = set()  # ids that other hosts marked as down
        self.config = test_accounts.config(prepaid)
        self.hosts = {}
        self._rows = {}
        for name in names:
            offset = (clock_offsets or {}).get(name, 0.0)
            self.hosts[name] = Host(name=name, fleet=self, clock_offset=offset)
        for host in self.hosts.values():
            host.run()

    def by_id(self, incarnation):
        return next(host for host in self.hosts.values() if host.id == incarnation)

    def closer(self):
        """Return the host that looks at lost holdings: the first that answers."""
        return next(host for host in self.hosts.values() if host.answers)

    def rows_of_others(self, host):
        """Return the same tuple until a host is marked as down."""
        key = (host.id, len(self.down))
        if key not in self._rows:
            place = dict.fromkeys(host_rows.TEXTS, "")
            self._rows[key] = tuple(
                host_rows.Host(**{**place, "state": host_rows.READY}, id=other.id)
                for other in self.hosts.values()
                if other is not host and other.id not in self.down
            )
        return self._rows[key]

    def live_ids(self):
        ids = frozenset(host.id for host in self.hosts.values())
        return ids - self.down

    def serve(self, seconds, *, names=None, tokens=1_000, rate=10.0):
        """Send requests in turn to hosts for `seconds`; return their outcomes."""
        names = names or list(self.hosts)
        count = int(seconds * rate)
        asked = []
        for number in range(count):
            host = self.hosts[names[number % len(names)]]
            asked.append(self.loop.create_task(host.reserve(tokens, wait=0.3)))
            self.loop.run_for(1 / rate)
        return [self.loop.run_until_complete(each) for each in asked]

    def drain(self, name, *, tokens=100, tries=2_000):
        """Use all that one host lets requests use at this moment."""
        host = self.hosts[name]
        used = host.used
        for _ in range(tries):
            outcome = self.loop.run_until_complete(host.reserve(tokens, wait=0.01))
            if not isinstance(outcome, reservations.Reserved):
                break
        return host.used - used

    def used(self):
        return sum(host.used for host in self.hosts.values())

    def holding(self, name):
        """Return the holding in the store, None without one."""
        key = f"ann/{self.hosts[name].id}"
        found = self.store.read(account_rows.HOLDINGS, PART, key, key + "\0").rows
        return account_rows.decode_holding(found[0].value) if found else None

    def lose(self, name):
        """Let the other hosts mark one as down, and wait until it is looked at."""
        self.down.add(self.hosts[name].id)
        self.loop.run_for(witnesses.CONTACT_WINDOW + 8.0)
