"""Checks configurations before they are sent."""

import dataclasses
import pathlib
import typing

import cappa

from dogwoodchute.platform import config_check, config_diff, decode


@cappa.command(name="check")
@dataclasses.dataclass
class ConfigCheck:
    """Check a configuration of the platform before it is written to its store.

    Prints errors, entries that can never match, limits that contradict each other, and
    what differs from the configuration in force. Asks no host. Exit code 1 with errors.

    Example: dogwoodctl config check new.json --in-force current.json
    """

    file: typing.Annotated[pathlib.Path, cappa.Arg(help="The configuration, JSON")]
    in_force: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--in-force", help="The configuration that it is to replace"),
    ] = None

    def __call__(self) -> None:
        value = _read(self.file)
        findings = config_check.check(value)
        for finding in findings:
            print(f"{finding.severity}: {finding.entry}: {finding.text}")
        errors = sum(each.severity == config_check.ERROR for each in findings)
        if not errors and self.in_force is not None:
            _print_differences(value, _read(self.in_force), self.in_force)
        print(f"{errors} errors, {len(findings) - errors} warnings")
        if errors:
            raise cappa.Exit(code=1)


@cappa.command(name="config")
@dataclasses.dataclass
class Config:
    """Work with configurations."""

    command: cappa.Subcommands[ConfigCheck]


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise cappa.Exit(f"{path}: {error.strerror}", code=2) from error


def _print_differences(value: bytes, before: bytes, path: pathlib.Path) -> None:
    try:
        known = decode.config(before)
    except decode.FormatError as error:
        raise cappa.Exit(f"{path}: {error}", code=2) from error
    lines = config_diff.differences(known, decode.config(value))
    for line in lines or ["no difference from the configuration in force"]:
        print(line)
