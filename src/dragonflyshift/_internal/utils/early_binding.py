"""Binding UDP sockets before the rest of a daemon is loaded.

What comes in during the start waits in the sockets' buffers instead of being
lost. For that reason this module imports next to nothing.
"""

__all__ = ('BoundSockets',)

import socket
import time
from collections.abc import Iterable

from dragonflyshift._internal.exceptions import SettingsError

RECEIVE_BUFFER_BYTES = 4 << 20

_Pair = tuple[str, int]


class BoundSockets:
    """Bound UDP sockets by address, each to be taken once."""

    def __init__(self, addresses: Iterable[_Pair] = ()) -> None:
        """Bind at all addresses; raise SettingsError if one is taken."""
        self._bound_at = time.monotonic()
        self._sockets = {address: _bind(address) for address in addresses}

    def age_s(self) -> float:
        """Return the time since the sockets were bound."""
        return time.monotonic() - self._bound_at

    def take(self, address: _Pair) -> socket.socket:
        """Return the socket at an address, bound now if it wasn't before."""
        return self._sockets.pop(address, None) or _bind(address)


def _bind(address: _Pair) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        RECEIVE_BUFFER_BYTES,
    )
    try:
        sock.bind(address)
    except OSError as exc:
        sock.close()
        raise SettingsError(
            f'can not bind {address}: {exc.strerror}',
            hint='check the address and that no other process has it',
        ) from exc
    return sock
