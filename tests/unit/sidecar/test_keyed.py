import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable

from dragonflyshift._internal.kernel.tasks import TaskGroup
from dragonflyshift._internal.models import Address, OutcomeKind
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed import HomeKeyed
from dragonflyshift._internal.sidecar.request import (
    AnswerSink,
    HeaderList,
    ReplayBody,
    Request,
    RequestBody,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.runner_base import RunnerBase
from dragonflyshift._internal.state import KeyIssuer, OutcomeTable
from dragonflyshift._internal.state.outcomes import BODY_OMITTED
from dragonflyshift._internal.wire import ConnectionIdCodec
from tests.lib.builders import build_fleet_keys

_HOME = Address('127.0.0.1', 4433)
_KEYS = build_fleet_keys()
_WAIT_S = 5.0
_LARGE = bytes(2_000_000)

_RETRY_AFTER_S = 7
_Script = Callable[[AnswerSink], Awaitable[None]]


class _Runner(RunnerBase):
    """Counts the runs and answers by a script."""

    def __init__(self, script: _Script) -> None:
        self.runs = 0
        self._script = script

    async def run(self, req: Request, sink: AnswerSink) -> None:
        self.runs += 1
        await self._script(sink)


class _Sink(AnswerSink):
    """A client that reads, or that takes no part of a body."""

    def __init__(self, *, stuck: bool = False) -> None:
        self.status = 0
        self.headers: HeaderList = ()
        self.body = b''
        self.ended = False
        self._stuck = stuck

    @property
    def started(self) -> bool:
        return self.status > 0

    async def send_head(self, status: int, headers: HeaderList) -> None:
        self.status = status
        self.headers = headers

    async def send_chunk(self, chunk: bytes) -> None:
        if self._stuck:
            await asyncio.Event().wait()
        self.body += chunk

    async def finish(self) -> None:
        self.ended = True

    async def abort(self) -> None:
        self.ended = False


def _answer(body: bytes) -> _Script:
    async def script(sink: AnswerSink) -> None:
        length = (b'content-length', str(len(body)).encode())
        await sink.send_head(201, (length, (b'x-id', b'5')))
        await sink.send_chunk(body)
        await sink.finish()

    return script


class HomeKeyedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.tasks = TaskGroup()
        self.issuer = KeyIssuer(_KEYS, _HOME, 7, 3)
        self.key = b''

    async def asyncTearDown(self) -> None:
        await self.tasks.close()

    def _start(self, script: _Script) -> None:
        self.runner = _Runner(script)
        self.keyed = HomeKeyed(
            SidecarIdentity(_HOME, 3, 7, ConnectionIdCodec(_KEYS)),
            _KEYS,
            self.issuer,
            OutcomeTable(
                100,
                60,
                home=_HOME,
                boot=7,
                issued=lambda: self.issuer.issued,
            ),
            self.runner,
            self.tasks,
        )
        self.key = self.issuer.issue()

    async def _ask(
        self,
        sink: _Sink,
        timeout: float = 30,
        body: RequestBody | None = None,
    ) -> None:
        info = RequestInfo(
            method=b'POST',
            target=b'/tickets',
            headers=(),
            deadline=time.monotonic() + timeout,
            idempotent=False,
            streaming=False,
            client=b'',
            key=self.key,
        )
        async with asyncio.timeout(_WAIT_S):
            await self.keyed.serve(Request(info, body or ReplayBody()), sink)

    async def test_refusal_names_its_time_and_the_key_may_run_later(self):
        async def refuse(_sink: AnswerSink) -> None:
            raise NotRunError('all slots are busy', _RETRY_AFTER_S)

        self._start(refuse)
        with self.assertRaises(NotRunError) as caught:
            await self._ask(_Sink())
        self.assertEqual(caught.exception.retry_after, _RETRY_AFTER_S)
        self.runner._script = _answer(b'saved')
        again = _Sink()
        await self._ask(again)
        self.assertEqual(again.body, b'saved')

    async def test_stored_answer_without_its_body_says_so(self) -> None:
        self._start(_answer(_LARGE))
        first, again = _Sink(), _Sink()
        await self._ask(first)
        await self._ask(again)
        self.assertEqual(first.body, _LARGE)
        self.assertTrue(again.ended)
        self.assertEqual((again.status, again.body), (201, b''))
        self.assertIn(BODY_OMITTED, again.headers)
        self.assertIn((b'x-id', b'5'), again.headers)
        names = [name for name, _text in again.headers]
        self.assertNotIn(b'content-length', names)
        self.assertEqual(self.runner.runs, 1)

    async def test_client_that_stopped_reading_delays_no_other(self) -> None:
        self._start(_answer(b'saved'))
        silent = asyncio.create_task(self._ask(_Sink(stuck=True)))
        await asyncio.sleep(0)
        again = _Sink()
        await self._ask(again)
        self.assertEqual((again.status, again.body), (201, b'saved'))
        self.assertEqual(self.runner.runs, 1)
        silent.cancel()
        await asyncio.wait((silent,))

    async def test_client_that_went_away_does_not_end_the_run(self) -> None:
        begun, goes_on = asyncio.Event(), asyncio.Event()

        async def script(sink: AnswerSink) -> None:
            begun.set()
            await goes_on.wait()
            await _answer(b'saved')(sink)

        self._start(script)
        gone = asyncio.create_task(self._ask(_Sink()))
        await begun.wait()
        gone.cancel()
        await asyncio.wait((gone,))
        goes_on.set()
        again = _Sink()
        await self._ask(again)
        self.assertEqual(again.body, b'saved')
        self.assertEqual(self.runner.runs, 1)

    async def test_second_asker_waits_no_longer_than_its_deadline(
        self,
    ) -> None:
        async def script(_sink: AnswerSink) -> None:
            await asyncio.Event().wait()

        self._start(script)
        first = asyncio.create_task(self._ask(_Sink()))
        await asyncio.sleep(0)
        with self.assertRaises(RunFailedError) as caught:
            await self._ask(_Sink(), timeout=0.1)
        self.assertEqual(caught.exception.kind, OutcomeKind.UNKNOWN)
        first.cancel()
        await asyncio.wait((first,))

    async def test_body_that_never_ends_runs_nothing(self) -> None:
        self._start(_answer(b'saved'))
        with self.assertRaises(RunFailedError) as caught:
            await self._ask(_Sink(), timeout=0.1, body=RequestBody())
        # An earlier request under the key may have run.
        self.assertEqual(caught.exception.kind, OutcomeKind.UNKNOWN)
        self.assertEqual(self.runner.runs, 0)
