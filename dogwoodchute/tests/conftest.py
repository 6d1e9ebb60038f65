"""Marks the tests in KNOWN-RED.txt as expected failures: they run but don't fail CI."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip() for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the known failures as expected; any other test fails as usual."""
    known_ids = known_red()
    for item in items:
        if item.nodeid in known_ids:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """List the known failures at the end of each run.

    A header would not be printed in quiet runs, as CI's are.
    """
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}")
