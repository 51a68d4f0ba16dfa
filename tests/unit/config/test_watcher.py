import asyncio
import contextlib
import random
import statistics
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Callable
from unittest.mock import patch

import httpx

from dragonflyshift._internal.config import backoff, pulls
from dragonflyshift._internal.config.bundles import encode_bundles
from dragonflyshift._internal.config.client import (
    PlatformClient,
    PlatformRequestError,
)
from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.config.watcher import (
    ConfigurationWatcher,
    WatchScope,
)
from dragonflyshift._internal.models.documents import (
    INDEX_KEY,
    bundle_key,
    service_key,
)
from tests.lib.builders import (
    SERVICE,
    build_address,
    build_index,
    build_service,
    build_service_raw,
)
from tests.unit.config.platform import FakePlatform

KEY = service_key(SERVICE)
EXPORTS_KEY = service_key('exports')
URL = 'http://platform.test'
DEADLINE_SECONDS = 5
SERVICE_COUNT = 9
BUNDLE_COUNT = 2


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(DEADLINE_SECONDS / 1000)
    raise AssertionError('the condition was not met within 5 s')


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        for module, name in (
            (backoff, 'FIRST_MAX_DELAY_SECONDS'),
            (backoff, 'LATER_MIN_DELAY_SECONDS'),
            (backoff, 'LATER_MAX_DELAY_SECONDS'),
            (backoff, 'MISSING_KEY_MAX_DELAY_SECONDS'),
            (pulls, 'SPREAD_SECONDS'),
            (pulls, 'BUNDLE_DELAY_SECONDS'),
        ):
            patcher = patch.object(module, name, 0.02)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.platform = FakePlatform()
        self.store = ConfigurationStore()

    @contextlib.asynccontextmanager
    async def run_watcher(self, service: str = '') -> AsyncIterator[None]:
        transport = self.platform.transport
        async with PlatformClient(URL, transport=transport) as client:
            watcher = ConfigurationWatcher(
                self.store,
                client,
                WatchScope(service),
                wait=0.5,
                rng=random.Random(7),
            )
            task = asyncio.create_task(watcher.run())
            yield
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def publish(self, version: int) -> None:
        lists = build_service(version=version)
        exports = build_service(
            'exports',
            addresses=(build_address(201),),
        )
        index = build_index(lists, exports, version=version)
        self.platform.publish(KEY, encode_document(lists))
        self.platform.publish(EXPORTS_KEY, encode_document(exports))
        self.platform.publish(INDEX_KEY, encode_document(index))

    async def test_balancer_pulls_only_newer_documents(self) -> None:
        self.publish(1)
        async with self.run_watcher():
            await until(lambda: self.store.versions().get(EXPORTS_KEY) == 1)
            await until(lambda: self.store.version(KEY) == 1)
            self.publish(2)
            await until(lambda: self.store.version(KEY) == 2)
        self.assertEqual(self.platform.reads.count(EXPORTS_KEY), 1)
        self.assertEqual(self.platform.reads.count(KEY), 2)

    def publish_many(self, version: int) -> list[str]:
        documents = [
            build_service(
                f'service-{number}',
                version,
                addresses=(build_address(300 + number),),
            )
            for number in range(SERVICE_COUNT)
        ]
        for document in documents:
            raw = encode_document(document)
            self.platform.publish(service_key(document.name), raw)
        for number, raw in enumerate(encode_bundles(documents, BUNDLE_COUNT)):
            self.platform.publish(bundle_key(number), raw)
        index = build_index(*documents, version=version, bundles=BUNDLE_COUNT)
        self.platform.publish(INDEX_KEY, encode_document(index))
        return [service_key(document.name) for document in documents]

    def are_at_version(self, keys: list[str], version: int) -> bool:
        return all(self.store.version(key) == version for key in keys)

    def individual_reads(self) -> list[str]:
        prefix = service_key('')
        return [key for key in self.platform.reads if key.startswith(prefix)]

    async def test_fresh_balancer_reads_bundles(self) -> None:
        # The spread must last longer than reading the index takes.
        with patch.object(pulls, 'SPREAD_SECONDS', 0.3):
            async with self.run_watcher():
                with self.assertLogs(level='WARNING'):
                    await until(lambda: INDEX_KEY in self.platform.reads)
                keys = self.publish_many(1)
                await until(lambda: self.are_at_version(keys, 1))
        bundles = [bundle_key(number) for number in range(BUNDLE_COUNT)]
        self.assertEqual(self.individual_reads(), [])
        for key in bundles:
            self.assertEqual(self.platform.reads.count(key), 1)

    async def test_few_stale_documents_are_read_individually(self) -> None:
        keys = self.publish_many(1)
        up_to_date = {key: self.platform.table[key] for key in keys[2:]}
        for key, raw in up_to_date.items():
            self.store.apply(key, raw)
        async with self.run_watcher():
            await until(lambda: self.are_at_version(keys, 1))
        self.assertEqual(sorted(self.individual_reads()), keys[:2])
        self.assertNotIn(bundle_key(0), self.platform.reads)

    async def test_stale_or_missing_bundles_fall_back_to_single_reads(
        self,
    ) -> None:
        self.publish_many(1)
        stale_bundle = self.platform.table[bundle_key(0)]
        keys = self.publish_many(2)
        self.platform.publish(bundle_key(0), stale_bundle)
        del self.platform.table[bundle_key(1)]
        async with self.run_watcher():
            with self.assertLogs(level='WARNING'):
                await until(lambda: self.are_at_version(keys, 2))
        self.assertTrue(self.individual_reads())
        self.assertEqual(self.platform.reads.count(bundle_key(0)), 1)

    async def test_invalid_document_in_a_bundle_is_rejected_alone(self) -> None:
        keys = self.publish_many(1)
        raw = self.platform.table[bundle_key(0)]
        lines = raw.split(b'\n')
        corrupted = [b'{"version": 7}', *lines[1:], b'', b'\xff']
        self.platform.publish(bundle_key(0), b'\n'.join(corrupted))
        async with self.run_watcher():
            with self.assertLogs(level='ERROR'):
                await until(lambda: self.are_at_version(keys, 1))
        self.assertEqual(len(self.individual_reads()), 1)

    async def test_bundles_are_read_again_after_a_failure(self) -> None:
        keys = self.publish_many(1)
        self.store.apply(INDEX_KEY, self.platform.table[INDEX_KEY])
        self.platform.build_failure = lambda: httpx.Response(429)
        async with self.run_watcher():
            with self.assertLogs(level='WARNING'):
                await until(lambda: bundle_key(0) in self.platform.reads)
            self.platform.build_failure = None
            await until(lambda: self.are_at_version(keys, 1))
        self.assertEqual(self.individual_reads(), [])

    async def test_missing_document_is_read_once_published(self) -> None:
        async with self.run_watcher(SERVICE):
            with self.assertLogs(level='WARNING'):
                await until(lambda: self.platform.reads.count(KEY) > 1)
            self.publish(1)
            await until(lambda: self.store.version(KEY) == 1)

    async def test_sidecar_reads_its_own_key_alone(self) -> None:
        self.publish(1)
        async with self.run_watcher(SERVICE):
            await until(lambda: self.store.version(KEY) == 1)
            self.publish(2)
            await until(lambda: self.store.version(KEY) == 2)
        self.assertEqual(set(self.platform.reads), {KEY})

    async def test_outage_and_older_version_keep_the_document(self) -> None:
        self.publish(4)
        async with self.run_watcher():
            await until(lambda: self.store.version(KEY) == 4)
            self.platform.build_failure = lambda: httpx.Response(503)
            self.publish(3)
            failed = len(self.platform.reads) + 3
            with self.assertLogs(level='WARNING'):
                await until(lambda: len(self.platform.reads) >= failed)
            self.platform.build_failure = None
            await until(
                lambda: (
                    self.platform.reads[-3:] == [INDEX_KEY for _ in range(3)]
                )
            )
            self.assertEqual(self.store.version(KEY), 4)
            self.publish(5)
            await until(lambda: self.store.version(KEY) == 5)

    async def test_document_older_than_the_index_is_read_again(self) -> None:
        self.publish(1)
        lists = build_service(version=2)
        index = build_index(lists, version=2)
        self.platform.publish(INDEX_KEY, encode_document(index))
        async with self.run_watcher():
            await until(lambda: self.platform.reads.count(KEY) >= 3)
            self.assertEqual(self.store.version(KEY), 1)
            self.platform.publish(KEY, encode_document(lists))
            await until(lambda: self.store.version(KEY) == 2)

    async def test_invalid_document_is_rejected(self) -> None:
        self.publish(1)
        async with self.run_watcher(SERVICE):
            await until(lambda: self.store.version(KEY) == 1)
            with self.assertLogs(level='ERROR'):
                self.platform.publish(KEY, b'{"version": 9}')
                await until(lambda: self.platform.reads.count(KEY) > 2)
            self.platform.publish(KEY, build_service_raw(version=3))
            await until(lambda: self.store.version(KEY) == 3)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def fetch_error(
        self,
        handler: Callable[[httpx.Request], httpx.Response],
    ) -> PlatformRequestError:
        transport = httpx.MockTransport(handler)
        async with PlatformClient(URL, transport=transport) as client:
            with self.assertRaises(PlatformRequestError) as caught:
                await client.fetch('a/b')
        return caught.exception

    async def test_failures(self) -> None:
        busy = httpx.Response(429, headers={'Retry-After': '7'})
        exc = await self.fetch_error(lambda _request: busy)
        self.assertEqual((exc.status, exc.retry_after), (429, 7))
        exc = await self.fetch_error(lambda _request: httpx.Response(404))
        self.assertTrue(exc.is_missing)
        large = httpx.Response(200, content=b'x' * 1_048_577)
        exc = await self.fetch_error(lambda _request: large)
        self.assertIn('more than 1048576 bytes', exc.message)

    async def test_connection_failure(self) -> None:
        def refuse(request: httpx.Request) -> httpx.Response:
            raise httpx.ConnectError('refused', request=request)

        exc = await self.fetch_error(refuse)
        self.assertEqual(exc.status, 0)

    async def test_watches_share_a_connection(self) -> None:
        connection_count = 0

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            nonlocal connection_count
            connection_count += 1
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b'\r\n\r\n')
                    writer.write(b'HTTP/1.1 304 Not Modified\r\n\r\n')
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        async with PlatformClient(f'http://127.0.0.1:{port}') as client:
            for _ in range(3):
                self.assertIsNone(await client.watch('a', '"1"', 1))
        self.assertEqual(connection_count, 1)

    async def test_service_without_response(self) -> None:
        async def never_respond(_request: httpx.Request) -> httpx.Response:
            await asyncio.sleep(DEADLINE_SECONDS)
            return httpx.Response(200)

        transport = httpx.MockTransport(never_respond)
        async with PlatformClient(URL, 0.05, transport) as client:
            with self.assertRaisesRegex(PlatformRequestError, 'no response'):
                await client.watch('a', '"1"', 0.05)


