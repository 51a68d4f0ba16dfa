"""Tests of idempotency keys.

They guard against forged keys, keys of another service, and two processes that
issue the same key.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import StateError
from dragonflyshift._internal.models import Address, IdempotencyKey
from dragonflyshift._internal.state import KeyIssuer, KeyRetiredError
from dragonflyshift._internal.wire.keys import FleetKeys

_OLD = f'1:{"11" * 32}'
_NEW = f'2:{"22" * 32}'
_OWNER = Address('127.0.0.1', 4433)
_OTHER_OWNER = Address('127.0.0.2', 4433)


def _issuer(
    text: str = _OLD, owner: Address = _OWNER, tag: int = 3
) -> KeyIssuer:
    return KeyIssuer(FleetKeys.parse(text), owner, boot=7, tag=tag)


class KeyIssuerTest(unittest.TestCase):
    def test_any_sidecar_of_the_service_accepts_the_key(self) -> None:
        issuer = _issuer()
        first = issuer.last_issued_nonce + 1
        for nonce in (first, first + 1):
            raw = issuer.issue()
            self.assertEqual(issuer.last_issued_nonce, nonce)
            self.assertEqual(
                _issuer(owner=_OTHER_OWNER).parse(raw),
                IdempotencyKey(_OWNER, 7, 3, nonce),
            )

    def test_owners_with_the_same_boot_number_share_no_key(self) -> None:
        one, other = _issuer(), _issuer()
        self.assertNotEqual(one.last_issued_nonce, other.last_issued_nonce)

    def test_keys_of_a_rotated_fleet_key_are_accepted_until_retired(
        self,
    ) -> None:
        issuer = _issuer()
        raw = issuer.issue()
        both = _issuer(f'{_NEW},{_OLD}')
        self.assertEqual(both.parse(raw).nonce, issuer.last_issued_nonce)
        with self.assertRaises(KeyRetiredError):
            _issuer(_NEW).parse(raw)

    def test_key_of_another_service_or_secret_is_refused(self) -> None:
        for issuer in (_issuer(tag=4), _issuer(f'1:{"33" * 32}')):
            with self.assertRaises(StateError):
                issuer.parse(_issuer().issue())

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.data())
    def test_any_altered_character_is_refused(
        self,
        draw: st.DataObject,
    ) -> None:
        raw = bytearray(_issuer().issue())
        position = draw.draw(st.integers(0, len(raw) - 1))
        raw[position] = draw.draw(
            st.integers(0, 255).filter(lambda byte: byte != raw[position]),
        )
        with self.assertRaises(StateError):
            _issuer().parse(bytes(raw))

    def test_plain_base64_characters_are_refused(self) -> None:
        issuer = _issuer()
        raw = issuer.issue()
        while b'-' not in raw or b'_' not in raw:
            raw = issuer.issue()
        for safe, plain in ((b'-', b'+'), (b'_', b'/')):
            with self.assertRaises(StateError):
                issuer.parse(raw.replace(safe, plain))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.binary(max_size=80) | st.binary(min_size=52, max_size=52))
    def test_random_bytes_raise_state_errors_only(self, raw: bytes) -> None:
        with self.assertRaises(StateError):
            _issuer().parse(raw)
