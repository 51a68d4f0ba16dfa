"""Pull configuration documents from peers that hold a newer version.

While the platform is down, stale or unreachable, it is enough that one daemon
has read a change. The other daemons pull it from their peers once these
report the higher version.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    DragonflyshiftError,
    PeerError,
)
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key

logger = logging.getLogger(__name__)

PULL_TIMEOUT_SECONDS = 5

Fetch = Callable[[str], Awaitable[bytes]]


class MissingDocumentError(PeerError):
    """A reachable peer does not hold the document."""


async def pull_from_peer(
    store: ConfigurationStore,
    key: str,
    version: int,
    fetch: Fetch,
) -> bool:
    """Pull a document of which a peer reported a version.

    Returns whether a new version came into force. Nothing is pulled if the
    version is already in force or another pull of the key is in progress. A
    failure is logged and returns False, so that the next peer that reports
    the version is tried.
    """
    try:
        return await _pull(store, key, version, fetch)
    except (DragonflyshiftError, OSError) as exc:
        _log_failure(key, exc)
        return False


async def pull_all_from_peer(store: ConfigurationStore, fetch: Fetch) -> bool:
    """Pull the index and all documents it lists, as a new balancer must.

    Documents are pulled one after another to limit the load on the peer. The
    first failure of the peer stops the pull; a missing or invalid document
    does not. Returns whether every document that the index lists is in
    force.
    """
    try:
        await _pull_all(store, fetch)
    except (DragonflyshiftError, OSError) as exc:
        _log_failure(INDEX_KEY, exc)
    return store.index is not None and not store.stale_keys()


async def _pull_all(store: ConfigurationStore, fetch: Fetch) -> None:
    await _pull(store, INDEX_KEY, store.version(INDEX_KEY) + 1, fetch)
    if store.index is None:
        return
    for entry in store.index.services:
        key = service_key(entry.name)
        try:
            await _pull(store, key, entry.version, fetch)
        except (ConfigurationError, MissingDocumentError) as exc:
            _log_failure(key, exc)


async def _pull(
    store: ConfigurationStore,
    key: str,
    version: int,
    fetch: Fetch,
) -> bool:
    if version <= store.version(key) or key in store.pulling:
        return False
    store.pulling.add(key)
    try:
        async with asyncio.timeout(PULL_TIMEOUT_SECONDS):
            raw = await fetch(key)
        return store.apply(key, raw)
    finally:
        store.pulling.discard(key)


def _log_failure(key: str, exc: Exception) -> None:
    logger.warning(
        'configuration-relay-failed',
        extra={'key': key, 'reason': str(exc) or type(exc).__name__},
    )
