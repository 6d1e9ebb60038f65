"""Hashes of texts that are the same on all hosts and in all processes."""

import xxhash


def digest(text: str) -> int:
    """Return a hash of 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode())
