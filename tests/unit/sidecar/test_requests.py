"""Which failures a request is tried again after, with no budget left."""

import random
import time
from unittest import IsolatedAsyncioTestCase, main, mock

from dragonflyshift._internal.retries.budget import FIRST_TOKENS, Budget
from dragonflyshift._internal.sidecar.failures import (
    NotReachedError,
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.placing import SlotFinder
from dragonflyshift._internal.sidecar.request import (
    AnswerSink,
    ReplayBody,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.requests import (
    MAX_ATTEMPTS,
    RequestRunner,
)
from dragonflyshift._internal.telemetry import Metrics

_RATIO = 0.01


def _build_request() -> Request:
    info = RequestInfo(
        method=b'POST',
        target=b'/tickets',
        headers=(),
        deadline=time.monotonic() + 5,
        idempotent=False,
        streaming=False,
        client=b'',
    )
    return Request(info, ReplayBody())


def _spent_budget() -> Budget:
    budget = Budget(_RATIO, random.Random(1))
    for _ in range(int(FIRST_TOKENS)):
        assert budget.withdraw(time.monotonic())
    return budget


class SpentBudgetTest(IsolatedAsyncioTestCase):
    async def test_unreachable_backend_costs_no_retry(self) -> None:
        self.assertEqual(await self._run(NotReachedError()), 2)

    async def test_unreachable_everywhere_ends(self) -> None:
        failures = [NotReachedError() for _ in range(MAX_ATTEMPTS)]
        with self.assertRaises(NotReachedError):
            await self._run(*failures)

    async def test_shed_request_is_refused(self) -> None:
        with self.assertRaises(NotRunError):
            await self._run(NotRunError('the backend server sheds load'))

    async def _run(self, *failures: RunFailedError) -> int:
        """Fail so often, then answer; return the attempts."""
        place = mock.Mock(run=mock.AsyncMock(side_effect=[*failures, None]))
        finder = mock.create_autospec(SlotFinder, instance=True)
        finder.find.return_value = place
        sink = mock.create_autospec(AnswerSink, instance=True)
        sink.started = False
        runner = RequestRunner(
            finder, _spent_budget(), mock.create_autospec(Metrics)
        )
        await runner.run(_build_request(), sink)
        return place.run.await_count


if __name__ == '__main__':
    main()
