"""Writes benchmark results as JSON and as Markdown tables."""

import json
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import cattrs
from attrs import frozen

from bench.scenarios.figures import RoleCost, RunResult
from bench.scenarios.plots import write_plots
from bench.scenarios.scores import (
    FORMULA,
    Score,
    largest,
    list_regressions,
    pair_runs,
)

KILOBYTE = 1000


@frozen
class Origin:
    """The command, seed and date that produced a set of results."""

    command: str
    seed: int
    date: str


@frozen
class Column:
    """A table column: its title and the function that renders a cell."""

    title: str
    read: Callable[[RunResult], str]


def write_results(
    directory: Path,
    runs: Sequence[RunResult],
    texts: Mapping[str, str],
    origin: Origin,
) -> str:
    """Write JSON, Markdown and plots to a directory; return the Markdown.

    Creates the directory if it does not exist.
    """
    directory.mkdir(parents=True, exist_ok=True)
    plain = {**cattrs.unstructure(origin), 'runs': cattrs.unstructure(runs)}
    text = json.dumps(plain, indent=1)
    (directory / 'results.json').write_text(f'{text}\n')
    markdown = render(runs, texts, origin)
    (directory / 'results.md').write_text(markdown)
    write_plots(directory, runs)
    return markdown


def render(
    runs: Sequence[RunResult],
    texts: Mapping[str, str],
    origin: Origin,
) -> str:
    """Return all tables for the given runs as Markdown."""
    sections = (
        f'`{origin.command}`, seed {origin.seed}, {origin.date}.\n',
        _table('Flows and answers', ANSWER_COLUMNS, runs),
        _table('Imbalance', IMBALANCE_COLUMNS, runs),
        _table('Time and cost', COST_COLUMNS, runs),
        '### Both weightings\n',
        FORMULA,
        '',
        *_weightings(runs),
        '',
        '### Where ours is worse\n',
        *_regressions(runs),
        '',
        '### Scenarios\n',
        *(f'- `{name}`: {text}' for name, text in texts.items()),
        *_problems(runs),
    )
    text = '\n'.join(sections)
    return f'{text}\n'


def _table(
    title: str,
    columns: Sequence[Column],
    runs: Sequence[RunResult],
) -> str:
    rows = [
        f'### {title}\n',
        _row(('scenario', 'version', *(each.title for each in columns))),
        _row(('---', '---', *('---:' for _ in columns))),
    ]
    for result in runs:
        cells = (
            ('failed' for _ in columns)
            if result.failed
            else (each.read(result) for each in columns)
        )
        rows.append(_row((result.scenario, result.version, *cells)))
    return '\n'.join((*rows, ''))


def _row(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _weightings(runs: Sequence[RunResult]) -> list[str]:
    rows = [
        _row(
            (
                'scenario',
                'Tesfa: ours',
                'naive',
                'first',
                'association: ours',
                'naive',
                'first',
            ),
        ),
        _row(('---', '---:', '---:', '---', '---:', '---:', '---')),
    ]
    for pair in pair_runs(runs):
        ours = Score.of(pair.ours)
        naive = Score.of(pair.naive)
        rows.append(
            _row(
                (
                    pair.ours.scenario,
                    f'{ours.tesfa:.1f}',
                    f'{naive.tesfa:.1f}',
                    _better_version(ours.tesfa_order, naive.tesfa_order),
                    f'{ours.association:.1f}',
                    f'{naive.association:.1f}',
                    _better_version(
                        ours.association_order, naive.association_order
                    ),
                ),
            ),
        )
    return rows


def _better_version(
    ours: tuple[float, float], naive: tuple[float, float]
) -> str:
    if ours == naive:
        return 'equal'
    return 'ours' if ours < naive else 'naive'


def _regressions(runs: Sequence[RunResult]) -> list[str]:
    pairs = pair_runs(runs)
    if not pairs:
        return ['Not compared.']
    lines = [
        f'- `{pair.ours.scenario}`: {"; ".join(found)}'
        for pair in pairs
        if (found := list_regressions(pair))
    ]
    return lines or ['Nowhere in these runs.']


def _problems(runs: Sequence[RunResult]) -> list[str]:
    lines = ['', '### Problems\n']
    for result in runs:
        name = f'{result.scenario} ({result.version})'
        lines.extend(f'- {name}: {each}' for each in result.problems)
    return lines if len(lines) > 2 else []


def _cost(result: RunResult, role: str) -> RoleCost:
    return result.costs.get(role, RoleCost())


def _shares(result: RunResult, role: str) -> str:
    cost = _cost(result, role)
    if not cost.daemons:
        return ''
    return f'{cost.rest_mean:.1%} / {cost.load_mean:.1%}'


def _seconds(numbers: Sequence[float]) -> str:
    longest = largest(numbers)
    return '' if longest is None else f'{longest:.2f}'


def _in_force(result: RunResult) -> str:
    if result.never_in_force:
        return 'never'
    return _seconds(result.force_seconds)


def _control(result: RunResult) -> str:
    cost = _cost(result, 'sidecar')
    rest = cost.control_rest_mean / KILOBYTE
    load = cost.control_load_mean / KILOBYTE
    return f'{rest:.2f} / {load:.2f}'


def _largest(result: RunResult, name: str) -> str:
    numbers = [getattr(each, name) for each in result.balance]
    return f'{max(numbers, default=0):.2f}'


def _latency(result: RunResult) -> str:
    numbers = (result.percentile(each) for each in (50, 90, 99, 100))
    return ' / '.join(f'{each:.0f}' for each in numbers)


def _count(name: str) -> Callable[[RunResult], str]:
    return lambda result: str(getattr(result, name))


def _balance(name: str) -> Callable[[RunResult], str]:
    return lambda result: _largest(result, name)


ANSWER_COLUMNS = (
    Column('requests', _count('requests')),
    Column('whole answers', _count('whole')),
    Column('broken flows', _count('broken_flows')),
    Column('failed handshakes', _count('failed_handshakes')),
    Column('refused as not run', _count('refused_not_run')),
    Column('wrongly refused (at least)', _count('wrongly_refused')),
    Column('unknown', _count('unknown')),
    Column('other errors', _count('refused_other')),
    Column('wrong body', _count('wrong_body')),
    Column('run twice', _count('run_twice')),
    Column('refused but ran', _count('refused_but_ran')),
    Column('lost saves', _count('lost_saves')),
    Column('wrong service', _count('wrong_service')),
)
IMBALANCE_COLUMNS = (
    Column('slot-seconds max/mean', _balance('slots_max_to_mean')),
    Column('slot-seconds variation', _balance('slots_variation')),
    Column('requests max/mean', _balance('requests_max_to_mean')),
    Column('requests variation', _balance('requests_variation')),
)
COST_COLUMNS = (
    Column('short requests ms, 50 / 90 / 99 / 100 %', _latency),
    Column(
        'last new request after leaving s',
        lambda each: _seconds(each.leave_seconds),
    ),
    Column('in force s', _in_force),
    Column(
        'balancer core, rest / load', lambda each: _shares(each, 'balancer')
    ),
    Column('sidecar core, rest / load', lambda each: _shares(each, 'sidecar')),
    Column('sidecar control KB/s, rest / load', _control),
    Column("clients' core", lambda each: f'{each.client_share:.0%}'),
    Column('load average', lambda each: f'{each.load_average:.1f}'),
)