class BackoffTest(unittest.TestCase):
    def test_first_delays_stay_below_the_service_rate(self) -> None:
        rng = random.Random(3)
        delays = [backoff.Backoff(rng).next_delay() for _ in range(6150)]
        each_second = [
            sum(second <= delay < second + 1 for delay in delays)
            for second in range(4)
        ]
        self.assertLess(max(each_second), 2000)

    def test_delays_stay_spread_during_a_long_outage(self) -> None:
        rng = random.Random(3)
        reads: Counter[int] = Counter()
        for _ in range(6150):
            delays = backoff.Backoff(rng)
            elapsed = delays.next_delay()
            while elapsed < 120:
                reads[int(elapsed)] += 1
                delay = delays.next_delay()
                self.assertLess(delay, 5)
                elapsed += delay
        self.assertLess(max(reads.values()), 2000)
        # Each of 850 balancers that finds a change makes three reads, not one.
        peak_reads = max(reads[second] for second in range(60, 120))
        self.assertLess(peak_reads * (1 + 2 * 850 / 6150), 2000)

    def test_missing_key_is_read_again_soon(self) -> None:
        exc = PlatformRequestError('none', context='', status=404)
        each = backoff.Backoff(random.Random(3))
        delays = [each.next_delay(exc) for _ in range(50)]
        self.assertLessEqual(max(delays), 2)

    def test_retry_after_is_a_minimum_with_jitter(self) -> None:
        exc = PlatformRequestError('busy', context='', retry_after=3)
        each = backoff.Backoff(random.Random(3))
        delays = [each.next_delay(exc) for _ in range(20)]
        self.assertGreaterEqual(min(delays), 3)
        self.assertLessEqual(max(delays), 11)
        self.assertGreater(statistics.stdev(delays), 1)


class PullRoundTest(unittest.TestCase):
    def most_reads_per_second(self, *, keys: int, bundles: bool) -> int:
        """Return the highest number of reads per second of 850 balancers."""
        rng = random.Random(3)
        names = [str(number) for number in range(keys)]
        # All balancers watch the index again. Those that read bundles may
        # have just started, so that they read the index as well.
        reads = Counter({0: 850 * (1 + bundles)})
        for _ in range(850):
            attempt = pulls.PullRound(names, are_bundles=bundles)
            delay = attempt.choose_delay(rng)
            self.assertLess(delay, 5)
            reads[int(delay)] += keys
        return max(reads.values())

    def test_pulls_stay_below_the_service_rate(self) -> None:
        for keys, bundles in ((1, False), (5, False), (3, True)):
            with self.subTest(keys=keys, bundles=bundles):
                busiest = self.most_reads_per_second(keys=keys, bundles=bundles)
                self.assertLess(busiest, 2000)
