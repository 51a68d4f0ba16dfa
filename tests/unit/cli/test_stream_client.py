import unittest

from dragonflyshift._internal.cli.daemon_client import RouteQuery
from dragonflyshift._internal.cli.stream_client import StreamDaemonClient
from dragonflyshift._internal.exceptions import PeerError, WireError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.messages import (
    Message,
    RouteReply,
    RouteRequest,
    StatusReply,
)
from dragonflyshift._internal.wire.stream import MessageStream, StreamServer
from tests.lib.builders import build_fleet_keys
from tests.lib.network import free_address

KEYS = build_fleet_keys()
OTHER_KEYS = build_fleet_keys(f'1:{"0c" * 32}')
SHORT_SECONDS = 0.3


class StreamDaemonClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.address = free_address()
        self.requests: list[Message] = []
        self.reply: Message | None = None
        server = StreamServer(self.address, KEYS, self.serve)
        await server.start()
        self.addAsyncCleanup(server.close)
        self.client = StreamDaemonClient(self.address, KEYS, SHORT_SECONDS)

    async def serve(self, stream: MessageStream) -> None:
        self.requests.append(await stream.receive())
        if self.reply is not None:
            await stream.send(self.reply)
        await stream.receive()

    async def test_status(self) -> None:
        self.reply = StatusReply(b'{}')
        self.assertEqual(await self.client.status(), b'{}')

    async def test_route(self) -> None:
        self.reply = RouteReply(b'{}')
        query = RouteQuery(Address('127.0.1.1', 443), packet=b'abc')
        self.assertEqual(await self.client.route(query), b'{}')
        self.assertEqual(
            self.requests,
            [RouteRequest('127.0.1.1:443', b'abc', b'')],
        )

    async def test_daemon_without_response(self) -> None:
        with self.assertRaisesRegex(PeerError, 'no reply within'):
            await self.client.status()

    async def test_unexpected_reply(self) -> None:
        self.reply = RouteReply(b'{}')
        with self.assertRaisesRegex(WireError, 'RouteReply'):
            await self.client.status()

    async def test_unreachable_daemon(self) -> None:
        unused_address = free_address()
        with self.assertRaisesRegex(PeerError, 'can not be reached'):
            await StreamDaemonClient(
                unused_address, KEYS, SHORT_SECONDS
            ).status()

    async def test_different_fleet_keys(self) -> None:
        client = StreamDaemonClient(self.address, OTHER_KEYS, SHORT_SECONDS)
        with self.assertRaisesRegex(WireError, 'fleet keys are those'):
            await client.status()
