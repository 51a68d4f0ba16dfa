"""The client of the platform's store."""

__all__ = ('PlatformStore',)

import asyncio
import base64
import json
import logging
from typing import TYPE_CHECKING, Any

from dragonflyshift._internal.carried.fleet.source import (
    HistoryLostError,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import RouteTable
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PlatformError,
)
from dragonflyshift.platform.documents import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    decode_endpoint,
    decode_routes,
)

if TYPE_CHECKING:
    from dragonflyshift.platform.http_client import HttpConnection

logger = logging.getLogger(__name__)

READ_TIMEOUT_S = 1.5
# A watch ends without news after this; a silent connection shows by then.
WATCH_WAIT_MS = 2500
WATCH_MARGIN_S = 0.7
MAX_PAGES = 200
MS_PER_S = 1000
_OK = 200
_GONE = 410
_NOT_FOUND = 404
_NO_ANSWER = (OSError, EOFError)


class PlatformStore(ViewSource):
    """Read and watch the store over one kept connection."""

    def __init__(self, address: SocketAddress) -> None:
        """Connect at the first call."""
        self.read_timeout_s = READ_TIMEOUT_S
        self._address = address
        self._stream: HttpConnection | None = None
        self._foreign: set[str] = set()

    async def read_all(self) -> ViewUpdate:
        """Return the complete picture, page by page.

        Pages are no snapshot, so the picture counts as of the first page:
        later changes come with the watch.
        """
        revision = 0
        after = ''
        items: list[Any] = []
        for _ in range(MAX_PAGES):
            query = {'prefix': ''}
            if after:
                query['after'] = after
            body = await self._get('/kv-range', query, self.read_timeout_s)
            page = _rows(body, 'items')
            items.extend(page)
            revision = revision or _revision(body, 'asOf')
            if not body.get('truncated') or not page:
                break
            after = str(page[-1].get('key'))
        return self._update(0, revision, items)

    async def wait(self, after: int) -> ViewUpdate:
        """Return the changes after a revision, once there are any."""
        body = await self._get(
            '/kv-watch',
            {'prefix': '', 'after': after, 'waitMs': WATCH_WAIT_MS},
            WATCH_WAIT_MS / MS_PER_S + WATCH_MARGIN_S,
        )
        return self._update(
            after,
            max(after, _revision(body, 'asOf')),
            _rows(body, 'events'),
        )

    def close(self) -> None:
        """Drop the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _update(
        self,
        base: int,
        revision: int,
        items: list[Any],
    ) -> ViewUpdate:
        # Of several changes of one key the last one counts.
        newest = {entry.get('key'): entry for entry in items}
        configuration = newest.pop(CONFIGURATION_KEY, {})
        records: list[EndpointRecord] = []
        removed: list[tuple[str, int]] = []
        for key, entry in newest.items():
            if not isinstance(key, str) or not key.startswith(ENDPOINT_PREFIX):
                continue
            name = key.removeprefix(ENDPOINT_PREFIX)
            record = self._record(name, entry)
            if record is None:
                removed.append((name, _revision(entry, 'revision')))
            else:
                records.append(record)
        return ViewUpdate(
            base=base,
            revision=revision,
            records=tuple(records),
            removed=tuple(removed),
            routes=self._routes(configuration),
        )

    def _routes(self, entry: Any) -> RouteTable | None:
        if 'value' not in entry:
            return None
        try:
            return decode_routes(_value(entry))
        except (ConfigurationError, ValueError) as exc:
            logger.error('configuration-refused', extra={'reason': str(exc)})
            return None

    def _record(self, name: str, entry: Any) -> EndpointRecord | None:
        """Read an entry; None when it is gone or names no endpoint."""
        if 'value' not in entry or entry.get('deleted') is True:
            return None
        revision = _revision(entry, 'revision')
        try:
            record = decode_endpoint(name, revision, _value(entry))
        except ValueError:
            record = None
        if record is None and name not in self._foreign:
            self._foreign.add(name)
            logger.info('entry-ignored', extra={'entry': name})
        return record

    async def _get(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        target = f'{path}?{_encoded(query)}'
        try:
            async with asyncio.timeout(timeout_s):
                status, body = await self._exchange(target)
        except _NO_ANSWER as exc:
            self.close()
            raise PlatformError(
                f'no answer from the store: {exc!r}',
                context=path,
            ) from exc
        except asyncio.CancelledError:
            self.close()
            raise
        return _checked(path, status, body)

    async def _exchange(self, target: str) -> tuple[int, bytes]:
        stream = self._stream
        if stream is None or stream.is_spent:
            # Loaded when first used: most sidecars never read the store.
            from dragonflyshift.platform.http_client import open_connection

            stream = await open_connection(self._address)
            self._stream = stream
        return await stream.get(target)


def _encoded(query: dict[str, Any]) -> str:
    texts = [str(part) for part in query.values()]
    if all(not text or text.isalnum() for text in texts):
        names = zip(query, texts, strict=True)
        return '&'.join(f'{name}={text}' for name, text in names)
    # Loaded when needed, after a truncated page: it would prolong each start.
    from urllib.parse import urlencode

    return urlencode(query)


def _checked(path: str, status: int, raw: bytes) -> dict[str, Any]:
    if status == _GONE:
        raise HistoryLostError('history is gone', context=path)
    if status == _NOT_FOUND:
        return {}
    if status != _OK:
        raise PlatformError(f'store answered {status}', context=path)
    try:
        body = json.loads(raw)
    except ValueError as exc:
        raise PlatformError(f'answer is malformed: {exc}') from exc
    if not isinstance(body, dict):
        raise PlatformError('answer is no object', context=path)
    return body


def _rows(body: dict[str, Any], name: str) -> list[Any]:
    rows = body.get(name)
    if not isinstance(rows, list):
        raise PlatformError(f'answer lacks {name}')
    return [row for row in rows if isinstance(row, dict)]


def _revision(body: dict[str, Any], name: str) -> int:
    revision = body.get(name)
    if not isinstance(revision, int):
        raise PlatformError(f'answer lacks {name}')
    return revision


def _value(entry: Any) -> bytes:
    return base64.b64decode(entry['value'], validate=True)
