"""Requests with an idempotency key: each runs at most once.

A key names its home, the one sidecar (and life of it) that may run the
request. Every other sidecar sends the request there. The home answers with
the stored outcome, waits for the running one, or runs it. A home that can't
be reached leaves the outcome unknown; nobody else runs the request.
"""

import asyncio
import logging
import time

from attrs import evolve, frozen

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
    send_text,
)
from dragonflyshift._internal.sidecar.capture import CapturingSink
from dragonflyshift._internal.sidecar.exchange import (
    head_of,
    pass_on,
)
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed_answers import (
    known_outcome,
    read_whole,
    refuse,
    send_ended,
    within_deadline,
)
from dragonflyshift._internal.sidecar.keyed_base import KeyedRequests
from dragonflyshift._internal.sidecar.request import (
    AnswerSink,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.runner_base import RunnerBase
from dragonflyshift._internal.sidecar.serving import run_for_peer
from dragonflyshift._internal.state import (
    Begun,
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

logger = logging.getLogger(__name__)

KEY_TARGET = b'/.well-known/dragonflyshift/idempotency-key'
HOME_TIMEOUT_SECONDS = 1.0
HOME_CLAIM_ID = 0


@frozen
class _Ended:
    """How a run ended; a failure also says when to come back."""

    outcome: Outcome
    failure: RunFailedError | None = None


class HomeKeyed(KeyedRequests, name='home'):
    """Send each request to the home of its key, and run it there once."""

    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        issuer: KeyIssuer,
        outcomes: OutcomeTable,
        runner: RunnerBase,
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
            await refuse(sink, STATUS_BAD_REQUEST, exc.message)
            return
        whole = await within_deadline(req, read_whole(req))
        if whole is None:
            await refuse(sink, STATUS_TOO_LARGE, 'the body is too large')
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
        whole = await within_deadline(req, read_whole(req))
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
            outcome = await within_deadline(req, beginning.wait())
            await send_ended(sink, outcome)
        else:
            await send_ended(sink, known_outcome(beginning))

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
            ended = await asyncio.shield(task)
        except asyncio.CancelledError:
            capture.detach()
            raise
        if sink.started:
            return
        if ended.failure is not None:
            raise ended.failure
        await send_ended(sink, ended.outcome)

    async def _run_and_store(
        self,
        key: IdempotencyKey,
        req: Request,
        capture: CapturingSink,
    ) -> _Ended:
        self._running += 1
        ended = _Ended(Outcome(OutcomeKind.UNKNOWN, STATUS_BAD_GATEWAY))
        try:
            ended = await self._attempt(req, capture)
        finally:
            self._running -= 1
            self._outcomes.finish(key, ended.outcome, time.monotonic())
        return ended

    async def _attempt(
        self,
        req: Request,
        capture: CapturingSink,
    ) -> _Ended:
        # Only the home's table makes a second run safe to exclude, so the
        # request itself counts as non-idempotent on its way.
        once = Request(evolve(req.info, idempotent=False, key=b''), req.body)
        try:
            await self._runner.run(once, capture)
        except RunFailedError as exc:
            if capture.started:
                await capture.abort()
            reason = exc.reason.encode()
            return _Ended(Outcome(exc.kind, 0, (), reason), exc)
        return _Ended(capture.outcome())

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
            await send_ended(sink, adopted.outcome)
        elif isinstance(adopted, NeverRan):
            raise NotRunError('the instance of the key stopped; take a new key')
        else:
            raise RunFailedError(
                OutcomeKind.UNKNOWN,
                'the instance that had the outcome is gone',
            )
