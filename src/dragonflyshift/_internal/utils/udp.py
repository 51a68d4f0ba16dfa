"""A UDP socket on the event loop that reads in batches.

It also hears of ICMP errors (Linux's IP_RECVERR), so that a datagram to a
port where nobody listens is reported with its destination.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Self

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models import Address

logger = logging.getLogger(__name__)

Receiver = Callable[[bytes, Address], None]
Refused = Callable[[Address], None]

MAX_DATAGRAM_BYTES = 65535
READ_BATCH = 32
RECEIVE_BUFFER_BYTES = 4 << 20
_IP_RECVERR = 11
_MSG_ERRQUEUE = 0x2000
_CONTROL_BYTES = 512


def _ignore(_address: Address) -> None:
    """Take no note of a refusal."""


class DatagramSocket:
    """A bound UDP socket that hands each datagram to a callback."""

    def __init__(
        self,
        sock: socket.socket,
        receiver: Receiver,
        refused: Refused = _ignore,
    ) -> None:
        """Start reading ``sock`` on the running loop."""
        self._sock = sock
        self._receiver = receiver
        self._refused = refused
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read_batch)
        self.dropped = 0

    @classmethod
    def bind(
        cls,
        address: Address,
        receiver: Receiver,
        refused: Refused = _ignore,
    ) -> Self:
        """Bind a socket; raise SettingsError when the address is taken."""
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
                f'can not bind {address}: {exc.strerror}',
                hint='check the address and that no other process has it',
            ) from exc
        return cls(sock, receiver, refused)

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; a full buffer drops it, as a network would."""
        try:
            self._sock.sendto(datagram, address.pair)
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # A pending ICMP error is reported on the next call: read it,
            # then send once more.
            self._read_errors()
            self._send_again(datagram, address)

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _send_again(self, datagram: bytes, address: Address) -> None:
        try:
            self._sock.sendto(datagram, address.pair)
        except OSError:
            self.dropped += 1

    def _read_batch(self) -> None:
        for _ in range(READ_BATCH):
            try:
                datagram, pair = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                # Also the error queue wakes the reader.
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
            self._receiver(datagram, Address.from_pair(pair))
        except Exception:
            # One bad datagram must not stop the socket.
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
                self._refused(Address(*pair[:2]))
