import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.config.documents import (
    MAX_DOCUMENT_BYTES,
    decode_index,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models import Locality, ServiceRules
from tests.lib.builders import build_address, build_index, build_service

FUZZ = settings(derandomize=True, deadline=None, max_examples=100)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=10**300, max_value=10**310),
    st.floats(),
    st.text(max_size=8),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=6,
)


def encode_changed(**changes: Any) -> bytes:
    plain = json.loads(encode_document(build_service()))
    plain.update(changes)
    return json.dumps(plain).encode()


def encode_changed_endpoint(**changes: Any) -> bytes:
    plain = json.loads(encode_document(build_service()))
    plain['endpoints'][1].update(changes)
    return json.dumps(plain).encode()


class RoundTripTest(unittest.TestCase):
    def test_service(self) -> None:
        rules = ServiceRules(
            locality=Locality.REGION,
            idempotent=('PUT /lists/',),
        )
        document = build_service(rules=rules)
        self.assertEqual(decode_service(encode_document(document)), document)

    def test_index(self) -> None:
        index = build_index(build_service(version=4), version=7)
        self.assertEqual(decode_index(encode_document(index)), index)

    def test_missing_rules_take_defaults(self) -> None:
        plain = json.loads(encode_document(build_service()))
        del plain['rules']
        document = decode_service(json.dumps(plain).encode())
        self.assertEqual(document.rules, ServiceRules())


class InvalidDocumentTest(unittest.TestCase):
    def test_invalid_service(self) -> None:
        cases = {
            'unknown key': encode_changed(colour='red'),
            'missing key': b'{}',
            'text for a number': encode_changed(version='7'),
            'truth for a number': encode_changed(version=True),
            'version 0': encode_changed(version=0),
            'tag of another service': encode_changed(name='exports'),
            'text for an array': encode_changed(addresses='127.0.0.1:1'),
            'no address': encode_changed(addresses=[]),
            'address doubled': encode_changed(
                addresses=['10.0.0.1:1', '10.0.0.1:1']
            ),
            'address without a port': encode_changed(addresses=['10.0.0.1']),
            'address of many': encode_changed(addresses=['224.0.0.1:1']),
            'no endpoint': encode_changed(endpoints=[]),
            'unknown state': encode_changed(state='resting'),
            'address of a peer': encode_changed_endpoint(
                address=str(build_address(1)),
            ),
            'name of a peer': encode_changed_endpoint(name='instance-1'),
            'the service address': encode_changed_endpoint(
                address=str(build_address(200, 4433)),
            ),
            'no slots': encode_changed_endpoint(slots=0),
            'slots in parts': encode_changed_endpoint(slots=1.5),
            'infinite weight': encode_changed_endpoint(weight=float('inf')),
            'no weight': encode_changed_endpoint(weight=0),
            'rule without a path': encode_changed(
                rules={'idempotent': ['PUT']}
            ),
            'negative timeout': encode_changed(rules={'request_timeout': -1}),
            'oversized': b' ' * (MAX_DOCUMENT_BYTES + 1),
            'deep': b'[' * 100_000,
            'doubled key': b'{"name": 1, "name": 2}',
            'not UTF-8': b'\xff',
        }
        for name, raw in cases.items():
            with self.subTest(name), self.assertRaises(ConfigurationError):
                decode_service(raw)

    def test_invalid_index(self) -> None:
        lists = build_service()
        exports = build_service('exports')
        cases = {
            'address of two services': build_index(lists, exports),
            'service twice': build_index(lists, lists),
            'no service': build_index(),
        }
        for name, index in cases.items():
            with self.subTest(name), self.assertRaises(ConfigurationError):
                decode_index(encode_document(index))

    def test_error_names_the_place(self) -> None:
        with self.assertRaisesRegex(
            ConfigurationError,
            r'endpoints\[1\]\.slots.*integer is expected',
        ):
            decode_service(encode_changed_endpoint(slots='many'))


class FuzzTest(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=200))
    def test_bytes(self, raw: bytes) -> None:
        for decode in (decode_index, decode_service):
            with self.assertRaises(ConfigurationError):
                decode(raw)

    @FUZZ
    @given(st.data(), VALUES)
    def test_any_value_in_place_of_another(
        self,
        draw: st.DataObject,
        value: object,
    ) -> None:
        plain = json.loads(encode_document(build_service()))
        place = draw.draw(
            st.sampled_from(
                (plain, plain['endpoints'][0], plain['rules']),
            ),
        )
        place[draw.draw(st.sampled_from(sorted(place)))] = value
        try:
            document = decode_service(json.dumps(plain).encode())
        except ConfigurationError:
            return
        self.assertEqual(decode_service(encode_document(document)), document)
