"""Ports for the daemons and stand-ins of a test."""

__all__ = ('find_free_port',)

import random
import socket

_FIRST_PORT = 10_000
# The kernel gives out ports above this one to sockets that name none, such as
# those of other tests that run at the same time.
_LAST_PORT = 32_000
_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


def find_free_port() -> int:
    """Return a port that no socket of any loopback address uses.

    It is free for TCP and for UDP, and the kernel gives it to no other socket
    in the meantime.
    """
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if all(_is_free(kind, port) for kind in _KINDS):
            return port


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            # On all addresses, as a socket of any of them is in the way.
            sock.bind(('', port))
        except OSError:
            return False
    return True
