"""Run a request on the sidecar's own backend server."""

import asyncio
import time

from dragonflyshift._internal.exceptions import BackendError
from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.models import OutcomeKind
from dragonflyshift._internal.sidecar.answers import STATUS_UNAVAILABLE
from dragonflyshift._internal.sidecar.backend import (
    BackendAnswer,
    BackendClient,
    BackendRequest,
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
    AnswerSink,
    Request,
    RequestCutError,
    find_header,
)
from dragonflyshift._internal.telemetry import Metrics

DEFAULT_RETRY_AFTER_SECONDS = 1.0
_ANSWERED = (OUTCOME_HEADER, OutcomeKind.ANSWERED.encode())


class LocalRunner:
    """Exchange one request with the backend server; the slot is taken."""

    def __init__(
        self,
        backend: BackendClient,
        admission: Admission,
        metrics: Metrics,
    ) -> None:
        """Report to ``admission`` how the backend server does."""
        self._backend = backend
        self._admission = admission
        self._metrics = metrics
        self.served_at = time.monotonic()

    async def run(self, req: Request, sink: AnswerSink) -> None:
        """Run a request; raise RunFailedError when it got no whole answer.

        The caller holds a slot for it and gives that back.
        """
        started = time.monotonic()
        try:
            async with asyncio.timeout_at(req.info.deadline):
                await self._exchange(req, sink)
        except TimeoutError as exc:
            self._metrics.incr('timeouts')
            raise RequestTimeoutError from exc
        finally:
            self._metrics.timing('held', time.monotonic() - started)

    async def _exchange(self, req: Request, sink: AnswerSink) -> None:
        try:
            answer = await self._backend.exchange(
                _backend_request(req),
                req.body.chunks(),
            )
        except BackendUnreachableError as exc:
            self._note_unreachable()
            raise NotReachedError from exc
        except BackendError as exc:
            self._note_broken()
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        except RequestCutError as exc:
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        try:
            await self._pass_on(answer, sink)
        except BackendError as exc:
            self._note_broken()
            raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
        finally:
            await answer.close()

    async def _pass_on(self, answer: BackendAnswer, sink: AnswerSink) -> None:
        retry_after = find_header(answer.headers, RETRY_AFTER_HEADER)
        if answer.status == STATUS_UNAVAILABLE and retry_after:
            # The backend server's own word that it has not run the request.
            self._metrics.incr('shed')
            self._admission.record_shed(time.monotonic())
            raise NotRunError(
                'the backend server sheds load',
                _seconds(retry_after),
            )
        self.served_at = time.monotonic()
        self._admission.record_success(self.served_at)
        await sink.send_head(answer.status, (*answer.headers, _ANSWERED))
        async for chunk in answer.chunks():
            await sink.send_chunk(chunk)
        await sink.finish()

    def _note_broken(self) -> None:
        self._metrics.incr('broken-answers')
        self._admission.record_shed(time.monotonic())

    def _note_unreachable(self) -> None:
        self._metrics.incr('backend-unreachable')
        self._admission.record_shed(time.monotonic())


def _seconds(retry_after: bytes) -> float:
    """Read a Retry-After in seconds; a date counts as the default."""
    if retry_after.isdigit():
        return float(retry_after)
    return DEFAULT_RETRY_AFTER_SECONDS


def _backend_request(req: Request) -> BackendRequest:
    left = max(0, req.info.deadline - time.monotonic())
    timeout = str(int(left * MS_PER_SECOND)).encode()
    return BackendRequest(
        method=req.info.method,
        target=req.info.target,
        headers=(*req.info.headers, (TIMEOUT_HEADER, timeout)),
        fresh=not req.info.idempotent,
    )
