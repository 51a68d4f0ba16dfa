"""Evacuated data centres in declarations and documents.

Guards against documents that the previous build refuses or under which it
places new flows in an evacuated data centre, and against evacuations that are
lost, forged or left over after a restore.
"""

import json
import unittest

from attrs import evolve, fields, make_class

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.config.documents import (
    decode_json,
    decode_service,
    encode_document,
)
from dragonflyshift._internal.config.evacuation import (
    EvacuationLog,
    publish_evacuation,
)
from dragonflyshift._internal.config.planning import plan_changes
from dragonflyshift._internal.config.rendering import render_declaration
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models import (
    EndpointState,
    ServiceDocument,
    ServiceRules,
)
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import ServiceState, service_key
from dragonflyshift._internal.models.plan import ChangeKind
from dragonflyshift._internal.models.rendering import Published
from dragonflyshift._internal.routing import (
    Candidate,
    Rendezvous,
    RoutingScope,
)
from tests.lib.builders import REGION, SERVICE, build_endpoint, build_service

_LOGGER = 'dragonflyshift._internal.config.evacuation'
# The fields that the build before evacuations accepts.
_PreviousDocument = make_class(
    'PreviousDocument',
    [each.name for each in fields(ServiceDocument) if each.name != 'evacuated'],
)


def _declared(*evacuated: str) -> ServiceDocument:
    return build_service(
        endpoints=(
            build_endpoint(1),
            build_endpoint(2, data_center='ipoh'),
            build_endpoint(3, data_center='ipoh', state=EndpointState.LEAVING),
        ),
        rules=ServiceRules(idempotent=('PUT /photos/',)),
        evacuated=evacuated,
    )


def _ranked(document: ServiceDocument) -> list[str]:
    candidates = [Candidate(endpoint) for endpoint in document.endpoints]
    scope = RoutingScope('klang', REGION)
    ranked = Rendezvous().rank(b'flow', candidates, scope, limit=9)
    return [candidate.endpoint.data_center for candidate in ranked]


class PublishedDocumentTest(unittest.TestCase):
    def test_evacuation_survives_publication(self) -> None:
        published = publish_evacuation(_declared('klang'))
        read = decode_service(encode_document(published))
        self.assertEqual(read, published)
        self.assertEqual(read.rules.idempotent, ('PUT /photos/',))
        own = build_endpoint(1).address
        self.assertEqual(read.evacuated_addresses(), {own})
        self.assertEqual(_ranked(read), ['ipoh'])

    def test_previous_build_accepts_the_document(self) -> None:
        raw = encode_document(publish_evacuation(_declared('klang')))
        plain = encode_document(_declared())
        self.assertEqual(json.loads(raw).keys(), json.loads(plain).keys())
        read = decode_json(raw, _PreviousDocument)
        states = [endpoint['state'] for endpoint in read.endpoints]
        self.assertEqual(states, ['leaving', 'serving', 'leaving'])
        self.assertEqual(read.state, 'serving')

    def test_document_of_the_previous_build(self) -> None:
        raw = encode_document(_declared())
        self.assertNotIn(b'evacuated', raw.lower())
        self.assertEqual(decode_service(raw).evacuated, ())

    def test_service_without_endpoints_elsewhere_winds_down(self) -> None:
        # With all endpoints leaving, balancers of both builds would drop
        # first packets, and callers would wait for their timeout.
        for evacuated in (('ipoh', 'klang'), ('klang',)):
            declared = _declared(*evacuated)
            if len(evacuated) == 1:
                declared = evolve(declared, endpoints=declared.endpoints[:1])
            published = publish_evacuation(declared)
            with self.subTest(evacuated):
                self.assertIs(published.state, ServiceState.WINDING_DOWN)
                self.assertEqual(published.endpoints, declared.endpoints)
                self.assertIn('klang', _ranked(published))

    def test_restore_renders_the_document_from_before(self) -> None:
        before = _declared()
        for evacuated in (('klang',), ('ipoh', 'klang')):
            published = publish_evacuation(_declared(*evacuated))
            restored = evolve(before, version=3)
            rendered = render_declaration(
                Declaration(3, (restored,)),
                Published(services={SERVICE: published}),
            )
            read = decode_service(rendered[0].raw)
            with self.subTest(evacuated):
                self.assertEqual(read, restored)

    def test_same_evacuation_keeps_the_version(self) -> None:
        published = publish_evacuation(_declared('klang'))
        rendered = render_declaration(
            Declaration(9, (evolve(_declared('klang'), version=9),)),
            Published(services={SERVICE: published}),
        )
        self.assertEqual((rendered[0].version, rendered[0].is_changed), (1, 0))

    def test_invalid_mark_leaves_the_document_in_force(self) -> None:
        store = ConfigurationStore()
        published = publish_evacuation(_declared('klang'))
        store.apply(service_key(SERVICE), encode_document(published))
        for name in ('', 'Ipoh', 'a' * 64):
            changed = evolve(published, version=2, evacuated=(name,))
            with self.subTest(name), self.assertRaises(ConfigurationError):
                store.apply(service_key(SERVICE), encode_document(changed))
        self.assertEqual(store.service(SERVICE), published)


class EvacuationLogTest(unittest.TestCase):
    def test_changes_are_logged_once(self) -> None:
        log = EvacuationLog()
        with self.assertLogs(_LOGGER) as logs:
            for evacuated in (('klang',), ('klang',), ()):
                log.update((_declared(*evacuated),))
        self.assertEqual(
            [record.message for record in logs.records],
            ['data-center-evacuated', 'data-center-restored'],
        )

    def test_unknown_data_center_is_logged_and_has_no_effect(self) -> None:
        document = _declared('atlantis')
        with self.assertLogs(_LOGGER, 'WARNING') as logs:
            EvacuationLog().update((document,))
        self.assertIn('evacuation-of-unknown', logs.records[0].message)
        published = publish_evacuation(document)
        self.assertEqual(_ranked(published), ['klang', 'ipoh'])


class PlanTest(unittest.TestCase):
    def test_evacuation_without_endpoints_elsewhere_is_risky(self) -> None:
        for evacuated, is_risky in (
            (('klang',), False),
            (('ipoh', 'klang'), True),
        ):
            plan = plan_changes(
                Declaration(1, (_declared(),)),
                Declaration(2, (_declared(*evacuated),)),
            )
            with self.subTest(evacuated):
                found = {change.kind: change for change in plan.changes}
                self.assertEqual(
                    found[ChangeKind.DATA_CENTER_EVACUATED].is_risky,
                    is_risky,
                )
                self.assertNotIn(ChangeKind.ENDPOINT_LEAVES, found)
