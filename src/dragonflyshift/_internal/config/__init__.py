"""Inventory, published documents, the platform client and versions."""

from dragonflyshift._internal.config.client import (
    FetchedValue,
    PlatformClient,
    PlatformRequestError,
)
from dragonflyshift._internal.config.documents import (
    decode_index,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.config.faults import InvalidConfigurationError
from dragonflyshift._internal.config.instances import decode_instances
from dragonflyshift._internal.config.relay import (
    MissingDocumentError,
    pull_all_from_peer,
    pull_from_peer,
)
from dragonflyshift._internal.config.store import (
    ConfigurationChange,
    ConfigurationStore,
)
from dragonflyshift._internal.config.validation import service_tag
from dragonflyshift._internal.config.watcher import (
    ConfigurationWatcher,
    WatchScope,
)

__all__ = (
    'ConfigurationChange',
    'ConfigurationStore',
    'ConfigurationWatcher',
    'FetchedValue',
    'InvalidConfigurationError',
    'MissingDocumentError',
    'PlatformClient',
    'PlatformRequestError',
    'WatchScope',
    'decode_index',
    'decode_instances',
    'decode_service',
    'encode_document',
    'pull_all_from_peer',
    'pull_from_peer',
    'service_tag',
)
