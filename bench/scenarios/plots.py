"""Plots of benchmark results; requires matplotlib."""

from collections.abc import Callable, Sequence
from importlib.util import find_spec
from pathlib import Path

from attrs import frozen

from bench.scenarios.figures import RunResult

BAR_WIDTH = 0.4
INCHES = (11.0, 4.5)


@frozen
class Plot:
    """A bar chart with one bar for each run."""

    file: str
    title: str
    read: Callable[[RunResult], float]


PLOTS = (
    Plot(
        'broken-flows.png',
        'broken flows for each 1,000 requests',
        lambda each: each.broken_ratio,
    ),
    Plot(
        'imbalance.png',
        'slot-seconds of the untouched instances, largest to mean',
        lambda each: each.imbalance,
    ),
    Plot(
        'latency.png',
        '99 % latency of short requests, ms',
        lambda each: each.percentile(99),
    ),
    Plot(
        'whole-answers.png',
        'whole answers a second',
        lambda each: each.whole / each.seconds,
    ),
)


def write_plots(directory: Path, runs: Sequence[RunResult]) -> None:
    """Write one PNG file per plot; do nothing without matplotlib."""
    if runs and find_spec('matplotlib') is not None:
        for plot in PLOTS:
            _draw(plot, directory / plot.file, runs)


def _draw(plot: Plot, path: Path, runs: Sequence[RunResult]) -> None:
    from matplotlib.figure import Figure

    names = list(dict.fromkeys(each.scenario for each in runs))
    versions = list(dict.fromkeys(each.version for each in runs))
    figure = Figure(figsize=INCHES, layout='constrained')
    axes = figure.subplots()
    for index, version in enumerate(versions):
        own = [each for each in runs if each.version == version]
        axes.bar(
            [names.index(each.scenario) + index * BAR_WIDTH for each in own],
            [0 if each.failed else plot.read(each) for each in own],
            BAR_WIDTH,
            label=version,
        )
    middle = BAR_WIDTH * (len(versions) - 1) / 2
    ticks = [number + middle for number in range(len(names))]
    axes.set_xticks(ticks, names, rotation=40, ha='right')
    axes.set_title(plot.title)
    axes.legend()
    figure.savefig(path)
