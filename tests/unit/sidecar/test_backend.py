"""The HTTP/1.1 client for the backend server.

Guards against responses that reach another request on a reused connection,
and against truncated responses or requests with an unknown outcome that are
reported as complete or as not run.
"""

import asyncio
import itertools
import socket
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.backend import (
    BackendBrokenError,
    BackendClient,
    BackendRequest,
    BackendResponse,
    BackendUnreachableError,
    ShortAnswerError,
)

_LATE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'
_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_LARGE_BYTES = 3_000_000
_WAIT_S = 5

_Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class _Server:
    """Runs one script per connection, and the last one for all others."""

    def __init__(self, *scripts: _Script) -> None:
        self.connections = 0
        self.closed = asyncio.Event()
        self.errors: list[BaseException] = []
        self._scripts = scripts

    async def __aenter__(self) -> '_Server':
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = BackendClient(Address('127.0.0.1', port), 2)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self.client.close()
        self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        index = min(self.connections, len(self._scripts) - 1)
        self.connections += 1
        try:
            await self._scripts[index](reader, writer)
        except (OSError, EOFError) as exc:
            self.errors.append(exc)
        finally:
            self.closed.set()
            writer.close()


def _respond_with(*responses: bytes) -> _Script:
    """Respond to one request after another, then close."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for response in responses:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response)

    return script


async def _body(*chunks: bytes) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


def _get(
    *,
    method: bytes = b'GET',
    new_connection: bool = False,
) -> BackendRequest:
    return BackendRequest(method, b'/list', (), new_connection)


async def _read(response: BackendResponse) -> bytes:
    return b''.join([chunk async for chunk in response.chunks()])


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_is_reused_unless_a_new_one_is_required(
        self,
    ) -> None:
        async with _Server(_respond_with(_OK, _OK, _OK)) as server:
            for new_connection in (False, False, True):
                response = await server.client.exchange(
                    _get(new_connection=new_connection),
                    _body(),
                )
                self.assertEqual(await _read(response), b'ok')
            self.assertEqual(server.connections, 2)

    async def test_body_framing_and_hop_by_hop_headers(self) -> None:
        heads = []

        async def script(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            heads.append(await reader.readuntil(b'0\r\n\r\n'))
            writer.write(
                b'HTTP/1.1 103 Early Hints\r\n\r\n'
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
                b'Connection: x-private\r\nX-Private: 1\r\nX-Kept: 2\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
            )

        headers = (
            (b'te', b'trailers'),
            (b'connection', b'X-Mine'),
            (b'x-mine', b'1'),
            (b'x-kept', b'2'),
        )
        async with _Server(script) as server:
            response = await server.client.exchange(
                BackendRequest(b'POST', b'/edit', headers),
                _body(b'one', b'', b'two'),
            )
            self.assertEqual(response.headers, ((b'x-kept', b'2'),))
            self.assertEqual(await _read(response), b'abcde')
        head, _separator, body = heads[0].partition(b'\r\n\r\n')
        self.assertEqual(body, b'3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n')
        self.assertIn(b'x-kept: 2', head)
        self.assertNotIn(b'mine', head)
        self.assertNotIn(b'trailers', head)

    async def test_responses_without_body(self) -> None:
        bodiless = (
            (b'HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'),
            (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
            (b'GET', b'HTTP/1.1 304 Not Modified\r\n\r\n'),
        )
        async with _Server(
            _respond_with(*[raw for _, raw in bodiless])
        ) as server:
            for method, _raw in bodiless:
                response = await server.client.exchange(
                    _get(method=method),
                    _body(),
                )
                self.assertEqual(await _read(response), b'')
            self.assertEqual(server.connections, 1)

    async def test_response_arrives_during_the_upload(self) -> None:
        released = asyncio.Event()

        async def script(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'one')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab')
            await reader.readuntil(b'0\r\n\r\n')
            writer.write(b'cd')

        async def body() -> AsyncIterator[bytes]:
            yield b'one'
            await released.wait()
            yield b'two'

        async with _Server(script) as server:
            response = await server.client.exchange(
                BackendRequest(b'POST', b'/photo', ()),
                body(),
            )
            chunks = response.chunks()
            self.assertEqual(await anext(chunks), b'ab')
            released.set()
            self.assertEqual([chunk async for chunk in chunks], [b'cd'])

    async def test_early_refusal_is_read_despite_a_reset(self) -> None:
        async def script(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n',
            )

        async def body() -> AsyncIterator[bytes]:
            for size in itertools.repeat(65536, 100):
                yield bytes(size)
                await asyncio.sleep(0)

        async with _Server(script) as server:
            response = await server.client.exchange(
                BackendRequest(b'POST', b'/photo', ()),
                body(),
            )
            self.assertEqual(response.status, 413)
            self.assertEqual(await _read(response), b'')

    async def test_slow_reader_blocks_the_server(self) -> None:
        sent = 0

        async def script(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            nonlocal sent
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET,
                socket.SO_SNDBUF,
                65536,
            )
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {_LARGE_BYTES}\r\n\r\n'
            writer.write(head.encode())
            while sent < _LARGE_BYTES:
                writer.write(bytes(10_000))
                await writer.drain()
                sent += 10_000

        async with _Server(script) as server:
            response = await server.client.exchange(_get(), _body())
            chunks = response.chunks()
            await anext(chunks)
            before = -1
            while before < sent:
                before = sent
                await asyncio.sleep(0.05)
            self.assertLess(sent, _LARGE_BYTES)
            rest = sum([len(chunk) async for chunk in chunks])
            self.assertGreater(rest, _LARGE_BYTES // 2)


class FailureTest(unittest.IsolatedAsyncioTestCase):
    async def test_refused_connection_has_written_nothing(self) -> None:
        async with _Server(_respond_with()) as server:
            client = server.client
        with self.assertRaises(BackendUnreachableError) as caught:
            await client.exchange(_get(), _body())
        self.assertFalse(caught.exception.written)

    async def test_illegal_request_has_written_nothing(self) -> None:
        async with _Server(_respond_with(_OK)) as server:
            with self.assertRaises(BackendUnreachableError):
                await server.client.exchange(
                    BackendRequest(b'GET', b'/a b', ()),
                    _body(),
                )

    async def test_outcome_is_unknown_after_a_malformed_head(self) -> None:
        large = b'HTTP/1.1 200 OK\r\nX: '.ljust(100_000, b'x')
        responses = (b'', b'HTTP/1.1 200 OK\r\nConte', b'\x00\x01\r\n', large)
        for response in responses:
            with self.subTest(response=response[:30]):
                await self._expect_broken(response)

    async def test_truncated_body_is_reported(self) -> None:
        responses = (
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
        )
        for response in responses:
            with self.subTest(response=response):
                await self._expect_short(response)

    async def _expect_broken(self, raw: bytes) -> None:
        async with _Server(_respond_with(raw)) as server:
            with self.assertRaises(BackendBrokenError) as caught:
                await server.client.exchange(_get(), _body())
            self.assertTrue(caught.exception.written)

    async def _expect_short(self, raw: bytes) -> None:
        async with _Server(_respond_with(raw)) as server:
            response = await server.client.exchange(_get(), _body())
            with self.assertRaises(ShortAnswerError):
                await _read(response)

    async def test_failed_request_body_closes_the_connection(self) -> None:
        async def script(
            reader: asyncio.StreamReader,
            _writer: asyncio.StreamWriter,
        ) -> None:
            await reader.read(-1)

        async def body() -> AsyncIterator[bytes]:
            yield b'one'
            raise OSError('client reset its stream')

        async with _Server(script) as server:
            with self.assertRaises(BackendBrokenError):
                async with asyncio.timeout(_WAIT_S):
                    await server.client.exchange(
                        BackendRequest(b'POST', b'/photo', ()),
                        body(),
                    )
            await asyncio.wait_for(server.closed.wait(), _WAIT_S)

    async def test_body_longer_than_declared_is_refused(self) -> None:
        async with _Server(_respond_with(b'')) as server:
            with self.assertRaises(BackendBrokenError):
                await server.client.exchange(
                    BackendRequest(b'PUT', b'/', ((b'content-length', b'1'),)),
                    _body(b'two'),
                )


class AbandonedExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_late_response_reaches_no_other_request(self) -> None:
        request_received = asyncio.Event()

        async def late(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            request_received.set()
            # The end of input indicates that the request was abandoned.
            await reader.read(-1)
            writer.write(_LATE)

        async with _Server(late, _respond_with(_OK)) as server:
            first = asyncio.create_task(
                server.client.exchange(_get(), _body()),
            )
            await asyncio.wait_for(request_received.wait(), _WAIT_S)
            first.cancel()
            await asyncio.wait((first,))
            await asyncio.wait_for(server.closed.wait(), _WAIT_S)
            response = await server.client.exchange(_get(), _body())
            self.assertEqual(await _read(response), b'ok')

    async def test_connection_of_a_closed_response_is_not_reused(self) -> None:
        partial = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc'
        async with _Server(
            _respond_with(partial, _OK), _respond_with(_OK)
        ) as server:
            response = await server.client.exchange(_get(), _body())
            await response.close()
            await asyncio.wait_for(server.closed.wait(), _WAIT_S)
            response = await server.client.exchange(_get(), _body())
            self.assertEqual(await _read(response), b'ok')
            self.assertEqual(server.connections, 2)

    async def test_excess_response_reaches_no_other_request(self) -> None:
        doubled = b''.join((_OK, _LATE))
        for split in (0, 40):
            with self.subTest(split=split):
                await self._expect_separate(doubled[:split], doubled[split:])

    async def _expect_separate(self, early: bytes, late: bytes) -> None:
        async def script(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(early)
            await asyncio.sleep(0.05)
            writer.write(late)
            await reader.read(-1)

        async with _Server(script, _respond_with(_OK)) as server:
            response = await server.client.exchange(_get(), _body())
            self.assertEqual(await _read(response), b'ok')
            await asyncio.wait_for(server.closed.wait(), _WAIT_S)
            response = await server.client.exchange(_get(), _body())
            self.assertEqual(await _read(response), b'ok')

    async def test_connection_closed_while_idle_is_not_reused(self) -> None:
        async with _Server(_respond_with(_OK)) as server:
            for opened in (1, 2):
                response = await server.client.exchange(_get(), _body())
                self.assertEqual(await _read(response), b'ok')
                await asyncio.wait_for(server.closed.wait(), _WAIT_S)
                await asyncio.sleep(0.05)
                self.assertEqual(server.connections, opened)
