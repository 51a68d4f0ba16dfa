import asyncio
import json
from unittest import IsolatedAsyncioTestCase, mock

from dragonflyshift._internal.control import server
from dragonflyshift._internal.exceptions import PeerError
from dragonflyshift._internal.models.documents import service_key
from dragonflyshift._internal.wire.messages import (
    DocumentReply,
    DocumentRequest,
    Message,
    RouteReply,
    RouteRequest,
    StatusReply,
    StatusRequest,
)
from dragonflyshift._internal.wire.stream import MessageStream, connect_stream
from tests.lib.builders import SERVICE, build_fleet_keys, build_service_raw
from tests.unit.control.seed_daemon import SeedDaemon

KEY = service_key(SERVICE)
RAW = build_service_raw(version=4)
TIMEOUT_SECONDS = 2.0


class ControlServerTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.seed_daemon = SeedDaemon()
        self.seed_daemon.store.apply(KEY, RAW)
        await self.seed_daemon.server.start()
        self.addAsyncCleanup(self.seed_daemon.server.close)
        self.stream = await connect_stream(
            self.seed_daemon.address,
            build_fleet_keys(),
            TIMEOUT_SECONDS,
        )
        self.addAsyncCleanup(self.stream.close)

    async def send_request(self, request: Message) -> Message:
        await self.stream.send(request)
        return await self.stream.receive()

    async def test_many_documents_on_one_stream(self) -> None:
        for above, raw in ((0, RAW), (3, RAW), (4, b''), (5, b'')):
            with self.subTest(above):
                reply = await self.send_request(DocumentRequest(KEY, above))
                self.assertEqual(reply, DocumentReply(KEY, 4, raw))
        missing = service_key('none')
        reply = await self.send_request(DocumentRequest(missing, 0))
        self.assertEqual(reply, DocumentReply(missing, 0, b''))

    async def test_reports(self) -> None:
        status = await self.send_request(StatusRequest())
        assert isinstance(status, StatusReply)
        self.assertEqual(json.loads(status.report), {'role': 'balancer'})
        route = await self.send_request(
            RouteRequest('127.0.1.1:443', b'', b'f')
        )
        assert isinstance(route, RouteReply)
        self.assertIn('127.0.1.1:443', json.loads(route.report).values())

    async def test_unexpected_message_ends_the_stream(self) -> None:
        await self.stream.send(StatusReply(b'{}'))
        with self.assertRaises(PeerError):
            await self.stream.receive()

    async def test_additional_handler(self) -> None:
        async def handle(stream: MessageStream, message: StatusReply) -> None:
            await stream.send(StatusReply(message.report * 2))

        self.seed_daemon.server.add_handler(StatusReply, handle)
        reply = await self.send_request(StatusReply(b'ab'))
        self.assertEqual(reply, StatusReply(b'abab'))

    async def test_idle_connection_is_closed(self) -> None:
        with mock.patch.object(server, 'IDLE_LIMIT_SECONDS', 0.1):
            await self.send_request(StatusRequest())
            async with asyncio.timeout(TIMEOUT_SECONDS):
                with self.assertRaises(PeerError):
                    await self.stream.receive()
