"""How requests with an idempotency key are read and answered."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.answers import send_outcome, send_text
from dragonflyshift._internal.sidecar.failures import (
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    AnswerSink,
    ReplayBody,
    Request,
)
from dragonflyshift._internal.state import Fenced, NeverRan, Stored

MAX_KEYED_BODY_BYTES = 8 * 1024 * 1024
_NOT_RUN = (OUTCOME_HEADER, OutcomeKind.NOT_RUN.encode())
_ResultT = TypeVar('_ResultT')


def known_outcome(beginning: Stored | Fenced | NeverRan) -> Outcome:
    """Return the outcome of a request that does not begin."""
    if isinstance(beginning, Stored):
        return beginning.outcome
    if isinstance(beginning, NeverRan):
        reason = b'the instance is stopping; take a new key'
        return Outcome(OutcomeKind.NOT_RUN, 0, (), reason)
    reason = b'the key is older than the stored outcomes'
    return Outcome(OutcomeKind.UNKNOWN, 0, (), reason)


async def send_ended(sink: AnswerSink, outcome: Outcome) -> None:
    """Answer with an outcome; raise RunFailedError if there is no answer."""
    if outcome.kind is OutcomeKind.ANSWERED:
        await send_outcome(sink, outcome)
        return
    reason = outcome.body.decode(errors='replace') or 'the outcome is unknown'
    raise RunFailedError(outcome.kind, reason)


async def within_deadline(
    req: Request,
    waiting: Coroutine[Any, Any, _ResultT],
) -> _ResultT:
    """Wait no longer than the request may take.

    The outcome is unknown then: it may have run when it was first asked for.
    """
    try:
        async with asyncio.timeout_at(req.info.deadline):
            return await waiting
    except TimeoutError as exc:
        raise RequestTimeoutError from exc


async def read_whole(req: Request) -> Request | None:
    """Read the body before anything runs; None if it is too large."""
    chunks = []
    size = 0
    async for chunk in req.body.chunks():
        size += len(chunk)
        if size > MAX_KEYED_BODY_BYTES:
            return None
        chunks.append(chunk)
    return Request(req.info, ReplayBody(tuple(chunks)))


async def refuse(sink: AnswerSink, status: int, reason: str) -> None:
    """Refuse a request that has not run, for a fault of its own."""
    await send_text(sink, status, f'{reason}\n', (_NOT_RUN,))
