"""Release notes: INI text that lists which items are added, changed and withdrawn.

Operators change the fleet's configuration with a note. It has a section ``[note]`` with
the `base` revision that it was written against, and sections ``[added KIND NAME]``,
``[changed KIND NAME]`` and ``[withdrawn KIND NAME]``, where KIND is `account`,
`service` or `endpoint`. A ``changed`` section has only the keys that change; a
``withdrawn`` section has none.
"""

import configparser
import dataclasses
import difflib
import hashlib
import ipaddress
import re
import typing

import pydantic

ACTIONS = ("added", "changed", "withdrawn")
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
SECTION_LINE = re.compile(r"^\[(?P<name>[^\]]*)\]")
KEY_LINE = re.compile(r"^(?P<name>[A-Za-z0-9_]+)\s*[=:]")
NUMBER = r"\d+(?:\.\d+)?"
OBJECTIVE = re.compile(rf"^(?P<share>{NUMBER})%(?: within (?P<seconds>{NUMBER}) ?s)?$")


def _words(value: object) -> object:
    return value.replace(",", " ").split() if isinstance(value, str) else value


def _address(value: str) -> str:
    number, separator, port = value.rpartition(":")
    ipaddress.ip_address(number.strip("[]"))
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("give an IP number and a port")
    return value


Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Digest = typing.Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Names = typing.Annotated[tuple[Name, ...], pydantic.BeforeValidator(_words)]
Digests = typing.Annotated[
    tuple[Digest, ...], pydantic.BeforeValidator(_words), pydantic.Field(min_length=1)
]
Address = typing.Annotated[str, pydantic.AfterValidator(_address)]
Share = typing.Annotated[float, pydantic.Field(ge=0, lt=1)]
Text = typing.Annotated[str, pydantic.Field(max_length=200)]


class Section(pydantic.BaseModel):
    """Base class of all sections, in which unknown keys are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class NoteHead(Section):
    """The section ``[note]``."""

    base: typing.Annotated[int, pydantic.Field(ge=0)]
    id: Name = ""
    reason: Text = ""
    rebase: bool = True  # accept on a newer revision if no item named here changed


class Account(Section):
    """A client account's keys."""

    keys: Digests
    services: Names = ()
    weight: typing.Annotated[int, pydantic.Field(ge=1, le=1000)] = 1
    budget: typing.Annotated[int, pydantic.Field(ge=0)] = 0


class Service(Section):
    """A service's keys, after `split_objectives`."""

    kind: typing.Literal["chat", "plain"]
    price: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    idempotent: bool | None = None
    max_output: typing.Annotated[int, pydantic.Field(ge=1)] = 4096
    availability: Share = 0.0
    first_token_share: Share = 0.0
    first_token_seconds: typing.Annotated[float, pydantic.Field(ge=0)] = 0.0
    between_tokens_share: Share = 0.0
    between_tokens_seconds: typing.Annotated[float, pydantic.Field(ge=0)] = 0.0
    false_refusals: Share = 0.0


class Endpoint(Section):
    """An endpoint's keys."""

    service: Name
    address: Address
    region: Name
    data_centre: Name
    checks_fence: bool = False
    capacity: typing.Annotated[int, pydantic.Field(ge=1)] = 8
    model: Text = ""
    adapters: Names = ()
    version: Text = ""
    role: typing.Literal["", "mixed", "prefill", "decode"] = ""


MODELS = {"account": Account, "service": Service, "endpoint": Endpoint}
TIMED_OBJECTIVES = ("first_token", "between_tokens")
SHARE_OBJECTIVES = ("availability", "false_refusals")


class Change(typing.NamedTuple):
    """One section of a note about an item; `fields` are the keys as written."""

    action: str
    kind: str
    name: str
    fields: dict[str, str]

    @property
    def section(self) -> str:
        """The section's title."""
        return f"{self.action} {self.kind} {self.name}"


class Note(typing.NamedTuple):
    """A parsed release note."""

    base: int
    changes: list[Change]
    id: str
    reason: str
    rebase: bool
    text_digest: str  # SHA-256 hex digest of the text


