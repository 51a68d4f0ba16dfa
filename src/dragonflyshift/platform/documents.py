"""Decoding of the store's documents: the configuration and the endpoints."""

__all__ = (
    'CONFIGURATION_KEY',
    'ENDPOINT_PREFIX',
    'EVACUATION_PREFIX',
    'decode_endpoint',
    'decode_routes',
)

import json
import logging
import socket
import struct
from collections.abc import Iterable
from typing import Any

from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import (
    DEFAULT_IDLE_TIMEOUT_MS,
    Route,
    RouteTable,
    TransferKind,
    Warmup,
    WeightedService,
)
from dragonflyshift._internal.exceptions import ConfigurationError

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = 'op/config'
ENDPOINT_PREFIX = 'servers/'
# The operator writes a key for each data centre ("zone") that is evacuated, and
# deletes it afterwards. The value has no meaning.
EVACUATION_PREFIX = 'op/evacuate/'
_ENDPOINT_STATES = frozenset(('ready', 'draining'))
_PORT = struct.Struct('!H')
MAX_PORT = 65535
MAX_SLOTS = 100_000
# All implementations of JSON read integers up to this one alike (RFC 8259).
MAX_INTEGER = 2**53 - 1
# Bounds the views that peers pull, as a value of the store may have a megabyte.
MAX_ENTRY_TEXT_BYTES = 1024
_INFINITY = float('inf')
_DECODE_ERRORS = (
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
    """Decode the configuration; raise ConfigurationError if malformed."""
    try:
        body = json.loads(raw)
        routes = [_route(row) for row in body['routes']]
        limits = body.get('limits') or {}
        return RouteTable(
            version=_integer(body['version']),
            routes={route.address: route for route in routes},
            idle_timeout_ms=_truncated(
                limits.get('idleTimeoutMs', DEFAULT_IDLE_TIMEOUT_MS)
            ),
            warmups=_warmups(body.get('services')),
            services=_named_services(body.get('services'), routes),
        )
    except _DECODE_ERRORS as exc:
        raise ConfigurationError(
            f'configuration is malformed: {exc!r}',
        ) from exc


def decode_endpoint(
    name: str,
    revision: int,
    raw: bytes,
) -> EndpointRecord | None:
    """Decode an endpoint's entry; return None if it is not valid.

    Other programs may write under the same prefix. An entry that lacks a
    field, has a field of a wrong type, or can't be decoded is no endpoint.
    """
    try:
        body = json.loads(raw)
        return _endpoint(name, revision, body)
    except _DECODE_ERRORS:
        return None


def _endpoint(name: str, revision: int, body: Any) -> EndpointRecord:
    if body['state'] not in _ENDPOINT_STATES:
        raise ValueError(f'endpoint state {body["state"]!r} is unknown')
    host, _colon, port_text = _text(body['address']).rpartition(':')
    socket.inet_pton(socket.AF_INET, host)
    slots = _integer(body['maxConcurrency'])
    # These two fields are only checked: an entry that lacks one of them is no
    # endpoint.
    _text(body['version'])
    _integer(body['sequence'])
    if not 0 < slots <= MAX_SLOTS:
        raise ValueError(f'{slots} slots are out of range')
    return EndpointRecord(
        name=name,
        revision=revision,
        service=_text(body['service'], MAX_ENTRY_TEXT_BYTES),
        host=host,
        port=_port(port_text),
        data_center=_text(body['zone'], MAX_ENTRY_TEXT_BYTES),
        slots=slots,
        is_leaving=body['state'] == 'draining',
        # How much longer the server is slow after the entry was written.
        warmup_ms=_truncated(body['warmupLeftMs']),
        # The platform's name for the start time in Unix milliseconds.
        started_ms=_integer(body['born']),
    )


def _route(row: Any) -> Route:
    # The prefix is a port between slashes; the type decides whether requests
    # may be repeated.
    port = _port(_text(row['prefix']).strip('/'))
    address = socket.inet_pton(socket.AF_INET, row['host']) + _PORT.pack(port)
    return Route(
        name=_text(row['name']),
        address=address,
        services=_services(row),
        kind=_KINDS.get(row.get('type', ''), TransferKind.NON_IDEMPOTENT),
        target_ms=_truncated(row['sloMs']),
        timeout_ms=_truncated(row['timeoutMs']),
        priority=_truncated(row.get('priority', 0)),
    )


def _services(row: Any) -> tuple[WeightedService, ...]:
    backends = row.get('backends')
    if backends:
        return tuple(
            WeightedService(
                _text(backend['service']),
                _truncated(backend['weight']),
            )
            for backend in backends
        )
    return (WeightedService(_text(row['service']), 1),)


def _named_services(rows: Any, routes: Iterable[Route]) -> frozenset[str]:
    """Return all services that the configuration names, if it lists any."""
    listed = frozenset(row['name'] for row in _named_rows(rows))
    if not listed:
        return listed
    return listed.union(
        service.name for route in routes for service in route.services
    )


def _warmups(rows: Any) -> dict[str, Warmup]:
    """Decode the warm-up rates by service; log those that are no number.

    Earlier builds did not read this list, so nothing in it makes the
    configuration malformed.
    """
    warmups = {}
    invalid = []
    for row in _named_rows(rows):
        name = row['name']
        per_s = _float(row.get('warmupPerS'))
        if per_s is None:
            invalid.append(name)
        elif 0 < per_s < _INFINITY:
            seconds = _float(row.get('warmupS')) or 0
            warmups[name] = Warmup(name, max(0, seconds), per_s)
    if invalid:
        logger.warning('warmup-rate-invalid', extra={'services': invalid})
    return warmups


def _named_rows(rows: Any) -> list[dict[str, Any]]:
    if not isinstance(rows, list):
        return []
    return [
        row
        for row in rows
        if isinstance(row, dict) and _is_text(row.get('name'))
    ]


def _is_text(value: Any) -> bool:
    try:
        _text(value)
    except (TypeError, UnicodeEncodeError):
        return False
    return True


def _float(value: Any) -> float | None:
    """Return a number, zero if it is absent, or None if it is no number.

    Integers beyond the range of floating point are infinite.
    """
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if value != value:
        return None
    try:
        return float(value)
    except OverflowError:
        return _INFINITY


def _text(value: Any, max_bytes: float = _INFINITY) -> str:
    """Return a text that other processes can decode.

    JSON can escape one half of a surrogate pair, which UTF-8 can't encode.
    """
    if not isinstance(value, str):
        raise TypeError(f'expected a string instead of {type(value).__name__}')
    if len(value.encode()) > max_bytes:
        raise ValueError(f'text has more than {max_bytes} bytes')
    return value


def _port(text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f'port {text!r} is not a decimal number')
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return port


def _integer(value: Any) -> int:
    """Return a whole number, in any notation of JSON: 3, 3.0 or 3e0."""
    integer = _truncated(value)
    if integer != value:
        raise ValueError(f'number {value!r} is not whole')
    return integer


def _truncated(value: Any) -> int:
    """Return the whole part of a number that any process can encode."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'expected a number instead of {type(value).__name__}')
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f'number {value!r} is out of range')
    return int(value)
