"""All requests of a sidecar's flows, from their heads to their answers."""

import asyncio
import logging
import time
from collections.abc import Callable

from attrs import evolve

from dragonflyshift._internal.models import OutcomeKind, ServiceRules
from dragonflyshift._internal.retries import RetryPolicy
from dragonflyshift._internal.sidecar.answers import (
    STATUS_BAD_REQUEST,
    send_failure,
    send_text,
)
from dragonflyshift._internal.sidecar.classify import BadRequestError, classify
from dragonflyshift._internal.sidecar.failures import (
    NotReachedError,
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.flow import Flow
from dragonflyshift._internal.sidecar.keyed_base import KeyedRequests
from dragonflyshift._internal.sidecar.placing import SlotFinder
from dragonflyshift._internal.sidecar.queueing import LocalPlace
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    AnswerSink,
    HeaderList,
    Request,
    RequestBody,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.running import Runs
from dragonflyshift._internal.telemetry import Metrics, Tracing, trace_id_for

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
FIRST_ATTEMPT = 1
_NOT_RUN = (OUTCOME_HEADER, OutcomeKind.NOT_RUN.encode())


class RequestRunner(Runs):
    """Run a request on some instance, at most as often as is safe."""

    def __init__(
        self,
        finder: SlotFinder,
        retries: RetryPolicy,
        rules: Callable[[], ServiceRules],
        metrics: Metrics,
    ) -> None:
        """Ask ``finder`` for slots and ``retries`` before trying again."""
        self._finder = finder
        self._retries = retries
        self._rules = rules
        self._metrics = metrics

    async def run(self, req: Request, sink: AnswerSink) -> None:
        """Run a request; raise RunFailedError when it got no whole answer."""
        self._retries.deposit(time.monotonic())
        try:
            await self._run_attempts(req, sink)
        except RunFailedError as exc:
            if exc.kind is not OutcomeKind.NOT_RUN or not req.may_have_run:
                raise
            # Only the last attempt was refused; an earlier one may have run.
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.reason) from exc

    async def _run_attempts(self, req: Request, sink: AnswerSink) -> None:
        avoid_own = False
        while True:
            req.attempts += 1
            place = await self._finder.find(req, avoid_own=avoid_own)
            try:
                await place.run(req, sink)
            except RunFailedError as exc:
                self._require_retry(req, sink, exc)
            else:
                return
            finally:
                self._finder.pump()
            avoid_own = isinstance(place, LocalPlace)
            await asyncio.sleep(self._retries.backoff(req.attempts))

    def _require_retry(
        self,
        req: Request,
        sink: AnswerSink,
        exc: RunFailedError,
    ) -> None:
        """Return if the request may be tried again; else raise ``exc``."""
        if exc.kind is not OutcomeKind.NOT_RUN:
            req.may_have_run = True
        safe = self._retries.is_retryable(
            exc.kind,
            idempotent=req.info.idempotent,
        )
        if not safe or isinstance(exc, RequestTimeoutError):
            raise exc
        possible = not sink.started and req.resendable
        if not possible or req.attempts >= MAX_ATTEMPTS:
            raise exc
        if not self._is_free(req, exc) and not self._withdraw():
            raise exc
        self._metrics.incr('retries')

    def _is_free(self, req: Request, exc: RunFailedError) -> bool:
        """Tell whether a further attempt needs no budget.

        The first one after a refusal doesn't: nothing has run, and when a
        backend server drains all its requests have to go elsewhere at once.
        Nor does any after a backend server that could not be reached, since
        no work was done that a budget has to bound.
        """
        if isinstance(exc, NotReachedError):
            return True
        refused = exc.kind is OutcomeKind.NOT_RUN
        return refused and req.attempts == FIRST_ATTEMPT

    def _withdraw(self) -> bool:
        self._retries.change_ratio(self._rules().retry_ratio)
        return self._retries.withdraw(time.monotonic())


class RequestService:
    """Answer every request of a flow."""

    def __init__(
        self,
        runner: RequestRunner,
        keyed: KeyedRequests,
        rules: Callable[[], ServiceRules],
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        """Send requests with an idempotency key through ``keyed``."""
        self._runner = runner
        self._keyed = keyed
        self._rules = rules
        self._metrics = metrics
        self._tracing = tracing

    async def handle(
        self,
        flow: Flow,
        headers: HeaderList,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        """Answer one request; every way out gives the client its end."""
        self._metrics.incr('requests')
        try:
            info = classify(headers, self._rules(), flow.first_id, b'')
        except BadRequestError as exc:
            text = f'{exc.message}\n'
            await send_text(sink, STATUS_BAD_REQUEST, text, (_NOT_RUN,))
            return
        attributes = {
            'method': info.method.decode(errors='replace'),
            'target': info.target.decode(errors='replace'),
        }
        with self._tracing.start_span(
            'request',
            trace_id_for(flow.first_id),
            0,
            attributes,
        ) as context:
            traced = evolve(info, trace=context.encode())
            await self._answer(traced, body, sink)

    async def _answer(
        self,
        info: RequestInfo,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        req = Request(info, body)
        started = time.monotonic()
        try:
            if self._keyed.concerns(info):
                await self._keyed.serve(req, sink)
            else:
                await self._runner.run(req, sink)
        except RunFailedError as exc:
            self._metrics.incr(f'failed.{exc.kind}')
            await send_failure(sink, exc)
        self._metrics.timing('request', time.monotonic() - started)
