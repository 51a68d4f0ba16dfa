"""What lies in the platform's store: the configuration and the endpoints."""

__all__ = (
    'CONFIGURATION_KEY',
    'ENDPOINT_PREFIX',
    'decode_endpoint',
    'decode_routes',
)

import json
import socket
import struct
from typing import Any

from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import (
    DEFAULT_IDLE_TIMEOUT_MS,
    Route,
    RouteTable,
    TransferKind,
    WeightedService,
)
from dragonflyshift._internal.exceptions import ConfigurationError

CONFIGURATION_KEY = 'op/config'
ENDPOINT_PREFIX = 'servers/'
_STATES = frozenset(('ready', 'draining'))
_PORT = struct.Struct('!H')
MAX_PORT = 65535
MAX_SLOTS = 100_000
_MALFORMED = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OSError,
    RecursionError,
)
_KINDS = {
    'safe': TransferKind.IDEMPOTENT,
    'unsafe': TransferKind.NON_IDEMPOTENT,
    'download': TransferKind.DOWNLOAD,
    'upload': TransferKind.UPLOAD,
}


def decode_routes(raw: bytes) -> RouteTable:
    """Read the configuration; raise ConfigurationError when malformed."""
    try:
        body = json.loads(raw)
        routes = [_route(row) for row in body['routes']]
        limits = body.get('limits') or {}
        return RouteTable(
            version=_whole(body['version']),
            routes={route.address: route for route in routes},
            idle_timeout_ms=_whole(
                limits.get('idleTimeoutMs', DEFAULT_IDLE_TIMEOUT_MS)
            ),
        )
    except _MALFORMED as exc:
        raise ConfigurationError(
            f'configuration is malformed: {exc!r}',
        ) from exc


def decode_endpoint(
    name: str,
    revision: int,
    raw: bytes,
) -> EndpointRecord | None:
    """Read an endpoint's entry; None when it is not one.

    Others may write under the same prefix. What lacks a field, has a field of
    another type, or can't be read names no endpoint.
    """
    try:
        body = json.loads(raw)
        return _endpoint(name, revision, body)
    except _MALFORMED:
        return None


def _endpoint(name: str, revision: int, body: Any) -> EndpointRecord:
    if body['state'] not in _STATES:
        raise ValueError('state is unknown')
    host, _colon, port_text = _text(body['address']).rpartition(':')
    socket.inet_pton(socket.AF_INET, host)
    port = int(port_text)
    slots = _whole(body['maxConcurrency'])
    _text(body['version'])
    _whole(body['sequence'])
    if not 0 < port <= MAX_PORT or not 0 < slots <= MAX_SLOTS:
        raise ValueError('out of range')
    return EndpointRecord(
        name=name,
        revision=revision,
        service=_text(body['service']),
        host=host,
        port=port,
        data_center=_text(body['zone']),
        slots=slots,
        is_leaving=body['state'] == 'draining',
        # How much longer the server is slow, counted from this entry.
        warmup_ms=_whole(body['warmupLeftMs']),
        started_ms=_whole(body.get('born', 0)),
    )


def _route(row: Any) -> Route:
    # The prefix holds a port, the type tells what may be repeated.
    port = int(_text(row['prefix']).strip('/'))
    address = socket.inet_pton(socket.AF_INET, row['host']) + _PORT.pack(port)
    return Route(
        name=_text(row['name']),
        address=address,
        services=_services(row),
        kind=_KINDS.get(row.get('type', ''), TransferKind.NON_IDEMPOTENT),
        target_ms=_whole(row['sloMs']),
        timeout_ms=_whole(row['timeoutMs']),
        priority=_whole(row.get('priority', 0)),
    )


def _services(row: Any) -> tuple[WeightedService, ...]:
    split = row.get('backends')
    if split:
        return tuple(
            WeightedService(_text(part['service']), _whole(part['weight']))
            for part in split
        )
    return (WeightedService(_text(row['service']), 1),)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError('text expected')
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError('number expected')
    if value != value or value < 0 or value == float('inf'):
        raise ValueError('number out of range')
    return int(value)
