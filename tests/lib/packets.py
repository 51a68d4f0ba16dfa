"""Hand-made QUIC packets, and UDP sockets to send them."""

import socket

SHORT_HEADER = 0x40
PACKET_BYTES = 60


def short_packet(connection_id: bytes) -> bytes:
    """Return a short header packet with zeros as its payload."""
    return bytes((SHORT_HEADER,)) + connection_id + bytes(PACKET_BYTES)


def open_socket(host: str) -> socket.socket:
    """Open a non-blocking UDP socket on a free port of a host."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.setblocking(False)
    sender.bind((host, 0))
    return sender
