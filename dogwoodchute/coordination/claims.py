"""Claims: the durable records that a non-idempotent request may be running."""

import typing

CLAIMED = "claimed"  # its holder may run it, or may have run it
SETTLED = "settled"  # it was answered
ABANDONED = "abandoned"  # it certainly never ran, so a retry may claim it
UNKNOWN = "unknown"  # it may have run, and no answer is known
MAX_INLINE = 16_384  # bytes of an answer kept in the claim's row


class Claim(typing.NamedTuple):
    """A claim row."""

    state: str
    host: str
    incarnation: str
    fingerprint: str  # hex digest of the request
    status: int = 0
    headers: dict[str, str] | None = None
    answer: str | None = None  # base64 of a small answer
    stored: str | None = None  # name of a large answer in the object store


RUN = "run"
REFUSE = "refuse"
WAIT = "wait"
REPLAY = "replay"
GIVE_UP = "give_up"


def value(claim: Claim) -> dict:
    """Return the value of a claim row."""
    return {key: part for key, part in claim._asdict().items() if part is not None}


def claim_of(plain: dict) -> Claim:
    """Return the claim in the value of a claim row."""
    fields = {key: plain[key] for key in Claim._fields if key in plain}
    return Claim(**fields)


def decide(claim: Claim | None, *, billed: bool, fingerprint: str) -> str:
    """Return what a request that meets `claim` is to do.

    `RUN`: claim it, replacing the row. `REFUSE`: the key was used with another
    request. `WAIT`: ask the holder. `REPLAY`: give the kept answer. `GIVE_UP`: the
    outcome is unknown. `billed` tells that the key has a bill.
    """
    if claim is None:
        # Only a request of another kind is billed without having run under a claim.
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
