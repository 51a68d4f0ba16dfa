"""Stand-in for the platform: configuration service and instance list.

Clients read a key with ``GET /v1/keys/<key>`` and watch it with
``?wait=<seconds>`` and If-None-Match. Only the control paths write values.
"""

import argparse
import asyncio
import enum
import hashlib
import json
import time
from collections import Counter
from typing import Any

from attrs import define, field, frozen

from dragonflyshift._internal.models import Address
from tests.lib import http, standin

READS_PER_SECOND = 2000
MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_SECONDS = 300.0
RETRY_AFTER_SECONDS = 1
KEYS_PATH = '/v1/keys/'
PUBLISH_PATH = '/control/keys/'
INSTANCES_PATH = '/control/instances/'


class Mode(enum.StrEnum):
    """Behaviour towards readers: normal, unavailable, frozen or outdated."""

    UP = 'up'
    DOWN = 'down'
    STALE = 'stale'
    OLDER = 'older'


@frozen
class PublishedValue:
    """One published value and its ETag."""

    body: bytes
    etag: str

    @classmethod
    def from_body(cls, body: bytes) -> 'PublishedValue':
        """Derive the ETag from the content."""
        digest = hashlib.sha256(body).hexdigest()
        return cls(body, f'"{digest[:32]}"')


@define
class ValueStore:
    """The first, newest and frozen value of each key."""

    oldest: dict[str, PublishedValue] = field(factory=dict)
    newest: dict[str, PublishedValue] = field(factory=dict)
    frozen: dict[str, PublishedValue] = field(factory=dict)
    mode: Mode = Mode.UP

    def publish(self, key: str, body: bytes) -> None:
        """Set a key's value."""
        value = PublishedValue.from_body(body)
        self.oldest.setdefault(key, value)
        self.newest[key] = value

    def switch(self, mode: Mode) -> None:
        """Set the mode; the present values become the frozen ones."""
        self.frozen = dict(self.newest)
        self.mode = mode

    def read(self, key: str) -> PublishedValue | None:
        """Return the value that a reader receives in the current mode."""
        if self.mode is Mode.OLDER:
            return self.oldest.get(key)
        if self.mode is Mode.STALE:
            return self.frozen.get(key)
        return self.newest.get(key)


@define
class RequestCounts:
    """Requests by response status, and the reads of the current second."""

    calls: Counter[str] = field(factory=Counter)
    second: int = 0
    reads: int = 0
    peak: int = 0

    def count_read(self, now: float) -> bool:
        """Count a read; return False above READS_PER_SECOND."""
        if int(now) != self.second:
            self.second = int(now)
            self.reads = 0
        self.reads += 1
        self.peak = max(self.peak, self.reads)
        return self.reads <= READS_PER_SECOND


class Platform:
    """The configuration service and its control paths."""

    def __init__(self, lag: float) -> None:
        self.store = ValueStore()
        self.counts = RequestCounts()
        self._lag = lag
        self._changed = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()

    async def handle(self, exchange: http.Exchange) -> None:
        """Handle one request."""
        body = await exchange.body()
        path = exchange.request.path
        if path.startswith(KEYS_PATH):
            await self._read(exchange, path.removeprefix(KEYS_PATH))
        elif path.startswith('/control/'):
            await self._control(exchange, path, body)
        else:
            await exchange.reply(404)

    async def _read(self, exchange: http.Exchange, key: str) -> None:
        if not self.counts.count_read(time.monotonic()):
            after = ('retry-after', str(RETRY_AFTER_SECONDS))
            await self._respond(exchange, 429, headers=(after,))
            return
        if exchange.request.method != 'GET':
            await self._respond(exchange, 405)
            return
        known_etag = exchange.request.headers.get('if-none-match', '')
        wait = float(exchange.request.query.get('wait', 0))
        status, value = await self._find_value(key, known_etag, wait)
        if value is None:
            await self._respond(exchange, status)
            return
        etag = ('etag', value.etag)
        body = value.body if status == 200 else b''
        await self._respond(exchange, status, body, (etag,))

    async def _find_value(
        self,
        key: str,
        known_etag: str,
        wait: float,
    ) -> tuple[int, PublishedValue | None]:
        """Return the status and the value for a read or a watch.

        Without a change, a watch returns after ``wait`` seconds.
        """
        deadline = time.monotonic() + min(wait, MAX_WAIT_SECONDS)
        while True:
            if self.store.mode is Mode.DOWN:
                return 503, None
            value = self.store.read(key)
            if value is None and not known_etag:
                return 404, None
            if value is not None and value.etag != known_etag:
                return 200, value
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return (304 if value else 404), value
            await _wait_for(self._changed, remaining)

    async def _respond(
        self,
        exchange: http.Exchange,
        status: int,
        body: bytes = b'',
        headers: http.Headers = (),
    ) -> None:
        self.counts.calls[str(status)] += 1
        if status == 304:
            await exchange.start(status, headers)
            await exchange.finish()
        else:
            await exchange.reply(status, body, headers)

    async def _control(
        self,
        exchange: http.Exchange,
        path: str,
        body: bytes,
    ) -> None:
        method = exchange.request.method
        if method == 'GET' and path == '/control/counts':
            counts = self.counts
            calls: dict[str, Any] = {**counts.calls, 'peak': counts.peak}
            await exchange.reply_json(calls)
            return
        status = 404
        if method == 'PUT':
            status = self._change(path, body)
        await exchange.reply(status)

    def _change(self, path: str, body: bytes) -> int:
        if path == '/control/mode':
            self.store.switch(Mode(json.loads(body)))
            self._notify_watchers()
            return 204
        if path.startswith(INSTANCES_PATH):
            service = path.removeprefix(INSTANCES_PATH)
            loop = asyncio.get_running_loop()
            key = f'instances/{service}'
            loop.call_later(self._lag, self._publish, key, body)
            return 202
        if not path.startswith(PUBLISH_PATH):
            return 404
        if len(body) > MAX_VALUE_BYTES:
            return 413
        self._publish(path.removeprefix(PUBLISH_PATH), body)
        return 204

    def _publish(self, key: str, body: bytes) -> None:
        self.store.publish(key, body)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _wait_for(changed: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await changed.wait()
    except TimeoutError:
        return


async def _main(args: argparse.Namespace) -> None:
    platform = Platform(args.lag)
    listen = args.listen
    server = await http.serve(platform.handle, listen.host, listen.port)
    standin.announce(port=http.bound_port(server))
    await standin.until_stopped()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', type=Address.parse, required=True)
    parser.add_argument(
        '--lag',
        type=float,
        default=2.0,
        help='seconds until a change of the instance list is visible',
    )
    standin.run(_main(parser.parse_args()))


if __name__ == '__main__':
    main()
