"""A slot granted to a peer is released however the exchange ends.

Guards against slots that stay occupied because the peer disconnected before
or after its request, or sent a request under another claim.
"""

import time
import unittest
from unittest.mock import AsyncMock, Mock

from dragonflyshift._internal.exceptions import PeerError
from dragonflyshift._internal.limits import AdaptiveAdmission
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.routing import OfferQueue
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.serving import ClaimServer
from dragonflyshift._internal.telemetry import NoMetrics, SpanContext, Tracing
from dragonflyshift._internal.wire.messages import (
    ClaimGranted,
    ClaimRequest,
    Message,
    RequestHead,
)

TAG = 7
CLAIM = ClaimRequest(
    TAG,
    boot=1,
    timeout_ms=1000,
    streaming=False,
    requester=Address('192.0.2.2', 7000),
)


def _head(claim_id: int, trace: bytes) -> RequestHead:
    return RequestHead(
        claim_id=claim_id,
        tag=TAG,
        method=b'GET',
        target=b'/lists/1',
        headers=(),
        idempotent=True,
        key=b'',
        client=b'',
        trace=trace,
        timeout_ms=1000,
    )


class ClaimServerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.admission = AdaptiveAdmission(1, 8, 0, time.monotonic())
        self.runner = Mock(run=AsyncMock())
        address = Address('192.0.2.1', 7000)
        self.server = ClaimServer(
            SidecarIdentity(address, TAG, 1, Mock()),
            self.admission,
            self.runner,
            lambda: True,
            OfferQueue(),
            NoMetrics('sidecar'),
            Tracing('', 'sidecar', 'one'),
        )
        self.sent: list[Message] = []

    async def serve(self, *received: Message | Exception) -> None:
        stream = Mock(
            send=AsyncMock(side_effect=self.sent.append),
            receive=AsyncMock(side_effect=received),
        )
        try:
            await self.server.serve(stream, CLAIM)
        except PeerError:
            self.assertIsInstance(received[0], PeerError)

    async def test_peer_disconnects_after_its_request(self) -> None:
        context = SpanContext(1, 2).encode()
        stream = Mock(abort=Mock())
        disconnected = PeerError('the peer disconnected')

        async def receive() -> Message:
            granted = self.sent[-1]
            if stream.receive.await_count > 1 or not isinstance(
                granted,
                ClaimGranted,
            ):
                raise disconnected
            return _head(granted.claim_id, context)

        stream.send = AsyncMock(side_effect=self.sent.append)
        stream.receive = AsyncMock(side_effect=receive)
        await self.server.serve(stream, CLAIM)
        self.assertEqual(self.admission.running, 0)

    async def test_peer_disconnects_without_a_request(self) -> None:
        await self.serve(PeerError('the peer disconnected'))
        self.assertEqual(self.admission.running, 0)

    async def test_request_under_an_unknown_claim_is_not_run(self) -> None:
        await self.serve(_head(12345, b''))
        self.runner.run.assert_not_awaited()
        self.assertEqual(self.admission.running, 0)
