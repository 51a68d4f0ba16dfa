"""Tests entries and configurations that peers could not decode.

An entry of another writer had a number beyond 64 bits, or text that isn't
valid Unicode. It was taken for an endpoint, msgpack could not encode it, and
no change that the store listed after it reached any peer.
"""

import asyncio
import json
import logging
import unittest
from typing import Any

from hypothesis import assume, given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PlatformError,
)
from dragonflyshift.platform.documents import (
    MAX_INTEGER,
    decode_endpoint,
    decode_routes,
)
from dragonflyshift.platform.http_client import HttpResponse
from dragonflyshift.platform.store import PlatformStore
from tests.lib.kvstore import (
    build_config_item,
    build_entry_body,
    build_entry_item,
    build_item,
    build_route_body,
)

_HALF_PAIR = 'inventory-\ud83d'
_LONG_TEXT = 'x' * 1025
_ODD_VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=2**53 - 2, max_value=2**64 + 1)
    | st.floats()
    | st.text(st.characters(), max_size=5)
    | st.text(st.characters(categories=('Cs', 'Nd', 'Lu')), max_size=5)
    | st.sampled_from(
        (1e30, 10**40, _HALF_PAIR, '', [], {}, '/0/', '/65536/', _LONG_TEXT)
    )
)
_ENTRY_CHANGES = st.dictionaries(
    st.sampled_from(sorted(build_entry_body())), _ODD_VALUES, max_size=3
)
_ROUTE_CHANGES = st.dictionaries(
    st.sampled_from((*sorted(build_route_body()), 'backends')),
    _ODD_VALUES,
    max_size=3,
)
_CONFIG_CHANGES = st.dictionaries(
    st.sampled_from(('version', 'routes', 'services', 'limits')),
    _ODD_VALUES,
    max_size=2,
)
_NAMES = st.text(st.characters(), max_size=8) | st.just(_HALF_PAIR)
_ITEMS = st.one_of(
    st.builds(
        lambda name, changes: build_entry_item(name, 5, **changes),
        _NAMES,
        _ENTRY_CHANGES,
    ),
    st.builds(
        lambda name: build_item(f'op/evacuate/{name}', 6, {}),
        _NAMES,
    ),
    st.builds(
        lambda name, encoded: {**build_entry_item(name, 5), 'value': encoded},
        _NAMES,
        _ODD_VALUES,
    ),
    st.builds(
        lambda route, changes: build_config_item(
            5,
            **{'version': 4, 'routes': [build_route_body(**route)], **changes},
        ),
        _ROUTE_CHANGES,
        _CONFIG_CHANGES,
    ),
)


class _ListedStore(PlatformStore):
    """A store whose every response is the same listing."""

    def __init__(self, listing: Any) -> None:
        super().__init__(('127.0.0.1', 9))
        self.listing = listing

    async def _exchange(self, target: str) -> HttpResponse:
        raw = json.dumps(self.listing).encode()
        return HttpResponse(200, {}, raw)


class ForeignEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_entry_that_peers_could_not_decode_is_no_endpoint(self) -> None:
        changes: tuple[tuple[str, Any], ...] = (
            ('born', 1e30),
            ('born', 1.5),
            ('born', 2**53),
            ('warmupLeftMs', 1e300),
            ('sequence', 10**30),
            ('service', _HALF_PAIR),
            ('zone', _HALF_PAIR),
            ('version', _HALF_PAIR),
            ('service', _LONG_TEXT),
            ('address', '10.0.0.3:8_0'),
            ('address', '10.0.0.3: 80'),
        )
        for name, value in changes:
            raw = json.dumps(build_entry_body(**{name: value})).encode()
            with self.subTest(name=name, value=value):
                self.assertIsNone(decode_endpoint('i-1', 5, raw))

    def test_whole_numbers_are_read_in_any_notation(self) -> None:
        raw = json.dumps(build_entry_body(maxConcurrency=0, born=0)).encode()
        raw = raw.replace(b'"maxConcurrency": 0', b'"maxConcurrency": 3.0')
        raw = raw.replace(b'"born": 0', b'"born": 1.5e3')
        record = decode_endpoint('i-1', 5, raw)
        assert record is not None
        self.assertEqual((record.slots, record.started_ms), (3, 1500))

    def test_configuration_that_peers_could_not_decode_is_refused(self) -> None:
        for changes in (
            {'name': _HALF_PAIR},
            {'prefix': '/65536/'},
            {'prefix': '/0/'},
            {'timeoutMs': 1e30},
            {'service': _HALF_PAIR},
        ):
            raw = json.dumps(
                {'version': 4, 'routes': [build_route_body(**changes)]}
            ).encode()
            with self.subTest(changes=changes):
                with self.assertRaises(ConfigurationError):
                    decode_routes(raw)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(_ITEMS, max_size=4))
    def test_sound_change_after_any_entries_reaches_peers(
        self, items: list[dict[str, Any]]
    ) -> None:
        listing = [build_config_item(), build_entry_item('i-0', 2), *items]
        store = _ListedStore({'items': listing, 'asOf': 9})
        view, peer = FleetView(), FleetView()
        view.apply(asyncio.run(store.read_all()))
        _pull(peer, view)
        self._check_same(view, peer)
        version = view.routes.version + 1
        assume(version <= MAX_INTEGER)
        change = build_config_item(10, version=version)
        entry = build_entry_item('i-last', 11)
        store.listing = {'events': [change, entry], 'asOf': 11}
        view.apply(asyncio.run(store.wait(9, 1)))
        _pull(peer, view)
        self._check_same(view, peer)
        self.assertEqual(peer.routes.version, version)
        self.assertIn('i-last', peer.records)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(('items', 'events', 'asOf', 'truncated')),
            _ODD_VALUES | st.lists(_ITEMS | _ODD_VALUES, max_size=2),
        )
        | _ODD_VALUES
    )
    def test_any_response_is_an_update_or_an_error_of_the_platform(
        self, listing: Any
    ) -> None:
        store = _ListedStore(listing)
        for call in (store.read_all(), store.wait(9, 1)):
            try:
                update = asyncio.run(call)
            except PlatformError:
                continue
            self.assertIsInstance(update, ViewUpdate)

    def _check_same(self, view: FleetView, peer: FleetView) -> None:
        self.assertEqual(view.records, peer.records)
        self.assertEqual(view.revision, peer.revision)
        self.assertEqual(view.routes.version, peer.routes.version)


def _pull(peer: FleetView, view: FleetView) -> None:
    """Apply a peer's pull of the view."""
    raw = encode_update(view, peer.revision, peer.routes.version)
    peer.apply(decode_update(raw))
