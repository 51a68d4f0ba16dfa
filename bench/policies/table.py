"""Markdown tables of the policy simulation."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from bench.policies.tally import RunStatistics


class RunSummary(Protocol):
    """The attributes of a run that a table shows."""

    @property
    def scenario(self) -> str:
        """Title of the scenario."""

    @property
    def system(self) -> str:
        """Name of the system."""

    @property
    def mean(self) -> RunStatistics:
        """Mean statistics over the seeds."""


@frozen
class _Column:
    title: str
    name: str
    format_spec: str


_BALANCE_COLUMNS = (
    _Column('slot-s max/mean', 'slot_seconds_max_to_mean', '.3f'),
    _Column('slot-s CV', 'slot_seconds_variation', '.3f'),
    _Column('requests max/mean', 'requests_max_to_mean', '.3f'),
    _Column('requests CV', 'requests_variation', '.3f'),
    _Column('idle while waiting', 'idle_while_waiting', '.3f'),
    _Column('handed over', 'handed_over', '.1%'),
    _Column('claims/request', 'claims_per_request', '.2f'),
    _Column('offers/request', 'offers_per_request', '.2f'),
)
_OUTCOME_COLUMNS = (
    _Column('whole', 'whole', '.2%'),
    _Column('refused', 'refused', '.2%'),
    _Column('wrongly', 'wrongly_refused', '.3%'),
    _Column('expired', 'expired', '.2%'),
    _Column('late', 'late', '.2%'),
    _Column('failed', 'failed', '.2%'),
    _Column('unfinished', 'unfinished', '.2%'),
    _Column('attempts/request', 'attempts_per_request', '.3f'),
    _Column('wait p50 ms', 'wait_p50_ms', '.1f'),
    _Column('wait p99 ms', 'wait_p99_ms', '.0f'),
    _Column('p50 ms', 'latency_p50_ms', '.0f'),
    _Column('p99 ms', 'latency_p99_ms', '.0f'),
    _Column('p99.9 ms', 'latency_p999_ms', '.0f'),
)


def render_tables(runs: Sequence[RunSummary]) -> str:
    """Return two Markdown tables: balance and outcomes."""
    return '\n\n'.join(
        (
            _render('Balance', _BALANCE_COLUMNS, runs),
            _render('Outcome', _OUTCOME_COLUMNS, runs),
        )
    )


def _render(
    title: str,
    columns: tuple[_Column, ...],
    runs: Sequence[RunSummary],
) -> str:
    head = ('scenario', 'system', *(column.title for column in columns))
    lines = [f'### {title}', '', _row(head), _row(('---',) * len(head))]
    lines.extend(_row(_cells(columns, run)) for run in runs)
    return '\n'.join(lines)


def _cells(columns: tuple[_Column, ...], run: RunSummary) -> tuple[str, ...]:
    shown = (
        format(getattr(run.mean, column.name), column.format_spec)
        for column in columns
    )
    return (run.scenario, run.system, *shown)


def _row(cells: Sequence[str]) -> str:
    return f'| {" | ".join(cells)} |'
