"""Responses that the sidecar itself generates or replays."""

import math

from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.failures import (
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
    HeaderList,
    ResponseSink,
)

STATUS_CREATED = 201
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
MIN_RETRY_AFTER_SECONDS = 1


async def send_text(
    sink: ResponseSink,
    status: int,
    text: str,
    headers: HeaderList = (),
) -> None:
    """Send a short text as a complete response."""
    body = text.encode()
    length = (b'content-length', str(len(body)).encode())
    await sink.send_head(status, (*headers, length))
    await sink.send_chunk(body)
    await sink.finish()


async def send_failure(sink: ResponseSink, exc: RunFailedError) -> None:
    """Report a failed request to its client.

    A refusal carries a Retry-After header. If a part of the response has
    already been sent, the response is aborted instead.
    """
    if sink.started:
        await sink.abort()
        return
    headers: HeaderList = ((OUTCOME_HEADER, exc.kind.encode()),)
    if exc.kind is OutcomeKind.NOT_RUN:
        headers = (*headers, _retry_after_header(exc.retry_after))
    await send_text(sink, _status_of(exc), f'{exc.reason}\n', headers)


async def send_outcome(sink: ResponseSink, outcome: Outcome) -> None:
    """Send a stored outcome as the response."""
    kind = (OUTCOME_HEADER, outcome.kind.encode())
    headers = tuple(
        header for header in outcome.headers if header[0] != OUTCOME_HEADER
    )
    await sink.send_head(outcome.status, (*headers, kind))
    if outcome.body:
        await sink.send_chunk(outcome.body)
    await sink.finish()


def _retry_after_header(seconds: float) -> tuple[bytes, bytes]:
    whole_seconds = max(MIN_RETRY_AFTER_SECONDS, math.ceil(seconds))
    return (RETRY_AFTER_HEADER, str(whole_seconds).encode())


def _status_of(exc: RunFailedError) -> int:
    if exc.kind is OutcomeKind.NOT_RUN:
        return STATUS_UNAVAILABLE
    if isinstance(exc, RequestTimeoutError):
        return STATUS_TIMEOUT
    return STATUS_BAD_GATEWAY
