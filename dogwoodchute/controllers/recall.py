"""Asks peers to give back what they hold of a budget that seems spent.

Money moves through the store alone: a peer returns its free tokens to the budget, and
the asking host draws them from there.
"""

import asyncio

import prometheus_client

from dogwoodchute import controller, log, peers, state
from dogwoodchute.controllers import grants

KIND = "recall_grant"
CALL_TIMEOUT = 2.0  # seconds
PAUSE = 0.2  # seconds between two recalls of one account that brought nothing
MAX_ASKED = 24  # peers
HINT = "tokens"
HINT_INTERVAL = 2.0  # seconds
MAX_HINTED = 32  # client accounts

RECALLED = prometheus_client.Counter(
    "dogwoodchute_recalled_tokens", "Tokens that this host gave back for a peer"
)


class Recall:
    """Recalls grants for this host, and answers the recalls of others."""

    def __init__(self, *, host: state.HostState, granted: grants.Grants) -> None:
        self._host = host
        self._grants = granted
        self._fruitless: dict[str, float] = {}  # when, monotonic seconds
        host.peers.handle(KIND, self._answer)

    async def recall(self, account: str) -> int:
        """Have peers give back; return the tokens, an estimate if answers are lost."""
        wait = self._fruitless.pop(account, 0.0) + PAUSE - self._host.now()
        if wait > 0:
            await asyncio.sleep(wait)
        self._grants.mark_scarce(account)
        alive = [peer for peer in self._host.peers.known() if peer.alive]
        asked = sorted(alive, key=lambda peer: -held(peer, account))[:MAX_ASKED]
        returned = await asyncio.gather(*(self._ask(p, account) for p in asked))
        tokens = sum(returned)
        if tokens == 0:
            self._fruitless[account] = self._host.now()
        return tokens

    def tell(self) -> None:
        """Tell peers of the accounts of which this host holds the most."""
        free = []
        for account in self._grants.accounts:
            available = self._grants.ledger(account).available
            if available > 0 and not self._host.draining:
                free.append((available, account))
        free.sort(reverse=True)
        hinted = {account: available for available, account in free[:MAX_HINTED]}
        self._host.peers.hint(HINT, hinted)

    def controller(self) -> controller.Controller:
        """Return the controller that keeps this host's hint current."""

        async def step() -> None:
            self.tell()

        return controller.periodic("recall", step, interval=HINT_INTERVAL)

    async def _ask(self, peer: peers.Peer, account: str) -> int:
        body = {"account": account}
        outcome = await self._host.peers.call(peer.host, KIND, body, CALL_TIMEOUT)
        if isinstance(outcome, peers.Answer):
            return int(outcome.body["tokens"])
        return 1 if isinstance(outcome, peers.NoAnswer) else 0

    async def _answer(self, sender: str, body: dict) -> dict:
        account = body["account"]
        self._grants.mark_scarce(account)
        tokens = await self._grants.give_back_all(account)
        if tokens:
            RECALLED.inc(tokens)
            log.info("grant_recalled", account=account, peer=sender, tokens=tokens)
        return {"tokens": tokens}


def held(peer: peers.Peer, account: str) -> int:
    """Return the tokens that a peer last said it can lend of an account."""
    hinted = peer.hints.get(HINT)
    tokens = hinted.get(account, 0) if isinstance(hinted, dict) else 0
    return tokens if isinstance(tokens, int) else 0
