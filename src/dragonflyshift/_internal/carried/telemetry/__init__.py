"""Logs and metrics of the roles that carry flows."""

from dragonflyshift._internal.carried.telemetry.counters import Counters
from dragonflyshift._internal.carried.telemetry.lines import configure_lines

__all__ = ('Counters', 'configure_lines')
