"""Writes `docs/SETTINGS.md` from the settings' descriptions and defaults."""

import pathlib
import sys

from dogwoodchute import settings

PAGE_PATH = pathlib.Path("docs/SETTINGS.md")

HEAD = """\
# Settings

One INI file for each host. `dogwoodchuted --check FILE` reports every fault at once
and exits with 2 if there is one. Unknown sections and keys are faults. This page is
made by `python -m dogwoodchute.tools.settings_doc`.
"""


def render() -> str:
    """Return the page's text."""
    parts = [HEAD]
    for name, field in settings.Settings.model_fields.items():
        section = field.annotation
        parts.append(f"\n## [{name}]\n\n{section.__doc__.strip().splitlines()[0]}\n")
        parts.append("\n| key | default | meaning |\n| --- | --- | --- |\n")
        for key, info in section.model_fields.items():
            default = "required" if info.is_required() else f"`{info.default}`"
            if info.default == "":
                default = "empty"
            parts.append(f"| `{key}` | {default} | {info.description} |\n")
    return "".join(parts)


def main() -> int:
    """Write the page; return the exit code."""
    PAGE_PATH.write_text(render(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
