"""What hosts tell one another of crashes, and the quarantine that follows.

A host sees only a few of the requests that crash endpoints, so hosts report crashes to
one another: by datagrams at once, and in their rows of the store, which also reach
hosts that start later and those that no datagram reaches.
"""

import math
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import calls, model

# Seconds for which each crash is reported in datagrams: two hops, each tried several
# times.
REPORT_SECONDS = 5.0
MAX_REPORTED_CRASHES = 8  # in one datagram
MAX_REPORTED_COMPLETIONS = 32  # in one datagram
MAX_ROW_CRASHES = 16  # in this host's row
# Crashes under a part from which on they are written to rows. A single one mostly has
# another cause.
MIN_ROW_CRASHES = 2
# Sources of crashes.
OWN_REQUEST = "request"
DATAGRAM = "datagram"
ROW = "row"

crashes_seen = prometheus_client.Counter(
    "dogwoodchute_endpoint_crashes",
    "Ends of endpoints under requests that they had just begun to answer, by source.",
    ["source"],
)
quarantines = prometheus_client.Counter(
    "dogwoodchute_quarantines", "Parts of prompts that were quarantined."
)
quarantined_parts = prometheus_client.Gauge(
    "dogwoodchute_quarantined_parts", "Parts of prompts that are quarantined now."
)


class ReportedCrash(typing.NamedTuple):
    """A crash and its age in seconds."""

    crash: quarantine.Crash
    age: float


class ReportedCompletion(typing.NamedTuple):
    """A part on which an answer came whole, and the age of that in seconds."""

    part: str
    age: float


class Report(typing.NamedTuple):
    """What a host tells others."""

    crashes: tuple[ReportedCrash, ...] = ()
    completions: tuple[ReportedCompletion, ...] = ()


def decode(plain: list) -> Report:
    """Return a report that was encoded as nested lists.

    Raises `TypeError` or `ValueError` if it can't be decoded.
    """
    crashed, completed = plain
    crashes = [
        ReportedCrash(quarantine.decode_crash(crash), _decode_age(age))
        for crash, age in crashed[:MAX_REPORTED_CRASHES]
    ]
    completions = [
        ReportedCompletion(quarantine.decode_name(part), _decode_age(age))
        for part, age in completed[:MAX_REPORTED_COMPLETIONS]
    ]
    return Report(tuple(crashes), tuple(completions))


def _decode_age(plain: object) -> float:
    age = float(plain)
    if not 0 <= age < math.inf:
        raise ValueError(f"an age of {age} seconds")
    return age


