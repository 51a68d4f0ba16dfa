"""The QUIC configuration of a sidecar: certificate, limits, timeouts."""

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from cryptography import x509
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.sidecar.quic import (
    FLOW_WINDOW_BYTES,
    STREAM_WINDOW_BYTES,
)
from dragonflyshift._internal.wire import CONNECTION_ID_BYTES

# With the header that a balancer adds, a packet fits an MTU of 1,500 bytes.
MAX_PACKET_BYTES = 1200


def quic_configuration(settings: Settings) -> QuicConfiguration:
    """Build the configuration; raise SettingsError on a bad certificate."""
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_BYTES,
        idle_timeout=settings.idle_timeout,
        max_datagram_size=MAX_PACKET_BYTES,
        max_data=FLOW_WINDOW_BYTES,
        max_stream_data=STREAM_WINDOW_BYTES,
    )
    try:
        chain = x509.load_pem_x509_certificates(settings.certificate.encode())
        private_key = load_pem_private_key(
            settings.private_key.encode(),
            password=None,
        )
    except ValueError as exc:
        raise SettingsError(
            'the certificate or its private key is not valid PEM',
            hint='check --certificate and --private-key',
        ) from exc
    configuration.certificate = chain[0]
    configuration.certificate_chain = chain[1:]
    configuration.private_key = private_key
    return configuration
