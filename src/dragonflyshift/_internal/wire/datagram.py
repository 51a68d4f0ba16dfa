"""Authenticated datagrams between our processes.

Layout: key number (1 byte), kind (1), sender (8, random at each start),
counter (8, big-endian), tag (16, keyed BLAKE2b), body. The counter together
with a window for each sender turns replayed datagrams away.
"""

import enum
import hashlib
import os
import struct
from collections import OrderedDict

from attrs import define, frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.keys import FleetKeys, same_tag

TAG_BYTES = 16
SENDER_BYTES = 8
WINDOW_PACKETS = 4096
MAX_SENDERS = 8192
_HEAD = struct.Struct('!BB8sQ')
_PURPOSE = b'datagram'
HEADER_BYTES = _HEAD.size + TAG_BYTES


class Kind(enum.IntEnum):
    """What a datagram carries."""

    FORWARD = 1
    REPLY = 2
    RELAY = 3
    PROBE = 4
    ACK = 5
    PROBE_VIA = 6
    OFFER = 7


@frozen
class Opened:
    """A datagram that proved authentic and fresh."""

    kind: Kind
    sender: bytes
    body: bytes


@define
class _ReplayWindow:
    """Counters seen lately from one sender, as a bit set below ``top``."""

    top: int = 0
    seen: int = 0

    def admit(self, counter: int) -> bool:
        """Take note of a counter; False if it was seen or is too old."""
        ahead = counter - self.top
        if ahead > 0:
            mask = (1 << WINDOW_PACKETS) - 1
            kept = self.seen << min(ahead, WINDOW_PACKETS)
            self.seen = (kept | 1) & mask
            self.top = counter
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_PACKETS or self.seen & bit:
            return False
        self.seen |= bit
        return True


class DatagramCodec:
    """Seal and open datagrams under the fleet keys.

    Example:
        >>> keys = FleetKeys.parse('1:' + '00' * 32)
        >>> sealed = DatagramCodec(keys).seal(Kind.PROBE, b'body')
        >>> DatagramCodec(keys).open(sealed).body
        b'body'
    """

    def __init__(self, keys: FleetKeys) -> None:
        """Choose a fresh sender number, unlike that of an earlier life."""
        self.sender = os.urandom(SENDER_BYTES)
        self._counter = 0
        # Keyed once: copying is cheaper than keying anew for each datagram.
        self._hashes = {
            key.key_id: hashlib.blake2b(
                digest_size=TAG_BYTES,
                key=key.derive(_PURPOSE),
            )
            for key in keys.keys
        }
        self._key_id = keys.current.key_id
        self._windows: OrderedDict[bytes, _ReplayWindow] = OrderedDict()

    def seal(self, kind: Kind, body: bytes) -> bytes:
        """Return the datagram that carries ``body``."""
        self._counter += 1
        head = _HEAD.pack(self._key_id, kind, self.sender, self._counter)
        tag = _tag(self._hashes[self._key_id], head, body)
        return b''.join((head, tag, body))

    def open(self, datagram: bytes) -> Opened:
        """Check a datagram; raise WireError if it is forged or replayed."""
        if len(datagram) < HEADER_BYTES:
            raise WireError('datagram is too short')
        head = datagram[: _HEAD.size]
        key_id, kind, sender, counter = _HEAD.unpack(head)
        keyed = self._hashes.get(key_id)
        if keyed is None:
            raise WireError(f'fleet key {key_id} is not in force')
        body = datagram[HEADER_BYTES:]
        tag = datagram[_HEAD.size : HEADER_BYTES]
        if not same_tag(tag, _tag(keyed, head, body)):
            raise WireError('datagram is forged')
        if not self._window(sender).admit(counter):
            raise WireError('datagram is replayed')
        try:
            return Opened(Kind(kind), sender, body)
        except ValueError as exc:
            raise WireError(f'datagram kind {kind} is unknown') from exc

    def _window(self, sender: bytes) -> _ReplayWindow:
        window = self._windows.get(sender)
        if window is None:
            window = _ReplayWindow()
            self._windows[sender] = window
            if len(self._windows) > MAX_SENDERS:
                self._windows.popitem(last=False)
        return window


def _tag(keyed: 'hashlib.blake2b', head: bytes, body: bytes) -> bytes:
    digest = keyed.copy()
    digest.update(head)
    digest.update(body)
    return digest.digest()
