"""The adapter to aioquic, on a pair of connections without sockets."""

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
    IssuedConnection,
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


class Pair:
    """A client and a server whose packets are carried by hand."""

    def __init__(self) -> None:
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
            ),
        )
        self.client.connect(SERVER, now=0)
        self.server = IssuedConnection(
            settings,
            self.client.original_destination_connection_id,
            self.identity.new_id,
            self.codec.reset_token,
        )
        self.now = float(0)
        self.received = 0

    def carry(self, read: Callable[[int, int], None] | None = None) -> None:
        """Carry packets until both ends are quiet, or for long enough."""
        for _ in range(ROUNDS):
            self.now += STEP_SECONDS
            out = self.client.datagrams_to_send(self.now)
            for sent in out:
                self.server.receive_datagram(sent[0], CLIENT, self.now)
            self._take_events(read)
            back = self.server.datagrams_to_send(self.now)
            for answer in back:
                self.client.receive_datagram(answer[0], SERVER, self.now)
            if not out and not back:
                return

    def _take_events(self, read: Callable[[int, int], None] | None) -> None:
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
    def test_answer_is_undelivered_until_it_is_acknowledged(self):
        """A sidecar that stops must not close the flow before."""
        pair = Pair()
        pair.carry()
        stream_id = pair.client.get_next_available_stream_id()
        pair.client.send_stream_data(stream_id, b'GET', end_stream=True)
        pair.carry()
        self.assertEqual(pair.server.undelivered(), 0)
        pair.server.send_stream_data(stream_id, bytes(200_000), end_stream=True)
        # The client is slow: what is sent doesn't reach it.
        pair.server.datagrams_to_send(pair.now)
        self.assertEqual(pair.server.undelivered(), 1)
        pair.server.handle_timer(pair.now + 1)
        pair.now += 1
        pair.carry()
        self.assertEqual(pair.server.undelivered(), 0)


class SpoofedClientTest(unittest.TestCase):
    def test_little_is_sent_to_a_client_that_never_answers(self):
        pair = Pair()
        received = 0
        for datagram, _server in pair.client.datagrams_to_send(0):
            received += len(datagram)
            pair.server.receive_datagram(datagram, CLIENT, 0)
        answers: list[bytes] = []
        now = 0
        while now < SILENT_SECONDS:
            now += 1
            pair.server.handle_timer(now)
            for answer in pair.server.datagrams_to_send(now):
                answers.append(answer[0])
        sent = len(b''.join(answers))
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, AMPLIFICATION_LIMIT * received)


class IssuedConnectionTest(unittest.TestCase):
    def setUp(self):
        self.pair = Pair()
        self.pair.carry()

    def test_every_id_in_use_names_the_sidecar(self):
        ids = self.pair.server.issued_ids
        self.assertGreater(len(ids), 1)
        for cid in ids:
            issued = self.pair.codec.decode(cid)
            self.assertEqual(issued.address, Address(*SERVER))
            self.assertEqual((issued.tag, issued.boot), (TAG, BOOT))

    def test_client_holds_the_ids_and_their_reset_tokens(self):
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

    def test_unread_body_holds_the_client_back(self):
        client = self.pair.client
        stream_id = client.get_next_available_stream_id()
        client.send_stream_data(stream_id, bytes(BODY_BYTES), end_stream=True)
        self.pair.carry()
        self.assertLessEqual(self.pair.received, STREAM_WINDOW_BYTES)

    def test_body_that_is_read_arrives_whole(self):
        client = self.pair.client
        server = self.pair.server
        stream_id = client.get_next_available_stream_id()
        client.send_stream_data(stream_id, bytes(BODY_BYTES), end_stream=True)
        self.pair.carry(lambda sid, size: server.note_unread(sid, -size))
        self.assertEqual(self.pair.received, BODY_BYTES)


if __name__ == '__main__':
    unittest.main()
