"""
Where played days lost worth: `python -m bench.lost_worth REPORT...`.

Reads the reports of days on the users' bench and prints what each part and each price took, which
kinds of requests lost it, and in which moments, with the disturbances that stood then.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "platform"))

from bench._report import bar_plot, print_table  # noqa: E402
from ibisspring_platform.day_reports import DayReport, read_report  # noqa: E402

LEAST_SHOWN = 0.003
"""Smaller losses are summed up as `other`."""

WORST_WINDOWS = 4


def losses(day: DayReport) -> dict[str, float]:
    """What a day lost by part and by price, largest first."""
    lost = {f"part: {name}": weight * (1.0 - earned) for name, weight, earned in day.parts}
    lost |= {f"price: {name}": took for name, _, took in day.prices}
    shown = {name: took for name, took in lost.items() if took >= LEAST_SHOWN}
    other = sum(lost.values()) - sum(shown.values())
    return {**dict(sorted(shown.items(), key=lambda one: -one[1])), "other": other}


def print_losses(day_by_name: dict[str, DayReport]) -> None:
    """One column a day, one row a loss."""
    loss_by_day = {name: losses(day) for name, day in day_by_name.items()}
    causes = {cause for lost in loss_by_day.values() for cause in lost}
    mean = {
        cause: sum(lost.get(cause, 0.0) for lost in loss_by_day.values()) / len(loss_by_day)
        for cause in causes
    }
    rows = [("worth", *(f"{day.worth:.3f}" for day in day_by_name.values()), "")]
    for cause in sorted(causes, key=lambda one: -mean[one]):
        took = (f"{lost.get(cause, 0.0):.3f}" for lost in loss_by_day.values())
        rows.append((cause, *took, f"{mean[cause]:.3f}"))
    print_table(("lost to", *day_by_name, "mean"), rows)


def print_kinds(day_by_name: dict[str, DayReport]) -> None:
    """Each kind of request."""
    rows = [
        (
            name,
            one.name,
            str(one.n),
            f"{one.worth:.3f}",
            str(one.late),
            str(one.refused),
            str(one.failed),
            f"{one.p99_ms:.0f}",
        )
        for name, day in day_by_name.items()
        for one in day.classes
    ]
    print_table(("day", "kind", "asked", "earned", "late", "refused", "failed", "p99 ms"), rows)


def print_moments(day_by_name: dict[str, DayReport]) -> None:
    """The worst windows, by what was lost in them."""
    rows = []
    for name, day in day_by_name.items():
        worst = sorted(day.windows, key=lambda one: one.n * (one.worth - 1.0))[:WORST_WINDOWS]
        for window in worst:
            if window.worth >= 1.0:
                continue
            stood = ", ".join(dict.fromkeys(one.kind for one in day.during(window)))
            lost = f"{window.late} late, {window.refused} refused, {window.failed} failed"
            rows.append((name, f"{window.name} s", f"{window.worth:.2f}", lost, stood or "none"))
    print_table(("day", "from", "earned", "of its requests", "disturbances then"), rows)


def main(paths: tuple[str, ...] = ()) -> None:
    """Print the tables of some reports, and draw their losses."""
    day_by_name = {Path(path).stem: read_report(Path(path)) for path in paths}
    if not day_by_name:
        print("no reports given: python -m bench.lost_worth REPORT...")
        return
    print_losses(day_by_name)
    print()
    print_kinds(day_by_name)
    print()
    print_moments(day_by_name)
    causes = list(dict.fromkeys(cause for day in day_by_name.values() for cause in losses(day)))
    bars = {
        name: {cause: losses(day).get(cause, 0.0) for cause in causes}
        for name, day in day_by_name.items()
    }
    print(f"\ndrawn: {bar_plot('lost-worth', 'worth lost by cause', bars)}")


if __name__ == "__main__":
    main(tuple(sys.argv[1:]))
