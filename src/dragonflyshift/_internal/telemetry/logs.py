"""Logging as JSON lines on standard error."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

_FIELDS = ('asctime', 'levelname', 'name', 'message')
_FIELD_NAMES = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%S'
# These loggers emit a line for each request.
_VERBOSE_LOGGERS = ('httpx', 'httpcore')


class _UtcFormatter(JsonFormatter):
    """Formats records as JSON, with times in UTC and milliseconds."""

    default_time_format = _TIME_FORMAT
    default_msec_format = '%s.%03dZ'

    def converter(self, timestamp: float | None) -> time.struct_time:
        return time.gmtime(timestamp)


def configure_logging(level: str, role: str, instance: str) -> None:
    """Write all log records to standard error, each as one JSON line.

    The message is the name of the event; the keys of ``extra`` are added.

    Example:
        >>> configure_logging('info', 'sidecar', 'kl-a-1')
        >>> logging.getLogger('example').info('started', extra={'port': 443})
    """
    formatter = _UtcFormatter(
        _FIELDS,
        rename_fields=_FIELD_NAMES,
        static_fields={'role': role, 'instance': instance},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in _VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
