"""Requests with an idempotency key: each runs at most once.

A key names its home, the one sidecar (and life of it) that may run the
request. Every other sidecar sends the request there. The home answers with
the stored outcome, waits for the running one, or runs it. A home that can't
be reached leaves the outcome unknown; nobody else runs the request.
"""

import asyncio
import logging
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from attrs import evolve

from dragonflyshift._internal.exceptions import (
    PeerError,
    StateError,
    WireError,
)
from dragonflyshift._internal.kernel.tasks import TaskGroup
from dragonflyshift._internal.models import (
    IdempotencyKey,
    Outcome,
    OutcomeKind,
)
from dragonflyshift._internal.sidecar.answers import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CREATED,
    STATUS_TOO_LARGE,
    send_outcome,
    send_text,
)
from dragonflyshift._internal.sidecar.capture import CapturingSink
from dragonflyshift._internal.sidecar.exchange import (
    head_of,
    pass_on,
)
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed_base import KeyedRequests
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    AnswerSink,
    ReplayBody,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.running import Runs
from dragonflyshift._internal.sidecar.serving import run_for_peer
from dragonflyshift._internal.state import (
    Begun,
    Fenced,
    KeyIssuer,
    KeyRetiredError,
    NeverRan,
    OutcomeTable,
    OutcomeTableFullError,
    Running,
    Stored,
)
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import Message, RequestHead
from dragonflyshift._internal.wire.stream import (
    MessageStream,
    connect_stream,
)

_ResultT = TypeVar('_ResultT')

logger = logging.getLogger(__name__)

KEY_TARGET = b'/.well-known/dragonflyshift/idempotency-key'
MAX_KEYED_BODY_BYTES = 8 * 1024 * 1024
HOME_TIMEOUT_SECONDS = 1.0
HOME_CLAIM_ID = 0
_NOT_RUN = (OUTCOME_HEADER, OutcomeKind.NOT_RUN.encode())


