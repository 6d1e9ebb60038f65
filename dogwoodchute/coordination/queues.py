"""A bounded queue of requests with deadlines and weighted fair shares for accounts.

Accounts take turns by deficit round robin (Shreedhar and Varghese, 1996): the cost of a
request is its estimated tokens, and each account's quantum is proportional to its
weight. The requests of one account are ordered by `service_order`.
"""

import collections
import heapq
import typing

from dogwoodchute.coordination import service_order

QUANTUM = 4096.0  # tokens that each turn adds to the deficit of an account of weight 1


class Entry(typing.NamedTuple):
    """One waiting request."""

    id: str
    account: str
    weight: int
    cost: int  # estimated tokens
    latest: float  # monotonic seconds after which dispatch is too late
    priority: int = 0  # within the account; lower goes first
    arrived_at: float = 0.0  # monotonic seconds


class _AccountQueue:
    """The waiting requests of one account."""

    def __init__(self) -> None:
        # Rank and request ID. Requests that were removed stay in the heap until they
        # reach its head.
        self.heap: list[tuple[service_order.Rank, str]] = []
        self.deficit = 0.0  # tokens
        self.waiting = 0  # requests, without removed ones
        self.weight = 1


class FairQueue:
    """Requests that wait for a free slot at an endpoint."""

    def __init__(self, *, per_account: int = 256, total: int = 2048) -> None:
        self._per_account = per_account
        self._total = total
        self._entries: dict[str, Entry] = {}  # by request ID
        self._account_queues: dict[str, _AccountQueue] = {}  # by account
        # Accounts in the order of their turns.
        self._turns: collections.deque[str] = collections.deque()
        # Heap of `latest` times and request IDs.
        self._deadlines: list[tuple[float, str]] = []
        self._arrivals = 0
        self._is_new_turn = True  # the next account has not got its quantum yet

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def weights(self) -> int:
        """The sum of the weights of accounts with waiting requests."""
        return sum(
            account_queue.weight for account_queue in self._account_queues.values()
        )

    def waiting(self, account: str) -> int:
        """Return how many requests of an account wait."""
        account_queue = self._account_queues.get(account)
        return account_queue.waiting if account_queue is not None else 0

    def push(self, entry: Entry) -> bool:
        """Add a request; return False if the queue or the account's share is full.

        Raises `ValueError` if the request waits already.
        """
        if entry.id in self._entries:
            raise ValueError(f"request {entry.id!r} waits already")
        if len(self._entries) >= self._total:
            return False
        if self.waiting(entry.account) >= self._per_account:
            return False
        account_queue = self._account_queues.get(entry.account)
        if account_queue is None:
            account_queue = self._account_queues[entry.account] = _AccountQueue()
            self._turns.append(entry.account)
            self._is_new_turn = self._is_new_turn or len(self._turns) == 1
        account_queue.weight = max(1, entry.weight)
        account_queue.waiting += 1
        self._arrivals += 1
        rank = service_order.rank(
            priority=entry.priority,
            arrived_at=entry.arrived_at,
            work=entry.cost,
            number=self._arrivals,
        )
        heapq.heappush(account_queue.heap, (rank, entry.id))
        heapq.heappush(self._deadlines, (entry.latest, entry.id))
        self._entries[entry.id] = entry
        return True

    def peek(self) -> Entry | None:
        """Return the next request in fair order, None if none waits."""
        while self._turns:
            account_queue = self._account_queues[self._turns[0]]
            if self._is_new_turn:
                account_queue.deficit += QUANTUM * account_queue.weight
                self._is_new_turn = False
            entry = self._head(account_queue)
            if entry.cost <= account_queue.deficit:
                return entry
            self._turns.rotate(-1)
            self._is_new_turn = True
        return None

    def pop(self) -> Entry | None:
        """Remove and return the next request in fair order, None if none waits."""
        entry = self.peek()
        if entry is None:
            return None
        self._account_queues[entry.account].deficit -= entry.cost
        self._remove(entry)
        return entry

    def remove(self, request_id: str) -> bool:
        """Remove a request that was cancelled; return whether it waited."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def expire(self, now: float) -> list[Entry]:
        """Remove and return the requests whose `latest` time has come."""
        late = []
        while self._deadlines and self._deadlines[0][0] <= now:
            latest, request_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(request_id)
            if entry is None or entry.latest != latest:
                continue
            self._remove(entry)
            late.append(entry)
        return late

    def _head(self, account_queue: _AccountQueue) -> Entry:
        """Return the account's next request, dropping removed ones before it."""
        while account_queue.heap[0][1] not in self._entries:
            heapq.heappop(account_queue.heap)
        return self._entries[account_queue.heap[0][1]]

    def _remove(self, entry: Entry) -> None:
        del self._entries[entry.id]
        account_queue = self._account_queues[entry.account]
        account_queue.waiting -= 1
        if account_queue.waiting == 0:
            if self._turns[0] == entry.account:
                self._is_new_turn = True
            del self._account_queues[entry.account]
            self._turns.remove(entry.account)
        if len(self._deadlines) > 2 * len(self._entries) + 64:
            self._deadlines = [(e.latest, e.id) for e in self._entries.values()]
            heapq.heapify(self._deadlines)
