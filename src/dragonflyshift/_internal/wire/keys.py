"""Fleet keys, which authenticate everything between our processes.

Two keys can be in force, so that they are rotated without a broken flow:
all of them are accepted, the first is used for what is sent and issued.
"""

import hashlib
import hmac
from typing import Self

from attrs import field, frozen

from dragonflyshift._internal.exceptions import SettingsError, WireError

SECRET_BYTES = 32
MAX_KEYS = 2
MAX_KEY_ID = 255
_PERSON_BYTES = 16


@frozen
class FleetKey:
    """One 32-byte secret and the number (0 to 255) that names it."""

    key_id: int
    secret: bytes = field(repr=False)

    def derive(self, purpose: bytes, size: int = SECRET_BYTES) -> bytes:
        """Derive a key of ``size`` bytes for one purpose."""
        return hashlib.blake2b(
            b'',
            digest_size=size,
            key=self.secret,
            person=purpose[:_PERSON_BYTES],
        ).digest()


@frozen
class FleetKeys:
    """The keys in force, the one for sending first.

    Example:
        >>> keys = FleetKeys.parse('1:' + '00' * 32)
        >>> keys.current.key_id
        1
    """

    keys: tuple[FleetKey, ...]

    @classmethod
    def parse(cls, text: str) -> Self:
        """Read ``id:hex[,id:hex]``; raise SettingsError when malformed."""
        keys = tuple(_parse_key(part) for part in text.split(',') if part)
        if not 0 < len(keys) <= MAX_KEYS:
            raise SettingsError(
                f'{len(keys)} fleet keys are given',
                context='fleet keys',
                hint='give one, or two while they are rotated',
            )
        if len({key.key_id for key in keys}) != len(keys):
            raise SettingsError(
                'two fleet keys have the same number',
                context='fleet keys',
                hint='number the new key differently',
            )
        return cls(keys)

    @property
    def current(self) -> FleetKey:
        """The key that authenticates what this process sends."""
        return self.keys[0]

    def find(self, key_id: int) -> FleetKey:
        """Return a key by number; raise WireError when it isn't in force."""
        for key in self.keys:
            if key.key_id == key_id:
                return key
        raise WireError(f'fleet key {key_id} is not in force')


def same_tag(left: bytes, right: bytes) -> bool:
    """Compare two authentication tags in constant time."""
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
