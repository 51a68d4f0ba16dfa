"""Tests of the stand-ins against each other, without any daemon between them.

They guard against faults of the stand-ins, which the functional tests would
report as faults of the daemons.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

import httpx
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import QuicServer, serve
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration

from tests.lib import answers, certificates, processes
from tests.lib.control import ControlClient
from tests.lib.h3 import H3Client
from tests.lib.network import Network
from tests.lib.waiting import eventually

PORT = 18443
BODY = b'x' * 200_000


class _Server(QuicConnectionProtocol):
    """HTTP/3 server that answers every request with a long body."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.http = H3Connection(self._quic)

    def quic_event_received(self, event):
        for each in self.http.handle_event(event):
            ended = getattr(each, 'stream_ended', False)
            if isinstance(each, (HeadersReceived, DataReceived)) and ended:
                fields = [
                    (b':status', b'200'),
                    (b'content-length', str(len(BODY)).encode()),
                ]
                self.http.send_headers(each.stream_id, fields)
                self.http.send_data(each.stream_id, BODY, end_stream=True)
                self.transmit()


async def _quic_server(issued, host) -> QuicServer:
    cfg = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
    with tempfile.TemporaryDirectory() as folder:
        chain = Path(folder, 'chain.pem')
        key = Path(folder, 'key.pem')
        await asyncio.to_thread(chain.write_text, issued.certificate)
        await asyncio.to_thread(key.write_text, issued.private_key)
        cfg.load_cert_chain(chain, key)
    return await serve(
        host,
        PORT,
        configuration=cfg,
        create_protocol=_Server,
    )


class StandinTest(unittest.IsolatedAsyncioTestCase):
    """Starts stand-ins in a separate loopback network."""

    async def start(self, name, *args):
        child = await processes.start(name, f'tests.lib.{name}', args)
        self.addAsyncCleanup(child.stop)
        await child.wait_ready()

    def setUp(self):
        self.network = Network.claim()
        self.addCleanup(self.network.release)
        self.address = self.network.address(1, PORT)
        self.host = self.address.host

    def open_control(self):
        self.control = ControlClient(str(self.address))
        self.addAsyncCleanup(self.control.aclose)
        self.http = httpx.AsyncClient(
            base_url=f'http://{self.address}',
            trust_env=False,
        )
        self.addAsyncCleanup(self.http.aclose)


class FabricTest(StandinTest):
    """Connects a client through the fabric to a plain HTTP/3 server.

    A fabric without faults, or a client that misses a lost connection, would
    let the functional tests pass or hang for the wrong reason.
    """

    async def asyncSetUp(self):
        self.balancer = self.network.host(2)
        self.issued = certificates.issue()
        self.server = await _quic_server(self.issued, self.balancer)
        self.addCleanup(self.server.close)
        await self.start(
            'fabric',
            f'--service={self.address}',
            f'--balancer={self.balancer}',
            f'--control={self.address}',
        )
        self.open_control()

    async def connect(self, **options) -> H3Client:
        client = await H3Client.connect(
            self.address,
            self.issued.ca,
            certificates.SERVER_NAME,
            local_host=self.host,
            **options,
        )
        self.addAsyncCleanup(client.aclose)
        return client

    async def test_answer_is_complete_despite_faults(self):
        faults = {'loss': 0.02, 'duplicate': 0.02, 'reorder': 0.02}
        await self.control.put('/control/faults', faults)
        client = await self.connect()
        answer = await client.request('GET', '/lists/1')
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, BODY)
        counts = await self.control.get('/control/counts')
        self.assertGreater(counts['to_balancer'][self.balancer], 3)
        self.assertGreater(counts['dropped'], 0)

    async def test_cut_client_ends_by_idle_timeout(self):
        client = await self.connect(idle_timeout=1.0)
        faults = {'cut_clients': [client.local_address]}
        await self.control.put('/control/faults', faults)
        answer = await client.request('GET', '/lists/1', timeout=5)
        self.assertTrue(answer.flow_broken)
        self.assertTrue((await self.connect()).local_address)

    async def test_stateless_reset_ends_the_flow(self):
        client = await self.connect()
        stream = client.open('GET', '/lists/1')
        token = client._quic._peer_cid.stateless_reset_token
        self.assertEqual(len(token), 16)
        reset = b''.join((b'\x40', bytes(30), token))
        client._protocol.datagram_received(reset, None)
        answer = await stream.read_response(1)
        self.assertEqual(answer.failure, 'stateless-reset')
        self.assertEqual(await client.wait_lost(), 'stateless-reset')


