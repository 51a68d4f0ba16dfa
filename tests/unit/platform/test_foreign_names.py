"""Tests that the names of foreign entries mean nothing to daemons.

An entry whose identifier was a name that daemons use among themselves was
taken for an evacuation by all peers, which then refused every new flow.
"""

import asyncio
import json
import logging
import unittest
from typing import Any

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    endpoint_name,
    find_claims,
    split_removals,
)
from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift.platform.http_client import HttpResponse
from dragonflyshift.platform.store import PlatformStore
from tests.lib.build_before import (
    adapter_removals_before,
    split_removals_before,
)
from tests.lib.kvstore import (
    build_config_item,
    build_entry_item,
    build_item,
)

_ZONE = 'klang'
_SOUND = 'lists-1'
_PREFIXES = (
    '',
    '\x01',
    '\x01evacuated:',
    '\x01in-service:',
    '\x01operator-evacuated:',
    '\x01operator-in-service:',
    '\x01id:',
    '\x01id:\x01evacuated:',
    'services:',
    'warmup:',
)
_NAMES = st.builds(
    str.__add__,
    st.sampled_from(_PREFIXES),
    st.sampled_from((_ZONE, 'ipoh', '', f'{_SOUND}-')) | st.text(max_size=4),
).filter(lambda name: name != _SOUND)
_VALUES = st.sampled_from(({}, b'', b'\xff\xfe', [], {'state': 'ready'}, None))
# A foreign entry that is written, written again, or removed.
_FOREIGN = st.lists(st.tuples(_NAMES, _VALUES), max_size=6)
_EVACUATED = st.sampled_from(((), (_ZONE,)))


class _ScriptedStore(PlatformStore):
    """A store that returns a body, whatever the call."""

    def __init__(self, body: Any) -> None:
        super().__init__(('127.0.0.1', 9))
        self.body = body

    async def _exchange(self, target: str) -> HttpResponse:
        return HttpResponse(200, {}, json.dumps(self.body).encode())


class ForeignNamesTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_foreign_entry_evacuates_no_data_center(self) -> None:
        name = f'\x01evacuated:{_ZONE}'
        view = _read(((name, {}),), ())
        peer = FleetView()
        peer.apply(decode_update(encode_update(view, 0, 0)))
        late = FleetView(revision=3)
        late.apply(decode_update(encode_update(view, 3, 0)))
        for each in (view, peer, late):
            self.assertEqual(each.evacuations.evacuated, frozenset())

    def test_foreign_entry_ends_no_evacuation(self) -> None:
        view = _read(((f'\x01in-service:{_ZONE}', {}),), (_ZONE,))
        late = FleetView(revision=3)
        late.apply(decode_update(encode_update(view, 3, 0)))
        self.assertEqual(view.evacuations.evacuated, {_ZONE})
        self.assertEqual(late.evacuations.evacuated, {_ZONE})

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(_FOREIGN, _EVACUATED)
    def test_views_are_the_same_with_and_without_foreign_entries(
        self,
        foreign: list[tuple[str, Any]],
        evacuated: tuple[str, ...],
    ) -> None:
        alone = _read((), evacuated)
        view = _read(foreign, evacuated)
        self._check_same(view, alone)
        for base in (0, 3):
            peer = _read((), ())
            peer.revision = base
            peer.apply(decode_update(encode_update(view, base, 0)))
            self._check_same(peer, alone)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(_FOREIGN, _EVACUATED)
    def test_build_before_gets_the_same_from_a_reader_of_this_build(
        self,
        foreign: list[tuple[str, Any]],
        evacuated: tuple[str, ...],
    ) -> None:
        rows = []
        for entries in (foreign, []):
            view = _read(entries, evacuated)
            # What is sent to a peer at an earlier revision.
            update = _removal_rows(encode_update(view, 3, 0))
            removed, evacuations = split_removals_before(update)
            rows.append(
                [(rec.data_center, rec.is_evacuated) for rec in evacuations]
            )
            self.assertNotIn(_SOUND, dict(removed))
        self.assertEqual(*rows)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(_FOREIGN, _EVACUATED)
    def test_reader_of_the_build_before_evacuates_nothing(
        self,
        foreign: list[tuple[str, Any]],
        evacuated: tuple[str, ...],
    ) -> None:
        """It passes the names of foreign entries on as removals."""
        names = [name for name, _value in foreign]
        rows = adapter_removals_before(names, 90)
        view, alone = _read((), evacuated), _read((), evacuated)
        removed, evacuations = split_removals(rows)
        view.apply(
            ViewUpdate(
                view.revision,
                90,
                removed=removed,
                evacuations=evacuations,
                claims=find_claims(rows),
            )
        )
        self._check_same(view, alone)

    @given(st.text(max_size=6), st.text(max_size=6))
    @settings(derandomize=True)
    def test_names_of_endpoints_differ_if_their_identifiers_do(
        self, one: str, other: str
    ) -> None:
        for prefix in _PREFIXES:
            first, second = endpoint_name(prefix + one), endpoint_name(other)
            self.assertEqual(first == second, prefix + one == other)

    def _check_same(self, view: FleetView, expected: FleetView) -> None:
        self.assertEqual(set(view.records), set(expected.records))
        self.assertEqual(view.routes.version, expected.routes.version)
        self.assertEqual(
            view.evacuations.evacuated, expected.evacuations.evacuated
        )


def _read(foreign: Any, evacuated: tuple[str, ...]) -> FleetView:
    """Return the view of a reader of entries that were written by turns."""
    listing = [build_config_item(1), build_entry_item(_SOUND, 2)]
    store = _ScriptedStore({'items': listing, 'asOf': 3})
    view = FleetView()
    view.apply(asyncio.run(store.read_all()))
    events = [_event(*entry, 4 + index) for index, entry in enumerate(foreign)]
    events += [build_item(f'op/evacuate/{name}', 20, {}) for name in evacuated]
    store.body = {'events': events, 'asOf': 30}
    view.apply(asyncio.run(store.wait(3, 1)))
    return view


def _event(name: str, body: Any, revision: int) -> dict[str, Any]:
    key = f'servers/{name}'
    if body is None:
        return {'key': key, 'revision': revision, 'deleted': True}
    return build_item(key, revision, body)


def _removal_rows(raw: bytes) -> list[tuple[str, int]]:
    """Return the removal rows of an encoded update."""
    return [tuple(row) for row in msgpack.unpackb(raw)[3]]
