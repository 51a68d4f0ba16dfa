import json
import logging
import os
import unittest
from typing import Any

from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.carried.telemetry.json_lines import (
    BURST_LINES,
    JsonLineHandler,
)

_READ_BYTES = 1 << 20


class JsonLinesTest(unittest.TestCase):
    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(reader, False)
        self.reader = reader
        self.handler = JsonLineHandler(writer, {'node': 'edge-1'})

    def test_line_holds_event_and_extra_keys(self) -> None:
        self._log('flow-refused', reason='no-route', revision=7)
        row = self._rows()[0]
        self.assertEqual(row['event'], 'flow-refused')
        self.assertEqual(row['node'], 'edge-1')
        self.assertEqual(row['revision'], 7)

    def test_excess_lines_are_omitted_and_counted(self) -> None:
        rows: list[Any] = []
        for _ in range(BURST_LINES * 2):
            self._log('opening-decided')
            rows.extend(self._rows())
        self._log('backend-lost', level=logging.WARNING)
        rows.extend(self._rows())
        self.assertLess(len(rows), BURST_LINES * 1.5)
        omitted = sum(row.get('left_out', 0) for row in rows)
        self.assertEqual(len(rows) + omitted, BURST_LINES * 2 + 1)

    def test_full_pipe_does_not_block(self) -> None:
        for _ in range(BURST_LINES - 1):
            self._log('opening-decided', text='x' * 400)
        self.assertGreater(self.handler.omitted, 0)

    def test_error_is_written_with_its_traceback(self) -> None:
        exc_info = (ValueError, ValueError('bad datagram'), None)
        self._log('datagram-failed', level=logging.ERROR, exc_info=exc_info)
        self.assertIn('bad datagram', self._rows()[0]['error'])

    def _log(
        self,
        event: str,
        level: int = logging.INFO,
        exc_info: Any = None,
        **extra: Any,
    ) -> None:
        record = logging.LogRecord('test', level, '', 0, event, (), exc_info)
        record.__dict__.update(extra)
        self.handler.emit(record)

    def _rows(self) -> list[Any]:
        try:
            text = os.read(self.reader, _READ_BYTES).decode()
        except BlockingIOError:
            return []
        return [json.loads(line) for line in text.splitlines()]


class CountersTest(unittest.TestCase):
    def test_exposition_has_counters_and_buckets(self) -> None:
        counters = Counters()
        counters.incr('openings', 3)
        counters.observe('wait', 0.02)
        counters.observe('wait', 0.4)
        counters.gauge('flows', lambda: 5)
        text = counters.exposition().decode()
        self.assertIn('dragonflyshift_openings_total 3.0', text)
        self.assertIn('dragonflyshift_wait_seconds_bucket{le="0.03"} 1.0', text)
        self.assertIn('dragonflyshift_wait_seconds_count 2.0', text)
        self.assertIn('dragonflyshift_flows 5.0', text)
