"""Logs and metrics of the balancers and sidecars of carried flows."""

from dragonflyshift._internal.carried.telemetry.counters import (
    Counters,
    load_exposition,
)
from dragonflyshift._internal.carried.telemetry.json_lines import (
    configure_logging,
)

__all__ = ('Counters', 'configure_logging', 'load_exposition')
