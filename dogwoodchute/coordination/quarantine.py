"""Finds the parts of prompts that crash endpoints, and quarantines them.

A request that crashes whichever endpoint begins to answer it ("query of death") takes
one endpoint after another out of service, as it is retried and as others like it
arrive. The requests that had just begun when an endpoint ended are the suspects of that
crash. A part of a prompt that is suspect in several crashes, and on which no answer
came whole in between, is quarantined: requests that hold it are not sent.

Endpoints that end together, as in a power failure, may all have begun requests with a
part that many requests hold. So if answers on a part came whole before, crashes at the
same moment count once.

A crash is blamed on one part only. Of several that fit, those on which answers came
whole before are the least likely, and of the others the last one in the prompt, as
earlier parts are shared by more requests.

Quarantines end after some time. A part that crashes an endpoint afterwards is
quarantined again at once, for twice as long.
"""

import math
import typing
from collections import abc

from dogwoodchute.coordination import hashing, texts

CRASHES = 3  # under a part, until it is quarantined
MEMORY = 120.0  # seconds for which crashes and complete answers count
BASE_TIME = 120.0  # seconds of a first quarantine
MAX_TIME = 3600.0  # seconds
MAX_CRASHES = 256  # that are remembered
MAX_COMPLETIONS = 4096  # parts whose last complete answer is remembered
MAX_PARTS = 32  # of a suspect's prompt, the last ones
MOMENT = 0.25  # seconds; hosts see the same event that far apart
MAX_NAME = 64  # characters of a part's name
MAX_TIME_MS = 1 << 63  # Unix milliseconds


class Run(typing.NamedTuple):
    """One run of an endpoint's process."""

    endpoint: str
    started_at_ms: int  # Unix milliseconds, 0 if unknown


class Crash(typing.NamedTuple):
    """The end of a run, and the shared parts of a suspect's prompt, in order."""

    run: Run
    parts: tuple[str, ...]


class Found(typing.NamedTuple):
    """A quarantined part."""

    part: str
    crashes: int  # under this part, as far as they are remembered
    seconds: float  # until the quarantine ends


class _Term(typing.NamedTuple):
    """One quarantine of a part."""

    until: float  # monotonic seconds
    seconds: float  # its whole length
    crashes: int  # that led to it, at least


def names(ids: abc.Sequence[str]) -> tuple[str, ...]:
    """Return the names by which the parts of a prompt are known here.

    An id that can't be reported as it is, is known by its hash.
    """
    return tuple(
        id
        if texts.is_name(id, max_length=MAX_NAME)
        else f"{hashing.digest(ascii(id)):016x}"
        for id in ids[-MAX_PARTS:]
    )


def decode_crashes(plain: list) -> tuple[Crash, ...]:
    """Return crashes that were encoded as nested lists.

    Raises `TypeError` or `ValueError` if they can't be decoded.
    """
    return tuple(decode_crash(each) for each in plain[:MAX_CRASHES])


def decode_crash(plain: list) -> Crash:
    """Return a crash that was encoded as nested lists, see `decode_crashes`."""
    (endpoint, started_at_ms), parts = plain
    if not texts.is_name(endpoint):
        raise ValueError("a bad id of an endpoint")
    if not isinstance(started_at_ms, int) or not 0 <= started_at_ms < MAX_TIME_MS:
        raise ValueError("a bad time of start")
    if not isinstance(parts, list) or len(parts) > MAX_PARTS:
        raise ValueError("the parts of a crash are no list, or too many")
    named = tuple(decode_name(part) for part in parts)
    return Crash(Run(endpoint, started_at_ms), named)


def decode_name(plain: object) -> str:
    """Return the name of a part; raise `ValueError` if it is none."""
    if not texts.is_name(plain, max_length=MAX_NAME):
        raise ValueError("a bad name of a part")
    return plain


