"""Helpers to read and respond to requests with an idempotency key."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.failures import (
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    ReplayBody,
    Request,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.responses import send_outcome, send_text
from dragonflyshift._internal.state import Fenced, NeverRan, Stored

MAX_KEYED_BODY_BYTES = 8 * 1024 * 1024
_NOT_RUN_HEADER = (OUTCOME_HEADER, OutcomeKind.NOT_RUN.encode())
_ResultT = TypeVar('_ResultT')


def known_outcome(key_state: Stored | Fenced | NeverRan) -> Outcome:
    """Return the outcome of a request that must not run again."""
    if isinstance(key_state, Stored):
        return key_state.outcome
    if isinstance(key_state, NeverRan):
        reason = b'the instance is stopping; take a new key'
        return Outcome(OutcomeKind.NOT_RUN, 0, (), reason)
    reason = b'the key is older than the stored outcomes'
    return Outcome(OutcomeKind.UNKNOWN, 0, (), reason)


async def send_result(sink: ResponseSink, outcome: Outcome) -> None:
    """Send a stored response; raise RunFailedError if there is none."""
    if outcome.kind is OutcomeKind.ANSWERED:
        await send_outcome(sink, outcome)
        return
    reason = outcome.body.decode(errors='replace') or 'the outcome is unknown'
    raise RunFailedError(outcome.kind, reason)


async def within_deadline(
    req: Request,
    awaitable: Coroutine[Any, Any, _ResultT],
) -> _ResultT:
    """Wait for a result until the deadline of the request.

    Raises RequestTimeoutError, which reports the outcome as unknown: the
    request may have run when it was sent for the first time.
    """
    try:
        async with asyncio.timeout_at(req.info.deadline):
            return await awaitable
    except TimeoutError as exc:
        raise RequestTimeoutError from exc


async def buffer_body(req: Request) -> Request | None:
    """Read the whole body into memory; return None if it is too large."""
    chunks = []
    size = 0
    async for chunk in req.body.chunks():
        size += len(chunk)
        if size > MAX_KEYED_BODY_BYTES:
            return None
        chunks.append(chunk)
    return Request(req.info, ReplayBody(tuple(chunks)))


async def refuse(sink: ResponseSink, status: int, reason: str) -> None:
    """Refuse an invalid request, reporting that it has not run."""
    await send_text(sink, status, f'{reason}\n', (_NOT_RUN_HEADER,))
