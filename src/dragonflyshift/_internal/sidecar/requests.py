"""Handling of client requests, from request head to response."""

import asyncio
import logging
import time
from collections.abc import Callable

from attrs import evolve

from dragonflyshift._internal.models import OutcomeKind, ServiceRules
from dragonflyshift._internal.retries import RetryPolicy
from dragonflyshift._internal.sidecar.classify import BadRequestError, classify
from dragonflyshift._internal.sidecar.failures import (
    NotReachedError,
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.flow import Flow
from dragonflyshift._internal.sidecar.keyed_base import KeyedRequests
from dragonflyshift._internal.sidecar.placing import SlotFinder
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    HeaderList,
    Request,
    RequestBody,
    RequestInfo,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.request_queue import LocalReservation
from dragonflyshift._internal.sidecar.responses import (
    STATUS_BAD_REQUEST,
    send_failure,
    send_text,
)
from dragonflyshift._internal.sidecar.running import RunnerBase
from dragonflyshift._internal.telemetry import Metrics, Tracing, trace_id_for

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
FIRST_ATTEMPT = 1
_NOT_RUN_HEADER = (OUTCOME_HEADER, OutcomeKind.NOT_RUN.encode())


class RequestRunner(RunnerBase):
    """Runs a request on an instance, retrying while that is safe."""

    def __init__(
        self,
        finder: SlotFinder,
        retries: RetryPolicy,
        rules: Callable[[], ServiceRules],
        metrics: Metrics,
    ) -> None:
        """Create a runner; ``rules`` returns the current service rules."""
        self._finder = finder
        self._retries = retries
        self._rules = rules
        self._metrics = metrics

    async def run(self, req: Request, sink: ResponseSink) -> None:
        """Run a request; raise RunFailedError if the response is incomplete."""
        self._retries.deposit(time.monotonic())
        try:
            await self._run_attempts(req, sink)
        except RunFailedError as exc:
            if exc.kind is not OutcomeKind.NOT_RUN or not req.may_have_run:
                raise
            # Only the last attempt was refused; an earlier one may have run the
            # request.
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.reason) from exc

    async def _run_attempts(self, req: Request, sink: ResponseSink) -> None:
        skip_local = False
        while True:
            req.attempts += 1
            reservation = await self._finder.find(req, skip_local=skip_local)
            try:
                await reservation.run(req, sink)
            except RunFailedError as exc:
                self._check_retry(req, sink, exc)
            else:
                return
            finally:
                self._finder.dispatch()
            skip_local = isinstance(reservation, LocalReservation)
            await asyncio.sleep(self._retries.backoff(req.attempts))

    def _check_retry(
        self,
        req: Request,
        sink: ResponseSink,
        exc: RunFailedError,
    ) -> None:
        """Return if the request may be retried; otherwise raise ``exc``."""
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
        if (
            not self._is_exempt_from_budget(req, exc)
            and not self._withdraw_from_budget()
        ):
            raise exc
        self._metrics.incr('retries')

    def _is_exempt_from_budget(self, req: Request, exc: RunFailedError) -> bool:
        """Return whether the retry is exempt from the retry budget.

        The first retry after a refusal is exempt: nothing has run, and all
        requests of a draining backend server have to move at once. A retry
        after an unreachable backend server is also exempt, since no work
        was done that the budget would have to bound.
        """
        if isinstance(exc, NotReachedError):
            return True
        refused = exc.kind is OutcomeKind.NOT_RUN
        return refused and req.attempts == FIRST_ATTEMPT

    def _withdraw_from_budget(self) -> bool:
        self._retries.change_ratio(self._rules().retry_ratio)
        return self._retries.withdraw(time.monotonic())


class RequestService:
    """Handles every request of the sidecar's flows."""

    def __init__(
        self,
        runner: RequestRunner,
        keyed: KeyedRequests,
        rules: Callable[[], ServiceRules],
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        """Create a handler; ``rules`` returns the current service rules."""
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
        sink: ResponseSink,
    ) -> None:
        """Handle one request; every failure is also sent to the client."""
        self._metrics.incr('requests')
        try:
            info = classify(headers, self._rules(), flow.client_id, b'')
        except BadRequestError as exc:
            text = f'{exc.message}\n'
            await send_text(sink, STATUS_BAD_REQUEST, text, (_NOT_RUN_HEADER,))
            return
        attributes = {
            'method': info.method.decode(errors='replace'),
            'target': info.target.decode(errors='replace'),
        }
        with self._tracing.start_span(
            'request',
            trace_id_for(flow.original_id),
            0,
            attributes,
        ) as context:
            traced = evolve(info, trace=context.encode())
            await self._respond(traced, body, sink)

    async def _respond(
        self,
        info: RequestInfo,
        body: RequestBody,
        sink: ResponseSink,
    ) -> None:
        req = Request(info, body)
        started_at = time.monotonic()
        try:
            if self._keyed.handles(info):
                await self._keyed.serve(req, sink)
            else:
                await self._runner.run(req, sink)
        except RunFailedError as exc:
            self._metrics.incr(f'failed.{exc.kind}')
            await send_failure(sink, exc)
        self._metrics.timing('request', time.monotonic() - started_at)
