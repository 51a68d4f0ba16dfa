"""Logs as JSON lines on standard error."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_FIELDS = ('asctime', 'levelname', 'name', 'message')
_RENAMED = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%S'
# They log a line for each request that they make.
_TALKATIVE = ('httpx', 'httpcore')


class _UtcFormatter(JsonFormatter):
    """JSON lines whose time is UTC with milliseconds."""

    default_time_format = _TIME_FORMAT
    default_msec_format = '%s.%03dZ'

    def converter(self, timestamp: float | None) -> time.struct_time:
        return time.gmtime(timestamp)


def configure_logging(level: str, role: str, instance: str) -> None:
    """Send all logs of the process to standard error, one JSON line each.

    The message is the event's name; ``extra`` becomes further keys.

    Example:
        >>> configure_logging('info', 'sidecar', 'kl-a-1')
        >>> logging.getLogger('example').info('started', extra={'port': 443})
    """
    formatter = _UtcFormatter(
        _FIELDS,
        rename_fields=_RENAMED,
        static_fields={'role': role, 'instance': instance},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in _TALKATIVE:
        logging.getLogger(name).setLevel(logging.WARNING)
