import json
import unittest

from attrs import evolve

from dragonflyshift._internal.config import bundles
from dragonflyshift._internal.config.documents import (
    decode_index,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.config.rendering import render_declaration
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models import ServiceDocument
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import (
    INDEX_KEY,
    bundle_key,
    service_key,
)
from dragonflyshift._internal.models.rendering import (
    Published,
    RenderedDocument,
)
from tests.lib.builders import build_address, build_index, build_service

DESIGN_SERVICE_COUNT = 810


def build_services(count: int, version: int = 1) -> list[ServiceDocument]:
    return [
        build_service(
            f'service-{number}',
            version,
            endpoints=7,
            addresses=(build_address(300 + number),),
        )
        for number in range(count)
    ]


class BundleTest(unittest.TestCase):
    def test_bundles_at_the_design_size(self) -> None:
        services = build_services(DESIGN_SERVICE_COUNT)
        count = bundles.choose_bundle_count(services)
        published = bundles.encode_bundles(services, count)
        self.assertLess(count, 10)
        largest = max(len(raw) for raw in published)
        self.assertLessEqual(largest, bundles.MAX_BUNDLE_BYTES)
        found = [
            raw for each in published for raw in bundles.split_bundle(each)
        ]
        self.assertCountEqual(found, map(encode_document, services))

    def test_few_services_have_no_bundles(self) -> None:
        few = build_services(bundles.MIN_BUNDLED_SERVICES - 1)
        self.assertEqual(bundles.choose_bundle_count(few), 0)
        self.assertEqual(bundles.encode_bundles(few, 0), [])


class IndexTest(unittest.TestCase):
    def test_index_without_bundles_omits_the_key(self) -> None:
        raw = encode_document(build_index(build_service()))
        self.assertNotIn('bundles', json.loads(raw))
        self.assertEqual(decode_index(raw).bundles, 0)

    def test_bundle_count_out_of_range(self) -> None:
        for number in (-1, 257):
            index = build_index(build_service(), bundles=number)
            with self.subTest(number), self.assertRaises(ConfigurationError):
                decode_index(encode_document(index))


class RenderingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.services = tuple(build_services(12))

    def render(
        self,
        services: tuple[ServiceDocument, ...],
        revision: int,
        previous: Published | None = None,
    ) -> dict[str, RenderedDocument]:
        declaration = Declaration(revision=revision, services=services)
        rendered = render_declaration(declaration, previous)
        return {document.key: document for document in rendered}

    def test_order_and_content(self) -> None:
        rendered = self.render(self.services, 1)
        self.assertEqual(list(rendered)[-2:], [bundle_key(0), INDEX_KEY])
        index = decode_index(rendered[INDEX_KEY].raw)
        self.assertEqual(index.bundles, 1)
        lines = bundles.split_bundle(rendered[bundle_key(0)].raw)
        for raw in lines:
            key = service_key(decode_service(raw).name)
            self.assertEqual(raw, rendered[key].raw)
        self.assertEqual(len(lines), len(self.services))

    def test_bundle_changes_with_its_documents(self) -> None:
        index = build_index(*self.services, bundles=1)
        documents = {document.name: document for document in self.services}
        published = Published(index, documents)
        unchanged = self.render(self.services, 1, published)
        self.assertFalse(unchanged[bundle_key(0)].is_changed)
        first, *others = self.services
        updated = evolve(first, version=2, organisation='other')
        rendered = self.render((updated, *others), 2, published)
        self.assertTrue(rendered[bundle_key(0)].is_changed)
        self.assertEqual(rendered[bundle_key(0)].version, 2)

    def test_without_bundles(self) -> None:
        declaration = Declaration(revision=1, services=self.services)
        rendered = render_declaration(declaration, with_bundles=False)
        self.assertEqual(len(rendered), len(self.services) + 1)
