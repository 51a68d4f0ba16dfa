"""Store of the newest valid configuration of this process.

Versions only increase: a document with a lower version than the one in force
is ignored regardless of its source. An invalid document is rejected as a
whole, and the last valid one stays in force.
"""

import logging
from typing import TypeVar

import reactivex
from attrs import frozen
from reactivex.subject import Subject

from dragonflyshift._internal.config.documents import (
    decode_index,
    decode_service,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.documents import (
    INDEX_KEY,
    IndexDocument,
    IndexEntry,
    ServiceDocument,
    service_key,
)

logger = logging.getLogger(__name__)

_SERVICE_PREFIX = service_key('')

_DocumentT = TypeVar('_DocumentT', IndexDocument, ServiceDocument)


@frozen
class ConfigurationChange:
    """A document came into force."""

    key: str
    version: int


class ConfigurationStore:
    """Hold the index and the service documents in force.

    A service that is missing from a newer index keeps its document, so that
    its open flows can end. ``is_retired`` returns True for such a service.
    ``pulling`` holds the keys that are being pulled from a peer.
    """

    def __init__(self) -> None:
        """Create an empty store, in which every version is 0."""
        self.pulling: set[str] = set()
        self._index: IndexDocument | None = None
        self._entries: dict[str, IndexEntry] = {}
        self._owners: dict[Address, str] = {}
        self._services: dict[str, ServiceDocument] = {}
        self._names: dict[int, str] = {}
        self._raw: dict[str, bytes] = {}
        self._changes: Subject[ConfigurationChange] = Subject()

    @property
    def changes(self) -> reactivex.Observable[ConfigurationChange]:
        """Emits a change after each document that comes into force."""
        return self._changes

    @property
    def index(self) -> IndexDocument | None:
        """The index in force, or None."""
        return self._index

    @property
    def services(self) -> tuple[ServiceDocument, ...]:
        """All service documents, including those of retired services."""
        return tuple(self._services.values())

    def apply(self, key: str, raw: bytes) -> bool:
        """Apply the bytes read under a key; return if they came into force.

        Raises ConfigurationError if the document is invalid, belongs to
        another key or changes content without a new version.
        """
        if key == INDEX_KEY:
            return self.apply_index(raw)
        return self.apply_service(raw, key)

    def apply_index(self, raw: bytes) -> bool:
        """Apply an index; return whether it came into force.

        Raises ConfigurationError if it is invalid or changes content without a
        new version.
        """
        try:
            index = decode_index(raw)
            is_newer = _is_newer(self._index, index)
        except ConfigurationError as exc:
            _log_refusal(INDEX_KEY, exc)
            raise
        if not is_newer:
            return False
        self._index = index
        self._entries = {entry.name: entry for entry in index.services}
        self._owners = {
            address: entry.name
            for entry in index.services
            for address in entry.addresses
        }
        self._names.update((entry.tag, entry.name) for entry in index.services)
        self._announce(INDEX_KEY, index.version, raw)
        return True

    def apply_service(self, raw: bytes, key: str = '') -> bool:
        """Apply a service document; return whether it came into force.

        Raises ConfigurationError if it is invalid, belongs to another key or
        changes content without a new version. An empty ``key`` accepts the
        document of any service.
        """
        try:
            document = decode_service(raw)
            _check_key(key, document)
            is_newer = _is_newer(self._services.get(document.name), document)
        except ConfigurationError as exc:
            _log_refusal(key, exc)
            raise
        if not is_newer:
            return False
        self._services[document.name] = document
        self._names[document.tag] = document.name
        self._announce(service_key(document.name), document.version, raw)
        return True

    def service(self, name: str) -> ServiceDocument | None:
        """Return a service's document in force, or None."""
        return self._services.get(name)

    def service_by_tag(self, tag: int) -> ServiceDocument | None:
        """Return the document of the service with a tag, or None."""
        return self._services.get(self._names.get(tag, ''))

    def service_by_address(self, address: Address) -> ServiceDocument | None:
        """Return the document of the service that owns a service address.

        The index takes precedence. An address that it does not list belongs
        to the service whose document lists it, and among several to the one
        with the highest version.
        """
        owner = self._owners.get(address)
        if owner is not None:
            return self._services.get(owner)
        candidates = [
            document
            for document in self._services.values()
            if address in document.addresses
        ]
        return max(candidates, key=_version, default=None)

    def is_retired(self, name: str) -> bool:
        """Return whether the index in force does not list a service."""
        return self._index is not None and name not in self._entries

    def version(self, key: str) -> int:
        """Return the version in force under a key; 0 if there is none."""
        if key == INDEX_KEY:
            return _version(self._index)
        return _version(self._services.get(_service_name(key)))

    def versions(self) -> dict[str, int]:
        """Return the version in force under every key."""
        return {key: self.version(key) for key in self._raw}

    def is_stale(self, key: str) -> bool:
        """Return whether the index lists a higher version of a service key."""
        entry = self._entries.get(_service_name(key))
        return entry is not None and self.version(key) < entry.version

    def stale_keys(self) -> list[str]:
        """Return the service keys with a lower version than in the index."""
        keys = (service_key(name) for name in self._entries)
        return [key for key in keys if self.is_stale(key)]

    def raw(self, key: str) -> bytes | None:
        """Return the original bytes of the document in force, or None.

        Peers receive these bytes unchanged.
        """
        return self._raw.get(key)

    def _announce(self, key: str, version: int, raw: bytes) -> None:
        self._raw[key] = raw
        logger.info(
            'configuration-accepted',
            extra={'key': key, 'version': version},
        )
        self._notify_subscribers(ConfigurationChange(key, version))

    def _notify_subscribers(self, change: ConfigurationChange) -> None:
        # An exception in a subscriber must neither prevent the notification
        # of the others nor end the task that reads the configuration.
        for observer in tuple(self._changes.observers):
            try:
                observer.on_next(change)
            except Exception:
                logger.exception(
                    'configuration-subscriber-failed',
                    extra={'key': change.key},
                )


def _service_name(key: str) -> str:
    if not key.startswith(_SERVICE_PREFIX):
        return ''
    return key.removeprefix(_SERVICE_PREFIX)


def _version(document: IndexDocument | ServiceDocument | None) -> int:
    return 0 if document is None else document.version


def _is_newer(current: _DocumentT | None, offered: _DocumentT) -> bool:
    if current is None or offered.version > current.version:
        return True
    if offered.version == current.version and offered != current:
        raise ConfigurationError(
            f'version {offered.version} is in force with different content',
            hint='raise the revision with every change',
        )
    return False


def _check_key(key: str, document: ServiceDocument) -> None:
    if key and key != service_key(document.name):
        raise ConfigurationError(
            f'the document of the service {document.name!r} is published '
            'under the key of another service',
            context=key,
            hint='publish each document under the key that render assigned',
        )


def _log_refusal(key: str, exc: ConfigurationError) -> None:
    logger.error(
        'configuration-refused',
        extra={'key': key, 'reason': str(exc)},
    )