class HomeKeyed(KeyedRequests, name='home'):
    """Send each request to the home of its key, and run it there once."""

    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        issuer: KeyIssuer,
        outcomes: OutcomeTable,
        runner: Runs,
        tasks: TaskGroup,
    ) -> None:
        """Run what this sidecar is the home of through ``runner``."""
        self._identity = identity
        self._keys = keys
        self._issuer = issuer
        self._outcomes = outcomes
        self._runner = runner
        self._tasks = tasks
        self._running = 0

    @property
    def running(self) -> int:
        """Requests under a key that run here."""
        return self._running

    def concerns(self, info: RequestInfo) -> bool:
        """Tell whether a request has a key or asks for one."""
        return bool(info.key) or info.target == KEY_TARGET

    async def serve(self, req: Request, sink: AnswerSink) -> None:
        """Answer a request of a flow; raise RunFailedError."""
        if req.info.target == KEY_TARGET:
            await self._issue(sink)
            return
        try:
            key = self._issuer.parse(req.info.key)
        except KeyRetiredError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        except StateError as exc:
            await _refuse(sink, STATUS_BAD_REQUEST, exc.message)
            return
        whole = await _within_deadline(req, _read_whole(req))
        if whole is None:
            await _refuse(sink, STATUS_TOO_LARGE, 'the body is too large')
            return
        if self._is_home(key):
            await self._serve_home(key, whole, sink)
        else:
            await self._ask_home(key, whole, sink)

    async def serve_stream(
        self,
        stream: MessageStream,
        message: Message,
    ) -> None:
        """Serve a request that a peer sent to its home."""
        if not isinstance(message, RequestHead):
            raise WireError('a request is expected')
        if message.tag != self._identity.tag:
            raise WireError('a request of another service')
        await run_for_peer(stream, message, self.serve_peer)

    async def serve_peer(self, req: Request, sink: AnswerSink) -> None:
        """Answer a request that a peer sent to its home."""
        try:
            key = self._issuer.parse(req.info.key)
        except StateError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        whole = await _within_deadline(req, _read_whole(req))
        if whole is None:
            raise NotRunError('the body is too large')
        if self._is_home(key):
            await self._serve_home(key, whole, sink)
        else:
            await self._serve_adopted(key, sink)

    def _is_home(self, key: IdempotencyKey) -> bool:
        return (key.home, key.boot) == (
            self._identity.address,
            self._identity.first_boot,
        )

    async def _issue(self, sink: AnswerSink) -> None:
        key = self._issuer.issue().decode()
        await send_text(sink, STATUS_CREATED, key)

    async def _serve_home(
        self,
        key: IdempotencyKey,
        req: Request,
        sink: AnswerSink,
    ) -> None:
        try:
            beginning = self._outcomes.begin(key, time.monotonic())
        except OutcomeTableFullError as exc:
            raise NotRunError(exc.message, exc.retry_after) from exc
        except StateError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        if isinstance(beginning, Begun):
            await self._run(key, req, sink)
        elif isinstance(beginning, Running):
            outcome = await _within_deadline(req, beginning.wait())
            await _send_ended(sink, outcome)
        else:
            await _send_ended(sink, _known_outcome(beginning))

    async def _run(
        self,
        key: IdempotencyKey,
        req: Request,
        sink: AnswerSink,
    ) -> None:
        """Run to the end, also when the client goes away meanwhile."""
        capture = CapturingSink(sink)
        task = self._tasks.start(
            self._run_and_store(key, req, capture),
            'keyed-request',
        )
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            capture.detach()
            raise
        if not sink.started:
            await _send_ended(sink, outcome)

    async def _run_and_store(
        self,
        key: IdempotencyKey,
        req: Request,
        capture: CapturingSink,
    ) -> Outcome:
        self._running += 1
        outcome = Outcome(OutcomeKind.UNKNOWN, STATUS_BAD_GATEWAY)
        try:
            outcome = await self._attempt(req, capture)
        finally:
            self._running -= 1
            self._outcomes.finish(key, outcome, time.monotonic())
        return outcome

    async def _attempt(self, req: Request, capture: CapturingSink) -> Outcome:
        # Only the home's table makes a second run safe to exclude, so the
        # request itself counts as non-idempotent on its way.
        once = Request(evolve(req.info, idempotent=False, key=b''), req.body)
        try:
            await self._runner.run(once, capture)
        except RunFailedError as exc:
            if capture.started:
                await capture.abort()
            return Outcome(exc.kind, 0, (), exc.reason.encode())
        return capture.outcome()

    async def _ask_home(
        self,
        key: IdempotencyKey,
        req: Request,
        sink: AnswerSink,
    ) -> None:
        adopted = self._outcomes.lookup_adopted(key, time.monotonic())
        if adopted is not None:
            await self._serve_adopted(key, sink)
            return
        try:
            stream = await connect_stream(
                key.home,
                self._keys,
                HOME_TIMEOUT_SECONDS,
            )
        except (PeerError, WireError) as exc:
            logger.info('home-unreachable', extra={'home': str(key.home)})
            raise RunFailedError(
                OutcomeKind.UNKNOWN,
                'the instance that has the outcome is unreachable',
            ) from exc
        head = head_of(req.info, self._identity.tag, HOME_CLAIM_ID)
        await pass_on(stream, head, req, sink)

    async def _serve_adopted(
        self,
        key: IdempotencyKey,
        sink: AnswerSink,
    ) -> None:
        """Answer for a home that has stopped and left its outcomes here."""
        adopted = self._outcomes.lookup_adopted(key, time.monotonic())
        if isinstance(adopted, Stored):
            await _send_ended(sink, adopted.outcome)
        elif isinstance(adopted, NeverRan):
            raise NotRunError('the instance of the key stopped; take a new key')
        else:
            raise RunFailedError(
                OutcomeKind.UNKNOWN,
                'the instance that had the outcome is gone',
            )


def _known_outcome(beginning: Stored | Fenced | NeverRan) -> Outcome:
    """Return the outcome of a request that does not begin."""
    if isinstance(beginning, Stored):
        return beginning.outcome
    if isinstance(beginning, NeverRan):
        reason = b'the instance is stopping; take a new key'
        return Outcome(OutcomeKind.NOT_RUN, 0, (), reason)
    reason = b'the key is older than the stored outcomes'
    return Outcome(OutcomeKind.UNKNOWN, 0, (), reason)


async def _send_ended(sink: AnswerSink, outcome: Outcome) -> None:
    if outcome.kind is OutcomeKind.ANSWERED:
        await send_outcome(sink, outcome)
        return
    reason = outcome.body.decode(errors='replace') or 'the outcome is unknown'
    raise RunFailedError(outcome.kind, reason)


async def _within_deadline(
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


async def _read_whole(req: Request) -> Request | None:
    """Read the body before anything runs; None if it is too large."""
    chunks = []
    size = 0
    async for chunk in req.body.chunks():
        size += len(chunk)
        if size > MAX_KEYED_BODY_BYTES:
            return None
        chunks.append(chunk)
    return Request(req.info, ReplayBody(tuple(chunks)))


async def _refuse(sink: AnswerSink, status: int, reason: str) -> None:
    await send_text(sink, status, f'{reason}\n', (_NOT_RUN,))
