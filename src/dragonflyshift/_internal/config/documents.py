"""JSON encoding of the documents that the platform publishes.

Decoding is strict: unknown or duplicate keys, values of another type or out of
range, and documents over 1 MiB raise ConfigurationError.

Example:
    >>> decode_index(b'[]')
    Traceback (most recent call last):
    ...
    dragonflyshift._internal.config.faults.InvalidConfigurationError: ...
"""

import json
from typing import Any, NoReturn, TypeVar

from dragonflyshift._internal.config.converter import structure, unstructure
from dragonflyshift._internal.config.evacuation import (
    pack_evacuated,
    unpack_evacuated,
)
from dragonflyshift._internal.config.faults import raise_faults
from dragonflyshift._internal.config.validation import (
    check_index,
    check_service,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.documents import (
    IndexDocument,
    ServiceDocument,
)

MAX_DOCUMENT_BYTES = 1_048_576
_OPTIONAL_KEYS = ('bundles', 'evacuated')
_COMPACT = (',', ':')

_ModelT = TypeVar('_ModelT')


def encode_document(document: IndexDocument | ServiceDocument) -> bytes:
    """Encode a document as JSON.

    Raises ConfigurationError if the result is larger than 1 MiB.
    """
    if isinstance(document, ServiceDocument):
        document = pack_evacuated(document)
    data = unstructure(document)
    for key in _OPTIONAL_KEYS:
        # Daemons that don't support an optional key reject it.
        if not data.get(key, True):
            del data[key]
    raw = json.dumps(data, separators=_COMPACT, sort_keys=True).encode()
    _check_size(raw)
    return raw


def decode_index(raw: bytes) -> IndexDocument:
    """Decode an index; raise ConfigurationError if it is invalid."""
    index = decode_json(raw, IndexDocument)
    raise_faults('index', check_index(index))
    return index


def decode_service(raw: bytes) -> ServiceDocument:
    """Decode a service document; raise ConfigurationError if invalid."""
    document = unpack_evacuated(decode_json(raw, ServiceDocument))
    raise_faults('service document', check_service(document))
    return document


def decode_json(raw: bytes, model: type[_ModelT]) -> _ModelT:
    """Decode a model from JSON.

    Keys and types are validated, ranges of values are not. Raises
    ConfigurationError for a document that is invalid or too large.
    """
    _check_size(raw)
    try:
        data = json.loads(
            raw.decode(),
            object_pairs_hook=_unique_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as exc:
        raise ConfigurationError(
            'the document is not valid JSON',
            context=model.__name__,
            hint='publish the document exactly as rendered',
        ) from exc
    return structure(data, model)


def _check_size(raw: bytes) -> None:
    if len(raw) > MAX_DOCUMENT_BYTES:
        raise ConfigurationError(
            f'the document is too large: {len(raw)} bytes',
            hint=f'the platform accepts at most {MAX_DOCUMENT_BYTES} bytes',
        )


def _unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        raise ValueError('an object has the same key twice')
    return table


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f'{text} is not a number')
