"""Count by window and service address what became of flows, from daemon logs.

    python -m bench.flow_losses LOG [--window 2] [--since 30] [--plot out.png]
    python -m bench.flow_losses LOG --flow '100.64.0.7:1103>198.18.0.1:443'

A line of the log is one event of a daemon as JSON. A time in seconds and the
name of the daemon may stand before it; without them the event's own time
counts. With ``--flow`` all events of one flow are printed, in order of time.
"""

import argparse
import json
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

WINDOW_S = 2.0
USAGE_STATUS = 2
INCHES = (11.0, 4.5)
# A time in seconds, the name of a daemon and a JSON object.
_PREFIXED_LINE = re.compile(r'\s*(-?\d+\.\d+)\s+\S+\s+(\{.*)')
_FATE_EVENTS = frozenset(('flow-refused', 'flow-reset', 'owner-unknown'))
_WAITED = 'started after a wait'


@frozen
class FlowEvent:
    """A log event of a flow, at ``at`` seconds."""

    at: float
    flow: str
    body: dict[str, Any]

    @property
    def service_address(self) -> str:
        """The address to which the client opened the flow."""
        return self.flow.rpartition('>')[2]

    @property
    def fate(self) -> str:
        """What became of the flow by this event; empty if it is open yet.

        Examples are ``refused: all-refused``, ``given up`` and ``reset``.
        """
        event = str(self.body['event'])
        if event == 'opening-decided':
            return _DECISION_FATES.get(self.body['outcome'], '')
        if event not in _FATE_EVENTS:
            return ''
        name = _FATE_NAMES.get(event, event)
        reason = self.body.get('reason')
        return f'{name}: {reason}' if reason else name


_DECISION_FATES = {'given-up': 'given up', 'start-waited': _WAITED}
_FATE_NAMES = {
    'flow-refused': 'refused',
    'flow-reset': 'reset',
    'owner-unknown': 'owner not found',
}


@define
class LossTable:
    """Counts of fates by window and service address.

    Windows are numbered from zero. ``waits_ms`` holds the ages of the flows
    that started after a wait, by window.
    """

    window_s: float = WINDOW_S
    counts: dict[tuple[int, str], Counter[str]] = field(factory=dict)
    waits_ms: dict[int, list[int]] = field(factory=dict)

    def add(self, event: FlowEvent) -> None:
        """Count an event if it decides what becomes of its flow."""
        fate = event.fate
        if not fate:
            return
        window = int(event.at // self.window_s)
        key = (window, event.service_address)
        self.counts.setdefault(key, Counter())[fate] += 1
        if fate == _WAITED:
            age_ms = int(event.body['age_ms'])
            self.waits_ms.setdefault(window, []).append(age_ms)

    def rows(self) -> Iterator[str]:
        """Return a line for each window and service address."""
        for (window, address), fates in sorted(self.counts.items()):
            counted = ', '.join(
                f'{fate} {count}' for fate, count in fates.most_common()
            )
            start_s = window * self.window_s
            yield f'{start_s:8.1f}  {address:21s}  {counted}'

    def fate_series(self) -> dict[str, dict[int, int]]:
        """Return the counts of each fate by window."""
        series: dict[str, dict[int, int]] = defaultdict(dict)
        for (window, _address), fates in self.counts.items():
            for fate, count in fates.items():
                before = series[fate].get(window, 0)
                series[fate][window] = before + count
        return series


def read_events(lines: Iterable[str]) -> Iterator[FlowEvent]:
    """Return the events of flows; other lines are passed over."""
    for line in lines:
        match = _PREFIXED_LINE.match(line)
        text = line if match is None else match.group(2)
        try:
            body = json.loads(text)
        except ValueError:
            continue
        if isinstance(body, dict) and 'flow' in body:
            at = body.get('time', 0) if match is None else match.group(1)
            yield FlowEvent(float(at), str(body['flow']), body)


def write_plot(path: Path, table: LossTable) -> None:
    """Draw the counts of each fate over time; requires matplotlib."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=INCHES, layout='constrained')
    axes = figure.add_subplot()
    for fate, by_window in sorted(table.fate_series().items()):
        windows = sorted(by_window)
        axes.plot(
            [each * table.window_s for each in windows],
            [by_window[each] for each in windows],
            label=fate,
        )
    axes.set_xlabel('seconds')
    axes.set_ylabel(f'flows in {table.window_s:g} s')
    axes.legend()
    figure.savefig(path)


def main(arguments: Sequence[str]) -> int:
    """Print the table or the events of a flow; return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m bench.flow_losses')
    parser.add_argument('log', type=Path)
    parser.add_argument('--window', type=float, default=WINDOW_S)
    parser.add_argument('--since', type=float, default=float('-inf'))
    parser.add_argument('--flow', help='print the events of this flow')
    parser.add_argument('--plot', type=Path, help='write a PNG file')
    options = parser.parse_args(arguments)
    try:
        text = options.log.read_text()
    except OSError as exc:
        sys.stderr.write(f'error: can not read the log: {exc}\n')
        return USAGE_STATUS
    events = [
        event
        for event in read_events(text.splitlines())
        if event.at >= options.since
    ]
    if options.flow:
        return _print_flow(events, options.flow)
    table = LossTable(options.window)
    for event in events:
        table.add(event)
    print('\n'.join(table.rows()))
    if options.plot and find_spec('matplotlib') is not None:
        write_plot(options.plot, table)
    return 0


def _print_flow(events: Sequence[FlowEvent], flow: str) -> int:
    found = [event for event in events if event.flow == flow]
    if not found:
        sys.stderr.write(f'error: the log has no event of {flow}\n')
        return USAGE_STATUS
    for event in sorted(found, key=lambda each: each.at):
        print(f'{event.at:10.4f}  {json.dumps(event.body)}')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
