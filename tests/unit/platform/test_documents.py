import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.carried.routes import TransferKind, Warmup
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift.platform.documents import decode_endpoint, decode_routes
from tests.lib.carried import build_key

_ENTRY: dict[str, Any] = {
    'service': 'lists',
    'address': '10.128.0.9:8080',
    'zone': 'klang',
    'version': 'v1',
    'maxConcurrency': 3,
    'state': 'ready',
    'warmupLeftMs': 0,
    'sequence': 4,
    'born': 1_767_678_649_300,
}
_CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'split',
            'host': '198.18.0.1',
            'prefix': '/443/',
            'type': 'safe',
            'timeoutMs': 1200,
            'sloMs': 225,
            'priority': 2,
            'backends': [
                {'service': 'old', 'weight': 90},
                {'service': 'new', 'weight': 10},
            ],
            'attempts': 2,
        },
        {
            'name': 'plain',
            'host': '198.18.0.2',
            'prefix': '/8443/',
            'type': 'download',
            'timeoutMs': 3000,
            'sloMs': 503,
            'priority': 1,
            'service': 'exports',
            'attempts': 2,
        },
    ],
    'services': [],
    'limits': {'idleTimeoutMs': 9000},
}


def _encode(body: Any) -> bytes:
    return json.dumps(body).encode()


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(sorted((*_ENTRY, *_CONFIG, 'name', 'warmupPerS'))),
            inner,
            max_size=8,
        )
    ),
    max_leaves=12,
)


class DocumentsTest(unittest.TestCase):
    def test_valid_entry_decodes_to_an_endpoint(self) -> None:
        record = decode_endpoint('i-1', 5, json.dumps(_ENTRY).encode())
        assert record is not None
        self.assertEqual(record.address, ('10.128.0.9', 8080))
        self.assertEqual(record.started_ms, _ENTRY['born'])
        self.assertFalse(record.is_leaving)

    def test_draining_entry_is_leaving(self) -> None:
        entry = {**_ENTRY, 'state': 'draining'}
        record = decode_endpoint('i-1', 5, json.dumps(entry).encode())
        assert record is not None
        self.assertTrue(record.is_leaving)

    def test_invalid_entries_decode_to_none(self) -> None:
        changes: tuple[tuple[str, Any], ...] = (
            ('state', 'resting'),
            ('service', 4),
            ('address', '10.0.0.300:80'),
            ('address', '10.0.0.3:0'),
            ('maxConcurrency', 0),
            ('maxConcurrency', '3'),
            ('maxConcurrency', True),
            ('warmupLeftMs', -1),
            ('sequence', None),
            ('zone', None),
        )
        for name, value in changes:
            raw = json.dumps({**_ENTRY, name: value}).encode()
            with self.subTest(name=name, value=value):
                self.assertIsNone(decode_endpoint('i-1', 5, raw))
        for name in _ENTRY:
            incomplete = {key: _ENTRY[key] for key in _ENTRY if key != name}
            raw = json.dumps(incomplete).encode()
            with self.subTest(missing=name):
                self.assertIsNone(decode_endpoint('i-1', 5, raw))

    def test_routes_by_address(self) -> None:
        table = decode_routes(json.dumps(_CONFIG).encode())
        self.assertEqual(table.version, 7)
        self.assertEqual(table.idle_timeout_ms, 9000)
        route = table.find(build_key(1))
        assert route is not None
        self.assertEqual(route.kind, TransferKind.IDEMPOTENT)
        self.assertEqual(route.target_ms, 225)
        self.assertIsNone(table.find(build_key(1, port=9)))

    def test_services_are_chosen_by_weight(self) -> None:
        table = decode_routes(json.dumps(_CONFIG).encode())
        route = table.find(build_key(1))
        assert route is not None
        keys = [build_key(number) for number in range(5000)]
        chosen = [route.choose_service(key) for key in keys]
        share = chosen.count('new') / len(chosen)
        self.assertAlmostEqual(share, 0.1, delta=0.03)
        again = [route.choose_service(key) for key in keys]
        self.assertEqual(chosen, again)

    def test_warmup_rates_by_service(self) -> None:
        services = [
            {'name': 'lists', 'warmupS': 2.5, 'warmupPerS': 0.75},
            {'name': 'exports', 'warmupS': 'long', 'warmupPerS': 3},
        ]
        with self.assertNoLogs():
            table = decode_routes(_encode({**_CONFIG, 'services': services}))
        self.assertEqual(
            table.warmups,
            {
                'lists': Warmup('lists', 2.5, 0.75),
                'exports': Warmup('exports', 0, 3),
            },
        )

    def test_unusable_warmup_rate_is_no_limit(self) -> None:
        """A limit of zero would refuse all flows of a cold server."""
        rates = (0, -1, None, 10**400, float('inf'))
        others: tuple[Any, ...] = ({}, 7, [4], [{'warmupPerS': 3}], None)
        lists = [[{'name': 'lists', 'warmupPerS': rate}] for rate in rates]
        for services in (*lists, [{'name': 'lists'}], *others):
            raw = _encode({**_CONFIG, 'services': services})
            with self.subTest(services=services), self.assertNoLogs():
                self.assertEqual(decode_routes(raw).warmups, {})

    def test_warmup_rate_that_is_no_number_is_logged(self) -> None:
        for rate in ('3', True, [], float('nan')):
            row = {'name': 'lists', 'warmupPerS': rate}
            services = [row, row]
            raw = _encode({**_CONFIG, 'services': services})
            with self.subTest(rate=rate), self.assertLogs() as logs:
                self.assertEqual(decode_routes(raw).warmups, {})
            self.assertEqual(len(logs.records), 1)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=60) | _JSON.map(_encode))
    def test_any_bytes_decode_or_raise_a_configuration_error(
        self, raw: bytes
    ) -> None:
        decode_endpoint('i-1', 5, raw)
        try:
            decode_routes(raw)
        except ConfigurationError as exc:
            self.assertIn('malformed', str(exc))
