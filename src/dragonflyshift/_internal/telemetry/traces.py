"""Distributed tracing with a span for each hop.

The trace id is a hash of the client's first connection id. The spans of the
balancer and the sidecar therefore belong to one trace, although the balancer
reads no payload. Without the URL of a collector no spans are recorded.
"""

import hashlib
import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Self

from attrs import frozen
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import SERVICE_NAME, Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator

from dragonflyshift._internal.exceptions import WireError

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
CONTEXT_BYTES = TRACE_ID_BYTES + SPAN_ID_BYTES
EXPORT_TIMEOUT_S = 1.0
SHUTDOWN_TIMEOUT_S = 2.0
EXPORT_INTERVAL_MS = 500
MAX_QUEUED_SPANS = 2048

_SAMPLED = trace.TraceFlags(trace.TraceFlags.SAMPLED)
_root_trace_id: ContextVar[int] = ContextVar('root_trace_id', default=0)


def trace_id_for(client_connection_id: bytes) -> int:
    """Return the 128-bit trace id for a client's first connection id."""
    digest = hashlib.blake2b(client_connection_id, digest_size=TRACE_ID_BYTES)
    return int.from_bytes(digest.digest(), 'big') or 1


@frozen
class SpanContext:
    """A reference to a span of another process: 24 bytes on the wire."""

    trace_id: int
    span_id: int

    @classmethod
    def decode(cls, raw: bytes) -> Self:
        """Decode 24 bytes; raise WireError if the length differs."""
        if len(raw) != CONTEXT_BYTES:
            raise WireError(
                f'span context has {len(raw)} bytes, expected {CONTEXT_BYTES}'
            )
        return cls(
            int.from_bytes(raw[:TRACE_ID_BYTES], 'big'),
            int.from_bytes(raw[TRACE_ID_BYTES:], 'big'),
        )

    def encode(self) -> bytes:
        """Return the trace id (16 bytes) and span id (8), big-endian."""
        return b''.join(
            (
                self.trace_id.to_bytes(TRACE_ID_BYTES, 'big'),
                self.span_id.to_bytes(SPAN_ID_BYTES, 'big'),
            )
        )


class Tracing:
    """Records and exports the spans of one process.

    Example:
        >>> tracing = Tracing('', 'balancer', 'kl-a-1')
        >>> with tracing.start_span('steer', trace_id_for(b'id')) as context:
        ...     len(context.encode())
        24
    """

    def __init__(self, url: str, role: str, instance: str) -> None:
        """Export to ``url`` with OTLP over HTTP; if empty, record nothing."""
        self.enabled = bool(url)
        self._provider = _create_provider(url, role, instance) if url else None
        provider = self._provider or trace.NoOpTracerProvider()
        self._tracer = provider.get_tracer('dragonflyshift')

    @contextmanager
    def start_span(
        self,
        name: str,
        trace_id: int,
        parent_span_id: int = 0,
        attributes: Mapping[str, str | int | float | bool] | None = None,
    ) -> Iterator[SpanContext]:
        """Record a span for the block; yield its context for the wire.

        With a ``parent_span_id`` of 0 it is a root span of the trace. An
        exception raised in the block is recorded in the span.
        """
        if not self.enabled:
            yield SpanContext(trace_id, parent_span_id)
            return
        with self._tracer.start_as_current_span(
            name,
            context=_parent_context(trace_id, parent_span_id),
            attributes=attributes,
        ) as span:
            yield SpanContext(trace_id, span.get_span_context().span_id)

    def shutdown(self, timeout: float = SHUTDOWN_TIMEOUT_S) -> None:
        """Export the queued spans, for at most ``timeout`` seconds."""
        if self._provider is None:
            return
        flush = threading.Thread(target=self._provider.shutdown, daemon=True)
        flush.start()
        flush.join(timeout)


class _RootTraceIdGenerator(RandomIdGenerator):
    """Generates random span ids, and the trace id set for a root span."""

    def generate_trace_id(self) -> int:
        return _root_trace_id.get() or super().generate_trace_id()


def _parent_context(trace_id: int, parent_span_id: int) -> Context:
    if not parent_span_id:
        _root_trace_id.set(trace_id)
        return Context()
    parent = trace.SpanContext(
        trace_id,
        parent_span_id,
        is_remote=True,
        trace_flags=_SAMPLED,
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(parent), Context())


def _create_provider(url: str, role: str, instance: str) -> TracerProvider:
    resource = Resource(
        {
            SERVICE_NAME: f'dragonflyshift-{role}',
            'service.instance.id': instance,
        }
    )
    provider = TracerProvider(
        resource=resource,
        id_generator=_RootTraceIdGenerator(),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(
        BatchSpanProcessor(
            OTLPSpanExporter(endpoint=url, timeout=EXPORT_TIMEOUT_S),
            max_queue_size=MAX_QUEUED_SPANS,
            schedule_delay_millis=EXPORT_INTERVAL_MS,
        ),
    )
    return provider
