"""Logs as JSON lines on standard output, bounded and never blocking.

Lines beyond the rate are counted and left out; the next line that goes out
says how many. A reader that doesn't read loses lines, not time.
"""

__all__ = ('configure_lines',)

import json
import logging
import os
import sys
import time
from typing import Any

LINES_PER_S = 400
BURST_LINES = 800
# Lines from this level on are written even when the rate is used up.
ALWAYS_LEVEL = logging.WARNING
HARD_BURST_LINES = 2000
_KNOWN = frozenset(
    logging.LogRecord('', 0, '', 0, '', (), None).__dict__,
) | {'message', 'asctime', 'taskName'}


class LineHandler(logging.Handler):
    """Write one JSON object a record to a descriptor, within a rate."""

    def __init__(self, descriptor: int, static: dict[str, Any]) -> None:
        """Take over a descriptor and make it non-blocking."""
        super().__init__()
        self._descriptor = descriptor
        self._static = static
        self._tokens = float(BURST_LINES)
        self._filled_at = time.monotonic()
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        if not self._takes(record.levelno):
            self.left_out += 1
            return
        row = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **self._static,
        }
        for name, value in record.__dict__.items():
            if name not in _KNOWN:
                row[name] = value
        if record.exc_info:
            row['error'] = logging.Formatter().formatException(
                record.exc_info,
            )
        if self.left_out:
            row['left_out'] = self.left_out
        self._write(json.dumps(row, default=str))

    def _write(self, line: str) -> None:
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except OSError:
            # The reader is behind or gone: counted, and said later.
            self.left_out += 1
        else:
            self.left_out = 0

    def _takes(self, level: int) -> bool:
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), filled)
        self._filled_at = now
        floor = -HARD_BURST_LINES if level >= ALWAYS_LEVEL else 0
        if self._tokens <= floor:
            return False
        self._tokens -= 1
        return True


def configure_lines(level: str, **static: Any) -> None:
    """Send all logs of the process to standard output.

    The message is the event's name; ``extra`` becomes further keys, and
    ``static`` stands in each line.
    """
    handler = LineHandler(sys.stdout.fileno(), static)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
