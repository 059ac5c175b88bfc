"""
Days on which one class of requests was served far worse than the others.

`python -m bench.weak_classes [ENTRY...]` reads entries of `journal/`, all of them by default, and
prints each day with a class whose worth lies more than GAP under the mean of the others.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from statistics import mean
from typing import Any

from bench._report import print_table

JOURNAL = Path(__file__).resolve().parents[1] / "journal"
# Difference of worth, where 1.0 is all that a class could earn.
GAP = 0.2


def weakest_class(worths: list[float | None]) -> tuple[int, float]:
    """
    Return the position of the class with the lowest worth, and by how much the others earned more.

    :param worths: worth by class, in the order of the site's file; None for a class without any.
    """
    known = {number: worth for number, worth in enumerate(worths) if worth is not None}
    weakest = min(known, key=known.__getitem__)
    others = [worth for number, worth in known.items() if number != weakest]
    return weakest, mean(others) - known[weakest] if others else 0.0


def weak_days(entry: dict[str, Any]) -> Iterator[tuple[str, ...]]:
    """Yield build, site, day, its share that was served, its weakest class and the difference."""
    site = Path(str(entry.get("site", ""))).stem
    for day in entry.get("days") or ():
        worths = day.get("by_class") or ()
        if not any(worth is not None for worth in worths):
            continue
        number, gap = weakest_class(worths)
        if gap > GAP:
            served = f"{day['served']:.3f}"
            yield str(entry["head"])[:7], site, day["name"], served, str(number), f"{gap:.2f}"


def main(paths: list[str] | None = None) -> None:
    """Print the weak classes of journal entries."""
    entries = [Path(path) for path in paths or ()] or sorted(JOURNAL.glob("*.json"))
    rows = [row for path in entries for row in weak_days(json.loads(path.read_text()))]
    print_table(("build", "site", "day", "served", "weakest class", "below others"), rows)


if __name__ == "__main__":
    main(sys.argv[1:])


__all__ = ["main", "weak_days", "weakest_class"]
