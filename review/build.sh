#!/bin/sh
# Checks that all cases and stand-ins compile; they are Python and need no other build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" python3 - <<'CODE'
import ast
import pathlib

import dogwoodchute.server
import dogwoodchute.standins.row_store

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text("utf-8"), str(path))
CODE
