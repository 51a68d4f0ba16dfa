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
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
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
from tests.unit.control.seed_daemon import SeedDaemon, free_address

KEY = service_key(SERVICE)
SERVICE_COUNT = 20


class FeedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        patcher = patch.object(configuration, 'SEED_PERIOD_SECONDS', 0.02)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.seed_daemon = SeedDaemon()
        await self.seed_daemon.server.start()
        self.addAsyncCleanup(self.seed_daemon.server.close)
        self.tasks = BackgroundTasks()
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
            seeds=(free_address(), self.seed_daemon.address),
        )
        feed = ConfigurationFeed(
            settings,
            scope,
            self.tasks,
            random.Random(5),
        )
        self.addAsyncCleanup(feed.close)
        return feed

    def publish_on_seed(self) -> None:
        services = [
            build_service(
                f'service-{number}',
                addresses=(build_address(300 + number),),
            )
            for number in range(SERVICE_COUNT)
        ]
        index = build_index(*services)
        self.seed_daemon.store.apply(INDEX_KEY, encode_document(index))
        for service in services:
            raw = encode_document(service)
            self.seed_daemon.store.apply(service_key(service.name), raw)

    async def test_new_balancer_reads_all_documents_over_one_stream(
        self,
    ) -> None:
        self.publish_on_seed()
        feed = self.build_feed(WatchScope())
        with patch.object(
            documents,
            'connect_stream',
            wraps=documents.connect_stream,
        ) as connect:
            with self.assertLogs(level='WARNING'):
                await feed.start(INDEX_KEY)
                await feed.wait_until(lambda: not feed.store.stale_keys())
        self.assertEqual(
            feed.store.versions(), self.seed_daemon.store.versions()
        )
        connected_addresses = [call.args[0] for call in connect.call_args_list]
        self.assertEqual(connected_addresses.count(self.seed_daemon.address), 1)

    async def test_new_sidecar_reads_its_document_from_a_seed(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        start_task = asyncio.create_task(feed.start(KEY))
        self.addCleanup(start_task.cancel)
        with self.assertLogs(level='WARNING'):
            await asyncio.sleep(0.1)
            self.assertFalse(start_task.done())
            self.seed_daemon.store.apply(KEY, build_service_raw(version=2))
            async with asyncio.timeout(5):
                await start_task
        self.assertEqual(feed.store.versions(), {KEY: 2})

    async def test_higher_reported_version_is_pulled(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        feed.store.apply(KEY, build_service_raw(version=2))
        self.seed_daemon.store.apply(KEY, build_service_raw(version=3))
        feed.pull_newer_version(KEY, 3, self.seed_daemon.address)

        async def is_up_to_date() -> bool:
            return feed.store.version(KEY) == 3

        await eventually(is_up_to_date)

    async def test_lower_reported_version_is_ignored(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        feed.store.apply(KEY, build_service_raw(version=3))
        with patch.object(documents, 'connect_stream') as connect:
            for version in (1, 2, 3):
                feed.pull_newer_version(KEY, version, self.seed_daemon.address)
            await asyncio.sleep(0)
        connect.assert_not_called()

    async def test_older_document_than_reported_is_ignored(self) -> None:
        feed = self.build_feed(WatchScope(SERVICE))
        feed.store.apply(KEY, build_service_raw(version=3))
        self.seed_daemon.store.apply(KEY, build_service_raw(version=2))
        with patch.object(
            documents.PeerDocumentReader,
            'fetch',
            autospec=True,
            side_effect=documents.PeerDocumentReader.fetch,
        ) as fetch:
            feed.pull_newer_version(KEY, 9, self.seed_daemon.address)

            async def is_pull_finished() -> bool:
                return fetch.await_count == 1 and not feed.store.pulling

            await eventually(is_pull_finished)
        self.assertEqual(feed.store.version(KEY), 3)
