"""Keys of the fleet's rows in the table service."""

RELEASE_HEAD = "release/head"
RELEASE_SNAPSHOT = "release/snapshot"
INITIAL_TOP_UP = "initial"  # id of the top-up made with a client account


def budget(account: str) -> str:
    """Key of a client account's budget: `paid`, `drawn`, in tokens."""
    return f"budget/{account}"


def top_up(account: str, top_up_id: str) -> str:
    """Key of one top-up, whose row makes repeats of the top-up idempotent."""
    return f"topup/{account}/{top_up_id}"


def grant(account: str, incarnation: str) -> str:
    """Key of a grant: `granted`, `billed`, in tokens, and `closed`."""
    return f"grant/{account}/{incarnation}"


def bill(account: str, request_key: str) -> str:
    """Key of the bill of one request."""
    return f"bill/{account}/{request_key}"


def claim(account: str, request_key: str) -> str:
    """Key of the claim of one non-idempotent request."""
    return f"claim/{account}/{request_key}"


def host(host_id: str) -> str:
    """Key of a host's registration."""
    return f"host/{host_id}"


def release(revision: int) -> str:
    """Key of the change that one accepted note made."""
    return f"release/{revision}"


def release_note(note_id: str) -> str:
    """Key of the row that says at which revision a note was accepted."""
    return f"releasenote/{note_id}"
