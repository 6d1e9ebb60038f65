#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can be loaded; they need no building.
# Run it after the build of the deploy file, from any folder.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. exec python3 -c "import review.lab.site"
