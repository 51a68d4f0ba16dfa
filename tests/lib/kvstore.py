"""A stand-in for the platform's store, on loopback."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

_CONFIG: dict[str, Any] = {
    'version': 3,
    'routes': [
        {
            'name': 'view',
            'host': '198.18.0.1',
            'prefix': '/443/',
            'type': 'safe',
            'timeoutMs': 1200,
            'sloMs': 225,
            'priority': 2,
            'service': 'lists',
        },
    ],
    'services': [],
    'limits': {'idleTimeoutMs': 15000},
}


def build_item(key: str, revision: int, body: Any) -> dict[str, Any]:
    """Return an item of the store."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return {
        'key': key,
        'value': base64.b64encode(raw).decode(),
        'revision': revision,
        'created': revision,
        'lease': 0,
    }


def build_config_item(revision: int = 1) -> dict[str, Any]:
    """Return the configuration's item."""
    return build_item('op/config', revision, _CONFIG)


def build_entry_item(
    name: str, revision: int, **changes: Any
) -> dict[str, Any]:
    """Return an endpoint's item."""
    entry = {
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
    return build_item(f'servers/{name}', revision, entry)


@define(eq=False)
class StoreStandIn:
    """Serve items page by page, and events to watches.

    ``status`` other than 200 is answered to every call; while ``is_silent``
    nothing is answered.
    """

    items: list[dict[str, Any]] = field(factory=list)
    events: list[dict[str, Any]] = field(factory=list)
    page_items: int = 500
    revision: int = 1
    history_from: int = 0
    status: int = 200
    is_silent: bool = False
    calls: list[str] = field(factory=list)
    connections: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> SocketAddress:
        """Listen on a free port of loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return (host, port)

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
        if self.is_silent:
            return
        status, body = self.status, b'{}'
        if status == 200:
            status, body = self._body(target)
        writer.write(
            f'HTTP/1.1 {status} Status\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body,
        )
        await writer.drain()

    def _body(self, target: str) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        if parts.path == '/kv-range':
            return 200, json.dumps(self._page(query.get('after', ''))).encode()
        after = int(query['after'])
        if after < self.history_from:
            return 410, b'{}'
        events = [event for event in self.events if event['revision'] > after]
        body = {'events': events, 'asOf': self.revision}
        return 200, json.dumps(body).encode()

    def _page(self, after: str) -> dict[str, Any]:
        rest = sorted(
            (item for item in self.items if item['key'] > after),
            key=_key,
        )
        page = rest[: self.page_items]
        return {
            'items': page,
            'truncated': len(page) < len(rest),
            'asOf': self.revision,
        }


def _key(item: dict[str, Any]) -> str:
    return str(item['key'])
