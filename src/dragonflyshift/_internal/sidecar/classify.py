"""Classify a request by its headers and the rules of the service."""

import time

from dragonflyshift._internal.exceptions import SidecarError
from dragonflyshift._internal.models import ServiceRules
from dragonflyshift._internal.sidecar.request import (
    KEY_HEADER,
    SAFE_METHODS,
    TIMEOUT_HEADER,
    HeaderList,
    RequestInfo,
    find_header,
)

MS_PER_SECOND = 1000
MAX_TARGET_BYTES = 8192
_INTERNAL_HEADERS = frozenset((KEY_HEADER, TIMEOUT_HEADER))


class BadRequestError(SidecarError):
    """The headers of a request are invalid; it has not run."""


def classify(
    headers: HeaderList,
    rules: ServiceRules,
    client: bytes,
    trace: bytes,
) -> RequestInfo:
    """Classify a request; raise BadRequestError if a header is invalid."""
    method = find_header(headers, b':method')
    target = find_header(headers, b':path')
    if not method or not target.startswith(b'/'):
        raise BadRequestError('method and path are needed')
    if len(target) > MAX_TARGET_BYTES:
        raise BadRequestError('the path is too long')
    streaming = _matches_any(rules.streaming, method, target)
    timeout = rules.stream_timeout if streaming else rules.request_timeout
    return RequestInfo(
        method=method,
        target=target,
        headers=_forwarded_headers(headers),
        deadline=time.monotonic() + _effective_timeout(headers, timeout),
        idempotent=(
            method in SAFE_METHODS
            or _matches_any(rules.idempotent, method, target)
        ),
        streaming=streaming,
        client=client,
        trace=trace,
        key=find_header(headers, KEY_HEADER),
    )


def _matches_any(
    patterns: tuple[str, ...],
    method: bytes,
    target: bytes,
) -> bool:
    request_line = b'%s %s' % (method, target)
    return any(
        request_line.startswith(pattern.encode()) for pattern in patterns
    )


def _effective_timeout(headers: HeaderList, timeout: float) -> float:
    """Return the smaller of the rule's and the client's timeout, in s."""
    requested = find_header(headers, TIMEOUT_HEADER)
    if not requested:
        return timeout
    if not requested.isdigit():
        raise BadRequestError(f'{TIMEOUT_HEADER.decode()} is not a number')
    return min(timeout, int(requested) / MS_PER_SECOND)


def _forwarded_headers(headers: HeaderList) -> HeaderList:
    """Return the headers for the backend server, including the host."""
    fields = tuple(
        (name, field)
        for name, field in headers
        if not name.startswith(b':') and name not in _INTERNAL_HEADERS
    )
    if find_header(fields, b'host'):
        return fields
    return ((b'host', find_header(headers, b':authority')), *fields)
