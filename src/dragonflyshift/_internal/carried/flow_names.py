"""Names of flows in logs, by the addresses of their two ends."""

__all__ = ('flow_name',)

import socket

from dragonflyshift._internal.carried.packet import FlowKey


def flow_name(key: FlowKey) -> str:
    """Format a flow key as ``client:port>service:port``."""
    client = socket.inet_ntoa(key[:4])
    client_port = int.from_bytes(key[4:6], 'big')
    service = socket.inet_ntoa(key[6:10])
    service_port = int.from_bytes(key[10:12], 'big')
    return f'{client}:{client_port}>{service}:{service_port}'
