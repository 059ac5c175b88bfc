"""Runs every benchmark in turn: `python -m bench [NAME …]`."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import bench


def main(names: list[str]) -> None:
    """
    Run benchmarks.

    :param names: modules of this package to run; all of them if empty.
    """
    known = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    for name in names or known:
        if name.startswith("_"):
            continue
        print(f"== {name}", flush=True)
        importlib.import_module(f"bench.{name}").main()


if __name__ == "__main__":
    main(sys.argv[1:])
