import asyncio
import random
import unittest
from unittest.mock import patch

from dragonflyshift._internal.config import WatchScope, encode_document
from dragonflyshift._internal.control import (
    ConfigurationFeed,
    configuration,
    documents,
)
from dragonflyshift._internal.kernel.settings import Role, Settings
from dragonflyshift._internal.kernel.tasks import TaskGroup
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.builders import (
    DATA_CENTER,
    REGION,
    SERVICE,
    build_address,
    build_fleet_keys,
    build_index,
    build_service,
    build_service_raw,
)
from tests.lib.waiting import eventually
from tests.unit.control.seed import Seed, free_address

KEY = service_key(SERVICE)
SERVICES = 20


class FeedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        patcher = patch.object(configuration, 'SEED_PERIOD_SECONDS', 0.02)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.seed = Seed()
        await self.seed.server.start()
        self.addAsyncCleanup(self.seed.server.close)
        self.tasks = TaskGroup()
        self.addAsyncCleanup(self.tasks.close)

    def build_feed(self, scope: WatchScope) -> ConfigurationFeed:
        """Return the feed of a daemon whose platform is down."""
        role = Role.SIDECAR if scope.service else Role.BALANCER
        settings = Settings(
            role=role,
            listen=free_address(),
            data_center=DATA_CENTER,
            region=REGION,
            platform=f'http://{free_address()}',
            fleet_keys=build_fleet_keys(),
            service=scope.service,
            seeds=(free_address(), self.seed.address),
        )
        feed = ConfigurationFeed(
            settings,
            scope,
            self.tasks,
            random.Random(5),
        )
        self.addAsyncCleanup(feed.close)
        return feed

    def fill_seed(self) -> None:
        services = [
            build_service(
                f'service-{number}',
                addresses=(build_address(300 + number),),
            )
            for number in range(SERVICES)
        ]
        index = build_index(*services)
        self.seed.store.offer(INDEX_KEY, encode_document(index))
        for service in services:
            raw = encode_document(service)
            self.seed.store.offer(service_key(service.name), raw)

    async def test_fresh_balancer_reads_all_over_one_stream(self) -> None:
        self.fill_seed()
        feed = self.build_feed(WatchScope())
        with patch.object(
            documents,
            'connect_stream',
            wraps=documents.connect_stream,
        ) as connect:
            with self.assertLogs(level='WARNING'):
                await feed.start(INDEX_KEY)
                await feed.wait_until(lambda: not feed.store.stale_keys())
        self.assertEqual(feed.store.versions(), self.seed.store.versions())
        asked = [call.args[0] for call in connect.call_args_list]
        self.assertEqual(asked.count(self.seed.address), 1)

    async def test_fresh_sidecar_reads_its_document(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        started = asyncio.create_task(feed.start(KEY))
        self.addCleanup(started.cancel)
        with self.assertLogs(level='WARNING'):
            await asyncio.sleep(0.1)
            self.assertFalse(started.done())
            self.seed.store.offer(KEY, build_service_raw(version=2))
            async with asyncio.timeout(5):
                await started
        self.assertEqual(feed.store.versions(), {KEY: 2})

    async def test_higher_version_heard_is_pulled(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        feed.store.offer(KEY, build_service_raw(version=2))
        self.seed.store.offer(KEY, build_service_raw(version=3))
        feed.version_heard(KEY, 3, self.seed.address)

        async def is_level() -> bool:
            return feed.store.version(KEY) == 3

        await eventually(is_level)

    async def test_lower_version_heard_is_ignored(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        feed.store.offer(KEY, build_service_raw(version=3))
        with patch.object(documents, 'connect_stream') as connect:
            for version in (1, 2, 3):
                feed.version_heard(KEY, version, self.seed.address)
            await asyncio.sleep(0)
        connect.assert_not_called()

    async def test_peer_that_names_more_than_it_holds(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        feed.store.offer(KEY, build_service_raw(version=3))
        self.seed.store.offer(KEY, build_service_raw(version=2))
        with patch.object(
            documents.PeerDocuments,
            'fetch',
            autospec=True,
            side_effect=documents.PeerDocuments.fetch,
        ) as fetch:
            feed.version_heard(KEY, 9, self.seed.address)

            async def is_asked() -> bool:
                return fetch.await_count == 1 and not feed.store.pulling

            await eventually(is_asked)
        self.assertEqual(feed.store.version(KEY), 3)
