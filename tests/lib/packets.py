"""Packets that no client of ours would send, and a socket to send them."""

import socket

SHORT_HEADER = 0x40
PACKET_BYTES = 60


def short_packet(connection_id: bytes) -> bytes:
    """Return a packet of a running flow, with zeros as its content."""
    return bytes((SHORT_HEADER,)) + connection_id + bytes(PACKET_BYTES)


def open_socket(host: str) -> socket.socket:
    """Open a UDP socket that doesn't block, on a free port of a host."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.setblocking(False)
    sender.bind((host, 0))
    return sender
