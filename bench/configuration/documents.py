"""Build seeded configuration documents, and print Markdown tables."""

import random
from collections.abc import Iterator, Sequence

from attrs import AttrsInstance, asdict, evolve, frozen

from dragonflyshift._internal.config import encode_document, service_tag
from dragonflyshift._internal.config.bundles import (
    choose_bundle_count,
    encode_bundles,
)
from dragonflyshift._internal.models import (
    Address,
    Endpoint,
    IndexDocument,
    IndexEntry,
    ServiceDocument,
)
from dragonflyshift._internal.models.documents import (
    INDEX_KEY,
    bundle_key,
    service_key,
)

HOSTS_PER_NETWORK = 65_536
OCTET_BITS = 8


@frozen
class Inventory:
    """The service documents, index and bundles of one index version."""

    services: tuple[ServiceDocument, ...]
    version: int = 1
    has_bundles: bool = True

    @property
    def index(self) -> IndexDocument:
        """The index document that lists these services."""
        entries = tuple(
            IndexEntry(each.name, each.tag, each.version, each.addresses)
            for each in self.services
        )
        return IndexDocument(self.version, entries, self.bundles)

    @property
    def bundles(self) -> int:
        """The number of bundles, zero without bundles."""
        return choose_bundle_count(self.services) if self.has_bundles else 0

    def with_first_changed(self) -> 'Inventory':
        """Return the next version, in which the first service has changed."""
        version = self.version + 1
        first, *others = self.services
        changed = evolve(first, version=version)
        return evolve(self, services=(changed, *others), version=version)

    def key_values(self) -> Iterator[tuple[str, bytes]]:
        """Yield each key with its encoded document, the index last."""
        for document in self.services:
            yield service_key(document.name), encode_document(document)
        bundles = encode_bundles(self.services, self.bundles)
        for number, raw in enumerate(bundles):
            yield bundle_key(number), raw
        yield INDEX_KEY, encode_document(self.index)


def build_inventory(services: int, endpoints: int, seed: int) -> Inventory:
    """Return an inventory with names and weights drawn from the seed."""
    rng = random.Random(seed)
    return Inventory(
        tuple(
            _build_service(number, endpoints, rng) for number in range(services)
        ),
    )


def print_tables(sections: dict[str, Sequence[AttrsInstance]]) -> None:
    """Print the rows of each section as a Markdown table."""
    for title, rows in sections.items():
        print(f'\n### {title}\n')
        columns = list(asdict(rows[0]))
        print(f'| {" | ".join(columns)} |')
        print(f'|{"---|" * len(columns)}')
        for row in rows:
            print(f'| {" | ".join(map(_format_cell, asdict(row).values()))} |')


def _build_service(
    number: int,
    endpoints: int,
    rng: random.Random,
) -> ServiceDocument:
    name = f'service-{rng.getrandbits(40):010x}-{number}'
    first_host = number * endpoints
    return ServiceDocument(
        name=name,
        organisation=rng.choice(('council', 'assembly')),
        tag=service_tag(name),
        version=1,
        addresses=(Address(_host(192, number), 443),),
        endpoints=tuple(
            Endpoint(
                name=f'{name}-{endpoint}',
                address=Address(_host(10, first_host + endpoint), 7000),
                data_center=rng.choice(('north-1', 'north-2', 'south-1')),
                region='main-region',
                slots=rng.choice((3, 4)),
            )
            for endpoint in range(endpoints)
        ),
    )


def _host(network: int, number: int) -> str:
    if number >= HOSTS_PER_NETWORK:
        raise ValueError(
            f'host {number} exceeds a network of {HOSTS_PER_NETWORK} hosts',
        )
    high, low = divmod(number, 1 << OCTET_BITS)
    return f'{network}.1.{high}.{low}'


def _format_cell(cell: object) -> str:
    if isinstance(cell, float):
        return f'{cell:,.3g}' if abs(cell) < 1000 else f'{cell:,.0f}'
    return f'{cell:,}' if isinstance(cell, int) else str(cell)
