"""Run a request on the local backend server."""

import asyncio
import time

from dragonflyshift._internal.exceptions import BackendError
from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.models import OutcomeKind
from dragonflyshift._internal.sidecar.backend import (
    BackendClient,
    BackendRequest,
    BackendResponse,
)
from dragonflyshift._internal.sidecar.backend_errors import (
    BackendUnreachableError,
)
from dragonflyshift._internal.sidecar.classify import MS_PER_SECOND
from dragonflyshift._internal.sidecar.failures import (
    NotReachedError,
    NotRunError,
    RequestTimeoutError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.request import (
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
    TIMEOUT_HEADER,
    Request,
    RequestCutError,
    ResponseSink,
    find_header,
)
from dragonflyshift._internal.sidecar.responses import STATUS_UNAVAILABLE
from dragonflyshift._internal.telemetry import Metrics

DEFAULT_RETRY_AFTER_SECONDS = 1.0
_ANSWERED_HEADER = (OUTCOME_HEADER, OutcomeKind.ANSWERED.encode())


class LocalRunner:
    """Runs requests on the backend server; callers hold the slots."""

    def __init__(
        self,
        backend: BackendClient,
        admission: Admission,
        metrics: Metrics,
    ) -> None:
        """Report successes and failures of requests to ``admission``."""
        self._backend = backend
        self._admission = admission
        self._metrics = metrics
        self.last_served_at = time.monotonic()

    async def run(self, req: Request, sink: ResponseSink) -> None:
        """Run a request; raise RunFailedError if the response is incomplete.

        The caller holds a slot for the request and releases it afterwards.
        """
        started_at = time.monotonic()
        try:
            async with asyncio.timeout_at(req.info.deadline):
                await self._exchange(req, sink)
        except TimeoutError as exc:
            self._metrics.incr('timeouts')
            raise RequestTimeoutError from exc
        finally:
            self._metrics.timing('held', time.monotonic() - started_at)

    async def _exchange(self, req: Request, sink: ResponseSink) -> None:
        try:
            response = await self._backend.exchange(
                _build_backend_request(req),
                req.body.chunks(),
            )
        except BackendUnreachableError as exc:
            self._handle_unreachable()
            raise NotReachedError from exc
        except BackendError as exc:
            self._handle_broken_response()
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        except RequestCutError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        try:
            await self._forward_response(response, sink)
        except BackendError as exc:
            self._handle_broken_response()
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        finally:
            await response.close()

    async def _forward_response(
        self, response: BackendResponse, sink: ResponseSink
    ) -> None:
        retry_after = find_header(response.headers, RETRY_AFTER_HEADER)
        if response.status == STATUS_UNAVAILABLE and retry_after:
            # The backend server itself reports that it has not run the request.
            self._metrics.incr('shed')
            self._admission.record_shed(time.monotonic())
            raise NotRunError(
                'the backend server sheds load',
                _parse_retry_after(retry_after),
            )
        self.last_served_at = time.monotonic()
        self._admission.record_success(self.last_served_at)
        await sink.send_head(
            response.status, (*response.headers, _ANSWERED_HEADER)
        )
        async for chunk in response.chunks():
            await sink.send_chunk(chunk)
        await sink.finish()

    def _handle_broken_response(self) -> None:
        self._metrics.incr('broken-answers')
        self._admission.record_shed(time.monotonic())

    def _handle_unreachable(self) -> None:
        self._metrics.incr('backend-unreachable')
        self._admission.record_shed(time.monotonic())


def _parse_retry_after(retry_after: bytes) -> float:
    """Parse a Retry-After in seconds; a date yields the default."""
    if retry_after.isdigit():
        return float(retry_after)
    return DEFAULT_RETRY_AFTER_SECONDS


def _build_backend_request(req: Request) -> BackendRequest:
    remaining = max(0, req.info.deadline - time.monotonic())
    timeout = str(int(remaining * MS_PER_SECOND)).encode()
    return BackendRequest(
        method=req.info.method,
        target=req.info.target,
        headers=(*req.info.headers, (TIMEOUT_HEADER, timeout)),
        new_connection=not req.info.idempotent,
    )
