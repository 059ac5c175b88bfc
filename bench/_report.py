"""Prints tables and draws plots of measurements."""

from __future__ import annotations

from pathlib import Path
from statistics import mean

PLOTS = Path(__file__).resolve().parents[1] / "docs" / "plots"


def spread(values: list[float], digits: int = 2) -> str:
    """
    Mean and range over seeds.

    :param values: one figure a seed.
    :return: `mean (least to most)`.
    """
    return f"{mean(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def print_table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """
    Print a Markdown table.

    :param header: column names.
    :param rows: as many cells each.
    """
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(row) + " |")


def bar_plot(name: str, title: str, value_by_label: dict[str, dict[str, float]]) -> Path:
    """
    Draw grouped bars.

    :param name: file name without ending, under docs/plots.
    :param title: above the plot.
    :param value_by_label: per group, the value by series.
    :return: the PNG file.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = list(value_by_label)
    series = list(next(iter(value_by_label.values())))
    width = 0.8 / len(series)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for number, one in enumerate(series):
        places = [index + number * width for index in range(len(groups))]
        axes.bar(places, [value_by_label[group][one] for group in groups], width, label=one)
    axes.set_xticks([index + 0.4 - width / 2 for index in range(len(groups))], groups)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    PLOTS.mkdir(parents=True, exist_ok=True)
    path = PLOTS / f"{name}.png"
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
    return path


__all__ = ["bar_plot", "print_table", "spread"]
