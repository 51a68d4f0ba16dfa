"""Paired differences of the arms of an experiment, as a table and a plot."""

__all__ = ('Difference', 'compare', 'format_table', 'plot', 'worsened')

import math
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from statistics import mean, stdev

from attrs import frozen
from scipy import stats

from bench.experiments.plan import Experiment, Play
from bench.experiments.results import PlayResult

CONFIDENCE = 0.95
ALL_DAYS = 'all days'
_Results = Mapping[Play, PlayResult]


@frozen
class Difference:
    """The mean of paired differences, with its spread.

    ``error`` is the standard error of the mean; ``low`` and ``high`` are the
    bounds of its confidence interval, infinite for fewer than two pairs.
    """

    mean: float
    error: float
    low: float
    high: float
    pairs: int

    def __str__(self) -> str:
        """Return the mean, its standard error and the interval."""
        text = f'{self.mean:+.4f} ± {self.error:.4f}'
        if math.isfinite(self.low):
            text = f'{text} [{self.low:+.4f}, {self.high:+.4f}]'
        return text


def compare(
    after: Sequence[float], before: Sequence[float]
) -> Difference | None:
    """Return the difference of paired figures, or None without pairs."""
    differences = [
        each - earlier for each, earlier in zip(after, before, strict=True)
    ]
    if not differences:
        return None
    average = mean(differences)
    if len(differences) == 1:
        return Difference(average, 0, -math.inf, math.inf, 1)
    error = stdev(differences) / math.sqrt(len(differences))
    if not error:
        return Difference(average, 0, average, average, len(differences))
    interval = stats.ttest_rel(after, before).confidence_interval(CONFIDENCE)
    return Difference(
        average, error, interval.low, interval.high, len(differences)
    )


def format_table(plan: Experiment, results: _Results) -> Iterator[str]:
    """Yield the lines of a Markdown table: a row an arm, a column a day.

    The row of the baseline has the mean worth; the others have differences,
    with ``!`` where more guarantees were broken.
    """
    days = (*plan.days, ALL_DAYS)
    yield f'| arm | {" | ".join(days)} |'
    yield f'|---|{"---|" * len(days)}'
    baseline = plan.baseline_arm
    means = [_mean_worth(plan, results, day) for day in days]
    yield f'| {baseline} | {" | ".join(means)} |'
    for arm in plan.arms:
        if arm.name != baseline:
            cells = [_cell(plan, results, arm.name, day) for day in days]
            yield f'| {arm.name} | {" | ".join(cells)} |'


def plot(plan: Experiment, results: _Results, path: Path) -> None:
    """Draw the differences over all days, with their intervals."""
    # Slow to import, and needed for plots only.
    from matplotlib import pyplot

    found = [
        (arm.name, difference)
        for arm in plan.arms
        if arm.name != plan.baseline_arm
        and (difference := _difference(plan, results, arm.name, ALL_DAYS))
    ]
    figure, axes = pyplot.subplots(figsize=(8, 1 + len(found) / 2))
    for row, (_name, difference) in enumerate(found):
        axes.errorbar(
            difference.mean,
            row,
            xerr=max(0, min(1, difference.high - difference.mean)),
            fmt='o',
            capsize=4,
        )
    axes.axvline(0, linewidth=0.8)
    axes.set_yticks(range(len(found)), [name for name, _difference in found])
    axes.set_xlabel(f'worth, difference from {plan.baseline_arm}')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def worsened(
    plan: Experiment, results: _Results, stored: _Results
) -> Iterator[str]:
    """Yield a line for each arm and day that is worse than stored results.

    That is when the whole interval of the differences lies below zero.
    """
    for arm in plan.arms:
        for day in plan.days:
            plays = [
                play
                for play in _plays(plan, arm.name, day)
                if play in results and play in stored
            ]
            difference = compare(
                [results[play].worth for play in plays],
                [stored[play].worth for play in plays],
            )
            if difference is not None and difference.high < 0:
                yield f'{arm.name}, {day}: {difference}'


def _plays(plan: Experiment, arm: str, day: str) -> list[Play]:
    days = plan.days if day == ALL_DAYS else (day,)
    return [Play(arm, each, seed) for each in days for seed in plan.seeds]


def _mean_worth(plan: Experiment, results: _Results, day: str) -> str:
    worths = [
        results[play].worth
        for play in _plays(plan, plan.baseline_arm, day)
        if play in results
    ]
    return f'{mean(worths):.4f}' if worths else '-'


def _pairs(
    plan: Experiment, results: _Results, arm: str, day: str
) -> list[tuple[PlayResult, PlayResult]]:
    baseline = _plays(plan, plan.baseline_arm, day)
    return [
        (results[play], results[before])
        for play, before in zip(_plays(plan, arm, day), baseline, strict=True)
        if play in results and before in results
    ]


def _difference(
    plan: Experiment, results: _Results, arm: str, day: str
) -> Difference | None:
    pairs = _pairs(plan, results, arm, day)
    return compare(
        [after.worth for after, _before in pairs],
        [before.worth for _after, before in pairs],
    )


def _cell(plan: Experiment, results: _Results, arm: str, day: str) -> str:
    difference = _difference(plan, results, arm, day)
    if difference is None:
        return '-'
    pairs = _pairs(plan, results, arm, day)
    is_broken = any(after.broken > before.broken for after, before in pairs)
    return f'{difference}{" !" if is_broken else ""}'
