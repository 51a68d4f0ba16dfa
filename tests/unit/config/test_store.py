import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.store import (
    ConfigurationChange,
    ConfigurationStore,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.builders import (
    SERVICE,
    build_address,
    build_index,
    build_service,
    build_service_raw,
)

KEY = service_key(SERVICE)


class VersionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore()
        self.changes: list[ConfigurationChange] = []
        self.store.changes.subscribe(self.changes.append)

    def test_empty(self) -> None:
        self.assertEqual(self.store.version(KEY), 0)
        self.assertIsNone(self.store.raw(KEY))
        self.assertIsNone(self.store.service_by_tag(0))

    def test_newer_versions_come_into_force(self) -> None:
        for version in (2, 5):
            raw = build_service_raw(version=version)
            self.assertTrue(self.store.apply(KEY, raw))
            self.assertEqual(self.store.raw(KEY), raw)
        self.assertEqual(
            self.changes,
            [ConfigurationChange(KEY, 2), ConfigurationChange(KEY, 5)],
        )

    def test_invalid_document_keeps_the_last_valid_one(self) -> None:
        valid = build_service_raw(version=2)
        self.store.apply_service(valid)
        with self.assertLogs(level='ERROR'):
            with self.assertRaises(ConfigurationError):
                self.store.apply_service(valid.replace(b'"slots"', b'"slits"'))
        self.assertEqual(self.store.raw(KEY), valid)
        self.assertEqual(len(self.changes), 1)

    def test_different_content_with_the_same_version(self) -> None:
        self.store.apply_service(build_service_raw(version=2))
        self.assertFalse(
            self.store.apply_service(build_service_raw(version=2)),
        )
        with self.assertLogs(level='ERROR'):
            with self.assertRaises(ConfigurationError):
                self.store.apply_service(
                    build_service_raw(version=2, endpoints=4),
                )

    def test_failing_subscriber_does_not_affect_others(self) -> None:
        store = ConfigurationStore()
        store.changes.subscribe(lambda change: {}[change.version])
        store.changes.subscribe(self.changes.append)
        with self.assertLogs(level='ERROR'):
            for version in (1, 2):
                store.apply(KEY, build_service_raw(version=version))
        self.assertEqual([change.version for change in self.changes], [1, 2])

    def test_document_under_the_key_of_another_service(self) -> None:
        with self.assertLogs(level='ERROR'):
            with self.assertRaises(ConfigurationError):
                self.store.apply(service_key('exports'), build_service_raw())

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.lists(st.integers(1, 6), max_size=8))
    def test_never_goes_back(self, versions: list[int]) -> None:
        store = ConfigurationStore()
        highest = 0
        for version in versions:
            store.apply_service(build_service_raw(version=version))
            highest = max(highest, version)
            self.assertEqual(store.version(KEY), highest)


class OwnershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore()
        self.lists = build_service()
        self.address = self.lists.addresses[0]

    def test_address_moves_to_another_service(self) -> None:
        moved = build_service('exports', version=2)
        self.store.apply_service(encode_document(self.lists))
        self.store.apply_index(encode_document(build_index(self.lists)))
        self.assertEqual(
            self.store.service_by_address(self.address),
            self.lists,
        )
        index = build_index(moved, version=2)
        self.store.apply_index(encode_document(index))
        self.assertIsNone(self.store.service_by_address(self.address))
        self.store.apply_service(encode_document(moved))
        self.assertEqual(self.store.service_by_address(self.address), moved)

    def test_service_removed_from_the_index(self) -> None:
        other = build_service(
            'exports',
            addresses=(build_address(201, 4433),),
        )
        self.store.apply_service(encode_document(self.lists))
        self.store.apply_index(encode_document(build_index(self.lists, other)))
        self.assertFalse(self.store.is_retired(SERVICE))
        index = build_index(other, version=2)
        self.store.apply_index(encode_document(index))
        self.assertTrue(self.store.is_retired(SERVICE))
        self.assertEqual(
            self.store.service_by_tag(self.lists.tag),
            self.lists,
        )
        self.assertEqual(
            self.store.service_by_address(self.address),
            self.lists,
        )
        self.assertEqual(self.store.versions(), {KEY: 1, INDEX_KEY: 2})
