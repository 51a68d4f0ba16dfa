"""Answers that the system itself gives."""

import math

from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.failures import (
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
    AnswerSink,
    HeaderList,
)

STATUS_CREATED = 201
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
MIN_RETRY_AFTER_SECONDS = 1


async def send_text(
    sink: AnswerSink,
    status: int,
    text: str,
    headers: HeaderList = (),
) -> None:
    """Send a short text as a whole answer."""
    body = text.encode()
    length = (b'content-length', str(len(body)).encode())
    await sink.send_head(status, (*headers, length))
    await sink.send_chunk(body)
    await sink.finish()


async def send_failure(sink: AnswerSink, exc: RunFailedError) -> None:
    """Tell the caller how its request ended, at once.

    A refusal names the time to come back. When a part of an answer has been
    sent already, all that is left is to break it off.
    """
    if sink.started:
        await sink.abort()
        return
    headers: HeaderList = ((OUTCOME_HEADER, exc.kind.encode()),)
    if exc.kind is OutcomeKind.NOT_RUN:
        headers = (*headers, _retry_after(exc.retry_after))
    await send_text(sink, _status_of(exc), f'{exc.reason}\n', headers)


async def send_outcome(sink: AnswerSink, outcome: Outcome) -> None:
    """Send a stored outcome again."""
    kind = (OUTCOME_HEADER, outcome.kind.encode())
    headers = tuple(
        header for header in outcome.headers if header[0] != OUTCOME_HEADER
    )
    await sink.send_head(outcome.status, (*headers, kind))
    if outcome.body:
        await sink.send_chunk(outcome.body)
    await sink.finish()


def _retry_after(seconds: float) -> tuple[bytes, bytes]:
    whole = max(MIN_RETRY_AFTER_SECONDS, math.ceil(seconds))
    return (RETRY_AFTER_HEADER, str(whole).encode())


def _status_of(exc: RunFailedError) -> int:
    if exc.kind is OutcomeKind.NOT_RUN:
        return STATUS_UNAVAILABLE
    if isinstance(exc, RequestTimeoutError):
        return STATUS_TIMEOUT
    return STATUS_BAD_GATEWAY
