"""The client of the platform's store."""

__all__ = ('PlatformStore',)

import asyncio
import base64
import json
import logging
from typing import TYPE_CHECKING, Any

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    endpoint_name,
)
from dragonflyshift._internal.carried.fleet.reader import (
    HistoryLostError,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.revisions import (
    MAX_REVISION,
    epoch_of,
    join_revision,
    split_revision,
)
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import RouteTable
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PlatformError,
)
from dragonflyshift.platform.documents import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    decode_endpoint,
    decode_routes,
)

if TYPE_CHECKING:
    from dragonflyshift.platform.http_client import (
        HttpConnection,
        HttpResponse,
    )

logger = logging.getLogger(__name__)

READ_TIMEOUT_S = 1.5
# A connection on which a watch has no response for its time and this margin is
# considered lost.
WATCH_TIMEOUT_MARGIN_S = 0.7
MAX_PAGES = 200
MAX_KEY_BYTES = 200
# Further ignored entries are not logged.
MAX_IGNORED_ENTRIES = 1000
MS_PER_S = 1000
# The platform's name for the number of times that the store was restored from a
# copy. A store that was never restored sends the first value.
_EPOCH_HEADER = b'store-era'
_FIRST_EPOCH = 1
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
        self._decoded: tuple[bytes, RouteTable] | None = None

    async def read_all(self) -> ViewUpdate:
        """Return the complete state, read page by page.

        The pages are no snapshot, so the update has the revision of the first
        page; the watch returns later changes. Raises HistoryLostError if the
        store was restored between two pages.
        """
        return self._build_update(0, *await self._read_range(''))

    async def read_evacuations(self) -> ViewUpdate:
        """Return the operator's requests alone."""
        revision, items = await self._read_range(EVACUATION_PREFIX)
        return self._build_update(0, revision, items)

    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        """Return the changes after a revision, once there are any."""
        store_revision = split_revision(after)[1]
        wait_ms = max(1, int(wait_s * MS_PER_S))
        timeout_s = max(self.read_timeout_s, wait_s + WATCH_TIMEOUT_MARGIN_S)
        body = await self._request(
            '/kv-watch',
            {'prefix': '', 'after': store_revision, 'waitMs': wait_ms},
            timeout_s,
        )
        # The revision may exist in the present epoch too, where the changes
        # since are other ones.
        _check_epoch(body, after)
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

    async def _read_range(self, prefix: str) -> tuple[int, list[Any]]:
        """Return the revision of the first page, and the items of all."""
        revision = 0
        after = ''
        items: list[Any] = []
        for _ in range(MAX_PAGES):
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            body = await self._request('/kv-range', query, self.read_timeout_s)
            page = _entries(body, 'items')
            items.extend(page)
            revision = revision or _revision(body, 'asOf')
            _check_epoch(body, revision)
            if not body.get('truncated') or not page:
                break
            after = str(page[-1].get('key'))
        return revision, items

    def _build_update(
        self,
        base: int,
        revision: int,
        items: list[Any],
    ) -> ViewUpdate:
        # Of several changes of one key only the last one counts.
        newest = {
            entry['key']: entry for entry in items if self._has_valid_key(entry)
        }
        configuration = newest.pop(CONFIGURATION_KEY, {})
        evacuations = _pop_evacuations(newest)
        records: list[EndpointRecord] = []
        removed: list[tuple[str, int]] = []
        invalid: list[tuple[str, int]] = []
        for key, entry in newest.items():
            if not key.startswith(ENDPOINT_PREFIX):
                continue
            # Names that daemons use among themselves are no endpoint's.
            name = endpoint_name(key.removeprefix(ENDPOINT_PREFIX))
            row = (name, _revision(entry, 'revision'))
            if _is_deleted(entry):
                removed.append(row)
                continue
            record = self._decode_record(*row, entry)
            if record is None:
                invalid.append(row)
            else:
                records.append(record)
        return ViewUpdate(
            base=base,
            revision=revision,
            records=tuple(records),
            removed=tuple(removed),
            invalid=tuple(invalid),
            routes=self._decode_routes(configuration),
            evacuations=evacuations,
            lists_evacuations=not base,
        )

    def _decode_routes(self, entry: Any) -> RouteTable | None:
        if 'value' not in entry:
            return None
        try:
            raw = _decode_value(entry)
            # Each full read returns the configuration again, and decoding it
            # again would repeat its log lines.
            if self._decoded is None or self._decoded[0] != raw:
                self._decoded = (raw, decode_routes(raw))
        except (ConfigurationError, ValueError) as exc:
            logger.error('configuration-refused', extra={'reason': str(exc)})
            return None
        return self._decoded[1]

    def _decode_record(
        self, name: str, revision: int, entry: Any
    ) -> EndpointRecord | None:
        """Decode an entry; return None if it is no valid endpoint."""
        try:
            record = decode_endpoint(name, revision, _decode_value(entry))
        except ValueError:
            record = None
        if record is None:
            self._log_ignored(name)
        return record

    def _has_valid_key(self, entry: dict[str, Any]) -> bool:
        """Return whether peers can decode the key of an entry."""
        key = entry.get('key')
        try:
            is_valid = (
                isinstance(key, str) and len(key.encode()) <= MAX_KEY_BYTES
            )
        except UnicodeEncodeError:
            is_valid = False
        if not is_valid:
            self._log_ignored(ascii(key)[:MAX_KEY_BYTES])
        return is_valid

    def _log_ignored(self, name: str) -> None:
        """Log an entry that is no endpoint, once for each name."""
        if len(self._ignored_entries) >= MAX_IGNORED_ENTRIES:
            return
        if name not in self._ignored_entries:
            self._ignored_entries.add(name)
            logger.info('entry-ignored', extra={'entry': name})

    async def _request(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        target = f'{path}?{_encode_query(query)}'
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(target)
        except _CONNECTION_ERRORS as exc:
            self.close()
            raise PlatformError(
                f'no response from the store: {exc!r}',
                context=path,
            ) from exc
        except asyncio.CancelledError:
            self.close()
            raise
        return _decode_response(path, response)

    async def _exchange(self, target: str) -> 'HttpResponse':
        connection = self._connection
        if connection is None or connection.is_unusable:
            # Imported on first use, as most sidecars never read the store.
            from dragonflyshift.platform.http_client import open_connection

            connection = await open_connection(self._address)
            self._connection = connection
        return await connection.get(target)


def _pop_evacuations(
    newest: dict[str, dict[str, Any]],
) -> tuple[EvacuationRecord, ...]:
    """Remove the evacuations from the entries by key and return them."""
    keys = [key for key in newest if key.startswith(EVACUATION_PREFIX)]
    return tuple(
        EvacuationRecord(
            data_center=key.removeprefix(EVACUATION_PREFIX),
            revision=_revision(newest[key], 'revision'),
            is_evacuated=not _is_deleted(newest.pop(key)),
        )
        for key in keys
    )


def _is_deleted(entry: dict[str, Any]) -> bool:
    return 'value' not in entry or entry.get('deleted') is True


def _encode_query(query: dict[str, Any]) -> str:
    values = [str(parameter) for parameter in query.values()]
    if all(not part or part.isascii() and part.isalnum() for part in values):
        pairs = zip(query, values, strict=True)
        return '&'.join(f'{name}={value}' for name, value in pairs)
    # Imported only when needed, after a truncated page, as the import would
    # prolong each start.
    from urllib.parse import urlencode

    # The key of another writer's entry may not be valid Unicode.
    return urlencode(query, errors='surrogatepass')


def _decode_response(path: str, response: 'HttpResponse') -> dict[str, Any]:
    status = response.status
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
        body = json.loads(response.body)
        epoch = int(response.headers.get(_EPOCH_HEADER, _FIRST_EPOCH))
    except (ValueError, RecursionError) as exc:
        raise PlatformError(
            f'response of the store is malformed: {exc}'
        ) from exc
    if not isinstance(body, dict):
        raise PlatformError(
            'response of the store is not an object', context=path
        )
    return _join_revisions(body, max(0, epoch - _FIRST_EPOCH))


def _join_revisions(body: dict[str, Any], epoch: int) -> dict[str, Any]:
    """Put the epoch into all revisions of a response."""
    if epoch:
        rows = [body]
        for name in ('items', 'events'):
            listed = body.get(name)
            if isinstance(listed, list):
                rows += [row for row in listed if isinstance(row, dict)]
        for row in rows:
            for name in ('asOf', 'revision'):
                if isinstance(row.get(name), int):
                    row[name] = join_revision(epoch, row[name])
    return body


def _check_epoch(body: dict[str, Any], revision: int) -> None:
    """Raise HistoryLostError if a response is of another epoch."""
    epoch = epoch_of(_revision(body, 'asOf'))
    expected = epoch_of(revision)
    if epoch != expected:
        raise HistoryLostError(
            'the store was restored from a copy',
            context=f'epoch {epoch} instead of {expected}',
        )


def _entries(body: dict[str, Any], name: str) -> list[Any]:
    entries = body.get(name)
    if not isinstance(entries, list):
        raise PlatformError(f'response of the store lacks the list {name}')
    return [entry for entry in entries if isinstance(entry, dict)]


def _revision(body: dict[str, Any], name: str) -> int:
    revision = body.get(name)
    if isinstance(revision, bool) or not isinstance(revision, int):
        raise PlatformError(f'response of the store lacks the number {name}')
    if not 0 <= revision <= MAX_REVISION:
        raise PlatformError(
            f'response of the store has the {name} {revision!r}, '
            'which is out of range'
        )
    return revision


def _decode_value(entry: dict[str, Any]) -> bytes:
    """Return the value of an entry; raise ValueError if it isn't base64."""
    encoded = entry['value']
    if not isinstance(encoded, str):
        raise ValueError(f'value is not a string: {type(encoded).__name__}')
    return base64.b64decode(encoded, validate=True)
