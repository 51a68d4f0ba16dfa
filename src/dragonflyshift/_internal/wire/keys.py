"""Fleet keys, which authenticate all traffic between daemons.

Two keys can be active at once, so that a rotation breaks no flow: both are
accepted, and the first one is used for what a daemon sends and issues.
"""

import hashlib
import hmac
from typing import Self

from attrs import field, frozen

from dragonflyshift._internal.exceptions import SettingsError, WireError

SECRET_BYTES = 32
MAX_KEYS = 2
MAX_KEY_ID = 255
_PERSONALIZATION_BYTES = 16


@frozen
class FleetKey:
    """A 32-byte secret and its id, 0 to 255."""

    key_id: int
    secret: bytes = field(repr=False)

    def derive(self, purpose: bytes, size: int = SECRET_BYTES) -> bytes:
        """Return a key of ``size`` bytes derived for one purpose."""
        return hashlib.blake2b(
            b'',
            digest_size=size,
            key=self.secret,
            person=purpose[:_PERSONALIZATION_BYTES],
        ).digest()


@frozen
class FleetKeys:
    """The active keys; the first one is used for sending.

    Example:
        >>> keys = FleetKeys.parse('1:' + '00' * 32)
        >>> keys.current.key_id
        1
    """

    keys: tuple[FleetKey, ...]

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``id:hex[,id:hex]``; raise SettingsError if malformed."""
        keys = tuple(_parse_key(part) for part in text.split(',') if part)
        if not 0 < len(keys) <= MAX_KEYS:
            raise SettingsError(
                f'got {len(keys)} fleet keys, expected 1 or 2',
                context='fleet keys',
                hint='give one key, or two during a key rotation',
            )
        if len({key.key_id for key in keys}) != len(keys):
            raise SettingsError(
                'both fleet keys have the same number',
                context='fleet keys',
                hint='give the new key another number',
            )
        return cls(keys)

    @property
    def current(self) -> FleetKey:
        """The key with which this process authenticates what it sends."""
        return self.keys[0]

    def find(self, key_id: int) -> FleetKey:
        """Return the key with this id; raise WireError if it isn't active."""
        for key in self.keys:
            if key.key_id == key_id:
                return key
        raise WireError(f'fleet key {key_id} is not in force')


def macs_match(left: bytes, right: bytes) -> bool:
    """Compare two message authentication codes in constant time."""
    return hmac.compare_digest(left, right)


def _parse_key(text: str) -> FleetKey:
    number, _separator, digits = text.strip().partition(':')
    try:
        key = FleetKey(int(number), bytes.fromhex(digits))
    except ValueError:
        key = FleetKey(-1, b'')
    if len(key.secret) != SECRET_BYTES or not 0 <= key.key_id <= MAX_KEY_ID:
        raise SettingsError(
            'a fleet key is malformed',
            context='fleet keys',
            hint='write it as number:hex with 64 hexadecimal digits',
        )
    return key
