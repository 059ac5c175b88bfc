"""
Where simulated days lost worth: `python -m bench.lost_worth REPORT...`.

A day's worth is the share that its requests earned, less prices. Reads reports of days that the
users' benchmark ran, and prints the loss by part and by price, the figures of each kind of request,
and the two-second windows with the largest losses and the disturbances active in them.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[1] / "platform"))

from bench._report import bar_plot, print_table  # noqa: E402
from ibisspring_platform.day_reports import DayReport, read_report  # noqa: E402

MIN_SHOWN = 0.003
"""Smaller losses of worth are added up under `other`."""

WORST_WINDOWS = 4


def losses(day: DayReport) -> dict[str, float]:
    """Return the worth that a day lost by part and by price, largest first; `other` comes last."""
    lost = {f"part: {name}": weight * (1.0 - earned) for name, weight, earned in day.parts}
    lost |= {f"price: {name}": cost for name, _, cost in day.prices}
    shown = {name: cost for name, cost in lost.items() if cost >= MIN_SHOWN}
    other = sum(lost.values()) - sum(shown.values())
    return {**dict(sorted(shown.items(), key=lambda one: -one[1])), "other": other}


def print_losses(day_by_name: dict[str, DayReport]) -> None:
    """Print the losses of worth: one column for each day, one row for each cause."""
    loss_by_day = {name: losses(day) for name, day in day_by_name.items()}
    causes = {cause for lost in loss_by_day.values() for cause in lost}
    mean = {
        cause: sum(lost.get(cause, 0.0) for lost in loss_by_day.values()) / len(loss_by_day)
        for cause in causes
    }
    rows = [("worth", *(f"{day.worth:.3f}" for day in day_by_name.values()), "")]
    for cause in sorted(causes, key=lambda one: -mean[one]):
        cells = (f"{lost.get(cause, 0.0):.3f}" for lost in loss_by_day.values())
        rows.append((cause, *cells, f"{mean[cause]:.3f}"))
    print_table(("lost to", *day_by_name, "mean"), rows)


def print_kinds(day_by_name: dict[str, DayReport]) -> None:
    """Print the counts and the worth of each kind of request."""
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


def print_worst_windows(day_by_name: dict[str, DayReport]) -> None:
    """Print the `WORST_WINDOWS` windows of each day that lost the most worth."""
    rows = []
    for name, day in day_by_name.items():
        worst = sorted(day.windows, key=lambda one: one.n * (one.worth - 1.0))[:WORST_WINDOWS]
        for window in worst:
            if window.worth >= 1.0:
                continue
            active = ", ".join(dict.fromkeys(one.kind for one in day.events_overlapping(window)))
            lost = f"{window.late} late, {window.refused} refused, {window.failed} failed"
            rows.append((name, f"{window.name} s", f"{window.worth:.2f}", lost, active or "none"))
    print_table(("day", "from", "earned", "of its requests", "disturbances then"), rows)


def main(paths: tuple[str, ...] = ()) -> None:
    """Print the tables of the given reports, and draw their losses."""
    day_by_name = {Path(path).stem: read_report(Path(path)) for path in paths}
    if not day_by_name:
        print("no reports given: python -m bench.lost_worth REPORT...")
        return
    print_losses(day_by_name)
    print()
    print_kinds(day_by_name)
    print()
    print_worst_windows(day_by_name)
    causes = list(dict.fromkeys(cause for day in day_by_name.values() for cause in losses(day)))
    bars = {
        name: {cause: losses(day).get(cause, 0.0) for cause in causes}
        for name, day in day_by_name.items()
    }
    print(f"\ndrawn: {bar_plot('lost-worth', 'worth lost by cause', bars)}")


if __name__ == "__main__":
    main(tuple(sys.argv[1:]))
