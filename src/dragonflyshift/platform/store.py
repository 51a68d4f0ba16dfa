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
# A watch without changes ends after this time. A connection without a response
# for this time and the margin below is considered lost.
WATCH_WAIT_MS = 2500
WATCH_TIMEOUT_MARGIN_S = 0.7
MAX_PAGES = 200
MS_PER_S = 1000
_OK = 200
_GONE = 410
_NOT_FOUND = 404
_CONNECTION_ERRORS = (OSError, EOFError)


class PlatformStore(ViewSource):
    """Reads and watches the store over one persistent connection."""

    def __init__(self, address: SocketAddress) -> None:
        """Prepare for the first call, which opens the connection."""
        self.read_timeout_s = READ_TIMEOUT_S
        self._address = address
        self._connection: HttpConnection | None = None
        self._ignored_entries: set[str] = set()

    async def read_all(self) -> ViewUpdate:
        """Return the complete state, read page by page.

        The pages are no snapshot, so the update has the revision of the first
        page; the watch returns later changes.
        """
        revision = 0
        after = ''
        items: list[Any] = []
        for _ in range(MAX_PAGES):
            query = {'prefix': ''}
            if after:
                query['after'] = after
            body = await self._request('/kv-range', query, self.read_timeout_s)
            page = _entries(body, 'items')
            items.extend(page)
            revision = revision or _revision(body, 'asOf')
            if not body.get('truncated') or not page:
                break
            after = str(page[-1].get('key'))
        return self._build_update(0, revision, items)

    async def wait(self, after: int) -> ViewUpdate:
        """Return the changes after a revision, once there are any."""
        body = await self._request(
            '/kv-watch',
            {'prefix': '', 'after': after, 'waitMs': WATCH_WAIT_MS},
            WATCH_WAIT_MS / MS_PER_S + WATCH_TIMEOUT_MARGIN_S,
        )
        return self._build_update(
            after,
            max(after, _revision(body, 'asOf')),
            _entries(body, 'events'),
        )

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _build_update(
        self,
        base: int,
        revision: int,
        items: list[Any],
    ) -> ViewUpdate:
        # Of several changes of one key only the last one counts.
        newest = {entry.get('key'): entry for entry in items}
        configuration = newest.pop(CONFIGURATION_KEY, {})
        records: list[EndpointRecord] = []
        removed: list[tuple[str, int]] = []
        for key, entry in newest.items():
            if not isinstance(key, str) or not key.startswith(ENDPOINT_PREFIX):
                continue
            name = key.removeprefix(ENDPOINT_PREFIX)
            record = self._decode_record(name, entry)
            if record is None:
                removed.append((name, _revision(entry, 'revision')))
            else:
                records.append(record)
        return ViewUpdate(
            base=base,
            revision=revision,
            records=tuple(records),
            removed=tuple(removed),
            routes=self._decode_routes(configuration),
        )

    def _decode_routes(self, entry: Any) -> RouteTable | None:
        if 'value' not in entry:
            return None
        try:
            return decode_routes(_decode_value(entry))
        except (ConfigurationError, ValueError) as exc:
            logger.error('configuration-refused', extra={'reason': str(exc)})
            return None

    def _decode_record(self, name: str, entry: Any) -> EndpointRecord | None:
        """Decode an entry; return None if deleted or no valid endpoint.

        The caller treats both as the removal of the endpoint.
        """
        if 'value' not in entry or entry.get('deleted') is True:
            return None
        revision = _revision(entry, 'revision')
        try:
            record = decode_endpoint(name, revision, _decode_value(entry))
        except ValueError:
            record = None
        if record is None and name not in self._ignored_entries:
            self._ignored_entries.add(name)
            logger.info('entry-ignored', extra={'entry': name})
        return record

    async def _request(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        target = f'{path}?{_encode_query(query)}'
        try:
            async with asyncio.timeout(timeout_s):
                status, body = await self._exchange(target)
        except _CONNECTION_ERRORS as exc:
            self.close()
            raise PlatformError(
                f'no response from the store: {exc!r}',
                context=path,
            ) from exc
        except asyncio.CancelledError:
            self.close()
            raise
        return _decode_response(path, status, body)

    async def _exchange(self, target: str) -> tuple[int, bytes]:
        connection = self._connection
        if connection is None or connection.is_unusable:
            # Imported on first use, as most sidecars never read the store.
            from dragonflyshift.platform.http_client import open_connection

            connection = await open_connection(self._address)
            self._connection = connection
        return await connection.get(target)


def _encode_query(query: dict[str, Any]) -> str:
    values = [str(parameter) for parameter in query.values()]
    if all(not value or value.isalnum() for value in values):
        pairs = zip(query, values, strict=True)
        return '&'.join(f'{name}={value}' for name, value in pairs)
    # Imported only when needed, after a truncated page, as the import would
    # prolong each start.
    from urllib.parse import urlencode

    return urlencode(query)


def _decode_response(path: str, status: int, raw: bytes) -> dict[str, Any]:
    if status == _GONE:
        raise HistoryLostError(
            'the store no longer holds the changes since the revision',
            context=path,
        )
    if status == _NOT_FOUND:
        return {}
    if status != _OK:
        raise PlatformError(
            f'store responded with status {status}', context=path
        )
    try:
        body = json.loads(raw)
    except ValueError as exc:
        raise PlatformError(
            f'response of the store is malformed: {exc}'
        ) from exc
    if not isinstance(body, dict):
        raise PlatformError(
            'response of the store is not an object', context=path
        )
    return body


def _entries(body: dict[str, Any], name: str) -> list[Any]:
    entries = body.get(name)
    if not isinstance(entries, list):
        raise PlatformError(f'response of the store lacks the list {name}')
    return [entry for entry in entries if isinstance(entry, dict)]


def _revision(body: dict[str, Any], name: str) -> int:
    revision = body.get(name)
    if not isinstance(revision, int):
        raise PlatformError(f'response of the store lacks the number {name}')
    return revision


def _decode_value(entry: Any) -> bytes:
    return base64.b64decode(entry['value'], validate=True)
