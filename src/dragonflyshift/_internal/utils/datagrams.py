"""A UDP socket on the event loop that reads in batches."""

__all__ = ('PlainUdpSocket',)

import asyncio
import logging
import socket
from collections.abc import Callable

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 65535
READ_BATCH = 64

DatagramHandler = Callable[[bytes, tuple[str, int]], None]


class PlainUdpSocket:
    """A bound UDP socket that passes each datagram to a callback.

    Addresses are (host, port) tuples. Unlike ``DatagramSocket``, it doesn't
    report ICMP errors.
    """

    def __init__(
        self,
        sock: socket.socket,
        handler: DatagramHandler,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        """Start reading a bound, non-blocking socket on the running loop.

        ``on_failure()`` is called after an exception of the handler.
        """
        self._sock = sock
        self._handler = handler
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read_batch)
        self.dropped = 0

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or count it as dropped if the send fails."""
        try:
            self._sock.sendto(datagram, address)
        except OSError:
            # Senders retransmit, as the network may drop datagrams as well.
            self.dropped += 1

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _read_batch(self) -> None:
        for _ in range(READ_BATCH):
            try:
                datagram, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram is left, or an earlier send failed.
                return
            try:
                self._handler(datagram, sender)
            except Exception:
                # A datagram that can't be handled must not stop the socket.
                logger.exception('datagram-failed')
                if self._on_failure is not None:
                    self._on_failure()
