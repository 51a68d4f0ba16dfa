"""Bundles: the documents of many services under one key.

A balancer that is far behind the index reads a few bundles instead of one
document for each service. A bundle holds one document a line, byte for byte
as it stands under the service's own key. It has no version: each document
carries its own, so an older bundle only leaves more to read singly.

Example:
    >>> split_bundle(join_bundle([b'{"a":1}', b'{"b":2}']))
    [b'{"a":1}', b'{"b":2}']
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.validation import MAX_BUNDLES
from dragonflyshift._internal.models.documents import ServiceDocument

# A bundle may double before the platform's limit is met.
MAX_BUNDLE_BYTES = 524_288
MIN_BUNDLED_SERVICES = 6

_LINE_END = b'\n'


def are_bundles_cheaper(services: int, bundles: int) -> bool:
    """Tell whether to read so many services by these bundles."""
    return services >= MIN_BUNDLED_SERVICES and 0 < bundles < services


def bundle_number(tag: int, bundles: int) -> int:
    """Return which of the bundles holds the service with a tag."""
    return tag % bundles


def join_bundle(documents: Iterable[bytes]) -> bytes:
    """Return the bundle of some raw documents, none with a line break."""
    return _LINE_END.join(documents)


def split_bundle(raw: bytes) -> list[bytes]:
    """Return the raw documents of a bundle; none of them is checked."""
    return [line for line in raw.split(_LINE_END) if line]


def fill_bundles(
    documents: Iterable[ServiceDocument],
    bundles: int,
) -> list[list[ServiceDocument]]:
    """Return the documents of each bundle, in a fixed order."""
    filled: list[list[ServiceDocument]] = [[] for _ in range(bundles)]
    if not filled:
        return filled
    for document in sorted(documents, key=_tag):
        filled[bundle_number(document.tag, bundles)].append(document)
    return filled


def choose_bundles(documents: Collection[ServiceDocument]) -> int:
    """Return the fewest bundles that each stay below the size; 0 for few."""
    if len(documents) < MIN_BUNDLED_SERVICES:
        return 0
    sizes = {one.tag: len(encode_document(one)) + 1 for one in documents}
    lowest = max(1, sum(sizes.values()) // MAX_BUNDLE_BYTES)
    for bundles in range(lowest, MAX_BUNDLES):
        if _largest(sizes, bundles) <= MAX_BUNDLE_BYTES:
            return bundles
    return MAX_BUNDLES


def encode_bundles(
    documents: Collection[ServiceDocument],
    bundles: int,
) -> Sequence[bytes]:
    """Return each bundle as it is published."""
    return [
        join_bundle(encode_document(one) for one in members)
        for members in fill_bundles(documents, bundles)
    ]


def _largest(sizes: Mapping[int, int], bundles: int) -> int:
    totals: Counter[int] = Counter()
    for tag, size in sizes.items():
        totals[bundle_number(tag, bundles)] += size
    return max(totals.values())


def _tag(document: ServiceDocument) -> int:
    return document.tag
