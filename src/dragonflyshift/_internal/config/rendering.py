"""Render a declaration into the documents that the platform publishes.

Each document stands in a file named after its key. A document whose content
is the same as in the previous rendering keeps its version, so that daemons
read only what changed; every other one gets the revision as its version. A
bundle shows the highest version in it.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path

import attrs

from dragonflyshift._internal.config.bundles import (
    choose_bundles,
    encode_bundles,
    fill_bundles,
)
from dragonflyshift._internal.config.documents import (
    decode_index,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import (
    INDEX_KEY,
    IndexDocument,
    IndexEntry,
    ServiceDocument,
    bundle_key,
    service_key,
)
from dragonflyshift._internal.models.rendering import (
    Published,
    RenderedDocument,
)


def render_declaration(
    declaration: Declaration,
    previous: Published | None = None,
    *,
    with_bundles: bool = True,
) -> tuple[RenderedDocument, ...]:
    """Return the services' documents, then the bundles, the index last.

    Raises ConfigurationError if ``previous`` shows that the revision has to
    be raised.
    """
    known = previous or Published()
    services = [
        _keep_version(document, known.services.get(document.name))
        for document in declaration.services
    ]
    index = IndexDocument(
        version=declaration.revision,
        services=tuple(_build_entry(document) for document in services),
        bundles=choose_bundles(services) if with_bundles else 0,
    )
    _check_revision(index, known.index)
    rendered = [
        RenderedDocument(
            key=service_key(document.name),
            version=document.version,
            raw=encode_document(document),
            is_changed=document != known.services.get(document.name),
        )
        for document in services
    ]
    rendered.extend(_render_bundles(services, index.bundles, known))
    rendered.append(
        RenderedDocument(
            key=INDEX_KEY,
            version=index.version,
            raw=encode_document(index),
            is_changed=index != known.index,
        ),
    )
    return tuple(rendered)


def read_published(directory: Path) -> Published:
    """Read an earlier rendering; raise ConfigurationError if invalid."""
    index = decode_index(_read(directory / INDEX_KEY))
    services = {}
    for entry in index.services:
        raw = _read(directory / service_key(entry.name))
        services[entry.name] = decode_service(raw)
    return Published(index, services)


def write_documents(
    directory: Path,
    documents: tuple[RenderedDocument, ...],
) -> None:
    """Write each document whole, the index last, so that none is cut."""
    for document in documents:
        path = directory / document.key
        path.parent.mkdir(parents=True, exist_ok=True)
        unfinished = path.with_name(f'.{path.name}.new')
        unfinished.write_bytes(document.raw)
        unfinished.replace(path)


def _render_bundles(
    services: Sequence[ServiceDocument],
    bundles: int,
    known: Published,
) -> Iterator[RenderedDocument]:
    earlier: Sequence[bytes] = ()
    if known.index is not None and known.index.bundles == bundles:
        earlier = encode_bundles(known.services.values(), bundles)
    filled = fill_bundles(services, bundles)
    for number, raw in enumerate(encode_bundles(services, bundles)):
        versions = (document.version for document in filled[number])
        yield RenderedDocument(
            key=bundle_key(number),
            version=max(versions, default=0),
            raw=raw,
            is_changed=not earlier or raw != earlier[number],
        )


def _keep_version(
    document: ServiceDocument,
    known: ServiceDocument | None,
) -> ServiceDocument:
    if known is None:
        return document
    if attrs.evolve(document, version=known.version) == known:
        return known
    _check_raised(
        document.version,
        known.version,
        service_key(document.name),
    )
    return document


def _check_revision(index: IndexDocument, known: IndexDocument | None) -> None:
    if known is not None and index != known:
        _check_raised(index.version, known.version, INDEX_KEY)


def _check_raised(revision: int, known: int, key: str) -> None:
    if revision <= known:
        raise ConfigurationError(
            f'revision {revision} changes a document of version {known}',
            context=key,
            hint=f'raise the revision of the inventory above {known}',
        )


def _build_entry(document: ServiceDocument) -> IndexEntry:
    return IndexEntry(
        name=document.name,
        tag=document.tag,
        version=document.version,
        addresses=document.addresses,
    )


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise ConfigurationError(
            f'the previous rendering can not be read: {exc.strerror}',
            context=str(path),
            hint='name the directory of an earlier render, or leave it out',
        ) from exc
