"""Tests the counts of lost flows from logs of daemons."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from bench.flow_losses import LossTable, main, read_events

_FLOW = '100.64.0.7:1103>198.18.0.1:443'
_LINES = (
    'built in 2 s',
    f'  36.5 edge-1 {{"event": "flow-reset", "flow": "{_FLOW}"}}',
    '  37.1 side-1 {"event": "opening-decided", "outcome": "start-waited",'
    f' "age_ms": 90, "flow": "{_FLOW}"}}',
    '  37.2 edge-1 {"event": "flow-refused", "reason": "all-refused",'
    f' "flow": "{_FLOW}"}}',
    '  37.3 edge-1 {"event": "store-read"}',
    json.dumps({'event': 'owner-unknown', 'time': 40.5, 'flow': _FLOW}),
)


class FlowLossesTest(unittest.TestCase):
    def test_fates_are_counted_by_window_and_service_address(self) -> None:
        table = LossTable()
        for event in read_events(_LINES):
            table.add(event)
        address = '198.18.0.1:443'
        self.assertEqual(
            {key: dict(counts) for key, counts in table.counts.items()},
            {
                (18, address): {
                    'reset': 1,
                    'started after a wait': 1,
                    'refused: all-refused': 1,
                },
                (20, address): {'owner not found': 1},
            },
        )
        self.assertEqual(table.waits_ms, {18: [90]})

    def test_events_of_a_flow_are_printed_in_order(self) -> None:
        status, output = self._run('--flow', _FLOW)
        self.assertEqual(status, 0)
        events = [line.split('"')[3] for line in output.splitlines()]
        self.assertEqual(len(events), 4)
        self.assertEqual(events[0], 'flow-reset')

    def test_unknown_flow_is_an_error(self) -> None:
        self.assertEqual(self._run('--flow', 'none')[0], 2)

    def test_plot_is_written(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, 'plot.png')
            self.assertEqual(self._run('--plot', str(path))[0], 0)
            self.assertGreater(path.stat().st_size, 0)

    def _run(self, *options: str) -> tuple[int, str]:
        output = io.StringIO()
        with (
            tempfile.NamedTemporaryFile('w', suffix='.log') as log,
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            log.write('\n'.join(_LINES))
            log.flush()
            status = main([log.name, *options])
        return status, output.getvalue()
