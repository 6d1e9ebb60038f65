"""Witnesses of a host that uses tokens beyond the limit of its last commit.

A holder may use up to its commit's `limit`, and more only while the store is away (see
`escrow`). Whether the store is away, or only the holder is cut off from it, the holder
can't tell by itself. So each commit names a few other hosts as witnesses, and the
holder goes beyond the limit only once enough of them confirm that they have no contact
with the store either. If the others can show that too few have confirmed, and that none
will, the tokens above the limit were not used and never will be, whether the holder is
lost, frozen or cut off.

For a commit at time x of the store's clock:

- A witness whose last contact with the store was at `contact` confirms only commits
  with `contact < x + CONTACT_WINDOW`, and remembers that it did.
- It denies a commit once `contact >= x + CONTACT_WINDOW`, unless it has confirmed it.
  As `contact` never falls, it can't confirm that commit any more.

So no witness both confirms and denies a commit, in whatever order messages arrive and
whatever the clocks say. Of n witnesses the holder needs c confirmations, and the others
n - c + 1 denials: never are there both. A witness is one incarnation of a host, so that
one that has restarted, and remembers nothing, is none.
"""

import math
import typing
from collections import abc

from dogwoodchute.coordination import ranking

COUNT = 3  # witnesses of a commit
# Seconds. Longer than the time between a holder's last commit and the moment at which
# its witnesses lose the store too, also in a fleet that commits rarely.
CONTACT_WINDOW = 12.0
MAX_REMEMBERED = 10_000  # holders


class Confirmation(typing.NamedTuple):
    """What a witness without contact to the store answered; store's clock, seconds."""

    contact: float  # its last contact
    asked: float  # commits that were sent later are not confirmed

    def covers(self, committed_at: float) -> bool:
        """Return whether a commit at `committed_at` is confirmed."""
        if committed_at > self.asked:
            return False
        return self.contact < committed_at + CONTACT_WINDOW


def choose(own: str, others: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the witnesses of the incarnation `own` among `others`."""
    ranked = sorted(others, key=lambda other: ranking.score(own, other, 1.0))
    return tuple(ranked[-COUNT:])


def needed_confirmations(count: int) -> int:
    """Return how many of `count` witnesses must confirm a commit."""
    return math.ceil(count / 2)


def needed_denials(count: int) -> int:
    """Return how many of `count` witnesses must deny a commit.

    Without witnesses a holder needs no confirmation, so none are ever enough.
    """
    return count - needed_confirmations(count) + 1


class Memory:
    """What this host has confirmed, as a witness of others."""

    def __init__(self) -> None:
        # By holder: commits up to this time of the store's clock may be confirmed.
        self._confirmed: dict[str, float] = {}
        # The same for holders that are not remembered one by one.
        self._confirmed_others = -math.inf

    def confirm(self, holder: str, asked: float, *, contact: float) -> Confirmation:
        """Confirm a holder's commits that were sent up to `asked`.

        `contact` is this host's last contact with the store.
        """
        before = self._confirmed.pop(holder, -math.inf)
        self._confirmed[holder] = max(before, asked)
        if len(self._confirmed) > MAX_REMEMBERED:
            oldest = self._confirmed.pop(next(iter(self._confirmed)))
            self._confirmed_others = max(self._confirmed_others, oldest)
        return Confirmation(contact, asked)

    def denies(self, holder: str, first: float, last: float, *, contact: float) -> bool:
        """Return whether commits from `first` to `last` are, and stay, unconfirmed."""
        confirmed = self._confirmed.get(holder, -math.inf)
        if max(confirmed, self._confirmed_others) >= first:
            return False
        return contact >= last + CONTACT_WINDOW
