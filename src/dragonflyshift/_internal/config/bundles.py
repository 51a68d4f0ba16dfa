"""Bundles: the documents of many services under one key.

A balancer with many outdated documents reads a few bundles instead of one
document for each service. A bundle holds one document per line, with exactly
the bytes published under the service's own key. A bundle has no version, as
each document has its own. Documents that an outdated bundle lacks are read
individually.

Example:
    >>> split_bundle(join_bundle([b'{"a":1}', b'{"b":2}']))
    [b'{"a":1}', b'{"b":2}']
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.validation import MAX_BUNDLES
from dragonflyshift._internal.models.documents import ServiceDocument

# Half of the platform's limit, so that a bundle can double in size.
MAX_BUNDLE_BYTES = 524_288
MIN_BUNDLED_SERVICES = 6

_LINE_END = b'\n'


def are_bundles_cheaper(services: int, bundle_count: int) -> bool:
    """Return whether reading bundles takes fewer reads than documents.

    ``services`` counts the outdated documents, and ``bundle_count`` the
    bundles that hold them.
    """
    return services >= MIN_BUNDLED_SERVICES and 0 < bundle_count < services


def bundle_number(tag: int, bundle_count: int) -> int:
    """Return the number of the bundle that holds the service with a tag."""
    return tag % bundle_count


def join_bundle(documents: Iterable[bytes]) -> bytes:
    """Join raw documents, which must not contain line breaks, to a bundle."""
    return _LINE_END.join(documents)


def split_bundle(raw: bytes) -> list[bytes]:
    """Return the raw documents of a bundle without validating them."""
    return [line for line in raw.split(_LINE_END) if line]


def group_by_bundle(
    documents: Iterable[ServiceDocument],
    bundle_count: int,
) -> list[list[ServiceDocument]]:
    """Return the documents of each bundle, sorted by service tag."""
    groups: list[list[ServiceDocument]] = [[] for _ in range(bundle_count)]
    if not groups:
        return groups
    for document in sorted(documents, key=_service_tag):
        groups[bundle_number(document.tag, bundle_count)].append(document)
    return groups


def choose_bundle_count(documents: Collection[ServiceDocument]) -> int:
    """Return the smallest number of bundles that fit MAX_BUNDLE_BYTES.

    Returns 0 for fewer than MIN_BUNDLED_SERVICES documents, and never more
    than MAX_BUNDLES.
    """
    if len(documents) < MIN_BUNDLED_SERVICES:
        return 0
    sizes = {
        document.tag: len(encode_document(document)) + 1
        for document in documents
    }
    lowest = max(1, sum(sizes.values()) // MAX_BUNDLE_BYTES)
    for bundle_count in range(lowest, MAX_BUNDLES):
        if _largest_bundle_size(sizes, bundle_count) <= MAX_BUNDLE_BYTES:
            return bundle_count
    return MAX_BUNDLES


def encode_bundles(
    documents: Collection[ServiceDocument],
    bundle_count: int,
) -> Sequence[bytes]:
    """Return the published bytes of each bundle."""
    return [
        join_bundle(encode_document(document) for document in members)
        for members in group_by_bundle(documents, bundle_count)
    ]


def _largest_bundle_size(sizes: Mapping[int, int], bundle_count: int) -> int:
    totals: Counter[int] = Counter()
    for tag, size in sizes.items():
        totals[bundle_number(tag, bundle_count)] += size
    return max(totals.values())


def _service_tag(document: ServiceDocument) -> int:
    return document.tag
