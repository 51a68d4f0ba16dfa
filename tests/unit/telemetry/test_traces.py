"""Spans, their context on the wire and their export.

Guards against spans of one flow that end up in different traces, and against a
shutdown that is blocked by an unresponsive collector.
"""

import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.telemetry import (
    CONTEXT_BYTES,
    SpanContext,
    Tracing,
    trace_id_for,
)


class _Collector(BaseHTTPRequestHandler):
    def do_POST(self):
        size = int(self.headers['Content-Length'])
        exported = ExportTraceServiceRequest.FromString(self.rfile.read(size))
        for part in exported.resource_spans:
            for scope in part.scope_spans:
                self.server.spans.extend(scope.spans)
        self.send_response(200)
        self.end_headers()

    def log_message(self, *_args):
        """Suppress the server's log output."""


class TracesTest(unittest.TestCase):
    def _collect(self):
        server = HTTPServer(('127.0.0.1', 0), _Collector)
        server.spans = []
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        return server, f'http://127.0.0.1:{server.server_port}/v1/traces'

    def test_spans_of_two_processes_form_one_trace(self):
        server, url = self._collect()
        trace_id = trace_id_for(b'client-id')
        steer = Tracing(url, 'balancer', 'a')
        serve = Tracing(url, 'sidecar', 'b')
        with steer.start_span('steer', trace_id) as context:
            sent = context.encode()
        received = SpanContext.decode(sent)
        with (
            self.assertRaises(ValueError),
            serve.start_span(
                'serve',
                received.trace_id,
                received.span_id,
                {'slots': 3},
            ),
        ):
            raise ValueError
        steer.shutdown()
        serve.shutdown()
        spans = {span.name: span for span in server.spans}
        self.assertEqual(spans['steer'].trace_id, trace_id.to_bytes(16, 'big'))
        self.assertEqual(spans['serve'].trace_id, spans['steer'].trace_id)
        self.assertEqual(spans['steer'].parent_span_id, b'')
        self.assertEqual(
            spans['serve'].parent_span_id,
            spans['steer'].span_id,
        )
        self.assertEqual(spans['serve'].attributes[0].key, 'slots')

    def test_context_is_passed_through_without_a_url(self):
        tracing = Tracing('', 'balancer', 'a')
        with tracing.start_span('steer', 5, 6) as context:
            self.assertEqual(context, SpanContext(5, 6))
        tracing.shutdown()

    def test_shutdown_times_out_if_the_collector_hangs(self):
        server, url = self._collect()
        server.shutdown()
        tracing = Tracing(url, 'balancer', 'a')
        with tracing.start_span('steer', 1):
            started = time.monotonic()
        tracing.shutdown(timeout=0.5)
        self.assertLess(time.monotonic() - started, 2)

    def test_context_of_wrong_length_is_refused(self):
        for size in (0, CONTEXT_BYTES - 1, CONTEXT_BYTES + 1):
            with self.assertRaises(WireError):
                SpanContext.decode(bytes(size))
