"""Run many watchers in one process, for ``bench.configuration.readers``.

Prints a JSON line when all watchers have reached a version, and one with the
costs so far at each SIGUSR1.
"""

import argparse
import asyncio
import gc
import json
import logging
import random
import resource
import signal
import time
from collections import defaultdict
from collections.abc import Sequence
from functools import partial
from typing import Any

import httpx
from attrs import define, field

from bench.configuration.documents import Inventory, build_inventory
from dragonflyshift._internal.config import (
    ConfigurationChange,
    ConfigurationStore,
    ConfigurationWatcher,
    PlatformClient,
    WatchScope,
)
from tests.lib import standin

PAGE_BYTES = resource.getpagesize()
HEADER_SEPARATOR_BYTES = 4


@define
class WatcherStatistics:
    """Counts of reads and the versions reached by this process's watchers.

    ``baseline_rss`` is the resident memory before any watcher exists.
    """

    readers: int
    reads: int = 0
    bytes_read: int = 0
    report_requests: int = 0
    baseline_rss: int = 0
    reached: dict[int, list[float]] = field(
        factory=partial(defaultdict, list),
    )

    def report(self, **more: Any) -> None:
        """Print a JSON line with the costs so far."""
        report = {
            'reads': self.reads,
            'bytes': self.bytes_read,
            'cpu_s': time.process_time(),
            'rss': resident_bytes(),
            **more,
        }
        print(json.dumps(report), flush=True)

    def report_on_request(self) -> None:
        """Print the costs with the number of the parent's request."""
        self.report_requests += 1
        self.report(asked=self.report_requests, empty=self.baseline_rss)

    def record_version(self, version: int) -> None:
        """Record that a watcher reached a version; report once all have."""
        times = self.reached[version]
        times.append(time.monotonic())
        if len(times) == self.readers:
            self.report(version=version, times=times)


class CountingTransport(httpx.AsyncHTTPTransport):
    """Counts reads and the bytes of their responses, headers included."""

    def __init__(self, statistics: WatcherStatistics) -> None:
        """Count in the statistics of the process."""
        # The readers use plain HTTP, so the transport loads no certificates.
        super().__init__(verify=False)
        self._statistics = statistics

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send a request and count it and the size of its response."""
        self._statistics.reads += 1
        response = await super().handle_async_request(request)
        head = sum(
            len(name) + len(text) + HEADER_SEPARATOR_BYTES
            for name, text in response.headers.raw
        )
        body = int(response.headers.get('content-length', 0))
        self._statistics.bytes_read += head + body
        return response


class Reader:
    """One watcher with its store."""

    def __init__(
        self,
        statistics: WatcherStatistics,
        args: argparse.Namespace,
    ) -> None:
        """Start with an empty store."""
        self.store = ConfigurationStore()
        self._statistics = statistics
        self._args = args
        self._reached = 0
        self.store.changes.subscribe(self._on_change)

    async def run(self, seed: int) -> None:
        """Watch the platform until cancelled."""
        transport = CountingTransport(self._statistics)
        client = PlatformClient(self._args.platform, transport=transport)
        watcher = ConfigurationWatcher(
            self.store,
            client,
            WatchScope(),
            self._args.watch_wait,
            random.Random(seed),
        )
        await watcher.run()

    def load_documents(self, inventory: Inventory) -> None:
        """Put all documents but bundles into the store, as if read."""
        for key, raw in inventory.key_values():
            if not key.startswith('dragonflyshift/bundle/'):
                self.store.apply(key, raw)

    def _on_change(self, _change: ConfigurationChange) -> None:
        index = self.store.index
        if index is None or index.version <= self._reached:
            return
        if not self.store.stale_keys():
            self._reached = index.version
            self._statistics.record_version(index.version)


def resident_bytes() -> int:
    """Return this process's resident memory in bytes."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _load_all(readers: Sequence[Reader], inventory: Inventory) -> None:
    for reader in readers:
        reader.load_documents(inventory)


async def run(args: argparse.Namespace) -> None:
    """Run all watchers until stopped."""
    statistics = WatcherStatistics(args.readers, baseline_rss=resident_bytes())
    readers = [Reader(statistics, args) for _number in range(args.readers)]
    if not args.fresh:
        inventory = build_inventory(args.services, args.endpoints, args.seed)
        _load_all(readers, inventory)
    # A daemon has one store: garbage collection over hundreds of stores would
    # add processor time that no daemon spends.
    gc.freeze()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, statistics.report_on_request)
    standin.announce(at=time.monotonic())
    first = args.seed * args.readers
    tasks = [
        asyncio.create_task(each.run(first + number))
        for number, each in enumerate(readers)
    ]
    await standin.until_stopped()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main() -> None:
    """Parse the options and run the watchers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--platform', required=True)
    parser.add_argument('--readers', type=int, required=True)
    parser.add_argument('--services', type=int, required=True)
    parser.add_argument('--endpoints', type=int, required=True)
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--watch-wait', type=float, required=True)
    parser.add_argument('--fresh', action='store_true')
    # Failures are expected, and the platform counts them.
    logging.basicConfig(level=logging.CRITICAL)
    standin.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
