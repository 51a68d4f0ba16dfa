"""A fake of the platform's store that listens on loopback."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress


def build_item(key: str, revision: int, body: Any) -> dict[str, Any]:
    """Return an item as the store lists it."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return {
        'key': key,
        'value': base64.b64encode(raw).decode(),
        'revision': revision,
        'created': revision,
        'lease': 0,
    }


def build_route_body(**changes: Any) -> dict[str, Any]:
    """Return a route as the configuration lists it."""
    return {
        'name': 'view',
        'host': '198.18.0.1',
        'prefix': '/443/',
        'type': 'safe',
        'timeoutMs': 1200,
        'sloMs': 225,
        'priority': 2,
        'service': 'lists',
        **changes,
    }


def build_config_item(revision: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the item of the configuration."""
    body = {
        'version': 3,
        'routes': [build_route_body()],
        'services': [],
        'limits': {'idleTimeoutMs': 15000},
        **changes,
    }
    return build_item('op/config', revision, body)


def build_entry_body(**changes: Any) -> dict[str, Any]:
    """Return what an endpoint writes into its entry."""
    return {
        'service': 'lists',
        'address': '127.0.0.1:8080',
        'zone': 'klang',
        'version': 'v1',
        'maxConcurrency': 3,
        'state': 'ready',
        'warmupLeftMs': 0,
        'sequence': 4,
        'born': 1_767_678_649_300,
        **changes,
    }


def build_entry_item(
    name: str, revision: int, **changes: Any
) -> dict[str, Any]:
    """Return the item of an endpoint."""
    entry = build_entry_body(**changes)
    return build_item(f'servers/{name}', revision, entry)


@define(eq=False)
class FakeStore:
    """Serves ``items`` page by page, and ``events`` to watches.

    A ``status`` other than 200 is the response to every call. While
    ``is_unresponsive`` is set, calls get no response. Watches from before
    ``oldest_revision`` are refused, and those from a revision that it doesn't
    have. With an ``era`` all responses have it in the header ``Store-Era``.
    """

    items: list[dict[str, Any]] = field(factory=list)
    events: list[dict[str, Any]] = field(factory=list)
    page_size: int = 500
    revision: int = 1
    oldest_revision: int = 0
    era: int | None = None
    # After this number of calls the store is restored from its present items.
    restore_after_calls: int = -1
    status: int = 200
    is_unresponsive: bool = False
    calls: list[str] = field(factory=list)
    connections: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> SocketAddress:
        """Listen on a free port of loopback; return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return (host, port)

    def publish(self, event: dict[str, Any]) -> None:
        """Add a change of one key, at the revision that it has."""
        self.events.append(event)
        self.revision = event['revision']
        self.items = [
            item for item in self.items if item['key'] != event['key']
        ]
        if not event.get('deleted'):
            self.items.append(event)

    def restore(self, copy: list[dict[str, Any]], revision: int) -> None:
        """Continue from a copy of the items; later changes are lost."""
        self.items = list(copy)
        self.events = []
        self.revision = revision
        self.era = (self.era or 1) + 1

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head.split()[1].decode(), writer)
        except (OSError, EOFError, asyncio.CancelledError):
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.calls.append(target)
        if self.restore_after_calls == len(self.calls) - 1:
            self.restore(self.items, self.revision)
        if self.is_unresponsive:
            return
        status, body = self.status, b'{}'
        if status == 200:
            status, body = self._build_body(target)
        era = '' if self.era is None else f'Store-Era: {self.era}\r\n'
        writer.write(
            f'HTTP/1.1 {status} Status\r\n{era}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body,
        )
        await writer.drain()

    def _build_body(self, target: str) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {
            name: values[0] for name, values in parse_qs(parts.query).items()
        }
        if parts.path == '/kv-range':
            return 200, json.dumps(
                self._build_page(query.get('after', ''))
            ).encode()
        after = int(query['after'])
        if after < self.oldest_revision or after > self.revision:
            return 410, b'{}'
        events = [event for event in self.events if event['revision'] > after]
        body = {'events': events, 'asOf': self.revision}
        return 200, json.dumps(body).encode()

    def _build_page(self, after: str) -> dict[str, Any]:
        remaining = sorted(
            (item for item in self.items if item['key'] > after),
            key=_sort_key,
        )
        page = remaining[: self.page_size]
        return {
            'items': page,
            'truncated': len(page) < len(remaining),
            'asOf': self.revision,
        }


def _sort_key(item: dict[str, Any]) -> str:
    return str(item['key'])
