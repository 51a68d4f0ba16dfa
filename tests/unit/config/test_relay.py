import asyncio
import unittest
from unittest.mock import patch

from attrs import evolve

from dragonflyshift._internal.config import relay
from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.instances import decode_instances
from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.exceptions import ConfigurationError, PeerError
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.builders import (
    SERVICE,
    build_address,
    build_index,
    build_service,
    build_service_raw,
)

KEY = service_key(SERVICE)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore()
        self.fetched_keys: list[str] = []
        self.table = {KEY: build_service_raw(version=3)}

    async def fetch(self, key: str) -> bytes:
        self.fetched_keys.append(key)
        await asyncio.sleep(0)
        if key not in self.table:
            raise PeerError('no such key')
        return self.table[key]

    async def test_only_a_higher_version_is_pulled_and_only_once(self) -> None:
        outcomes = await asyncio.gather(
            *(
                relay.pull_from_peer(self.store, KEY, 3, self.fetch)
                for _ in 'abc'
            ),
        )
        self.assertEqual(sorted(outcomes), [False, False, True])
        await relay.pull_from_peer(self.store, KEY, 3, self.fetch)
        self.assertEqual(self.fetched_keys, [KEY])
        self.assertEqual(self.store.version(KEY), 3)

    async def test_failed_pull_is_retried_with_the_next_peer(self) -> None:
        async def never_respond(_key: str) -> bytes:
            await asyncio.sleep(5)
            return b''

        async def return_invalid(_key: str) -> bytes:
            return b'{}'

        with patch.object(relay, 'PULL_TIMEOUT_SECONDS', 0.02):
            with self.assertLogs(level='WARNING'):
                for fetch in (never_respond, return_invalid):
                    pulled = await relay.pull_from_peer(
                        self.store, KEY, 9, fetch
                    )
                    self.assertFalse(pulled)
        self.assertTrue(
            await relay.pull_from_peer(self.store, KEY, 9, self.fetch)
        )

    async def test_new_balancer_pulls_everything_from_a_peer(self) -> None:
        with self.assertLogs(level='WARNING'):
            self.assertFalse(
                await relay.pull_all_from_peer(self.store, self.fetch)
            )
        index = build_index(build_service(version=3))
        self.table[INDEX_KEY] = encode_document(index)
        self.assertTrue(await relay.pull_all_from_peer(self.store, self.fetch))
        self.assertEqual(self.store.version(KEY), 3)

    async def test_missing_or_invalid_document_does_not_stop_the_pull(
        self,
    ) -> None:
        names = [f'service-{number}' for number in range(4)]
        documents = [build_service(name) for name in names]
        missing, invalid, *valid = documents
        index = build_index(*documents)
        index = evolve(
            index,
            services=tuple(
                evolve(entry, addresses=(build_address(300 + number),))
                for number, entry in enumerate(index.services)
            ),
        )
        self.table[INDEX_KEY] = encode_document(index)
        self.table[service_key(invalid.name)] = b'{}'
        for document in valid:
            key = service_key(document.name)
            self.table[key] = encode_document(document)

        async def fetch(key: str) -> bytes:
            if key not in self.table:
                raise relay.MissingDocumentError('no such key')
            return await self.fetch(key)

        with self.assertLogs(level='WARNING'):
            self.assertFalse(await relay.pull_all_from_peer(self.store, fetch))
        self.assertEqual(
            self.store.stale_keys(),
            [service_key(missing.name), service_key(invalid.name)],
        )

    async def test_failure_of_the_peer_stops_the_pull(self) -> None:
        names = [f'service-{number}' for number in range(4)]
        index = build_index(
            *(
                build_service(name, addresses=(build_address(300 + number),))
                for number, name in enumerate(names)
            ),
        )
        self.table[INDEX_KEY] = encode_document(index)
        with self.assertLogs(level='WARNING'):
            self.assertFalse(
                await relay.pull_all_from_peer(self.store, self.fetch)
            )
        self.assertEqual(self.fetched_keys, [INDEX_KEY, service_key(names[0])])


class InstancesTest(unittest.TestCase):
    def test_leaving_instances(self) -> None:
        found = decode_instances(
            b'{"instances": [{"name": "lists-1", "state": "live"},'
            b' {"name": "lists-2", "state": "leaving"}]}',
        )
        self.assertEqual(found.leaving, {'lists-2'})

    def test_invalid_lists(self) -> None:
        for raw in (
            b'{}',
            b'{"instances": [{"name": "a", "state": "gone"}]}',
            b'{"instances": [{"name": "a", "state": "live"},'
            b' {"name": "a", "state": "live"}]}',
        ):
            with self.subTest(raw), self.assertRaises(ConfigurationError):
                decode_instances(raw)
