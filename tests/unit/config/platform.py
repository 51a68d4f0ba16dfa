"""In-memory configuration service behind an httpx transport."""

import asyncio
import hashlib
from collections.abc import Callable
from urllib.parse import unquote

import httpx

PREFIX = '/v1/keys/'


class FakePlatform:
    """Serves reads and watches from ``table`` and records the keys read."""

    def __init__(self) -> None:
        self.table: dict[str, bytes] = {}
        self.reads: list[str] = []
        self.build_failure: Callable[[], httpx.Response] | None = None
        self._changed = asyncio.Event()

    @property
    def transport(self) -> httpx.MockTransport:
        return httpx.MockTransport(self.handle)

    def publish(self, key: str, raw: bytes) -> None:
        self.table[key] = raw
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: httpx.Request) -> httpx.Response:
        key = unquote(request.url.path.removeprefix(PREFIX))
        self.reads.append(key)
        if self.build_failure is not None:
            return self.build_failure()
        wait = float(request.url.params.get('wait', 0))
        known = request.headers.get('If-None-Match', '')
        if wait and self._etag(key) == known:
            try:
                await asyncio.wait_for(self._changed.wait(), wait)
            except TimeoutError:
                return httpx.Response(304)
        if key not in self.table:
            return httpx.Response(404)
        headers = {'ETag': self._etag(key)}
        return httpx.Response(200, content=self.table[key], headers=headers)

    def _etag(self, key: str) -> str:
        digest = hashlib.sha256(self.table.get(key, b'')).hexdigest()
        return f'"{digest[:12]}"'
