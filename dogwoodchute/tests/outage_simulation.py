"""A simulated fleet that spends an account's budget through outages of its hosts."""

import asyncio
import random

from dogwoodchute.gateway.accounts import account_rows, reservations
from dogwoodchute.tests import test_accounts

HOSTS = [f"edge-{number}" for number in range(7)]
RATE = 3.6  # requests a second; a tenth of a site's
SIZES = [17_140, 9_240, 1_632]  # tokens
WEIGHTS = [11.1, 8.3, 16.5]  # requests a second of each size
DEMAND = RATE * sum(s * w for s, w in zip(SIZES, WEIGHTS, strict=True)) / sum(WEIGHTS)
MAX_WAIT = 0.2  # seconds; how long a request waits for tokens
ANSWER_SECONDS = 0.5  # seconds from the reservation to the end of the answer
RESTART = 0.6  # seconds from a host's return until it is ready


class Simulation(test_accounts.Fleet):
    """Sends requests to random hosts; records their times and whether they ran."""

    def __init__(self, *, budget, seed):
        """Start a fleet whose budget is `budget` seconds of use."""
        self.requests = []
        self.spent = 0  # tokens, by requests that ran
        self._random = random.Random(seed)
        random.seed(seed)  # for the backoff after conflicts
        super().__init__(HOSTS, prepaid=int(budget * DEMAND))

    def serve(self, seconds, *, plans=1):
        """Send requests for `seconds`, the largest `plans` times as often as usual."""
        weights = [plans * WEIGHTS[0], *WEIGHTS[1:]]
        rate = RATE * sum(weights) / sum(WEIGHTS)
        task = self.loop.create_task(self._arrive(rate, weights))
        self.loop.run_for(seconds)
        task.cancel()

    def outage(self, seconds, *, hosts=HOSTS):
        """Kill hosts, all by default, and restart them after `seconds`.

        Requests that they get meanwhile fail.
        """
        for name in hosts:
            self.kill(name)
        self.loop.run_for(seconds + RESTART)
        for name in hosts:
            self.start(name)

    def lost(self):
        """Return the tokens that closed holdings lost beyond requests in flight."""
        part = account_rows.part_of("ann")
        result = self.store.read(account_rows.ACCOUNTS, part, None, None)
        row = account_rows.decode_account(result.rows[0].value)
        return row.lost_headroom + row.lost_risen

    def home_of(self, name):
        """Return the host that draws for the others while the store is slow."""
        return HOSTS[0] if self.hosts[name].store_is_slow else None

    def served(self, first, last):
        """Return the share that ran of the requests from `first` to before `last`."""
        ended = [ran for at, ran in self.requests if first <= at < last]
        return sum(ended) / len(ended)

    async def _arrive(self, rate, weights):
        while True:
            await asyncio.sleep(self._random.expovariate(rate))
            name = self._random.choice(HOSTS)
            size = self._random.choices(SIZES, weights)[0]
            self.loop.create_task(self._request(self.hosts[name], size))

    async def _request(self, host, tokens):
        at = self.loop.time()
        outcome = await host.reserve("ann", tokens, wait=MAX_WAIT)
        ran = isinstance(outcome, reservations.Reserved)
        self.requests.append((at, ran))
        if not ran:
            return
        self.spent += tokens
        await asyncio.sleep(ANSWER_SECONDS)
        host.settle("ann", tokens, account_rows.Bill("r", tokens, 0))
