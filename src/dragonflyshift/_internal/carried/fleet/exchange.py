"""Pulling a newer view from a peer over a short-lived TCP connection."""

__all__ = ('ViewServer', 'pull_view')

import asyncio
import logging
from collections.abc import Iterator
from typing import Any, TypeVar

import msgpack
from attrs import define, evolve, field

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    RemovalRow,
    encode_evacuations,
    find_claims,
    split_removals,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import RouteTable
from dragonflyshift._internal.carried.rows import decode_row, encode_row
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PeerError,
)

logger = logging.getLogger(__name__)

# Enough for a pull across regions; beyond it another peer is tried.
PULL_TIMEOUT_S = 0.8
MAX_VIEW_BYTES = 4 << 20
_REQUEST_BYTES = 64
_PULL_FAILURES = (OSError, ValueError, TypeError, EOFError)
_ENCODE_ERRORS = (ValueError, TypeError, OverflowError)
_Row = TypeVar('_Row', list[Any], RemovalRow)


@define(eq=False, repr=False)
class ViewServer:
    """Serves this daemon's view to peers that pull it.

    ``failures`` counts pulls that ended by an unforeseen exception.
    """

    view: FleetView
    failures: int = field(default=0)

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one pull and close the connection."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                await self._send_view(reader, writer)
        except _PULL_FAILURES as exc:
            logger.info('view-not-sent', extra={'reason': repr(exc)})
            writer.transport.abort()
        except Exception:
            # Closed at once, as the peer makes one pull at a time.
            logger.exception('task-failed', extra={'task': 'view-server'})
            self.failures += 1
            writer.transport.abort()

    async def _send_view(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = await reader.read(_REQUEST_BYTES)
        base, version = msgpack.unpackb(request)
        writer.write(encode_update(self.view, int(base), int(version)))
        writer.write_eof()
        await writer.drain()
        writer.close()


async def pull_view(peer: SocketAddress, base: int, version: int) -> ViewUpdate:
    """Return a peer's changes after a revision and a configuration version.

    Raises PeerError when the peer sends no valid response in time.
    """
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            raw = await _request(peer, msgpack.packb((base, version)))
        return decode_update(raw)
    except (OSError, TimeoutError, ConfigurationError) as exc:
        raise PeerError(
            f'can not pull the view: {exc!r}', context=str(peer)
        ) from exc


async def _request(peer: SocketAddress, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*peer)
    try:
        writer.write(request)
        return await _read_all(reader)
    finally:
        writer.close()


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    parts = []
    length = 0
    while part := await reader.read(MAX_VIEW_BYTES):
        parts.append(part)
        length += len(part)
        if length > MAX_VIEW_BYTES:
            raise ConfigurationError(
                f'view is larger than {MAX_VIEW_BYTES} bytes',
            )
    return b''.join(parts)


def encode_update(view: FleetView, base: int, version: int) -> bytes:
    """Return a view's changes after ``base`` as msgpack.

    The route table is included if it is newer than ``version``. Records that
    can't be encoded are left out, so that the others reach the peer. The update
    then has the revision ``base``, as it doesn't hold all changes after it.
    """
    update = view.since(base)
    records = [encode_row(record) for record in update.records]
    removed = [*update.removed, *encode_evacuations(update.evacuations)]
    table = view.routes.encode() if view.routes.version > version else None
    try:
        return _pack(update, records, removed, table)
    except _ENCODE_ERRORS:
        update = evolve(update, revision=base)
        return _pack(update, _encodable(records), _encodable(removed), table)


def decode_update(raw: bytes) -> ViewUpdate:
    """Decode a view's changes; raise ConfigurationError if malformed.

    Records and route tables that can't be decoded are left out. The update then
    has the revision ``base``, as it doesn't hold all changes after it.
    """
    try:
        base, revision, rows, removal_rows, table = msgpack.unpackb(raw)
        removals = tuple(_decode_removals(removal_rows))
        removed, evacuations = split_removals(removals)
        records = tuple(_decode_records(rows))
        routes = None if table is None else _decode_routes(table)
        is_complete = (
            len(records) == len(rows)
            and len(removals) == len(removal_rows)
            and (table is None or routes is not None)
        )
        return ViewUpdate(
            base=int(base),
            revision=int(revision if is_complete else base),
            records=records,
            removed=removed,
            routes=routes,
            evacuations=evacuations,
            claims=find_claims(removals),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise ConfigurationError(f'view is malformed: {exc}') from exc


def _pack(update: ViewUpdate, *parts: Any) -> bytes:
    return bytes(msgpack.packb((update.base, update.revision, *parts)))


def _encodable(rows: list[_Row]) -> list[_Row]:
    """Return the rows that msgpack can encode, and log the others."""
    encodable = []
    for row in rows:
        try:
            msgpack.packb(row)
        except _ENCODE_ERRORS as exc:
            logger.error(
                'record-not-sent',
                extra={'record': ascii(row[0]), 'reason': repr(exc)},
            )
        else:
            encodable.append(row)
    return encodable


def _decode_records(rows: Any) -> Iterator[EndpointRecord]:
    for row in rows:
        try:
            yield decode_row(EndpointRecord, row)
        except (ValueError, TypeError) as exc:
            _log_dropped('endpoint', exc)


def _decode_removals(rows: Any) -> Iterator[RemovalRow]:
    for row in rows:
        try:
            name, revision = row
            yield str(name), int(revision)
        except (ValueError, TypeError) as exc:
            _log_dropped('removal', exc)


def _decode_routes(raw: Any) -> RouteTable | None:
    try:
        return RouteTable.decode(raw)
    except ConfigurationError as exc:
        _log_dropped('routes', exc)
        return None


def _log_dropped(part: str, exc: Exception) -> None:
    logger.error('record-dropped', extra={'part': part, 'reason': str(exc)})
