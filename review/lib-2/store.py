"""A stand-in for the platform's store: keys, pages, watches and a history."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


class Store:
    """Serves reads and watches; only the operator and endpoints write."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.era = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def put(self, key, body):
        """Write a value; return the time of the acknowledgement."""
        self.revision += 1
        raw = base64.b64encode(json.dumps(body).encode()).decode()
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': raw,
            'revision': self.revision,
            'created': created,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)
        self.record('store', f'{key} = {json.dumps(body)}')
        return time.monotonic()

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )
            self.record('store', f'{key} removed')

    def _publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                parts = urlsplit(head.split()[1].decode())
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                status, body = await self._answer(parts.path, query)
                raw = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} Status\r\nStore-Era: {self.era}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(raw)}\r\n\r\n'.encode() + raw
                )
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, query):
        await asyncio.sleep(0.004)
        if path == '/kv-key':
            item = self.items.get(query.get('key', ''))
            if item is None:
                return 404, {}
            return 200, {**item, 'asOf': self.revision}
        prefix = query.get('prefix', '')
        if path == '/kv-range':
            after = query.get('after', '')
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            return 200, {
                'items': [self.items[key] for key in keys[:50]],
                'truncated': len(keys) > 50,
                'asOf': self.revision,
            }
        if path != '/kv-watch':
            return 404, {}
        after = int(query['after'])
        if after > self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'asOf': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
