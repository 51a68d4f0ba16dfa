"""QUIC connection ids that encode the sidecar which owns the flow.

An issued id is 17 bytes: the id of the fleet key, then one AES block with
the sidecar's IPv4 address (4 bytes) and port (2), the service tag (4), the
low bits of the sidecar's boot number (2) and a nonce (4). Any balancer that
holds the fleet keys decodes it without further state. The layout resembles
the encrypted form of the QUIC-LB drafts, but isn't compatible with it.
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
class ConnectionIdContents:
    """The decoded contents of a connection id.

    ``address`` is that of the sidecar, ``tag`` identifies the service and
    ``boot`` is the sidecar's boot number, of which only the low 16 bits are
    encoded.
    """

    address: Address
    tag: int
    boot: int


class ConnectionIdCodec:
    """Issue and decode connection ids with the fleet keys.

    Example:
        >>> codec = ConnectionIdCodec(FleetKeys.parse('1:' + '00' * 32))
        >>> sidecar = Address('127.0.0.1', 9)
        >>> cid = codec.issue(ConnectionIdContents(sidecar, 7, 1))
        >>> codec.decode(cid).tag
        7
    """

    def __init__(self, keys: FleetKeys) -> None:
        """Create one block cipher for each active key."""
        self._key_id = keys.current.key_id
        self._reset_keys = {
            key.key_id: key.derive(_RESET_PURPOSE) for key in keys.keys
        }
        ciphers = {
            key.key_id: Cipher(
                algorithms.AES(key.derive(_ID_PURPOSE, _AES_KEY_BYTES)),
                modes.ECB(),  # one block, made unique by its nonce
            )
            for key in keys.keys
        }
        self._encryptor = ciphers[self._key_id].encryptor()
        self._decryptors = {
            key_id: cipher.decryptor() for key_id, cipher in ciphers.items()
        }

    def issue(self, contents: ConnectionIdContents) -> bytes:
        """Return a new connection id with these contents."""
        block = _BLOCK.pack(
            socket.inet_aton(contents.address.host),
            contents.address.port,
            contents.tag,
            contents.boot & BOOT_MASK,
            int.from_bytes(os.urandom(_NONCE_BYTES), 'big'),
        )
        return bytes((self._key_id,)) + self._encryptor.update(block)

    def decode(self, cid: bytes) -> ConnectionIdContents | None:
        """Decode an id; return None if it is malformed or its key not active.

        The id carries no checksum, so random bytes can decode as well: the
        caller has to compare the service tag.
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
        return ConnectionIdContents(address, tag, boot)

    def reset_token(self, cid: bytes) -> bytes:
        """Return the QUIC stateless reset token for a connection id."""
        key = self._reset_keys.get(cid[0] if cid else -1)
        if key is None:
            key = self._reset_keys[self._key_id]
        digest = hashlib.blake2s(cid, digest_size=RESET_TOKEN_BYTES, key=key)
        return digest.digest()
