"""Render a declaration to the documents that the platform publishes.

Each document is written to a file named after its key. A document whose
content is the same as in the previous rendering keeps its version, so that
daemons read only changed documents. Every other document gets the revision as
its version. The version of a bundle is the highest one of its documents.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path

import attrs

from dragonflyshift._internal.config.bundles import (
    choose_bundle_count,
    encode_bundles,
    group_by_bundle,
)
from dragonflyshift._internal.config.documents import (
    decode_index,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.config.evacuation import publish_evacuation
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
    """Return the service documents, the bundles and the index, in this order.

    Raises ConfigurationError if a document differs from ``previous``, but
    the revision is not higher than the published version.
    """
    published = previous or Published()
    services = [
        _keep_version(
            publish_evacuation(document),
            published.services.get(document.name),
        )
        for document in declaration.services
    ]
    index = IndexDocument(
        version=declaration.revision,
        services=tuple(_build_entry(document) for document in services),
        bundles=choose_bundle_count(services) if with_bundles else 0,
    )
    _check_revision(index, published.index)
    rendered = [
        RenderedDocument(
            key=service_key(document.name),
            version=document.version,
            raw=encode_document(document),
            is_changed=document != published.services.get(document.name),
        )
        for document in services
    ]
    rendered.extend(_render_bundles(services, index.bundles, published))
    rendered.append(
        RenderedDocument(
            key=INDEX_KEY,
            version=index.version,
            raw=encode_document(index),
            is_changed=index != published.index,
        ),
    )
    return tuple(rendered)


def read_published(directory: Path) -> Published:
    """Read a previous rendering; raise ConfigurationError if invalid."""
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
    """Write each document atomically, in the given order.

    The index is the last document, so that it never lists a version that has
    not been written.
    """
    for document in documents:
        path = directory / document.key
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary = path.with_name(f'.{path.name}.new')
        temporary.write_bytes(document.raw)
        temporary.replace(path)


def _render_bundles(
    services: Sequence[ServiceDocument],
    bundles: int,
    published: Published,
) -> Iterator[RenderedDocument]:
    published_bundles: Sequence[bytes] = ()
    if published.index is not None and published.index.bundles == bundles:
        published_bundles = encode_bundles(published.services.values(), bundles)
    groups = group_by_bundle(services, bundles)
    for number, raw in enumerate(encode_bundles(services, bundles)):
        versions = (document.version for document in groups[number])
        yield RenderedDocument(
            key=bundle_key(number),
            version=max(versions, default=0),
            raw=raw,
            is_changed=not published_bundles
            or raw != published_bundles[number],
        )


def _keep_version(
    document: ServiceDocument,
    published: ServiceDocument | None,
) -> ServiceDocument:
    if published is None:
        return document
    if attrs.evolve(document, version=published.version) == published:
        return published
    _check_raised(
        document.version,
        published.version,
        service_key(document.name),
    )
    return document


def _check_revision(
    index: IndexDocument, published: IndexDocument | None
) -> None:
    if published is not None and index != published:
        _check_raised(index.version, published.version, INDEX_KEY)


def _check_raised(revision: int, published_version: int, key: str) -> None:
    if revision <= published_version:
        raise ConfigurationError(
            f'revision {revision} changes a document of version '
            f'{published_version}',
            context=key,
            hint='raise the revision of the inventory above '
            f'{published_version}',
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
            hint='use the output directory of an earlier render, or omit '
            '--previous',
        ) from exc
