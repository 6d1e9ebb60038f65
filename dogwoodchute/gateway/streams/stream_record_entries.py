"""What a host knows of the records of streams that it writes."""

import asyncio
import typing

from dogwoodchute import log


class Entry:
    """One record that this host writes or has written.

    Attributes:
        wanted: The software version that the row is to have, None for no row.
        version: Of the row, as far as is known; 0 without a row.
        holds: The software version in that row, None without a row.
        unanswered: What commits put that checked `version` and have no answer. Any of
            them may yet land.
        sent: All software versions that were put.
        is_lost: Whether the row belongs to another request, or the entry was dropped.
    """

    def __init__(self, key: str, service: str) -> None:
        self.key = key
        self.service = service
        self.wanted: str | None = None
        self.version = 0
        self.holds: str | None = None
        self.unanswered: set[str | None] = set()
        self.sent: set[str | None] = set()
        self.is_lost = False
        self.used_at = 0.0  # monotonic seconds
        self.waiters = 0
        self.changed = asyncio.Event()  # set after a change, and then replaced

    @property
    def is_settled(self) -> bool:
        """Whether the row is certainly as wanted, and stays so."""
        return self.holds == self.wanted and self.unanswered <= {self.wanted}

    def is_awaited(self, software: str) -> bool:
        """Whether the row is still to have this version, and may get it."""
        return self.wanted == software and not self.is_lost

    def has_sent(self, service: str, software: str) -> bool:
        """Whether a row with this content may be of this host."""
        return service == self.service and software in self.sent

    def next_put(self) -> str | None:
        """Return what to put next: what is wanted, or what resolves earlier puts.

        A removal can't show whether a put of an absent row may still land.
        """
        if self.wanted is None and not self.version:
            return next(each for each in self.unanswered if each is not None)
        return self.wanted

    def learn(self, version: int, holds: str | None) -> None:
        """Apply the row of an answer; commits that checked another version are void."""
        if version == self.version:
            return
        self.version, self.holds = version, holds
        self.unanswered.clear()

    def notify(self) -> None:
        """Wake those that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class Sent(typing.NamedTuple):
    """What a commit under way does to one row."""

    entry: Entry
    version: int  # that it checks
    put: str | None
    is_first: bool  # whether no commit without an answer puts the same


class Part:
    """The records of one partition whose rows aren't as wanted."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pending: dict[str, Entry] = {}  # by key
        self.woken = asyncio.Event()
        self.failures = 0  # since the last answer

    def record_answer(self) -> None:
        """Record that the store has answered."""
        if self.failures:
            log.info("stream_records_regained", part=self.name, tries=self.failures)
        self.failures = 0

    def record_failure(self, reason: str, *, records: int) -> None:
        """Record that a commit of so many records failed; log the first of a row."""
        self.failures += 1
        if self.failures == 1:
            log.warning(
                "stream_records_unwritten",
                part=self.name,
                records=records,
                reason=reason,
            )


def take_back(batch: list[Sent]) -> None:
    """Note that a commit had no effect; an earlier one with the same put still may."""
    for sent in batch:
        if sent.is_first:
            sent.entry.unanswered.discard(sent.put)
