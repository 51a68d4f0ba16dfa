import unittest
from unittest.mock import AsyncMock, Mock

from dragonflyshift._internal.models import OutcomeKind
from dragonflyshift._internal.sidecar.failures import (
    NotReachedError,
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.request import (
    ReplayBody,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.requests import RequestRunner

_INFO = RequestInfo(
    method=b'GET',
    target=b'/lists/1',
    headers=(),
    deadline=60,
    idempotent=True,
    streaming=False,
    client=b'',
    trace=b'',
    key=b'',
)
_CUT = RunFailedError(OutcomeKind.UNKNOWN, 'the answer was cut')
_BUSY = NotRunError('no instance has a free slot')


class RequestRunnerTest(unittest.IsolatedAsyncioTestCase):
    """The runner's word on a request that failed several times."""

    async def run_attempts(
        self,
        *ends: RunFailedError,
        budget: bool = True,
    ) -> OutcomeKind:
        """Let one attempt end in each way; the last finds no slot."""
        *attempts, refusal = ends
        places = [Mock(run=AsyncMock(side_effect=each)) for each in attempts]
        finder = Mock(find=AsyncMock(side_effect=[*places, refusal]))
        retries = Mock(
            backoff=Mock(return_value=0),
            withdraw=Mock(return_value=budget),
        )
        runner = RequestRunner(finder, retries, Mock(), Mock())
        req = Request(_INFO, ReplayBody())
        with self.assertRaises(RunFailedError) as caught:
            await runner.run(req, Mock(started=False))
        self.assertEqual(finder.find.await_count, len(ends))
        return caught.exception.kind

    async def test_refused_after_an_attempt_that_may_have_run(self) -> None:
        self.assertEqual(
            await self.run_attempts(_CUT, _BUSY),
            OutcomeKind.UNKNOWN,
        )

    async def test_refused_after_an_attempt_that_did_not_run(self) -> None:
        self.assertEqual(
            await self.run_attempts(_BUSY, _BUSY),
            OutcomeKind.NOT_RUN,
        )

    async def test_refusals_move_on_once_without_budget(self) -> None:
        self.assertEqual(
            await self.run_attempts(_BUSY, _BUSY, budget=False),
            OutcomeKind.NOT_RUN,
        )
        with self.assertRaises(AssertionError):
            await self.run_attempts(_BUSY, _BUSY, _BUSY, budget=False)

    async def test_a_cut_answer_is_not_tried_again_without_budget(self) -> None:
        with self.assertRaises(AssertionError):
            await self.run_attempts(_CUT, _BUSY, budget=False)

    async def test_unreachable_servers_need_no_budget(self) -> None:
        gone = NotReachedError()
        self.assertEqual(
            await self.run_attempts(gone, gone, _BUSY, budget=False),
            OutcomeKind.NOT_RUN,
        )
