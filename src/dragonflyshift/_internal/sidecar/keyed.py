"""Requests with an idempotency key, each of which runs at most once.

A key contains the address and boot number of its owner, the only sidecar
process that may run the request. All other sidecars forward the request to
it. The key owner responds with the stored outcome, waits for the request if
it is running, or runs it. If the key owner is gone, the peers that may have
adopted its outcomes are queried. If none of them has the outcome, it is
unknown, and no other sidecar runs the request.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence

from attrs import evolve, frozen

from dragonflyshift._internal.exceptions import (
    PeerError,
    StateError,
    WireError,
)
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import (
    Address,
    IdempotencyKey,
    Outcome,
    OutcomeKind,
)
from dragonflyshift._internal.sidecar.capture import CapturingSink
from dragonflyshift._internal.sidecar.exchange import (
    build_request_head,
    forward_request,
)
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed_base import KeyedRequests
from dragonflyshift._internal.sidecar.keyed_responses import (
    buffer_body,
    known_outcome,
    refuse,
    send_result,
    within_deadline,
)
from dragonflyshift._internal.sidecar.request import (
    Request,
    RequestInfo,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.responses import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CREATED,
    STATUS_TOO_LARGE,
    send_text,
)
from dragonflyshift._internal.sidecar.running import RunnerBase
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
OWNER_CONNECT_TIMEOUT_SECONDS = 1.0
NO_CLAIM_ID = 0


@frozen
class _RunResult:
    """The outcome of a run, and the error if it failed.

    Unlike the outcome, the error carries the time after which to retry.
    """

    outcome: Outcome
    failure: RunFailedError | None = None


class KeyOwnerRouting(KeyedRequests, name='home'):
    """Forwards each request to the owner of its key, which runs it once."""

    def __init__(
        self,
        identity: SidecarIdentity,
        keys: FleetKeys,
        issuer: KeyIssuer,
        outcomes: OutcomeTable,
        runner: RunnerBase,
        tasks: BackgroundTasks,
        peers: Callable[[], Sequence[Address]],
    ) -> None:
        """Create the routing; ``runner`` runs requests of own keys."""
        self._identity = identity
        self._keys = keys
        self._issuer = issuer
        self._outcomes = outcomes
        self._runner = runner
        self._tasks = tasks
        self._peers = peers
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests with a key that are running here."""
        return self._running

    def handles(self, info: RequestInfo) -> bool:
        """Return whether a request has a key or requests a new key."""
        return bool(info.key) or info.target == KEY_TARGET

    async def serve(self, req: Request, sink: ResponseSink) -> None:
        """Handle a request of a flow; raise RunFailedError if it fails."""
        if req.info.target == KEY_TARGET:
            await self._issue_key(sink)
            return
        try:
            key = self._issuer.parse(req.info.key)
        except KeyRetiredError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        except StateError as exc:
            await refuse(sink, STATUS_BAD_REQUEST, exc.message)
            return
        buffered = await within_deadline(req, buffer_body(req))
        if buffered is None:
            await refuse(sink, STATUS_TOO_LARGE, 'the body is too large')
            return
        if self._owns_key(key):
            await self._serve_as_owner(key, buffered, sink)
        else:
            await self._forward_to_owner(key, buffered, sink)

    async def serve_stream(
        self,
        stream: MessageStream,
        message: Message,
    ) -> None:
        """Serve a request that a peer forwarded to the key owner.

        Raises WireError if the message is no request of this service.
        """
        if not isinstance(message, RequestHead):
            raise WireError(f'expected a request, got {type(message).__name__}')
        if message.tag != self._identity.tag:
            raise WireError(
                f'the request is for another service: {message.tag}'
            )
        await run_for_peer(stream, message, self.serve_peer)

    async def serve_peer(self, req: Request, sink: ResponseSink) -> None:
        """Handle a request of a peer; raise RunFailedError if it fails."""
        try:
            key = self._issuer.parse(req.info.key)
        except StateError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        buffered = await within_deadline(req, buffer_body(req))
        if buffered is None:
            raise NotRunError('the body is too large')
        if self._owns_key(key):
            await self._serve_as_owner(key, buffered, sink)
        else:
            await self._serve_adopted_outcome(key, sink)

    def _owns_key(self, key: IdempotencyKey) -> bool:
        return (key.home, key.boot) == (
            self._identity.address,
            self._identity.first_boot,
        )

    async def _issue_key(self, sink: ResponseSink) -> None:
        key = self._issuer.issue().decode()
        await send_text(sink, STATUS_CREATED, key)

    async def _serve_as_owner(
        self,
        key: IdempotencyKey,
        req: Request,
        sink: ResponseSink,
    ) -> None:
        try:
            key_state = self._outcomes.begin(key, time.monotonic())
        except OutcomeTableFullError as exc:
            raise NotRunError(exc.message, exc.retry_after) from exc
        except StateError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        if isinstance(key_state, Begun):
            await self._run(key, req, sink)
        elif isinstance(key_state, Running):
            outcome = await within_deadline(req, key_state.wait())
            await send_result(sink, outcome)
        else:
            await send_result(sink, known_outcome(key_state))

    async def _run(
        self,
        key: IdempotencyKey,
        req: Request,
        sink: ResponseSink,
    ) -> None:
        """Run the request to completion even if the client disconnects."""
        capture = CapturingSink(sink)
        task = self._tasks.start(
            self._run_and_store(key, req, capture),
            'keyed-request',
        )
        try:
            result = await asyncio.shield(task)
        except asyncio.CancelledError:
            capture.detach()
            raise
        if sink.started:
            return
        if result.failure is not None:
            raise result.failure
        await send_result(sink, result.outcome)

    async def _run_and_store(
        self,
        key: IdempotencyKey,
        req: Request,
        capture: CapturingSink,
    ) -> _RunResult:
        self._running += 1
        result = _RunResult(Outcome(OutcomeKind.UNKNOWN, STATUS_BAD_GATEWAY))
        try:
            result = await self._attempt(req, capture)
        finally:
            self._running -= 1
            self._outcomes.finish(key, result.outcome, time.monotonic())
        return result

    async def _attempt(
        self,
        req: Request,
        capture: CapturingSink,
    ) -> _RunResult:
        # Only the outcome table prevents a second run, so the request itself
        # is marked as non-idempotent for the runner.
        non_idempotent = Request(
            evolve(req.info, idempotent=False, key=b''),
            req.body,
        )
        try:
            await self._runner.run(non_idempotent, capture)
        except RunFailedError as exc:
            if capture.started:
                await capture.abort()
            reason = exc.reason.encode()
            return _RunResult(Outcome(exc.kind, 0, (), reason), exc)
        return _RunResult(capture.outcome())

    async def _forward_to_owner(
        self,
        key: IdempotencyKey,
        req: Request,
        sink: ResponseSink,
    ) -> None:
        """Forward a request until a sidecar responds with its outcome.

        A sidecar that has just started has not adopted what an earlier process
        at its address, or another stopped peer, handed over before.
        """
        adopted = self._outcomes.find_adopted(key, time.monotonic())
        if adopted is not None:
            await self._serve_adopted_outcome(key, sink)
            return
        failure = RunFailedError(
            OutcomeKind.UNKNOWN,
            'the instance that had the outcome is gone',
        )
        for address in self._possible_holders(key):
            unknown = await self._try_forward(address, req, sink)
            if unknown is None:
                return
            failure = unknown
            if time.monotonic() >= req.info.deadline:
                break
        raise failure

    async def _try_forward(
        self, address: Address, req: Request, sink: ResponseSink
    ) -> RunFailedError | None:
        """Forward a request; return the error if the outcome is unknown there.

        Raises RunFailedError if the outcome is known, or if a part of the
        response was sent.
        """
        try:
            await self._forward(address, req, sink)
        except RunFailedError as exc:
            if exc.kind is OutcomeKind.UNKNOWN and not sink.started:
                return exc
            raise
        return None

    def _possible_holders(self, key: IdempotencyKey) -> tuple[Address, ...]:
        """Return the key owner, then the peers that may hold its outcomes."""
        peers = tuple(each for each in self._peers() if each != key.home)
        if key.home == self._identity.address:
            return peers
        return (key.home, *peers)

    async def _forward(
        self, address: Address, req: Request, sink: ResponseSink
    ) -> None:
        try:
            stream = await connect_stream(
                address,
                self._keys,
                OWNER_CONNECT_TIMEOUT_SECONDS,
            )
        except (PeerError, WireError) as exc:
            logger.info('key-owner-unreachable', extra={'home': str(address)})
            raise RunFailedError(
                OutcomeKind.UNKNOWN,
                'the instance that has the outcome is unreachable',
            ) from exc
        head = build_request_head(req.info, self._identity.tag, NO_CLAIM_ID)
        await forward_request(stream, head, req, sink)

    async def _serve_adopted_outcome(
        self,
        key: IdempotencyKey,
        sink: ResponseSink,
    ) -> None:
        """Respond with an outcome that a stopped key owner handed over."""
        adopted = self._outcomes.find_adopted(key, time.monotonic())
        if isinstance(adopted, Stored):
            await send_result(sink, adopted.outcome)
        elif isinstance(adopted, NeverRan):
            raise NotRunError('the instance of the key stopped; take a new key')
        else:
            raise RunFailedError(
                OutcomeKind.UNKNOWN,
                'the instance that had the outcome is gone',
            )
