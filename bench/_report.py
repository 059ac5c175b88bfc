"""Prints tables and draws plots of measurements."""

from __future__ import annotations

from pathlib import Path
from statistics import mean

PLOTS = Path(__file__).resolve().parents[1] / "docs" / "plots"


def spread(values: list[float], digits: int = 2) -> str:
    """
    Format the mean and the range of a figure over the seeds.

    :param values: one value for each seed.
    :param digits: decimal places.
    :return: `mean (minimum to maximum)`.
    """
    return f"{mean(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def print_table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """
    Print a Markdown table.

    :param header: column names.
    :param rows: cells of each row, one for each column.
    """
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(row) + " |")


def bar_plot(name: str, title: str, value_by_label: dict[str, dict[str, float]]) -> Path:
    """
    Draw grouped bars.

    :param name: file name without extension, under docs/plots.
    :param title: printed above the plot.
    :param value_by_label: for each group of bars, the value of each series.
    :return: path of the PNG file.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = list(value_by_label)
    series = list(next(iter(value_by_label.values())))
    width = 0.8 / len(series)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for number, series_name in enumerate(series):
        positions = [index + number * width for index in range(len(groups))]
        axes.bar(
            positions,
            [value_by_label[group][series_name] for group in groups],
            width,
            label=series_name,
        )
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
