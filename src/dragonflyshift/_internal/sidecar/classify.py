"""What a request is, by its headers and the service's rules."""

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
_PRIVATE_HEADERS = frozenset((KEY_HEADER, TIMEOUT_HEADER))


class BadRequestError(SidecarError):
    """The request's head is invalid; it has not run."""


def classify(
    headers: HeaderList,
    rules: ServiceRules,
    client: bytes,
    trace: bytes,
) -> RequestInfo:
    """Describe a request; raise BadRequestError if its head is invalid."""
    method = find_header(headers, b':method')
    target = find_header(headers, b':path')
    if not method or not target.startswith(b'/'):
        raise BadRequestError('method and path are needed')
    if len(target) > MAX_TARGET_BYTES:
        raise BadRequestError('the path is too long')
    streaming = _matches(rules.streaming, method, target)
    timeout = rules.stream_timeout if streaming else rules.request_timeout
    return RequestInfo(
        method=method,
        target=target,
        headers=_end_to_end(headers),
        deadline=time.monotonic() + _limit(headers, timeout),
        idempotent=(
            method in SAFE_METHODS or _matches(rules.idempotent, method, target)
        ),
        streaming=streaming,
        client=client,
        trace=trace,
        key=find_header(headers, KEY_HEADER),
    )


def _matches(patterns: tuple[str, ...], method: bytes, target: bytes) -> bool:
    line = b'%s %s' % (method, target)
    return any(line.startswith(pattern.encode()) for pattern in patterns)


def _limit(headers: HeaderList, timeout: float) -> float:
    """Return the rule's timeout, or the caller's own if it is shorter."""
    wanted = find_header(headers, TIMEOUT_HEADER)
    if not wanted:
        return timeout
    if not wanted.isdigit():
        raise BadRequestError(f'{TIMEOUT_HEADER.decode()} is not a number')
    return min(timeout, int(wanted) / MS_PER_SECOND)


def _end_to_end(headers: HeaderList) -> HeaderList:
    """Return the fields for the backend server, with the host among them."""
    fields = tuple(
        (name, field)
        for name, field in headers
        if not name.startswith(b':') and name not in _PRIVATE_HEADERS
    )
    if find_header(fields, b'host'):
        return fields
    return ((b'host', find_header(headers, b':authority')), *fields)
