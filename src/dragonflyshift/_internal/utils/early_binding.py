"""Binding UDP sockets before the rest of a daemon is imported.

Datagrams that arrive during startup are queued in the sockets' receive buffers
instead of being lost. This module therefore imports as little as possible.
"""

__all__ = ('BoundSockets',)

import socket
import time
from collections.abc import Iterable

from dragonflyshift._internal.exceptions import SettingsError

RECEIVE_BUFFER_BYTES = 4 << 20

_HostPort = tuple[str, int]


class BoundSockets:
    """Bound UDP sockets by address; each can be taken once."""

    def __init__(self, addresses: Iterable[_HostPort] = ()) -> None:
        """Bind all addresses; raise SettingsError if one can't be bound."""
        self._bound_at = time.monotonic()
        self._sockets = {address: _bind(address) for address in addresses}

    def age_s(self) -> float:
        """Return the seconds since the sockets were bound."""
        return time.monotonic() - self._bound_at

    def take(self, address: _HostPort) -> socket.socket:
        """Return the socket of an address, which is bound now if necessary.

        Raises SettingsError if the address can't be bound.
        """
        return self._sockets.pop(address, None) or _bind(address)


def _bind(address: _HostPort) -> socket.socket:
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
            f'cannot bind {address}: {exc.strerror}',
            hint='check the address, and that no other process uses it',
        ) from exc
    return sock
