"""Runs the benchmarks of all areas, or of those named on the command line."""

import importlib
import pkgutil
import sys

import bench


def areas() -> list[str]:
    """Return the names of the benchmarks: the public modules with a function `run`."""
    module_names = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    benchmarks = []
    for name in module_names:
        if name.startswith("_"):
            continue
        if hasattr(importlib.import_module(f"bench.{name}"), "run"):
            benchmarks.append(name)
    return benchmarks


def main(argv: list[str]) -> int:
    """Run the named areas, all if none is named; return the exit code."""
    known = areas()
    unknown = sorted(set(argv) - set(known))
    if unknown:
        print(f"unknown: {', '.join(unknown)}; known: {', '.join(known)}")
        return 2
    for name in argv or known:
        print(f"# {name}", flush=True)
        importlib.import_module(f"bench.{name}").run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
