"""Logs as JSON lines on standard output, rate-limited and non-blocking.

Lines beyond the rate are omitted and counted; the next line that is written
holds their number. If the reader of the output is slow, lines are omitted as
well, and the process isn't delayed.
"""

__all__ = ('configure_logging',)

import json
import logging
import os
import sys
import time
from typing import Any

LINES_PER_S = 400
BURST_LINES = 800
# Lines of this level and above may exceed the rate by PRIORITY_BURST_LINES.
PRIORITY_LEVEL = logging.WARNING
PRIORITY_BURST_LINES = 2000
_STANDARD_ATTRIBUTES = frozenset(
    logging.LogRecord('', 0, '', 0, '', (), None).__dict__,
) | {'message', 'asctime', 'taskName'}


class JsonLineHandler(logging.Handler):
    """Writes each record as a JSON object to a descriptor, within a rate.

    ``omitted`` counts the lines omitted since the last one was written.
    """

    def __init__(self, descriptor: int, common_fields: dict[str, Any]) -> None:
        """Use a descriptor, which becomes non-blocking."""
        super().__init__()
        self._descriptor = descriptor
        self._common_fields = common_fields
        self._tokens = float(BURST_LINES)
        self._refilled_at = time.monotonic()
        self.omitted = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as omitted."""
        if not self._take_token(record.levelno):
            self.omitted += 1
            return
        row = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **self._common_fields,
        }
        for name, value in record.__dict__.items():
            if name not in _STANDARD_ATTRIBUTES:
                row[name] = value
        if record.exc_info:
            row['error'] = logging.Formatter().formatException(
                record.exc_info,
            )
        if self.omitted:
            row['left_out'] = self.omitted
        self._write(json.dumps(row, default=str))

    def _write(self, line: str) -> None:
        try:
            os.write(self._descriptor, f'{line}\n'.encode())
        except OSError:
            # The reader is slow or has closed the pipe. The omission is
            # reported in the next line that is written.
            self.omitted += 1
        else:
            self.omitted = 0

    def _take_token(self, level: int) -> bool:
        now = time.monotonic()
        available = self._tokens + (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), available)
        self._refilled_at = now
        lower_limit = -PRIORITY_BURST_LINES if level >= PRIORITY_LEVEL else 0
        if self._tokens <= lower_limit:
            return False
        self._tokens -= 1
        return True


def configure_logging(level: str, **common_fields: Any) -> None:
    """Send all logs of the process to standard output.

    The message of a record is the name of its event, and the items of
    ``extra`` become further keys. Each line includes ``common_fields``.
    """
    handler = JsonLineHandler(sys.stdout.fileno(), common_fields)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
