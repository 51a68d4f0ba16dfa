"""Stand-ins for an OTLP/HTTP trace collector and a statsd server."""

import asyncio
import gzip
from collections.abc import Iterator
from typing import Any, Self

from attrs import frozen
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
    ExportTraceServiceResponse,
)

from dragonflyshift._internal.models import Address
from tests.lib import http

MAX_SPANS = 100_000
MAX_LINES = 100_000
TRACES_PATH = '/v1/traces'


@frozen
class Span:
    """One received span with the resource attributes of its process."""

    process: str
    instance: str
    name: str
    trace_id: str
    span_id: str
    parent_id: str


class Collector:
    """Collects the spans that are exported to its address.

    It keeps the last MAX_SPANS spans.

    Example:
        >>> async def collect(address: Address) -> list[Span]:
        ...     async with Collector(address) as collector:
        ...         return collector.spans
    """

    def __init__(self, address: Address) -> None:
        self.spans: list[Span] = []
        self.url = f'http://{address}{TRACES_PATH}'
        self._address = address
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start listening."""
        address = self._address
        self._server = await http.serve(
            self._handle,
            address.host,
            address.port,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def traces(self) -> dict[str, list[Span]]:
        """Return the spans of each trace, by trace id."""
        found: dict[str, list[Span]] = {}
        for span in self.spans:
            found.setdefault(span.trace_id, []).append(span)
        return found

    async def _handle(self, exchange: http.Exchange) -> None:
        body = await exchange.body()
        request = exchange.request
        if (request.method, request.path) != ('POST', TRACES_PATH):
            await exchange.reply(404)
            return
        if request.headers.get('content-encoding') == 'gzip':
            body = gzip.decompress(body)
        export = ExportTraceServiceRequest.FromString(body)
        self.spans.extend(_spans(export))
        self.spans = self.spans[-MAX_SPANS:]
        answer = ExportTraceServiceResponse().SerializeToString()
        kind = ('content-type', 'application/x-protobuf')
        await exchange.reply(200, answer, (kind,))


class StatsdSink(asyncio.DatagramProtocol):
    """Collects the first MAX_LINES statsd lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._transport: asyncio.BaseTransport | None = None

    @classmethod
    async def listen(cls, address: Address) -> 'StatsdSink':
        """Listen on a UDP address; the caller closes the sink."""
        loop = asyncio.get_running_loop()
        _transport, sink = await loop.create_datagram_endpoint(
            cls,
            local_addr=address.pair,
        )
        return sink

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, datagram: bytes, _addr: Any) -> None:
        if len(self.lines) < MAX_LINES:
            self.lines.extend(datagram.decode().splitlines())

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def names(self) -> set[str]:
        """Return the names of all metrics received."""
        return {line.partition(':')[0] for line in self.lines}


def _spans(export: Any) -> Iterator[Span]:
    for resource_spans in export.resource_spans:
        for scope_spans in resource_spans.scope_spans:
            for span in scope_spans.spans:
                yield _span(resource_spans.resource, span)


def _span(resource: Any, span: Any) -> Span:
    attributes = {
        each.key: each.value.string_value for each in resource.attributes
    }
    return Span(
        process=attributes.get('service.name', ''),
        instance=attributes.get('service.instance.id', ''),
        name=span.name,
        trace_id=span.trace_id.hex(),
        span_id=span.span_id.hex(),
        parent_id=span.parent_span_id.hex(),
    )