class Fault(typing.NamedTuple):
    """One fault of a note."""

    section: str
    key: str
    value: str
    allowed: str  # what is wrong, or what would be allowed

    def __str__(self) -> str:
        key = f" {self.key}" if self.key else ""
        value = f" = {self.value!r}" if self.value else ""
        return f"[{self.section}]{key}{value}: {self.allowed}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """The reasons why a note is refused as a whole."""

    faults: list[Fault]


def parse(text: str) -> Note | Faults:
    """Parse the text of a note; return the note, or all faults of its form.

    A note without an `id` gets one that is made from its text, so that the same text
    submitted twice is the same note.
    """
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section=""
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Faults(faults=[Fault("-", "", "", str(error).replace("\n", " "))])
    faults = _duplicates(text)
    changes = []
    named = set()
    for section in parser.sections():
        if section == "note":
            continue
        words = section.split()
        if len(words) != 3 or words[0] not in ACTIONS or words[1] not in MODELS:
            allowed = _section_hint(words)
            faults.append(Fault(section, "", "", allowed))
            continue
        change = Change(*words, dict(parser.items(section)))
        changes.append(change)
        if (change.kind, change.name) in named:
            faults.append(Fault(section, "", "", "is named in another section too"))
        named.add((change.kind, change.name))
        if not re.match(NAME_PATTERN, change.name):
            allowed = "a name has 1 to 63 letters, digits, dots, dashes, underscores"
            faults.append(Fault(section, "", "", allowed))
    head = _head(dict(parser["note"]) if parser.has_section("note") else {}, faults)
    if not changes:
        faults.append(Fault("note", "", "", "the note changes nothing"))
    if faults:
        return Faults(faults=faults)
    digest = hashlib.sha256(text.encode()).hexdigest()
    note_id = head.id or f"text-{digest[:32]}"
    return Note(head.base, changes, note_id, head.reason, head.rebase, digest)


def _duplicates(text: str) -> list[Fault]:
    """Return the faults of sections and keys that occur twice."""
    faults = []
    seen = set()
    section = "-"
    for line in text.splitlines():
        title = SECTION_LINE.match(line)
        if title is not None:
            section = title["name"]
            if (section, "") in seen:
                faults.append(Fault(section, "", "", "the section stands twice"))
            seen.add((section, ""))
            continue
        key = KEY_LINE.match(line)
        if key is None:
            continue
        name = key["name"].lower()
        if (section, name) in seen:
            faults.append(Fault(section, name, "", "the key stands twice"))
        seen.add((section, name))
    return faults


def _section_hint(words: list[str]) -> str:
    """Return what to write in place of an unknown section title."""
    known = [f"{action} {kind}" for action in ACTIONS for kind in MODELS]
    close = difflib.get_close_matches(" ".join(words[:2]), known, n=1)
    if close and len(words) == 3:
        return f"unknown section; did you mean '[{close[0]} {words[2]}]'?"
    return "use '[added|changed|withdrawn account|service|endpoint NAME]'"


def _head(plain: dict[str, str], faults: list[Fault]) -> NoteHead | None:
    """Return the section ``[note]``; add its faults to `faults`."""
    try:
        return NoteHead.model_validate(plain)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            faults.append(explain("note", detail, plain, NoteHead))
        return None


def check_fields(
    change: Change, existing: dict | None, faults: list[Fault]
) -> dict | None:
    """Return all fields of the item after a change, None if they have faults.

    `existing` are the item's fields before the change, None if it is new. Faults are
    added to `faults`.
    """
    model = MODELS[change.kind]
    given: dict[str, object] = dict(change.fields)
    before = len(faults)
    if change.kind == "service":
        given = split_objectives(change, faults)
    plain = {**(existing or {}), **given}
    plain.pop("name", None)
    try:
        fields = model.model_validate(plain).model_dump()
    except pydantic.ValidationError as error:
        for detail in error.errors():
            if detail["type"] == "missing" and change.action == "changed":
                continue
            faults.append(explain(change.section, detail, given, model))
        return None
    return {"name": change.name, **fields} if len(faults) == before else None


def split_objectives(change: Change, faults: list[Fault]) -> dict[str, object]:
    """Return a service's keys with each objective split into a share and seconds.

    An objective is written as ``99.5%``, or as ``95% within 1.2 s`` if it is on a time.
    Faults are added to `faults`, and the keys that have them are left out.
    """
    fields: dict[str, object] = dict(change.fields)
    for key in change.fields:
        if key not in known_keys(Service):
            hint = _key_hint(key, Service)
            faults.append(Fault(change.section, key, change.fields[key], hint))
            fields.pop(key)
    for key in (*SHARE_OBJECTIVES, *TIMED_OBJECTIVES):
        if key not in change.fields:
            continue
        value = change.fields[key]
        timed = key in TIMED_OBJECTIVES
        found = OBJECTIVE.match(value.strip())
        if found is None or timed != (found["seconds"] is not None):
            example = "95% within 1.2 s" if timed else "99.5%"
            faults.append(Fault(change.section, key, value, f"write as {example!r}"))
            fields.pop(key)
            continue
        share = float(found["share"]) / 100
        if not timed:
            fields[key] = share
            continue
        fields.pop(key)
        fields[f"{key}_share"] = share
        fields[f"{key}_seconds"] = float(found["seconds"])
    return fields


def explain(
    section: str, detail: dict, plain: dict, model: type[pydantic.BaseModel]
) -> Fault:
    """Return the fault for a pydantic error, with a suggestion for an unknown key."""
    key = str(detail["loc"][0])
    value = str(plain.get(key, ""))
    if detail["type"] == "missing":
        return Fault(section, key, "", "required, but absent")
    if detail["type"] == "extra_forbidden":
        return Fault(section, key, value, _key_hint(key, model))
    if len(detail["loc"]) > 1:
        value = str(detail["input"])
    return Fault(section, key, value, detail["msg"])


def known_keys(model: type[pydantic.BaseModel]) -> list[str]:
    """Return the keys that a section of `model` may have in a note.

    A timed objective is one key in the note and two fields of the model.
    """
    known = []
    for key in model.model_fields:
        objective, _, part = key.rpartition("_")
        if objective not in TIMED_OBJECTIVES:
            known.append(key)
        elif part == "share":
            known.append(objective)
    return known


def _key_hint(key: str, model: type[pydantic.BaseModel]) -> str:
    known = known_keys(model)
    close = difflib.get_close_matches(key, known, n=1)
    hint = f"did you mean {close[0]!r}?" if close else f"known: {', '.join(known)}"
    return f"unknown key; {hint}"
