"""Reads KNOWN-RED.txt, so that its tests run but do not decide the verdict."""

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
    """Mark the known failures; a failure of any other test stays strict."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_report_header() -> list[str]:
    """Name the known failures at the head of each run."""
    return [f"known red: {name}" for name in sorted(known_red())]
