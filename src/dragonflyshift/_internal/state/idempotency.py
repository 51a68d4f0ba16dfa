"""Idempotency keys that a sidecar issues and any sidecar can check.

A key is ASCII text for a header: base64url without padding of the fleet key
number (1 byte), IPv4 address (4) and port (2) of the key owner, its boot number
(4), service tag (4), nonce (8) and a keyed BLAKE2s tag (16).

Nonces count up while the process of the key owner runs, so that its outcome
table can detect by the nonce alone whether a key is old, known or not issued.
They start at a random number: if a clock is set back and two processes get the
same boot number, their keys still differ.
"""

__all__ = ('KeyIssuer', 'KeyRetiredError')

import base64
import hashlib
import ipaddress
import secrets
import struct
from contextlib import suppress

from dragonflyshift._internal.exceptions import StateError, WireError
from dragonflyshift._internal.models import Address, IdempotencyKey
from dragonflyshift._internal.wire.keys import FleetKeys, macs_match

TAG_BYTES = 16
_PURPOSE = b'idempotency'
_FIELDS = struct.Struct('!B4sHIIQ')
_RAW_BYTES = _FIELDS.size + TAG_BYTES
# 39 bytes are a whole number of base64 groups, so no padding arises.
ENCODED_BYTES = _RAW_BYTES * 4 // 3
_START_BITS = 62


class KeyRetiredError(StateError):
    """The fleet key of an idempotency key is no longer in use.

    It is unknown whether the key is genuine and whether its request has run.
    """


class KeyIssuer:
    """Issues keys for one key owner and checks the keys of any owner."""

    def __init__(
        self,
        keys: FleetKeys,
        owner: Address,
        boot: int,
        tag: int,
    ) -> None:
        """Issue keys for the sidecar ``owner`` with boot number ``boot``.

        ``tag`` identifies the service.
        """
        self._keys = keys
        self._owner = owner
        self._boot = boot
        self._tag = tag
        self._last_issued_nonce = secrets.randbits(_START_BITS)

    @property
    def last_issued_nonce(self) -> int:
        """The last issued nonce, or the one before the first to be issued."""
        return self._last_issued_nonce

    def issue(self) -> bytes:
        """Return a new key as ASCII text."""
        self._last_issued_nonce += 1
        key = IdempotencyKey(
            self._owner, self._boot, self._tag, self._last_issued_nonce
        )
        fields = _encode(key, self._keys.current.key_id)
        raw = fields + _key_tag(self._keys, fields)
        return base64.urlsafe_b64encode(raw)

    def parse(self, raw: bytes) -> IdempotencyKey:
        """Check and decode a key.

        Raises KeyRetiredError if the fleet key of the key is no longer in
        use, and StateError if the key is malformed, forged or issued by
        another service.
        """
        decoded = b''
        if len(raw) == ENCODED_BYTES:
            with suppress(ValueError):
                decoded = base64.b64decode(raw, b'-_', validate=True)
        # The decoder also accepts + and / for - and _, which aren't valid here.
        canonical = base64.urlsafe_b64encode(decoded) == raw
        if len(decoded) != _RAW_BYTES or not canonical:
            raise StateError('idempotency key is malformed')
        fields = decoded[: _FIELDS.size]
        try:
            tag = _key_tag(self._keys, fields)
        except WireError as exc:
            raise KeyRetiredError(
                f'idempotency key is too old: {exc}',
            ) from exc
        if not macs_match(tag, decoded[_FIELDS.size :]):
            raise StateError('idempotency key is forged')
        key = _decode(fields)
        if key.tag != self._tag:
            raise StateError('idempotency key is of another service')
        return key


def _encode(key: IdempotencyKey, key_id: int) -> bytes:
    return _FIELDS.pack(
        key_id,
        ipaddress.IPv4Address(key.home.host).packed,
        key.home.port,
        key.boot,
        key.tag,
        key.nonce,
    )


def _decode(fields: bytes) -> IdempotencyKey:
    _key_id, packed, port, *numbers = _FIELDS.unpack(fields)
    host = str(ipaddress.IPv4Address(packed))
    return IdempotencyKey(Address(host, port), *numbers)


def _key_tag(keys: FleetKeys, fields: bytes) -> bytes:
    return hashlib.blake2s(
        fields,
        digest_size=TAG_BYTES,
        key=keys.find(fields[0]).derive(_PURPOSE),
    ).digest()
