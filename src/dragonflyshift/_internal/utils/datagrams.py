"""A plain UDP socket on the event loop that reads in batches."""

__all__ = ('PairSocket',)

import asyncio
import logging
import socket
from collections.abc import Callable

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 65535
READ_BATCH = 64

PairReceiver = Callable[[bytes, tuple[str, int]], None]


class PairSocket:
    """A bound UDP socket that hands each datagram to a callback.

    Addresses are the pairs that sockets take. Unlike ``DatagramSocket`` it
    doesn't hear of ICMP errors.
    """

    def __init__(self, sock: socket.socket, receiver: PairReceiver) -> None:
        """Start reading a bound socket on the running loop."""
        self._sock = sock
        self._receiver = receiver
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read_batch)
        self.dropped = 0

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; what can't be sent at once is dropped."""
        try:
            self._sock.sendto(datagram, address)
        except OSError:
            # A network drops datagrams too; the senders repeat them.
            self.dropped += 1

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _read_batch(self) -> None:
        for _ in range(READ_BATCH):
            try:
                datagram, pair = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # Nothing left, or an error of an earlier send.
                return
            try:
                self._receiver(datagram, pair)
            except Exception:
                # One bad datagram must not stop the socket.
                logger.exception('datagram-failed')