class CrashReports:
    """The quarantine of one host, and its exchange with others."""

    def __init__(
        self,
        *,
        on_quarantine: abc.Callable[[], None],
        now: abc.Callable[[], float],
    ) -> None:
        self._on_quarantine = on_quarantine  # called after a part was quarantined
        self._now = now
        self._quarantine = quarantine.Quarantine()
        # Monotonic seconds until which a crash is reported in datagrams.
        self._reported_until: dict[quarantine.Crash, float] = {}
        self._own: set[quarantine.Crash] = set()  # that this host saw itself
        # Quarantined parts, and those whose end has not been logged yet.
        self._quarantined: set[str] = set()

    def find(self, prompt: model.Prompt | None) -> quarantine.Found | None:
        """Return the quarantined part of a prompt, None if there is none."""
        if prompt is None or not self._quarantined:
            return None
        return self._quarantine.find(_names(prompt), self._now())

    def record_crash(self, call: calls.Call, endpoint: model.Endpoint) -> None:
        """Record that an endpoint ended when it had just begun to answer a call."""
        run = quarantine.Run(endpoint.id, endpoint.started_at_ms)
        parts = _names(call.request.prompt) if call.request.prompt is not None else ()
        log.warning(
            "endpoint_crashed",
            endpoint=endpoint.id,
            request=call.request.attempt_id,
            parts=",".join(parts) or None,
        )
        if not parts:
            return
        crash = quarantine.Crash(run, parts)
        self._own.add(crash)
        self._add(crash, self._now(), OWN_REQUEST)

    def record_completion(self, prompt: model.Prompt | None) -> None:
        """Record that the answer to a request came whole."""
        if prompt is None:
            return
        for part in _names(prompt):
            self._complete(part, self._now())

    def report(self) -> Report:
        """Return what to tell other hosts in a datagram now."""
        now = self._now()
        self._drop_old(now)
        self._note_ended(now)
        if not self._reported_until:
            return Report()
        times = self._quarantine.crashes
        latest = sorted(self._reported_until, key=times.get, reverse=True)
        crashes = latest[:MAX_REPORTED_CRASHES]
        parts = dict.fromkeys(part for crash in crashes for part in crash.parts)
        completions = []
        for part in parts:
            at = self._quarantine.completed_at(part)
            if at is not None:
                completions.append(ReportedCompletion(part, now - at))
        return Report(
            tuple(ReportedCrash(crash, now - times[crash]) for crash in crashes),
            tuple(completions[:MAX_REPORTED_COMPLETIONS]),
        )

    def learn(self, report: Report) -> None:
        """Take in what another host told."""
        now = self._now()
        for completion in report.completions:
            if completion.age <= quarantine.MEMORY:
                self._complete(completion.part, now - completion.age)
        for reported in report.crashes:
            self._add(reported.crash, now - reported.age, DATAGRAM)

    def learn_from_row(self, crashes: abc.Iterable[quarantine.Crash]) -> None:
        """Take in the crashes in another host's row, as of now."""
        for crash in crashes:
            self._add(crash, self._now(), ROW)

    def for_row(self) -> tuple[quarantine.Crash, ...]:
        """Return the crashes that this host's row should hold now."""
        if not self._own:
            return ()
        self._drop_old(self._now())
        repeated = [crash for crash in self._own if self._is_repeated(crash)]
        latest = sorted(repeated, key=self._quarantine.crashes.get, reverse=True)
        return tuple(sorted(latest[:MAX_ROW_CRASHES]))

    def _is_repeated(self, crash: quarantine.Crash) -> bool:
        count = self._quarantine.crash_count
        return any(count(part) >= MIN_ROW_CRASHES for part in crash.parts)

    def _add(self, crash: quarantine.Crash, at: float, source: str) -> None:
        now = self._now()
        if crash in self._quarantine.crashes or now - at > quarantine.MEMORY:
            return
        known = self._quarantine.find(crash.parts, now)
        found = self._quarantine.record_crash(crash, at, now)
        crashes_seen.labels(source).inc()
        log.info(
            "crash_recorded",
            endpoint=crash.run.endpoint,
            parts=",".join(crash.parts),
            source=source,
            age=f"{now - at:.3f}",
        )
        self._reported_until[crash] = now + REPORT_SECONDS
        if known is not None:
            self._report_again(known.part, now)
        if found is not None:
            quarantines.inc()
            log.warning(
                "part_quarantined",
                part=found.part,
                crashes=found.crashes,
                seconds=f"{found.seconds:.0f}",
            )
            self._quarantined.add(found.part)
            quarantined_parts.set(len(self._quarantined))
            self._on_quarantine()

    def _report_again(self, part: str, now: float) -> None:
        """Report all crashes under a quarantined part, as some host sent it on.

        That host may not know of the quarantine, for instance since it started later.
        """
        for crash in self._quarantine.crashes:
            if part in crash.parts:
                self._reported_until[crash] = now + REPORT_SECONDS

    def _complete(self, part: str, at: float) -> None:
        if self._quarantine.record_completion(part, at):
            log.warning("part_cleared", part=part)

    def _note_ended(self, now: float) -> None:
        """Log and count the quarantines that have ended."""
        if not self._quarantined:
            return
        for part in self._quarantined - set(self._quarantine.quarantined(now)):
            log.info("quarantine_ended", part=part)
            self._quarantined.discard(part)
        quarantined_parts.set(len(self._quarantined))

    def _drop_old(self, now: float) -> None:
        known = self._quarantine.crashes
        self._own = {
            c for c in self._own if c in known and now - known[c] <= quarantine.MEMORY
        }
        self._reported_until = {
            crash: until
            for crash, until in self._reported_until.items()
            if crash in known and now < until
        }


def _names(prompt: model.Prompt) -> tuple[str, ...]:
    return quarantine.names([part.id for part in prompt.shared_parts])
