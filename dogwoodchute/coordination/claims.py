"""Claims: durable records that a non-idempotent request may be running.

A host writes a claim before it runs such a request, so that a repeat of the request on
any host finds the claim and does not run the request again.
"""

import typing

# States of a claim.
CLAIMED = "claimed"  # the claim's host may run the request, or may have run it
SETTLED = "settled"  # the request was answered
ABANDONED = "abandoned"  # the request certainly never ran; a retry may claim it
UNKNOWN = "unknown"  # the request may have run, and no answer is known

MAX_INLINE = 16_384  # bytes of an answer that is kept in the claim's row


class Claim(typing.NamedTuple):
    """A claim row."""

    state: str
    host: str
    incarnation: str
    fingerprint: str  # hex digest of the request
    status: int = 0
    headers: dict[str, str] | None = None
    answer: str | None = None  # base64 of a small answer
    stored: str | None = None  # object store name of a larger answer


# Decisions about a request whose key has a claim or a bill.
RUN = "run"
REFUSE = "refuse"
WAIT = "wait"
REPLAY = "replay"
GIVE_UP = "give_up"


def claim_value(claim: Claim) -> dict:
    """Return the value of a claim row."""
    return {key: part for key, part in claim._asdict().items() if part is not None}


def claim_of(plain: dict) -> Claim:
    """Return the claim in the value of a claim row."""
    fields = {key: plain[key] for key in Claim._fields if key in plain}
    return Claim(**fields)


def decide(claim: Claim | None, *, billed: bool, fingerprint: str) -> str:
    """Return how to handle a request whose key has `claim`, None without one.

    `RUN`: claim the request, replacing the row, and run it. `REFUSE`: the key was used
    with another request. `WAIT`: ask the claim's host. `REPLAY`: send the stored
    answer. `GIVE_UP`: the outcome is unknown.

    `billed` tells whether the key has a bill.
    """
    if claim is None:
        # Only idempotent requests run, and are billed, without a claim. So the key was
        # used with another request than this one.
        return REFUSE if billed else RUN
    if claim.fingerprint != fingerprint:
        return REFUSE
    if claim.state == ABANDONED:
        return REFUSE if billed else RUN
    if claim.state == SETTLED:
        return REPLAY
    if claim.state == UNKNOWN:
        return GIVE_UP
    return WAIT