class PlatformTest(StandinTest):
    """Checks reads, watches and modes of the platform.

    A mode without effect would let the tests of stale or unavailable
    configuration pass for the wrong reason.
    """

    async def asyncSetUp(self):
        await self.start(
            'platform',
            f'--listen={self.address}',
            '--lag=0.05',
        )
        self.open_control()

    async def test_watch_returns_a_change_or_status_304(self):
        await self.control.put('/control/keys/a/b', 1)
        first = await self.http.get('/v1/keys/a/b')
        self.assertEqual(first.json(), 1)
        known = {'if-none-match': first.headers['etag']}
        same = await self.http.get('/v1/keys/a/b?wait=0.1', headers=known)
        self.assertEqual(same.status_code, 304)
        watch = asyncio.create_task(
            self.http.get('/v1/keys/a/b?wait=5', headers=known),
        )
        await self.control.put('/control/keys/a/b', 2)
        self.assertEqual((await watch).json(), 2)
        missing = await self.http.get('/v1/keys/none')
        self.assertEqual(missing.status_code, 404)

    async def test_modes_size_limit_and_lag(self):
        await self.control.put('/control/keys/a', 1)
        await self.control.put('/control/mode', 'stale')
        await self.control.put('/control/keys/a', 2)
        self.assertEqual((await self.http.get('/v1/keys/a')).json(), 1)
        await self.control.put('/control/mode', 'up')
        self.assertEqual((await self.http.get('/v1/keys/a')).json(), 2)
        await self.control.put('/control/mode', 'older')
        self.assertEqual((await self.http.get('/v1/keys/a')).json(), 1)
        await self.control.put('/control/mode', 'down')
        self.assertEqual((await self.http.get('/v1/keys/a')).status_code, 503)
        await self.control.put('/control/mode', 'up')
        with self.assertRaises(httpx.HTTPStatusError):
            big = b'x' * (1024 * 1024 + 1)
            await self.control.put_bytes('/control/keys/a', big)
        await self.control.put('/control/instances/lists', {'instances': []})
        early = await self.http.get('/v1/keys/instances/lists')
        self.assertEqual(early.status_code, 404)
        late = await self.http.get(
            '/v1/keys/instances/lists?wait=2',
            headers={'if-none-match': '"none"'},
        )
        self.assertEqual(late.json(), {'instances': []})


class BackendTest(StandinTest):
    """Checks responses, faults and journal of the backend server.

    The functional tests compare the journal with what clients received, so a
    wrong entry would hide or invent a violated guarantee.
    """

    async def asyncSetUp(self):
        await self.start(
            'backend',
            f'--listen={self.address}',
            '--service=lists',
            '--instance=lists-1',
            '--slots=1',
        )
        self.open_control()

    async def states(self) -> list[str]:
        journal = await self.control.get('/control/journal')
        return [entry['state'] for entry in journal]

    async def is_busy(self) -> bool:
        return (await self.control.get('/control/load'))['running'] == 1

    async def test_each_kind_of_request(self):
        listed = await self.http.get('/lists/4')
        self.assertEqual(listed.content, answers.list_body('lists', '4'))
        export = await self.http.get('/exports/40000')
        self.assertEqual(export.content, answers.export_part(0, 40_000))
        photo = await self.http.put('/photos/1', content=BODY)
        self.assertEqual(photo.content, answers.save_answer(BODY))
        board = await self.http.get('/boards/0.4')
        lines = answers.board_line(0) + answers.board_line(1)
        self.assertEqual(board.content, lines)
        self.assertEqual(await self.states(), ['done', 'done', 'done', 'done'])

    async def test_faults_and_cancelled_requests(self):
        await self.control.put('/control/behavior', {'delay': 5})
        with self.assertRaises(httpx.ReadTimeout):
            await self.http.post('/tickets', content=b'1', timeout=0.1)
        busy = asyncio.create_task(
            self.http.get('/lists/1', headers={'x-request-timeout-ms': '300'}),
        )
        await eventually(self.is_busy)
        self.assertEqual((await self.http.get('/lists/2')).status_code, 503)
        self.assertEqual((await busy).status_code, 504)
        changes = {'cut': True, 'delay': 0}
        await self.control.put('/control/behavior', changes)
        with self.assertRaises(httpx.RemoteProtocolError):
            await self.http.get('/lists/1')
        states = await self.states()
        self.assertEqual(states, ['abandoned', 'expired', 'cut'])


if __name__ == '__main__':
    unittest.main()
