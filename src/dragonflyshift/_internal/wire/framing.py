"""Frames of the authenticated streams between daemons.

Each end starts with a hello: protocol version (1 byte), key id (1), nonce
(16). Then frames follow: payload length (4 bytes, big-endian), message
authentication code (MAC: 16, keyed BLAKE2s over a frame counter and the
payload), payload. Each direction has its own key, derived from the sender's
fleet key and both nonces. Verification therefore fails for a frame of another
connection, of the other direction or out of order.
"""

__all__ = (
    'FRAME_HEADER_BYTES',
    'HELLO_BYTES',
    'MAX_PAYLOAD_BYTES',
    'FrameHeader',
    'FrameOpener',
    'FrameSealer',
    'Hello',
    'direction_key',
)

import hashlib
import os
import struct
from typing import Self

from attrs import frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.keys import (
    SECRET_BYTES,
    FleetKeys,
    macs_match,
)

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
MAC_BYTES = 16
# One value of the configuration store, at most 1 MiB, plus the overhead of a
# message.
MAX_PAYLOAD_BYTES = 1024 * 1024 + 64 * 1024
_PURPOSE = b'stream'
_HELLO = struct.Struct('!BB16s')
_HEADER = struct.Struct('!I16s')
_COUNTER = struct.Struct('!Q')
HELLO_BYTES = _HELLO.size
FRAME_HEADER_BYTES = _HEADER.size


@frozen
class Hello:
    """The first bytes that each end of a stream sends."""

    key_id: int
    nonce: bytes

    @classmethod
    def create(cls, keys: FleetKeys) -> Self:
        """Return a hello with the current key and a new nonce."""
        return cls(keys.current.key_id, os.urandom(NONCE_BYTES))

    @classmethod
    def decode(cls, raw: bytes) -> Self:
        """Decode a hello; raise WireError if it is malformed."""
        if len(raw) != HELLO_BYTES:
            raise WireError('hello has a wrong length')
        version, key_id, nonce = _HELLO.unpack(raw)
        if version != PROTOCOL_VERSION:
            raise WireError(f'stream protocol {version} is not spoken here')
        return cls(key_id, nonce)

    def encode(self) -> bytes:
        """Return the bytes to send."""
        return _HELLO.pack(PROTOCOL_VERSION, self.key_id, self.nonce)


@frozen
class FrameHeader:
    """The length of a payload and its authentication code."""

    length: int
    mac: bytes

    @classmethod
    def decode(cls, raw: bytes) -> Self:
        """Decode a header; raise WireError if the payload is too large."""
        if len(raw) != FRAME_HEADER_BYTES:
            raise WireError('frame header has a wrong length')
        length, mac = _HEADER.unpack(raw)
        if length > MAX_PAYLOAD_BYTES:
            raise WireError(f'frame of {length} bytes is too large')
        return cls(length, mac)


def direction_key(
    keys: FleetKeys,
    sender: Hello,
    receiver: Hello,
    *,
    from_client: bool,
) -> bytes:
    """Derive the key for one direction of one connection.

    Raises WireError if the sender's fleet key is not active.
    """
    digest = hashlib.blake2b(
        b'client' if from_client else b'server',
        digest_size=SECRET_BYTES,
        key=keys.find(sender.key_id).derive(_PURPOSE),
    )
    digest.update(sender.encode())
    digest.update(receiver.encode())
    return digest.digest()


class FrameSealer:
    """Authenticate the frames sent in one direction, in order."""

    def __init__(self, key: bytes) -> None:
        """Set the frame counter to zero."""
        self._key = key
        self._counter = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the frame; raise WireError if the payload is too large."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise WireError(f'payload of {len(payload)} bytes is too large')
        mac = _compute_frame_mac(self._key, self._counter, payload)
        self._counter += 1
        return b''.join((_HEADER.pack(len(payload), mac), payload))


class FrameOpener:
    """Verify the frames received in one direction, in order."""

    def __init__(self, key: bytes) -> None:
        """Set the frame counter to zero."""
        self._key = key
        self._counter = 0

    def check(self, header: FrameHeader, payload: bytes) -> bytes:
        """Return the payload; raise WireError if verification fails."""
        mac = _compute_frame_mac(self._key, self._counter, payload)
        if header.length != len(payload) or not macs_match(header.mac, mac):
            raise WireError('frame is forged, replayed or out of order')
        self._counter += 1
        return payload


def _compute_frame_mac(key: bytes, counter: int, payload: bytes) -> bytes:
    digest = hashlib.blake2s(
        _COUNTER.pack(counter),
        digest_size=MAC_BYTES,
        key=key,
    )
    digest.update(payload)
    return digest.digest()
