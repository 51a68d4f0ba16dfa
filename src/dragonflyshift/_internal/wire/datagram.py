"""Authenticated datagrams between daemons.

Layout: key id (1 byte), kind (1), sender (8, random at each start), counter
(8, big-endian), message authentication code (MAC: 16, keyed BLAKE2b), body.
The counter and a sliding window per sender serve to reject replayed
datagrams.
"""

import enum
import hashlib
import os
import struct
from collections import OrderedDict

from attrs import define, frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.keys import FleetKeys, macs_match

MAC_BYTES = 16
SENDER_BYTES = 8
# A datagram whose counter is this far below the highest of its sender is
# rejected.
WINDOW_PACKETS = 4096
# Senders whose window is kept; the window created first is evicted.
MAX_SENDERS = 8192
_HEAD = struct.Struct('!BB8sQ')
_PURPOSE = b'datagram'
HEADER_BYTES = _HEAD.size + MAC_BYTES


class DatagramKind(enum.IntEnum):
    """The type of a datagram's body."""

    FORWARD = 1
    REPLY = 2
    RELAY = 3
    PROBE = 4
    ACK = 5
    PROBE_VIA = 6
    OFFER = 7
    BALANCERS = 8


@frozen
class VerifiedDatagram:
    """A datagram that passed the authentication and replay checks."""

    kind: DatagramKind
    sender: bytes
    body: bytes


@define
class _ReplayWindow:
    """The counters recently received from one sender.

    Bit ``n`` of ``seen_bits`` is set if ``highest - n`` was received.
    """

    highest: int = 0
    seen_bits: int = 0

    def accept(self, counter: int) -> bool:
        """Record a counter; return False if it is a repeat or too old."""
        ahead = counter - self.highest
        if ahead > 0:
            mask = (1 << WINDOW_PACKETS) - 1
            shifted = self.seen_bits << min(ahead, WINDOW_PACKETS)
            self.seen_bits = (shifted | 1) & mask
            self.highest = counter
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_PACKETS or self.seen_bits & bit:
            return False
        self.seen_bits |= bit
        return True


class DatagramCodec:
    """Authenticate and verify datagrams with the fleet keys.

    Example:
        >>> keys = FleetKeys.parse('1:' + '00' * 32)
        >>> sealed = DatagramCodec(keys).seal(DatagramKind.PROBE, b'body')
        >>> DatagramCodec(keys).open(sealed).body
        b'body'
    """

    def __init__(self, keys: FleetKeys) -> None:
        """Choose a random sender id.

        A restarted process counts from 1 again. Its new id prevents peers from
        rejecting its datagrams as replayed.
        """
        self.sender = os.urandom(SENDER_BYTES)
        self._counter = 0
        # Copying a keyed hash is cheaper than keying a new one per datagram.
        self._keyed_hashes = {
            key.key_id: hashlib.blake2b(
                digest_size=MAC_BYTES,
                key=key.derive(_PURPOSE),
            )
            for key in keys.keys
        }
        self._key_id = keys.current.key_id
        self._windows: OrderedDict[bytes, _ReplayWindow] = OrderedDict()

    def seal(self, kind: DatagramKind, body: bytes) -> bytes:
        """Return an authenticated datagram with this kind and body."""
        self._counter += 1
        head = _HEAD.pack(self._key_id, kind, self.sender, self._counter)
        mac = _compute_mac(self._keyed_hashes[self._key_id], head, body)
        return b''.join((head, mac, body))

    def open(self, datagram: bytes) -> VerifiedDatagram:
        """Verify a datagram; raise WireError if it is forged or replayed."""
        if len(datagram) < HEADER_BYTES:
            raise WireError(
                f'datagram has {len(datagram)} bytes, '
                f'expected at least {HEADER_BYTES}'
            )
        head = datagram[: _HEAD.size]
        key_id, kind, sender, counter = _HEAD.unpack(head)
        keyed_hash = self._keyed_hashes.get(key_id)
        if keyed_hash is None:
            raise WireError(f'fleet key {key_id} is not active')
        body = datagram[HEADER_BYTES:]
        mac = datagram[_HEAD.size : HEADER_BYTES]
        if not macs_match(mac, _compute_mac(keyed_hash, head, body)):
            raise WireError('datagram authentication failed')
        if not self._find_window(sender).accept(counter):
            raise WireError(
                f'datagram counter {counter} is replayed or too old'
            )
        try:
            return VerifiedDatagram(DatagramKind(kind), sender, body)
        except ValueError as exc:
            raise WireError(f'unknown datagram kind {kind}') from exc

    def _find_window(self, sender: bytes) -> _ReplayWindow:
        window = self._windows.get(sender)
        if window is None:
            window = _ReplayWindow()
            self._windows[sender] = window
            if len(self._windows) > MAX_SENDERS:
                self._windows.popitem(last=False)
        return window


def _compute_mac(
    keyed_hash: 'hashlib.blake2b', head: bytes, body: bytes
) -> bytes:
    digest = keyed_hash.copy()
    digest.update(head)
    digest.update(body)
    return digest.digest()
