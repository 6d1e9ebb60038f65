"""Asks peers to return what they hold of a budget that seems to be spent.

Tokens move through the store alone: a peer returns its available tokens to the budget,
and the calling host draws them from there.
"""

import asyncio

import prometheus_client

from dogwoodchute import controller, log, peers, state
from dogwoodchute.controllers import grants

KIND = "recall_grant"
CALL_TIMEOUT = 2.0  # seconds
RETRY_PAUSE = 0.2  # seconds after a recall of an account that returned nothing
MAX_PEERS = 24  # called in one recall
HINT = "tokens"
HINT_INTERVAL = 2.0  # seconds
MAX_HINTED = 32  # client accounts

RECALLED = prometheus_client.Counter(
    "dogwoodchute_recalled_tokens", "Tokens that this host gave back for a peer"
)


class Recaller:
    """Recalls grants for this host, and answers the recalls of others."""

    def __init__(
        self, *, host: state.HostState, grant_controller: grants.Grants
    ) -> None:
        self._host = host
        self._grants = grant_controller
        self._last_empty_recall: dict[str, float] = {}  # monotonic seconds, by account
        host.peers.handle(KIND, self._handle_call)

    async def recall(self, account: str) -> int:
        """Have peers return their available tokens to the budget.

        Return how many there were. A call without an answer counts as one token, since
        the peer may have returned some.
        """
        wait = (
            self._last_empty_recall.pop(account, 0.0) + RETRY_PAUSE - self._host.now()
        )
        if wait > 0:
            await asyncio.sleep(wait)
        self._grants.mark_scarce(account)
        alive = [peer for peer in self._host.peers.known() if peer.alive]
        chosen = sorted(alive, key=lambda peer: -lendable_tokens(peer, account))[
            :MAX_PEERS
        ]
        returned = await asyncio.gather(*(self._call(p, account) for p in chosen))
        tokens = sum(returned)
        if tokens == 0:
            self._last_empty_recall[account] = self._host.now()
        return tokens

    def publish_hint(self) -> None:
        """Publish as a hint the accounts of which this host has most tokens available.

        A draining host publishes none.
        """
        lendable = []
        for account in self._grants.accounts:
            available = self._grants.ledger(account).available
            if available > 0 and not self._host.draining:
                lendable.append((available, account))
        lendable.sort(reverse=True)
        hinted = {account: available for available, account in lendable[:MAX_HINTED]}
        self._host.peers.set_hint(HINT, hinted)

    def controller(self) -> controller.Controller:
        """Return the controller that keeps this host's hint up to date."""

        async def step() -> None:
            self.publish_hint()

        return controller.periodic("recall", step, interval=HINT_INTERVAL)

    async def _call(self, peer: peers.Peer, account: str) -> int:
        body = {"account": account}
        outcome = await self._host.peers.call(peer.host, KIND, body, CALL_TIMEOUT)
        if isinstance(outcome, peers.Answer):
            return int(outcome.body["tokens"])
        return 1 if isinstance(outcome, peers.NoAnswer) else 0

    async def _handle_call(self, sender: str, body: dict) -> dict:
        account = body["account"]
        self._grants.mark_scarce(account)
        tokens = await self._grants.return_available(account)
        if tokens:
            RECALLED.inc(tokens)
            log.info("grant_recalled", account=account, peer=sender, tokens=tokens)
        return {"tokens": tokens}


def lendable_tokens(peer: peers.Peer, account: str) -> int:
    """Return how many tokens of an account a peer has available, by its last hint."""
    hinted = peer.hints.get(HINT)
    tokens = hinted.get(account, 0) if isinstance(hinted, dict) else 0
    return tokens if isinstance(tokens, int) else 0
