"""The newest valid configuration that this process has seen.

Versions only rise: a document with a lower version than the one in force is
ignored wherever it comes from, and an invalid one is refused whole while the
last good one stays in force.
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
    """Hold the index and the services' documents in force.

    A service that a newer index no longer names keeps its document, so that
    its running flows can end; ``is_retired`` tells. ``pulling`` holds the
    keys that are being pulled from a peer.
    """

    def __init__(self) -> None:
        """Start empty; every version is 0."""
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
        """Each document that comes into force, after it has."""
        return self._changes

    @property
    def index(self) -> IndexDocument | None:
        """The index in force."""
        return self._index

    @property
    def services(self) -> tuple[ServiceDocument, ...]:
        """All services' documents, those of retired services too."""
        return tuple(self._services.values())

    def offer(self, key: str, raw: bytes) -> bool:
        """Take what was read under a key; tell whether it came into force.

        Raises ConfigurationError when the document is invalid or belongs
        under another key.
        """
        if key == INDEX_KEY:
            return self.offer_index(raw)
        return self.offer_service(raw, key)

    def offer_index(self, raw: bytes) -> bool:
        """Take an index; tell whether it came into force."""
        try:
            index = decode_index(raw)
            rises = _rises(self._index, index)
        except ConfigurationError as exc:
            _log_refusal(INDEX_KEY, exc)
            raise
        if not rises:
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

    def offer_service(self, raw: bytes, key: str = '') -> bool:
        """Take a service's document; tell whether it came into force."""
        try:
            document = decode_service(raw)
            _check_key(key, document)
            rises = _rises(self._services.get(document.name), document)
        except ConfigurationError as exc:
            _log_refusal(key, exc)
            raise
        if not rises:
            return False
        self._services[document.name] = document
        self._names[document.tag] = document.name
        self._announce(service_key(document.name), document.version, raw)
        return True

    def service(self, name: str) -> ServiceDocument | None:
        """Return a service's document in force."""
        return self._services.get(name)

    def service_by_tag(self, tag: int) -> ServiceDocument | None:
        """Return the document of the service that a tag stands for."""
        return self._services.get(self._names.get(tag, ''))

    def service_by_address(self, address: Address) -> ServiceDocument | None:
        """Return the document of the service that owns a service address.

        The index decides. An address that it gives to nobody still belongs
        to the service that had it last.
        """
        owner = self._owners.get(address)
        if owner is not None:
            return self._services.get(owner)
        holders = [
            document
            for document in self._services.values()
            if address in document.addresses
        ]
        return max(holders, key=_version, default=None)

    def is_retired(self, name: str) -> bool:
        """Tell whether the index no longer names a service."""
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
        """Tell whether the index names a higher version of a service's key."""
        entry = self._entries.get(_service_name(key))
        return entry is not None and self.version(key) < entry.version

    def stale_keys(self) -> list[str]:
        """Return the services' keys whose version is behind the index."""
        keys = (service_key(name) for name in self._entries)
        return [key for key in keys if self.is_stale(key)]

    def raw(self, key: str) -> bytes | None:
        """Return the document in force as it was read, to hand to a peer."""
        return self._raw.get(key)

    def _announce(self, key: str, version: int, raw: bytes) -> None:
        self._raw[key] = raw
        logger.info(
            'configuration-accepted',
            extra={'key': key, 'version': version},
        )
        self._deliver(ConfigurationChange(key, version))

    def _deliver(self, change: ConfigurationChange) -> None:
        # A subscriber that fails must not keep the change from the others,
        # nor end the task that reads the configuration.
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


def _rises(present: _DocumentT | None, offered: _DocumentT) -> bool:
    if present is None or offered.version > present.version:
        return True
    if offered.version == present.version and offered != present:
        raise ConfigurationError(
            f'version {offered.version} is in force with other content',
            hint='raise the revision with every change',
        )
    return False


def _check_key(key: str, document: ServiceDocument) -> None:
    if key and key != service_key(document.name):
        raise ConfigurationError(
            f'the document of the service {document.name!r} is published '
            'under the key of another',
            context=key,
            hint='publish each document under the key it is rendered for',
        )


def _log_refusal(key: str, exc: ConfigurationError) -> None:
    logger.error(
        'configuration-refused',
        extra={'key': key, 'reason': str(exc)},
    )
