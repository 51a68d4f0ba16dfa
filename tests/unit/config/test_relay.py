import asyncio
import unittest
from unittest.mock import patch

from dragonflyshift._internal.config import relay
from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.instances import decode_instances
from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.exceptions import ConfigurationError, PeerError
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.builders import (
    SERVICE,
    build_index,
    build_service,
    build_service_raw,
)

KEY = service_key(SERVICE)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore()
        self.asked: list[str] = []
        self.table = {KEY: build_service_raw(version=3)}

    async def fetch(self, key: str) -> bytes:
        self.asked.append(key)
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
        self.assertEqual(self.asked, [KEY])
        self.assertEqual(self.store.version(KEY), 3)

    async def test_failing_peer_leaves_the_key_to_the_next(self) -> None:
        async def hang(_key: str) -> bytes:
            await asyncio.sleep(5)
            return b''

        async def lie(_key: str) -> bytes:
            return b'{}'

        with patch.object(relay, 'PULL_TIMEOUT_SECONDS', 0.02):
            with self.assertLogs(level='WARNING'):
                for fetch in (hang, lie):
                    pulled = await relay.pull_from_peer(
                        self.store, KEY, 9, fetch
                    )
                    self.assertFalse(pulled)
        self.assertTrue(
            await relay.pull_from_peer(self.store, KEY, 9, self.fetch)
        )

    async def test_fresh_balancer_starts_from_a_peer(self) -> None:
        with self.assertLogs(level='WARNING'):
            self.assertFalse(
                await relay.pull_all_from_peer(self.store, self.fetch)
            )
        index = build_index(build_service(version=3))
        self.table[INDEX_KEY] = encode_document(index)
        self.assertTrue(await relay.pull_all_from_peer(self.store, self.fetch))
        self.assertEqual(self.store.version(KEY), 3)


class InstancesTest(unittest.TestCase):
    def test_leaving(self) -> None:
        found = decode_instances(
            b'{"instances": [{"name": "lists-1", "state": "live"},'
            b' {"name": "lists-2", "state": "leaving"}]}',
        )
        self.assertEqual(found.leaving, {'lists-2'})

    def test_refusal(self) -> None:
        for raw in (
            b'{}',
            b'{"instances": [{"name": "a", "state": "gone"}]}',
            b'{"instances": [{"name": "a", "state": "live"},'
            b' {"name": "a", "state": "live"}]}',
        ):
            with self.subTest(raw), self.assertRaises(ConfigurationError):
                decode_instances(raw)
