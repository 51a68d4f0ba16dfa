import unittest
from typing import Any

import attrs

from dragonflyshift._internal.config.planning import plan_changes
from dragonflyshift._internal.models import (
    EndpointState,
    ServiceDocument,
    ServiceRules,
)
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import ServiceState
from dragonflyshift._internal.models.plan import ChangeKind, PlannedChange
from tests.lib.builders import (
    build_address,
    build_endpoint,
    build_service,
)

LEAVING = EndpointState.LEAVING


def changes_of(
    before: tuple[ServiceDocument, ...],
    after: tuple[ServiceDocument, ...],
    revision: int = 2,
) -> dict[ChangeKind, PlannedChange]:
    plan = plan_changes(Declaration(1, before), Declaration(revision, after))
    return {change.kind: change for change in plan.changes}


def change_endpoint(document: ServiceDocument, **changes: Any) -> Any:
    first, *others = document.endpoints
    changed = attrs.evolve(first, **changes)
    return attrs.evolve(document, endpoints=(changed, *others))


class PlanTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lists = build_service()
        self.exports = build_service(
            'exports',
            addresses=(build_address(201, 4433),),
            endpoints=(build_endpoint(9),),
        )

    def assert_risks(
        self,
        after: tuple[ServiceDocument, ...],
        expected: dict[ChangeKind, bool],
    ) -> None:
        found = changes_of((self.lists, self.exports), after)
        risks = {kind: change.is_risky for kind, change in found.items()}
        self.assertEqual(risks, expected)

    def test_no_change(self) -> None:
        self.assert_risks((self.lists, self.exports), {})

    def test_endpoint_leaves_and_is_removed(self) -> None:
        leaving = change_endpoint(self.lists, state=LEAVING)
        self.assert_risks(
            (leaving, self.exports),
            {ChangeKind.ENDPOINT_LEAVES: False},
        )
        removed = attrs.evolve(self.lists, endpoints=self.lists.endpoints[1:])
        found = changes_of((leaving,), (removed,))
        self.assertFalse(found[ChangeKind.ENDPOINT_REMOVED].is_risky)
        found = changes_of((self.lists,), (removed,))
        self.assertTrue(found[ChangeKind.ENDPOINT_REMOVED].is_risky)

    def test_endpoint_moves_to_another_service(self) -> None:
        previous_owner = attrs.evolve(
            self.lists, endpoints=self.lists.endpoints[1:]
        )
        new_owner = attrs.evolve(
            self.exports,
            endpoints=(*self.exports.endpoints, self.lists.endpoints[0]),
        )
        self.assert_risks(
            (previous_owner, new_owner),
            {
                ChangeKind.ENDPOINT_MOVES: True,
                ChangeKind.ENDPOINT_JOINS: False,
            },
        )

    def test_wind_down_before_removal(self) -> None:
        winding_down = attrs.evolve(self.lists, state=ServiceState.WINDING_DOWN)
        self.assert_risks(
            (winding_down, self.exports),
            {ChangeKind.SERVICE_WINDS_DOWN: False},
        )
        self.assert_risks(
            (self.exports,),
            {ChangeKind.SERVICE_REMOVED: True},
        )
        found = changes_of((winding_down,), ())
        self.assertFalse(found[ChangeKind.SERVICE_REMOVED].is_risky)

    def test_address_moves_to_another_service(self) -> None:
        exports = attrs.evolve(self.exports, addresses=self.lists.addresses)
        lists = attrs.evolve(self.lists, addresses=(build_address(210),))
        found = changes_of((self.lists, self.exports), (lists, exports))
        self.assertTrue(found[ChangeKind.ADDRESS_REMOVED].is_risky)

    def test_rules_and_slots(self) -> None:
        changed = change_endpoint(
            attrs.evolve(self.lists, rules=ServiceRules(queue_limit=4)),
            slots=5,
        )
        self.assert_risks(
            (changed, self.exports),
            {
                ChangeKind.RULES_CHANGED: False,
                ChangeKind.ENDPOINT_CHANGED: False,
            },
        )

    def test_lost_slots_and_data_centers(self) -> None:
        few = build_service(
            endpoints=tuple(
                build_endpoint(number, state=LEAVING, data_center=center)
                for number, center in ((1, 'klang'), (2, 'klang'))
            )
            + (build_endpoint(3, data_center='batu'),),
        )
        found = changes_of((self.lists,), (few,))
        self.assertTrue(found[ChangeKind.CAPACITY_LOST].is_risky)

    def test_revision_must_increase(self) -> None:
        after = change_endpoint(self.lists, slots=5)
        found = changes_of((self.lists,), (after,), revision=1)
        self.assertTrue(found[ChangeKind.REVISION_KEPT].is_risky)
