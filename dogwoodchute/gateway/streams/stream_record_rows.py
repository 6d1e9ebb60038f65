"""The rows of records of streams in the store: their format and partitions.

A record says which software version began a stream.
"""

import hashlib
import json
import typing

from dogwoodchute import bounded_json
from dogwoodchute.coordination import texts
from dogwoodchute.gateway.streams import version_notes

TABLE = "streams"
PARTS = 2  # so that half of the store's commits are below the rate of each
MAX_BATCH = 50  # records of a commit; each is a check and a put, of 100 entries
KEY_BYTES = 16  # of an attempt's digest


class Record(typing.NamedTuple):
    """A row: the version that began a stream of a service."""

    service: str
    software: str
    written: float  # seconds of the store's clock, of the commit's sending


def parts() -> list[str]:
    """Return the names of all partitions with records."""
    return [f"{TABLE}-{number}" for number in range(PARTS)]


def key_of(attempt: str) -> str:
    """Return the key of an attempt's record; the id is a text that a caller made."""
    digest = hashlib.blake2b(
        attempt.encode(errors="backslashreplace"), digest_size=KEY_BYTES
    )
    return digest.hexdigest()


def part_of(key: str) -> str:
    """Return the partition of a record."""
    return f"{TABLE}-{int(key[-2:], 16) % PARTS}"


def encode(record: Record) -> bytes:
    """Return the value of a record's row, in JSON."""
    return json.dumps(record._asdict(), separators=(",", ":")).encode()


def decode(key: str, value: bytes) -> Record:
    """Return the record in a row's value.

    Raises `KeyError`, `TypeError` or `ValueError` if it can't be decoded.
    """
    fields = bounded_json.load_object(value)
    service, software, written = (fields[name] for name in Record._fields)
    if not texts.is_name(service) or not version_notes.is_version(software):
        raise ValueError("the service or the version is no name")
    if isinstance(written, bool) or not isinstance(written, int | float):
        raise ValueError("the time is no number")
    return Record(service, software, float(written))
