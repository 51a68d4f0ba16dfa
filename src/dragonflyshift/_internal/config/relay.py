"""Pull configuration from a peer that has a newer one.

While the platform's service is down, stale or cut off, one daemon that read
a change is enough: the others pull it when they hear of the higher version.
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
    """A peer that can be reached does not hold the document."""


async def pull_from_peer(
    store: ConfigurationStore,
    key: str,
    version: int,
    fetch: Fetch,
) -> bool:
    """Pull a key of which a peer named a version; tell whether it rose.

    Nothing is pulled when the version is in force already, or while another
    pull of the key is under way. A failure is logged and False is returned:
    the next peer that names the version is asked.
    """
    try:
        return await _pull(store, key, version, fetch)
    except (DragonflyshiftError, OSError) as exc:
        _log_failure(key, exc)
        return False


async def pull_all_from_peer(store: ConfigurationStore, fetch: Fetch) -> bool:
    """Pull the index and what it names, as a fresh balancer has to.

    One document follows the other, so that the peer is not overrun. The
    first failure of the peer itself ends it; a document that it lacks or
    that is invalid does not. Returns whether every document that the index
    names is in force.
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
        return store.offer(key, raw)
    finally:
        store.pulling.discard(key)


def _log_failure(key: str, exc: Exception) -> None:
    logger.warning(
        'configuration-relay-failed',
        extra={'key': key, 'reason': str(exc) or type(exc).__name__},
    )
