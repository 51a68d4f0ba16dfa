"""Retries of failed requests and the outcome that is reported for them.

A request that may have run in one attempt must not be reported as not run
when a later attempt is refused, and retries must stay within the budget.
"""

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
_TRUNCATED = RunFailedError(OutcomeKind.UNKNOWN, 'the response was truncated')
_BUSY = NotRunError('no instance has a free slot')


class RequestRunnerTest(unittest.IsolatedAsyncioTestCase):
    """Outcome of a request whose attempts all failed."""

    async def run_attempts(
        self,
        *errors: RunFailedError,
        budget: bool = True,
    ) -> OutcomeKind:
        """Run one attempt per error; the last one finds no slot."""
        *attempts, refusal = errors
        reservations = [
            Mock(run=AsyncMock(side_effect=error)) for error in attempts
        ]
        finder = Mock(find=AsyncMock(side_effect=[*reservations, refusal]))
        retries = Mock(
            backoff=Mock(return_value=0),
            withdraw=Mock(return_value=budget),
        )
        runner = RequestRunner(finder, retries, Mock(), Mock())
        req = Request(_INFO, ReplayBody())
        with self.assertRaises(RunFailedError) as caught:
            await runner.run(req, Mock(started=False))
        self.assertEqual(finder.find.await_count, len(errors))
        return caught.exception.kind

    async def test_refusal_after_an_unknown_outcome_is_unknown(self) -> None:
        self.assertEqual(
            await self.run_attempts(_TRUNCATED, _BUSY),
            OutcomeKind.UNKNOWN,
        )

    async def test_refusal_after_a_refusal_is_not_run(self) -> None:
        self.assertEqual(
            await self.run_attempts(_BUSY, _BUSY),
            OutcomeKind.NOT_RUN,
        )

    async def test_first_retry_after_a_refusal_needs_no_budget(self) -> None:
        self.assertEqual(
            await self.run_attempts(_BUSY, _BUSY, budget=False),
            OutcomeKind.NOT_RUN,
        )
        with self.assertRaises(AssertionError):
            await self.run_attempts(_BUSY, _BUSY, _BUSY, budget=False)

    async def test_unknown_outcome_is_not_retried_without_budget(self) -> None:
        with self.assertRaises(AssertionError):
            await self.run_attempts(_TRUNCATED, _BUSY, budget=False)

    async def test_unreachable_servers_need_no_budget(self) -> None:
        failed = NotReachedError()
        self.assertEqual(
            await self.run_attempts(failed, failed, _BUSY, budget=False),
            OutcomeKind.NOT_RUN,
        )
