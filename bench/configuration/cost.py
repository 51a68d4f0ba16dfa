"""Measure the costs of decoding, applying and storing configuration.

Run ``python -m bench.configuration.cost [--json] [--seed N]``. Times are
processor time; the memory of a store includes the documents that it keeps.
"""

import argparse
import json
import time
import tracemalloc
from collections.abc import Sequence

from attrs import AttrsInstance, asdict, frozen

from bench.configuration.documents import (
    Inventory,
    build_inventory,
    print_tables,
)
from bench.micro.timing import US_PER_S, median_us
from bench.slopes import fit_line
from dragonflyshift._internal.config import (
    ConfigurationStore,
    decode_index,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.config.bundles import encode_bundles
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key

INVENTORY_SIZES = (80, 270, 810)
ENDPOINT_SIZES = (7, 20, 50)
ENDPOINTS = 7
ROUNDS = 20
US_PER_MS = 1000
KIB = 1024


@frozen
class IndexCost:
    """Sizes and costs of an index and its documents for a service count."""

    services: int
    index_bytes: int
    service_bytes: int
    bundles: int
    bundle_bytes: int
    decode_index_ms: float
    apply_index_ms: float
    apply_all_services_ms: float
    store_kib: float


@frozen
class ServiceCost:
    """Size and costs of a service document for a number of endpoints."""

    endpoints: int
    document_bytes: int
    decode_ms: float
    apply_ms: float


@frozen
class Slope:
    """A least-squares fit of one figure against the sizes.

    ``each`` is the increase per service or endpoint.
    """

    figure: str
    fixed: float
    each: float
    worst_distance: float


def measure_index(services: int, seed: int) -> IndexCost:
    """Measure an inventory with the given number of services."""
    inventory = build_inventory(services, ENDPOINTS, seed)
    raw = encode_document(inventory.index)
    raws = [encode_document(each) for each in inventory.services]
    bundles = encode_bundles(inventory.services, inventory.bundles)
    return IndexCost(
        services=services,
        index_bytes=len(raw),
        service_bytes=sum(map(len, raws)) // services,
        bundles=inventory.bundles,
        bundle_bytes=sum(map(len, bundles)),
        decode_index_ms=median_us(lambda: decode_index(raw)) / US_PER_MS,
        apply_index_ms=_apply_index_ms(raw),
        apply_all_services_ms=_apply_services_ms(raw, raws),
        store_kib=_store_kib(inventory),
    )


def measure_service(endpoints: int, seed: int) -> ServiceCost:
    """Measure a service with the given number of endpoints."""
    (service,) = build_inventory(1, endpoints, seed).services
    raw = encode_document(service)

    def apply() -> None:  # noqa: WPS430 -- binds the document
        ConfigurationStore().apply_service(raw)

    return ServiceCost(
        endpoints=endpoints,
        document_bytes=len(raw),
        decode_ms=median_us(lambda: decode_service(raw), ROUNDS) / US_PER_MS,
        apply_ms=median_us(apply, ROUNDS) / US_PER_MS,
    )


def measure(seed: int) -> dict[str, Sequence[AttrsInstance]]:
    """Measure all sizes; return titles with their table rows."""
    indexes = [measure_index(size, seed) for size in INVENTORY_SIZES]
    services = [measure_service(size, seed) for size in ENDPOINT_SIZES]
    return {
        f'Inventory, {ENDPOINTS} endpoints a service': indexes,
        'Slopes a service': [
            fit_column(name, INVENTORY_SIZES, indexes)
            for name in (
                'index_bytes',
                'bundle_bytes',
                'decode_index_ms',
                'apply_index_ms',
                'apply_all_services_ms',
                'store_kib',
            )
        ],
        'One service': services,
        'Slopes an endpoint': [
            fit_column(name, ENDPOINT_SIZES, services)
            for name in ('document_bytes', 'decode_ms', 'apply_ms')
        ],
    }


def fit_column(
    name: str,
    sizes: Sequence[int],
    rows: Sequence[AttrsInstance],
) -> Slope:
    """Fit a line through one column of the rows."""
    line = fit_line(sizes, [getattr(row, name) for row in rows])
    return Slope(name, line.intercept, line.slope, line.max_residual)


def main() -> None:
    """Measure and print Markdown tables or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    sections = measure(args.seed)
    if args.json:
        plain = {
            title: [asdict(row) for row in rows]
            for title, rows in sections.items()
        }
        print(json.dumps({'seed': args.seed, **plain}))
        return
    print_tables(sections)


def _apply_index_ms(raw: bytes) -> float:
    def apply() -> None:  # noqa: WPS430 -- binds the document
        ConfigurationStore().apply_index(raw)

    return median_us(apply) / US_PER_MS


def _apply_services_ms(index: bytes, raws: Sequence[bytes]) -> float:
    store = ConfigurationStore()
    store.apply_index(index)
    started = time.process_time()
    for raw in raws:
        store.apply_service(raw)
    return (time.process_time() - started) * US_PER_S / US_PER_MS


def _store_kib(inventory: Inventory) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    store = ConfigurationStore()
    store.apply(INDEX_KEY, encode_document(inventory.index))
    for document in inventory.services:
        store.apply(service_key(document.name), encode_document(document))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / KIB


if __name__ == '__main__':
    main()
