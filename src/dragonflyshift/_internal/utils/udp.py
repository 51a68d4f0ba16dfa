"""A UDP socket on the event loop that reads in batches.

It also receives ICMP errors (IP_RECVERR on Linux), and so reports the
destination of a datagram that was sent to an unbound port.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Self

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models import Address

logger = logging.getLogger(__name__)

DatagramHandler = Callable[[bytes, Address], None]
RefusalHandler = Callable[[Address], None]

MAX_DATAGRAM_BYTES = 65535
READ_BATCH = 32
RECEIVE_BUFFER_BYTES = 4 << 20
_IP_RECVERR = 11
_MSG_ERRQUEUE = 0x2000
_CONTROL_BYTES = 512


def _ignore_refusal(_address: Address) -> None:
    """Ignore a refused datagram."""


class DatagramSocket:
    """A bound UDP socket that passes each datagram to a callback.

    ``on_refused`` is called with the destination of each datagram for which
    an ICMP error was received. ``dropped`` counts failed sends.
    """

    def __init__(
        self,
        sock: socket.socket,
        handler: DatagramHandler,
        on_refused: RefusalHandler = _ignore_refusal,
    ) -> None:
        """Start reading ``sock`` on the running loop."""
        self._sock = sock
        self._handler = handler
        self._on_refused = on_refused
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read_batch)
        self.dropped = 0

    @classmethod
    def bind(
        cls,
        address: Address,
        handler: DatagramHandler,
        on_refused: RefusalHandler = _ignore_refusal,
    ) -> Self:
        """Bind a socket; raise SettingsError if that fails."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        try:
            sock.bind(address.pair)
        except OSError as exc:
            sock.close()
            raise SettingsError(
                f'cannot bind {address}: {exc.strerror}',
                hint='check the address, and that no other process uses it',
            ) from exc
        return cls(sock, handler, on_refused)

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram, or count it as dropped if that fails.

        After an error other than a full send buffer, one retry is made.
        """
        try:
            self._sock.sendto(datagram, address.pair)
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # The kernel reports a pending ICMP error on the next call: read
            # the error queue, then retry the send once.
            self._read_errors()
            self._retry_send(datagram, address)

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _retry_send(self, datagram: bytes, address: Address) -> None:
        try:
            self._sock.sendto(datagram, address.pair)
        except OSError:
            self.dropped += 1

    def _read_batch(self) -> None:
        for _ in range(READ_BATCH):
            try:
                datagram, pair = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                # An entry in the error queue also makes the socket readable.
                self._read_errors()
                return
            except OSError:
                self._read_errors()
                continue
            self._deliver(datagram, pair)

    def _deliver(self, datagram: bytes, pair: tuple[str, int]) -> None:
        if pair[1] == 0:
            return
        try:
            self._handler(datagram, Address.from_pair(pair))
        except Exception:
            # A datagram that can't be handled must not stop the socket.
            logger.exception('datagram-failed')

    def _read_errors(self) -> None:
        for _ in range(READ_BATCH):
            try:
                _data, _control, _flags, pair = self._sock.recvmsg(
                    MAX_DATAGRAM_BYTES,
                    _CONTROL_BYTES,
                    _MSG_ERRQUEUE,
                )
            except OSError:
                return
            if pair and pair[1]:
                self._on_refused(Address(*pair[:2]))
