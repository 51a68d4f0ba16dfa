"""The adapter to aioquic, on a pair of connections without sockets.

Guards against changes of the private members of aioquic that the adapter
uses: connection ids, reset tokens, flow control and undelivered responses.
"""

import unittest
from collections.abc import Callable

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import StreamDataReceived
from cryptography import x509
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.quic import (
    STREAM_WINDOW_BYTES,
    ServerConnection,
)
from dragonflyshift._internal.wire import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    FleetKeys,
)
from tests.lib import certificates
from tests.lib.builders import FLEET_KEYS_TEXT

CLIENT = ('127.0.0.1', 1)
SERVER = ('127.0.0.1', 2)
ROUNDS = 400
STEP_SECONDS = 0.05
BODY_BYTES = 4 * STREAM_WINDOW_BYTES
TAG = 7
BOOT = 99
SILENT_SECONDS = 60
AMPLIFICATION_LIMIT = 3


class ConnectionPair:
    """A client and a server connection; ``exchange`` moves the packets."""

    def __init__(self, client_idle_timeout: float = 60) -> None:
        issued = certificates.issue()
        self.codec = ConnectionIdCodec(FleetKeys.parse(FLEET_KEYS_TEXT))
        self.identity = SidecarIdentity(Address(*SERVER), TAG, BOOT, self.codec)
        settings = QuicConfiguration(
            is_client=False,
            alpn_protocols=['h3'],
            connection_id_length=CONNECTION_ID_BYTES,
            max_stream_data=STREAM_WINDOW_BYTES,
        )
        pem = issued.certificate.encode()
        settings.certificate = x509.load_pem_x509_certificate(pem)
        settings.private_key = load_pem_private_key(
            issued.private_key.encode(),
            None,
        )
        self.client = QuicConnection(
            configuration=QuicConfiguration(
                alpn_protocols=['h3'],
                cadata=issued.ca.encode(),
                server_name=certificates.SERVER_NAME,
                idle_timeout=client_idle_timeout,
            ),
        )
        self.client.connect(SERVER, now=0)
        self.server = ServerConnection(
            settings,
            self.client.original_destination_connection_id,
            self.identity.new_id,
            self.codec.reset_token,
        )
        self.now = float(0)
        self.received = 0

    def exchange(self, read: Callable[[int, int], None] | None = None) -> None:
        """Exchange packets until neither end sends, at most ``ROUNDS``."""
        for _ in range(ROUNDS):
            self.now += STEP_SECONDS
            sent_by_client = self.client.datagrams_to_send(self.now)
            for sent in sent_by_client:
                self.server.receive_datagram(sent[0], CLIENT, self.now)
            self._process_events(read)
            sent_by_server = self.server.datagrams_to_send(self.now)
            for datagram in sent_by_server:
                self.client.receive_datagram(datagram[0], SERVER, self.now)
            if not sent_by_client and not sent_by_server:
                return

    def _process_events(self, read: Callable[[int, int], None] | None) -> None:
        event = self.server.next_event()
        while event is not None:
            if isinstance(event, StreamDataReceived):
                size = len(event.data)
                self.received += size
                self.server.note_unread(event.stream_id, size)
                if read is not None:
                    read(event.stream_id, size)
            event = self.server.next_event()


class SlowClientTest(unittest.TestCase):
    def test_response_is_undelivered_until_it_is_acknowledged(self):
        """A stopping sidecar must not close the flow before that."""
        pair = ConnectionPair()
        pair.exchange()
        stream_id = pair.client.get_next_available_stream_id()
        pair.client.send_stream_data(stream_id, b'GET', end_stream=True)
        pair.exchange()
        self.assertEqual(pair.server.count_undelivered_streams(), 0)
        pair.server.send_stream_data(stream_id, bytes(200_000), end_stream=True)
        # The client is slow: the packets don't reach it.
        pair.server.datagrams_to_send(pair.now)
        self.assertEqual(pair.server.count_undelivered_streams(), 1)
        pair.server.handle_timer(pair.now + 1)
        pair.now += 1
        pair.exchange()
        self.assertEqual(pair.server.count_undelivered_streams(), 0)


class IdleTimeoutTest(unittest.TestCase):
    def test_shorter_timeout_of_both_ends_applies(self):
        """Pings that follow the sidecar's own timeout come too late."""
        for client_s, expected_s in ((1.5, 1.5), (500, 60), (0, 60)):
            with self.subTest(client_s=client_s):
                pair = ConnectionPair(client_idle_timeout=client_s)
                pair.exchange()
                self.assertEqual(pair.server.idle_timeout, expected_s)


class SpoofedClientTest(unittest.TestCase):
    def test_amplification_to_a_silent_client_is_limited(self):
        pair = ConnectionPair()
        received = 0
        for datagram, _server in pair.client.datagrams_to_send(0):
            received += len(datagram)
            pair.server.receive_datagram(datagram, CLIENT, 0)
        sent_datagrams: list[bytes] = []
        now = 0
        while now < SILENT_SECONDS:
            now += 1
            pair.server.handle_timer(now)
            for packet in pair.server.datagrams_to_send(now):
                sent_datagrams.append(packet[0])
        sent = len(b''.join(sent_datagrams))
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, AMPLIFICATION_LIMIT * received)


class IssuedConnectionTest(unittest.TestCase):
    def setUp(self):
        self.pair = ConnectionPair()
        self.pair.exchange()

    def test_all_connection_ids_identify_the_sidecar(self):
        ids = self.pair.server.issued_ids
        self.assertGreater(len(ids), 1)
        for cid in ids:
            issued = self.pair.codec.decode(cid)
            self.assertEqual(issued.address, Address(*SERVER))
            self.assertEqual((issued.tag, issued.boot), (TAG, BOOT))

    def test_client_has_the_ids_and_their_reset_tokens(self):
        tokens = {
            cid: self.pair.codec.reset_token(cid)
            for cid in self.pair.server.issued_ids
        }
        held = [
            self.pair.client._peer_cid,
            *self.pair.client._peer_cid_available,
        ]
        for item in held:
            self.assertEqual(item.stateless_reset_token, tokens[item.cid])

    def test_unread_body_blocks_the_client(self):
        client = self.pair.client
        stream_id = client.get_next_available_stream_id()
        client.send_stream_data(stream_id, bytes(BODY_BYTES), end_stream=True)
        self.pair.exchange()
        self.assertLessEqual(self.pair.received, STREAM_WINDOW_BYTES)

    def test_body_that_is_read_arrives_completely(self):
        client = self.pair.client
        server = self.pair.server
        stream_id = client.get_next_available_stream_id()
        client.send_stream_data(stream_id, bytes(BODY_BYTES), end_stream=True)
        self.pair.exchange(lambda sid, size: server.note_unread(sid, -size))
        self.assertEqual(self.pair.received, BODY_BYTES)


if __name__ == '__main__':
    unittest.main()
