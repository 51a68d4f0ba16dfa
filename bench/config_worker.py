"""Many watchers in one process, for ``bench.config_readers``.

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

from bench.config_documents import Inventory, build_inventory
from dragonflyshift._internal.config import (
    ConfigurationChange,
    ConfigurationStore,
    ConfigurationWatcher,
    PlatformClient,
    WatchScope,
)
from tests.lib import standin

PAGE_BYTES = resource.getpagesize()
HEADER_EXTRA_BYTES = 4


@define
class Tally:
    """What all watchers of this process have done."""

    readers: int
    reads: int = 0
    bytes_read: int = 0
    asked: int = 0
    empty: int = 0
    reached: dict[int, list[float]] = field(
        factory=partial(defaultdict, list),
    )

    def report(self, **more: Any) -> None:
        """Print the costs so far."""
        report = {
            'reads': self.reads,
            'bytes': self.bytes_read,
            'cpu_s': time.process_time(),
            'rss': resident_bytes(),
            **more,
        }
        print(json.dumps(report), flush=True)

    def answer(self) -> None:
        """Print the costs for the parent process."""
        self.asked += 1
        self.report(asked=self.asked, empty=self.empty)

    def add(self, version: int) -> None:
        """Note that one more watcher reached a version."""
        times = self.reached[version]
        times.append(time.monotonic())
        if len(times) == self.readers:
            self.report(version=version, times=times)


class CountingTransport(httpx.AsyncHTTPTransport):
    """Count reads and the bytes of their answers, heads included."""

    def __init__(self, tally: Tally) -> None:
        """Count in a tally."""
        # The readers speak plain HTTP: one that loads no certificates.
        super().__init__(verify=False)
        self._tally = tally

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Pass a request on."""
        self._tally.reads += 1
        answer = await super().handle_async_request(request)
        head = sum(
            len(name) + len(text) + HEADER_EXTRA_BYTES
            for name, text in answer.headers.raw
        )
        body = int(answer.headers.get('content-length', 0))
        self._tally.bytes_read += head + body
        return answer


class Reader:
    """One watcher with its store."""

    def __init__(self, tally: Tally, args: argparse.Namespace) -> None:
        """Start with an empty store."""
        self.store = ConfigurationStore()
        self._tally = tally
        self._args = args
        self._reached = 0
        self.store.changes.subscribe(self._changed)

    async def run(self, seed: int) -> None:
        """Watch until cancelled."""
        transport = CountingTransport(self._tally)
        client = PlatformClient(self._args.platform, transport=transport)
        watcher = ConfigurationWatcher(
            self.store,
            client,
            WatchScope(),
            self._args.watch_wait,
            random.Random(seed),
        )
        await watcher.run()

    def fill(self, inventory: Inventory) -> None:
        """Put documents into the store as if they had been read."""
        for key, raw in inventory.published():
            if not key.startswith('dragonflyshift/bundle/'):
                self.store.offer(key, raw)

    def _changed(self, _change: ConfigurationChange) -> None:
        index = self.store.index
        if index is None or index.version <= self._reached:
            return
        if not self.store.stale_keys():
            self._reached = index.version
            self._tally.add(index.version)


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _fill(readers: Sequence[Reader], inventory: Inventory) -> None:
    for reader in readers:
        reader.fill(inventory)


async def run(args: argparse.Namespace) -> None:
    """Run all watchers until stopped."""
    tally = Tally(args.readers, empty=resident_bytes())
    readers = [Reader(tally, args) for _number in range(args.readers)]
    if not args.fresh:
        inventory = build_inventory(args.services, args.endpoints, args.seed)
        _fill(readers, inventory)
    # A daemon has one store: collecting hundreds would only be a burden here.
    gc.freeze()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, tally.answer)
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
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--platform', required=True)
    parser.add_argument('--readers', type=int, required=True)
    parser.add_argument('--services', type=int, required=True)
    parser.add_argument('--endpoints', type=int, required=True)
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--watch-wait', type=float, required=True)
    parser.add_argument('--fresh', action='store_true')
    # Failures are expected and counted by the platform.
    logging.basicConfig(level=logging.CRITICAL)
    standin.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
