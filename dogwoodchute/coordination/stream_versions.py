"""Decides which software version began a stream, and when that must be written down.

Endpoints of several software versions may serve a service side by side, and a stream
may go on only at the version that began it. Any host may have to tell that version,
also when all hosts were lost together. It has two sources in the store:

- a *record* for a stream: the version that began it, written before its first event
  goes out;
- a *note* for a service, whose `base` is the version of streams without a record.

In calm times all streams begin at the base, so none of them needs a record.

Why a take-up never gets a wrong version: a stream without a record began at the base of
some copy of the note that was less than `MAX_LAG` old and whose `sole` wasn't another
version. The base changes from V to W only after the row has had `sole` W for at least
`LIFETIME + MAX_LAG`, which is `SETTLE` less what a commit may land late. A copy from
within this time lets no stream begin at V without a record. One from before it is used
for less than `MAX_LAG` longer, and a stream that it let begin has ended `LIFETIME`
later, before the base changes. In the other direction, a copy that is behind may still
have the base V while streams begin at W without a record; by the store's clock it shows
that the change is due, and `begun_at` then returns that the version is unknown.

So nothing depends on which endpoints a host knows, only on when notes were in force.
"""

import typing

LIFETIME = 30.0  # seconds that a stream may last, over all take-ups
MAX_LAG = 60.0  # seconds; an older copy of a note must not be used
LATE_COMMIT = 10.0  # seconds until a commit without an answer takes effect, at most
# Seconds for which one version must have been the only one before it becomes the base.
SETTLE = LIFETIME + MAX_LAG + LATE_COMMIT
# Seconds by which a time may be in the future, since it was read at another host.
CLOCK_SLACK = 5.0


class Note(typing.NamedTuple):
    """What all hosts know of the streams of one service.

    Attributes:
        base: Version at which streams without a record began, None if unknown.
        mixed: Whether streams may begin, or may have begun, at other versions.
        sole: The one version of all endpoints, None if there are several.
        sole_since: When `sole` was seen first, in seconds of the store's clock.
    """

    base: str | None
    mixed: bool
    sole: str | None
    sole_since: float = 0.0


UNKNOWN = Note(base=None, mixed=True, sole=None)  # stands for a note that is unreadable


def advance(note: Note | None, seen: frozenset[str], now: float) -> Note | None:
    """Return the note to be written next, None if `note` stays.

    `note` is the current one, `seen` the versions of the endpoints that the host knows.
    `now` is in seconds of the store's clock and not later than the commit.
    """
    if not seen:
        return None
    only = next(iter(seen)) if len(seen) == 1 else None
    if note is None:
        return _calm(only, now) if only is not None else UNKNOWN
    if not note.mixed and only == note.base:
        return None
    if not note.mixed or note.sole != only:
        since = now if only is not None else 0.0
        return Note(base=note.base, mixed=True, sole=only, sole_since=since)
    if only is None:
        return None
    if note.sole_since > now + CLOCK_SLACK:
        # The store's clock has gone back, so how long it has been is unknown.
        return note._replace(sole_since=now)
    return _calm(only, now) if now - note.sole_since >= SETTLE else None


def needs_record(note: Note | None, version: str) -> bool:
    """Return whether a stream that begins at `version` needs a record.

    This holds at the moment when its first event goes out, not when it was sent. Once
    the base is about to change, streams at the old base need records too: the time
    until it changes must be longer than any stream without one can last.
    """
    if note is None or note.base != version:
        return True
    return note.sole not in (None, version)


def begun_at(note: Note | None, record: str | None, now: float) -> str | None:
    """Return the version that began a stream, None if that is unknown.

    `record` is the version in its record, None if the store has none. `now` is when the
    store was asked for it, in seconds of the store's clock. The record must be asked
    for even if the note is calm, since this copy of the note may be behind.
    """
    if record is not None:
        return record
    if note is None:
        return None
    if note.sole in (None, note.base):
        return note.base
    # Since then the sole version may have become the base.
    return note.base if now < note.sole_since + SETTLE else None


def is_relaxed(note: Note | None, following: Note) -> bool:
    """Return whether `following` only leads towards calm, so that it may wait."""
    return note is not None and note.mixed and following.sole is not None


def _calm(version: str, now: float) -> Note:
    return Note(base=version, mixed=False, sole=version, sole_since=now)
