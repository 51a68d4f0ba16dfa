"""Logs, metrics and traces."""

from dragonflyshift._internal.telemetry.factory import (
    create_metrics,
    create_tracing,
)
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
    'create_metrics',
    'create_tracing',
    'trace_id_for',
)