class Quarantine:
    """The crashes and complete answers that one host knows of.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._crashes: dict[Crash, float] = {}  # time of each, oldest first
        self._runs: dict[str, dict[Run, float]] = {}  # times of their ends, by part
        self._completed: dict[str, float] = {}  # latest time by part, oldest first
        self._terms: dict[str, _Term] = {}  # also ended ones, by part

    @property
    def crashes(self) -> dict[Crash, float]:
        """The remembered crashes and their times."""
        return self._crashes

    def completed_at(self, part: str) -> float | None:
        """Return the time of the last complete answer on a part, None without one."""
        return self._completed.get(part)

    def crash_count(self, part: str) -> int:
        """Return the number of crashes under a part since its last complete answer."""
        return self._count(part, leave_out=frozenset())

    def quarantined(self, now: float) -> list[str]:
        """Return the parts that are quarantined now."""
        return [part for part, term in self._terms.items() if now < term.until]

    def find(self, parts: abc.Iterable[str], now: float) -> Found | None:
        """Return the first quarantined one of `parts`, None if there is none."""
        if not self._terms:
            return None
        for part in parts:
            term = self._terms.get(part)
            if term is not None and now < term.until:
                return Found(part, self.crash_count(part), term.until - now)
        return None

    def record_crash(self, crash: Crash, at: float, now: float) -> Found | None:
        """Record a crash; return the part that is quarantined for it, if one is.

        A crash that is known already changes nothing.
        """
        if crash in self._crashes or now - at > MEMORY:
            return None
        self._drop_old(now)
        self._crashes[crash] = at
        for part in crash.parts:
            self._runs.setdefault(part, {})[crash.run] = at
        for part in crash.parts:
            term = self._terms.get(part)
            if term is None:
                continue
            if at < term.until:
                return None
            seconds = min(MAX_TIME, 2 * term.seconds)
            return self._quarantine(part, _Term(now + seconds, seconds, 1))
        culprit = self._culprit(crash)
        if culprit is None:
            return None
        return self._quarantine(culprit, _Term(now + BASE_TIME, BASE_TIME, CRASHES))

    def record_completion(self, part: str, at: float) -> bool:
        """Record that an answer on a part came whole.

        Returns whether that ended a quarantine, as too few crashes are left that may
        have been caused by the part.
        """
        at = max(at, self._completed.pop(part, at))
        self._completed[part] = at
        if len(self._completed) > MAX_COMPLETIONS:
            del self._completed[next(iter(self._completed))]
        term = self._terms.get(part)
        if term is None or self.crash_count(part) >= term.crashes:
            return False
        del self._terms[part]
        return True

    def _culprit(self, crash: Crash) -> str | None:
        """Return the part to blame for a crash, None if no part has enough crashes."""
        explained = {run for part in self._terms for run in self._runs.get(part, ())}
        counts = {part: self._count(part, leave_out=explained) for part in crash.parts}
        fitting = [part for part in crash.parts if counts[part] >= CRASHES]
        if not fitting:
            return None
        new = [part for part in fitting if part not in self._completed]
        candidates = new or fitting
        most = max(counts[part] for part in candidates)
        return [part for part in candidates if counts[part] == most][-1]

    def _count(self, part: str, *, leave_out: abc.Set[Run]) -> int:
        """Return the number of crashes under a part, but for those of some runs."""
        completed_at = self._completed.get(part)
        times = [
            at
            for run, at in self._runs.get(part, {}).items()
            if run not in leave_out and (completed_at is None or at > completed_at)
        ]
        return len(times) if completed_at is None else _moments(times)

    def _quarantine(self, part: str, term: _Term) -> Found:
        self._terms[part] = term
        return Found(part, self.crash_count(part), term.seconds)

    def _drop_old(self, now: float) -> None:
        """Drop what no longer counts, and the oldest crash if there are too many."""
        for crash in [c for c, at in self._crashes.items() if now - at > MEMORY]:
            self._drop(crash)
        if len(self._crashes) >= MAX_CRASHES:
            self._drop(next(iter(self._crashes)))
        for part in [p for p, at in self._completed.items() if now - at > MEMORY]:
            del self._completed[part]
        for part, term in list(self._terms.items()):
            if now - term.until > MAX_TIME:
                del self._terms[part]

    def _drop(self, crash: Crash) -> None:
        del self._crashes[crash]
        for part in crash.parts:
            runs = self._runs.get(part, {})
            runs.pop(crash.run, None)
            if not runs:
                self._runs.pop(part, None)


def _moments(times: list[float]) -> int:
    """Return the number of moments in which these times lie."""
    count = 0
    last = -math.inf
    for at in sorted(times):
        if at - last > MOMENT:
            count += 1
            last = at
    return count
