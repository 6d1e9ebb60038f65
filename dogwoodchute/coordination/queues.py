"""A bounded queue with fair shares between client accounts and with deadlines.

Accounts take turns by deficit round robin (Shreedhar and Varghese, 1996) over estimated
tokens, by weight. Within an account, requests go by priority, then by arrival.
"""

import collections
import heapq
import typing

QUANTUM = 4096.0  # tokens added to an account of weight one at each turn


class Entry(typing.NamedTuple):
    """One waiting request."""

    id: str
    account: str
    weight: int
    cost: int  # estimated tokens
    latest: float  # monotonic seconds after which dispatch is too late
    priority: int = 0  # lower goes first among the account's own


class _Lane:
    def __init__(self) -> None:
        self.heap: list[tuple[int, int, str]] = []
        self.deficit = 0.0
        self.waiting = 0
        self.weight = 1


class FairQueue:
    """Requests that wait for room at an endpoint."""

    def __init__(self, *, per_account: int = 256, total: int = 2048) -> None:
        self._per_account = per_account
        self._total = total
        self._entries: dict[str, Entry] = {}
        self._lanes: dict[str, _Lane] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._latest: list[tuple[float, str]] = []
        self._arrivals = 0
        self._fresh_turn = True

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def weights(self) -> int:
        """The sum of the weights of accounts that wait."""
        return sum(lane.weight for lane in self._lanes.values())

    def waiting(self, account: str) -> int:
        """Return how many requests of an account wait."""
        lane = self._lanes.get(account)
        return lane.waiting if lane is not None else 0

    def push(self, entry: Entry) -> bool:
        """Add a request; return False if a bound forbids it."""
        if entry.id in self._entries:
            raise ValueError(f"request {entry.id!r} waits already")
        if len(self._entries) >= self._total:
            return False
        if self.waiting(entry.account) >= self._per_account:
            return False
        lane = self._lanes.get(entry.account)
        if lane is None:
            lane = self._lanes[entry.account] = _Lane()
            self._turns.append(entry.account)
            self._fresh_turn = self._fresh_turn or len(self._turns) == 1
        lane.weight = max(1, entry.weight)
        lane.waiting += 1
        self._arrivals += 1
        heapq.heappush(lane.heap, (entry.priority, self._arrivals, entry.id))
        heapq.heappush(self._latest, (entry.latest, entry.id))
        self._entries[entry.id] = entry
        return True

    def peek(self) -> Entry | None:
        """Return the next request in fair order, None if none waits."""
        while self._turns:
            lane = self._lanes[self._turns[0]]
            if self._fresh_turn:
                lane.deficit += QUANTUM * lane.weight
                self._fresh_turn = False
            entry = self._head(lane)
            if entry.cost <= lane.deficit:
                return entry
            self._turns.rotate(-1)
            self._fresh_turn = True
        return None

    def pop(self) -> Entry | None:
        """Take the next request in fair order, None if none waits."""
        entry = self.peek()
        if entry is None:
            return None
        self._lanes[entry.account].deficit -= entry.cost
        self._forget(entry)
        return entry

    def remove(self, request_id: str) -> bool:
        """Take out a request that was cancelled; return whether it waited."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        self._forget(entry)
        return True

    def expire(self, now: float) -> list[Entry]:
        """Take out the requests that can no longer be dispatched in time."""
        late = []
        while self._latest and self._latest[0][0] <= now:
            latest, request_id = heapq.heappop(self._latest)
            entry = self._entries.get(request_id)
            if entry is None or entry.latest != latest:
                continue
            self._forget(entry)
            late.append(entry)
        return late

    def _head(self, lane: _Lane) -> Entry:
        while lane.heap[0][2] not in self._entries:
            heapq.heappop(lane.heap)
        return self._entries[lane.heap[0][2]]

    def _forget(self, entry: Entry) -> None:
        del self._entries[entry.id]
        lane = self._lanes[entry.account]
        lane.waiting -= 1
        if lane.waiting == 0:
            if self._turns[0] == entry.account:
                self._fresh_turn = True
            del self._lanes[entry.account]
            self._turns.remove(entry.account)
        if len(self._latest) > 2 * len(self._entries) + 64:
            self._latest = [(e.latest, e.id) for e in self._entries.values()]
            heapq.heapify(self._latest)
