"""Connection ids that say where a flow lives.

An issued id is 17 bytes: the fleet key's number, then one AES block with
the sidecar's IPv4 address (4 bytes) and port (2), the service tag (4), the
low bits of the sidecar's boot number (2) and a nonce (4). Any balancer with
the fleet keys decodes it without further state. The layout follows the
encrypted form of the QUIC-LB drafts in spirit, not in detail.
"""

import hashlib
import os
import socket
import struct

from attrs import frozen
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.keys import FleetKeys

CONNECTION_ID_BYTES = 17
RESET_TOKEN_BYTES = 16
BOOT_MASK = 0xFFFF
_BLOCK = struct.Struct('!4sHIHI')
_AES_KEY_BYTES = 16
_NONCE_BYTES = 4
_ID_PURPOSE = b'connection-id'
_RESET_PURPOSE = b'reset-token'


@frozen
class IssuedId:
    """What an issued connection id says."""

    address: Address
    tag: int
    boot: int


class ConnectionIdCodec:
    """Issue and decode connection ids under the fleet keys.

    Example:
        >>> codec = ConnectionIdCodec(FleetKeys.parse('1:' + '00' * 32))
        >>> cid = codec.issue(IssuedId(Address('127.0.0.1', 9), 7, 1))
        >>> codec.decode(cid).tag
        7
    """

    def __init__(self, keys: FleetKeys) -> None:
        """Prepare one block cipher for each key in force."""
        self._key_id = keys.current.key_id
        self._reset_keys = {
            key.key_id: key.derive(_RESET_PURPOSE) for key in keys.keys
        }
        ciphers = {
            key.key_id: Cipher(
                algorithms.AES(key.derive(_ID_PURPOSE, _AES_KEY_BYTES)),
                modes.ECB(),  # one block, never two alike
            )
            for key in keys.keys
        }
        self._encryptor = ciphers[self._key_id].encryptor()
        self._decryptors = {
            key_id: cipher.decryptor() for key_id, cipher in ciphers.items()
        }

    def issue(self, issued: IssuedId) -> bytes:
        """Return a new connection id for a flow."""
        block = _BLOCK.pack(
            socket.inet_aton(issued.address.host),
            issued.address.port,
            issued.tag,
            issued.boot & BOOT_MASK,
            int.from_bytes(os.urandom(_NONCE_BYTES), 'big'),
        )
        return bytes((self._key_id,)) + self._encryptor.update(block)

    def decode(self, cid: bytes) -> IssuedId | None:
        """Read an id; None if it was issued under no key in force.

        Any 17 bytes decode to something: the caller compares the tag.
        """
        if len(cid) != CONNECTION_ID_BYTES:
            return None
        decryptor = self._decryptors.get(cid[0])
        if decryptor is None:
            return None
        host, port, tag, boot, _nonce = _BLOCK.unpack(decryptor.update(cid[1:]))
        if port == 0:
            return None
        address = Address.from_pair((socket.inet_ntoa(host), port))
        return IssuedId(address, tag, boot)

    def reset_token(self, cid: bytes) -> bytes:
        """Return the stateless reset token that goes with an id."""
        key = self._reset_keys.get(cid[0] if cid else -1)
        if key is None:
            key = self._reset_keys[self._key_id]
        digest = hashlib.blake2s(cid, digest_size=RESET_TOKEN_BYTES, key=key)
        return digest.digest()
