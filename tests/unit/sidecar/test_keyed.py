"""Requests with an idempotency key at the sidecar that owns the key.

Guards against a second run of a request, and against outcomes that a client
delays for others by not reading, by disconnecting or by sending no body.
"""

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable

from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import Address, OutcomeKind
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed import KeyOwnerRouting
from dragonflyshift._internal.sidecar.request import (
    HeaderList,
    ReplayBody,
    Request,
    RequestBody,
    RequestInfo,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.running import RunnerBase
from dragonflyshift._internal.state import KeyIssuer, OutcomeTable
from dragonflyshift._internal.state.outcomes import BODY_OMITTED
from dragonflyshift._internal.wire import ConnectionIdCodec
from tests.lib.builders import build_fleet_keys

_OWNER = Address('127.0.0.1', 4433)
_KEYS = build_fleet_keys()
_WAIT_S = 5.0
_LARGE = bytes(2_000_000)

_RETRY_AFTER_S = 7
_Script = Callable[[ResponseSink], Awaitable[None]]


class _Runner(RunnerBase):
    """Counts the runs and responds as a script does."""

    def __init__(self, script: _Script) -> None:
        self.runs = 0
        self._script = script

    async def run(self, req: Request, sink: ResponseSink) -> None:
        self.runs += 1
        await self._script(sink)


class _Sink(ResponseSink):
    """Stores a response, or blocks on its body if ``stuck``."""

    def __init__(self, *, stuck: bool = False) -> None:
        self.status = 0
        self.headers: HeaderList = ()
        self.body = b''
        self.finished = False
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
        self.finished = True

    async def abort(self) -> None:
        self.finished = False


def _respond_with(body: bytes) -> _Script:
    async def script(sink: ResponseSink) -> None:
        length = (b'content-length', str(len(body)).encode())
        await sink.send_head(201, (length, (b'x-id', b'5')))
        await sink.send_chunk(body)
        await sink.finish()

    return script


class KeyOwnerRoutingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.tasks = BackgroundTasks()
        self.issuer = KeyIssuer(_KEYS, _OWNER, 7, 3)
        self.key = b''

    async def asyncTearDown(self) -> None:
        await self.tasks.close()

    def _start(self, script: _Script) -> None:
        self.runner = _Runner(script)
        self.keyed = KeyOwnerRouting(
            SidecarIdentity(_OWNER, 3, 7, ConnectionIdCodec(_KEYS)),
            _KEYS,
            self.issuer,
            OutcomeTable(
                100,
                60,
                owner=_OWNER,
                boot=7,
                last_issued_nonce=lambda: self.issuer.last_issued_nonce,
            ),
            self.runner,
            self.tasks,
            tuple,
        )
        self.key = self.issuer.issue()

    async def _send_request(
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

    async def test_refusal_has_retry_after_and_key_can_run_later(self):
        async def refuse(_sink: ResponseSink) -> None:
            raise NotRunError('all slots are busy', _RETRY_AFTER_S)

        self._start(refuse)
        with self.assertRaises(NotRunError) as caught:
            await self._send_request(_Sink())
        self.assertEqual(caught.exception.retry_after, _RETRY_AFTER_S)
        self.runner._script = _respond_with(b'saved')
        repeated = _Sink()
        await self._send_request(repeated)
        self.assertEqual(repeated.body, b'saved')

    async def test_stored_response_without_body_is_marked(self) -> None:
        self._start(_respond_with(_LARGE))
        first, repeated = _Sink(), _Sink()
        await self._send_request(first)
        await self._send_request(repeated)
        self.assertEqual(first.body, _LARGE)
        self.assertTrue(repeated.finished)
        self.assertEqual((repeated.status, repeated.body), (201, b''))
        self.assertIn(BODY_OMITTED, repeated.headers)
        self.assertIn((b'x-id', b'5'), repeated.headers)
        names = [name for name, _text in repeated.headers]
        self.assertNotIn(b'content-length', names)
        self.assertEqual(self.runner.runs, 1)

    async def test_client_that_stops_reading_delays_no_other(self) -> None:
        self._start(_respond_with(b'saved'))
        stuck_request = asyncio.create_task(
            self._send_request(_Sink(stuck=True))
        )
        await asyncio.sleep(0)
        repeated = _Sink()
        await self._send_request(repeated)
        self.assertEqual((repeated.status, repeated.body), (201, b'saved'))
        self.assertEqual(self.runner.runs, 1)
        stuck_request.cancel()
        await asyncio.wait((stuck_request,))

    async def test_run_continues_after_the_client_disconnects(self) -> None:
        started, resumed = asyncio.Event(), asyncio.Event()

        async def script(sink: ResponseSink) -> None:
            started.set()
            await resumed.wait()
            await _respond_with(b'saved')(sink)

        self._start(script)
        disconnected = asyncio.create_task(self._send_request(_Sink()))
        await started.wait()
        disconnected.cancel()
        await asyncio.wait((disconnected,))
        resumed.set()
        repeated = _Sink()
        await self._send_request(repeated)
        self.assertEqual(repeated.body, b'saved')
        self.assertEqual(self.runner.runs, 1)

    async def test_repeated_request_waits_until_its_deadline(self) -> None:
        async def script(_sink: ResponseSink) -> None:
            await asyncio.Event().wait()

        self._start(script)
        first = asyncio.create_task(self._send_request(_Sink()))
        await asyncio.sleep(0)
        with self.assertRaises(RunFailedError) as caught:
            await self._send_request(_Sink(), timeout=0.1)
        self.assertEqual(caught.exception.kind, OutcomeKind.UNKNOWN)
        first.cancel()
        await asyncio.wait((first,))

    async def test_request_with_an_endless_body_does_not_run(self) -> None:
        self._start(_respond_with(b'saved'))
        with self.assertRaises(RunFailedError) as caught:
            await self._send_request(_Sink(), timeout=0.1, body=RequestBody())
        # An earlier request under the key may have run.
        self.assertEqual(caught.exception.kind, OutcomeKind.UNKNOWN)
        self.assertEqual(self.runner.runs, 0)
