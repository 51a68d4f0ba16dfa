"""Logs, metrics and traces."""

from dragonflyshift._internal.telemetry.logs import configure_logging
from dragonflyshift._internal.telemetry.metrics import (
    Metrics,
    NoMetrics,
    StatsdMetrics,
)
from dragonflyshift._internal.telemetry.traces import (
    CONTEXT_BYTES,
    SpanContext,
    Tracing,
    trace_id_for,
)

__all__ = (
    'CONTEXT_BYTES',
    'Metrics',
    'NoMetrics',
    'SpanContext',
    'StatsdMetrics',
    'Tracing',
    'configure_logging',
    'trace_id_for',
)
