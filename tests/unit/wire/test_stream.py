"""Framing, handshake and lifecycle of authenticated streams.

Guards against frames that are accepted although they are forged, reordered or
from another connection, against peers without the fleet keys, and against data
that is lost when a receive call is cancelled.
"""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import PeerError, WireError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.framing import (
    FRAME_HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    FrameHeader,
    FrameOpener,
    FrameSealer,
    Hello,
    direction_key,
)
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import BodyChunk, KeepAlive
from dragonflyshift._internal.wire.stream import (
    MessageStream,
    StreamServer,
    connect_stream,
)
from tests.lib.network import free_address

_OLD_KEY = f'1:{"11" * 32}'
_NEW_KEY = f'2:{"22" * 32}'
_KEYS = FleetKeys.parse(_OLD_KEY)
_WAIT_S = 5
_LARGE_BYTES = 1024 * 1024


async def _echo(stream: MessageStream) -> None:
    while True:
        await stream.send(await stream.receive())


async def _serve(
    handler: Callable[[MessageStream], Awaitable[None]],
    keys: FleetKeys = _KEYS,
    max_connections: int = 10,
) -> tuple[StreamServer, Address]:
    address = free_address()
    server = StreamServer(address, keys, handler, max_connections)
    await server.start()
    return server, address


class FramingTest(unittest.TestCase):
    def setUp(self) -> None:
        hellos = (Hello.create(_KEYS), Hello.create(_KEYS))
        self.key = direction_key(_KEYS, *hellos, from_client=True)
        self.reverse_key = direction_key(_KEYS, *hellos, from_client=False)

    def test_reordered_and_reflected_frames_are_refused(self) -> None:
        sealer = FrameSealer(self.key)
        first, second = sealer.seal(b'same'), sealer.seal(b'same')
        opener = FrameOpener(self.key)
        self.assertEqual(_open(opener, first), b'same')
        for wrong in (first, FrameSealer(self.reverse_key).seal(b'same')):
            with self.assertRaises(WireError):
                _open(opener, wrong)
        self.assertEqual(_open(opener, second), b'same')

    def test_frame_of_another_connection_is_refused(self) -> None:
        other = direction_key(
            _KEYS,
            Hello.create(_KEYS),
            Hello.create(_KEYS),
            from_client=True,
        )
        with self.assertRaises(WireError):
            _open(FrameOpener(self.key), FrameSealer(other).seal(b'x'))

    def test_size_is_bounded(self) -> None:
        with self.assertRaises(WireError):
            FrameSealer(self.key).seal(bytes(MAX_PAYLOAD_BYTES + 1))
        with self.assertRaises(WireError):
            FrameHeader.decode(b'\xff' * FRAME_HEADER_BYTES)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.binary(min_size=1, max_size=60), st.data())
    def test_frame_with_a_flipped_bit_is_refused(
        self,
        payload: bytes,
        draw: st.DataObject,
    ) -> None:
        frame = bytearray(FrameSealer(self.key).seal(payload))
        bit = draw.draw(st.integers(0, len(frame) * 8 - 1))
        frame[bit // 8] ^= 1 << bit % 8
        with self.assertRaises(WireError):
            _open(FrameOpener(self.key), bytes(frame))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.binary(max_size=40))
    def test_random_bytes_raise_only_wire_errors(self, raw: bytes) -> None:
        for decode in (Hello.decode, FrameHeader.decode):
            with suppress(WireError):
                decode(raw)


class MessageStreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_echoed_messages_arrive_in_order(self) -> None:
        server, address = await _serve(_echo)
        stream = await connect_stream(address, _KEYS, _WAIT_S)
        large = BodyChunk(bytes(_LARGE_BYTES), end=False)
        for message in (KeepAlive(), large, BodyChunk(b'', end=True)):
            await stream.send(message)
            self.assertEqual(await stream.receive(), message)
        await server.close()
        with self.assertRaises(PeerError):
            await stream.receive()
        await stream.close()
        with self.assertRaises(PeerError):
            await stream.send(KeepAlive())

    async def test_cancelled_receive_loses_nothing(self) -> None:
        server, address = await _serve(_echo)
        stream = await connect_stream(address, _KEYS, _WAIT_S)
        sent = BodyChunk(bytes(_LARGE_BYTES), end=True)
        sending = asyncio.create_task(stream.send(sent))
        cancelled = 0
        async with asyncio.timeout(_WAIT_S):
            while True:
                receiving = asyncio.create_task(stream.receive())
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                if receiving.done():
                    break
                cancelled += receiving.cancel()
                await asyncio.wait((receiving,))
        self.assertEqual(receiving.result(), sent)
        self.assertGreater(cancelled, 0)
        await sending
        stream.abort()
        await server.close()

    async def test_keys_are_rotated_in_any_order(self) -> None:
        both = (f'{_OLD_KEY},{_NEW_KEY}', f'{_NEW_KEY},{_OLD_KEY}')
        steps = (_OLD_KEY, *both, _NEW_KEY)
        for ours, theirs in zip(steps, steps[1:], strict=False):
            with self.subTest(ours=ours[:1], theirs=theirs[:1]):
                await self._exchange(ours, theirs)
                await self._exchange(theirs, ours)

    async def test_wrong_keys_are_refused_at_both_ends(self) -> None:
        handled: list[MessageStream] = []

        async def handler(stream: MessageStream) -> None:
            handled.append(stream)

        server, address = await _serve(handler)
        for text in (_NEW_KEY, f'1:{"33" * 32}'):
            with self.assertRaises((WireError, PeerError)):
                await connect_stream(address, FleetKeys.parse(text), _WAIT_S)
        await server.close()
        self.assertEqual(handled, [])

    async def test_unreachable_or_unresponsive_peer_raises_peer_error(
        self,
    ) -> None:
        with self.assertRaises(PeerError):
            await connect_stream(free_address(), _KEYS, _WAIT_S)
        with socket.create_server(('127.0.0.1', 0)) as silent:
            address = Address(*silent.getsockname())
            with self.assertRaises(PeerError):
                await connect_stream(address, _KEYS, 0.1)

    async def test_altered_frame_ends_the_stream(self) -> None:
        ended = asyncio.Event()

        async def handler(stream: MessageStream) -> None:
            with self.assertRaises(WireError):
                await stream.receive()
            ended.set()

        server, address = await _serve(handler)
        stream = await connect_stream(address, _KEYS, _WAIT_S)
        stream._writer.write(b'\x00\x00\x00\x01'.ljust(21, b'x'))
        await asyncio.wait_for(ended.wait(), _WAIT_S)
        stream.abort()
        await server.close()

    async def test_connections_are_bounded(self) -> None:
        server, address = await _serve(_echo, max_connections=1)
        first = await connect_stream(address, _KEYS, _WAIT_S)
        with self.assertRaises(PeerError):
            await connect_stream(address, _KEYS, _WAIT_S)
        await first.close()
        async with asyncio.timeout(_WAIT_S):
            again = await _connect_with_retries(address)
        again.abort()
        await server.close()

    async def _exchange(self, ours: str, theirs: str) -> None:
        server, address = await _serve(_echo, FleetKeys.parse(theirs))
        stream = await connect_stream(address, FleetKeys.parse(ours), _WAIT_S)
        await stream.send(KeepAlive())
        self.assertEqual(await stream.receive(), KeepAlive())
        stream.abort()
        await server.close()


async def _connect_with_retries(address: Address) -> MessageStream:
    while True:
        try:
            return await connect_stream(address, _KEYS, _WAIT_S)
        except PeerError:
            await asyncio.sleep(0.01)


def _open(opener: FrameOpener, frame: bytes) -> bytes:
    header = FrameHeader.decode(frame[:FRAME_HEADER_BYTES])
    return opener.check(header, frame[FRAME_HEADER_BYTES:])
