"""Release notes: INI text that lists what is added, changed and withdrawn.

A note has a section ``[note]`` with the `base` revision that it was written against,
and sections ``[added KIND NAME]``, ``[changed KIND NAME]``, ``[withdrawn KIND NAME]``
with KIND one of `account`, `service` and `endpoint`.
"""

import configparser
import dataclasses
from typing import NamedTuple

KINDS = ("account", "service", "endpoint")
ACTIONS = ("added", "changed", "withdrawn")


class Change(NamedTuple):
    """One section of a note."""

    action: str
    kind: str
    name: str
    fields: dict[str, str]


class Note(NamedTuple):
    """A parsed release note."""

    base: int
    changes: list[Change]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """Why a note is refused; nothing of it is applied."""

    faults: list[str]


def parse(text: str) -> Note | Faults:
    """Parse the text of a note, reporting all its faults."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Faults(faults=[str(error).replace("\n", " ")])
    faults = []
    changes = []
    base = parser.get("note", "base", fallback="")
    if not base.isdecimal():
        faults.append("[note] base: the revision that the note was written against")
    for section in parser.sections():
        if section == "note":
            continue
        words = section.split()
        if len(words) != 3 or words[0] not in ACTIONS or words[1] not in KINDS:
            faults.append(f"[{section}]: use '[added|changed|withdrawn KIND NAME]'")
            continue
        changes.append(Change(*words, dict(parser.items(section))))
    if faults:
        return Faults(faults=faults)
    return Note(int(base), changes)
