"""How much all callers together may hold, by the machine that the settings name."""

import typing

REST = 60 << 20  # bytes that a process takes without callers
CALLERS_SHARE = 0.25  # of the rest; answers of endpoints and bursts take as much
# Multiple of the largest body, so that a single request always fits.
LARGEST_BODIES = 1.5
RESERVED_DESCRIPTORS = 200  # for files
CONNECTIONS_SHARE = 0.6  # of the others; the rest is for endpoints, hosts and the store
DEFAULT_MEMORY = 150 << 20  # bytes
DEFAULT_DESCRIPTORS = 4100


class Limits(typing.NamedTuple):
    """The limits of one process, for all its listeners together."""

    memory: int  # bytes
    connections: int


def limits(
    *,
    memory: int = DEFAULT_MEMORY,
    descriptors: int = DEFAULT_DESCRIPTORS,
    body_bytes: int = 0,
) -> Limits:
    """Return the limits on a machine.

    Args:
        memory: Bytes that the process may use.
        descriptors: Descriptors that it may have open.
        body_bytes: The largest body of a request.
    """
    shared = int(CALLERS_SHARE * max(0, memory - REST))
    connections = int(CONNECTIONS_SHARE * max(0, descriptors - RESERVED_DESCRIPTORS))
    return Limits(max(shared, int(LARGEST_BODIES * body_bytes)), max(1, connections))
