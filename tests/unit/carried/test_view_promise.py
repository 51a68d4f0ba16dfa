"""Tests that a revision promises no more than the view holds.

Peers skip the changes up to a view's revision, readers read on after it. A part
that a message doesn't carry must therefore keep the revision where it is, or
be one that every reader finds in the store by itself.
"""

import enum
import random
import unittest
from itertools import permutations, repeat

import attrs
import msgpack

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    encode_evacuations,
)
from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.gossip import Gossip
from dragonflyshift._internal.carried.fleet.revisions import StoreListing
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.messages import ChangeNotice
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationTable,
)
from dragonflyshift._internal.carried.routes import RouteTable, Warmup
from tests.lib.carried import (
    DATA_CENTER,
    SERVICE,
    build_evacuation,
    build_record,
    build_route,
    build_routes,
)
from tests.lib.gossip import build_gossip, build_status

_PEER = ('10.0.0.9', 1)


class Kind(enum.Enum):
    """How a part of the view reaches other daemons."""

    # In notices and in pulls.
    CARRIED = enum.auto()
    # In pulls only: a notice leaves the revision as it is.
    PULLED = enum.auto()
    # Found by each reader itself, which compares its view with the store's
    # listing.
    READ = enum.auto()
    # Observed by each daemon itself, or derived from other parts.
    LOCAL = enum.auto()


_VIEW_PARTS = {
    'revision': Kind.LOCAL,
    'routes': Kind.PULLED,
    'records': Kind.CARRIED,
    'removals': Kind.CARRIED,
    'tentative_removals': Kind.READ,
    'evacuations': Kind.CARRIED,
    'clock': Kind.LOCAL,
    'is_answering': Kind.LOCAL,
    'listed_since': Kind.LOCAL,
    # What a daemon has seen itself; a younger one probes (moved routes).
    'route_history': Kind.LOCAL,
    'reported_version': Kind.LOCAL,
    '_by_service': Kind.LOCAL,
    '_placeable_by_service': Kind.LOCAL,
    '_listed': Kind.LOCAL,
    '_newest_by_host': Kind.LOCAL,
    '_unnamed_by_host': Kind.LOCAL,
    '_checksum': Kind.LOCAL,
}
_TABLE_PARTS = {
    'version': Kind.PULLED,
    'routes': Kind.PULLED,
    'idle_timeout_ms': Kind.PULLED,
    'warmups': Kind.PULLED,
    'services': Kind.PULLED,
}
_EVACUATION_PARTS = {
    'evacuated': Kind.CARRIED,
    '_records': Kind.CARRIED,
    'tentative': Kind.READ,
    # Settled by a listing of the store at each balancer that has one.
    'claims': Kind.LOCAL,
}


def _names(cls: type) -> set[str]:
    return {attribute.name for attribute in attrs.fields(cls)}


def _held(view: FleetView) -> dict[str, object]:
    """Return all that the revision of a view promises."""
    parts: dict[str, object] = {
        name: getattr(view.routes, name) for name in _TABLE_PARTS
    }
    parts['records'] = {
        name: record.revision for name, record in view.records.items()
    }
    parts['evacuated'] = view.evacuations.evacuated
    return parts


def _full_table(version: int) -> RouteTable:
    return attrs.evolve(
        build_routes(version, (build_route(name=f'route-{version}'),)),
        idle_timeout_ms=1000 + version,
        warmups={SERVICE: Warmup(SERVICE, 3.0, float(version))},
        services=frozenset((SERVICE, f'service-{version}')),
    )


def _first_state() -> ViewUpdate:
    records = tuple(build_record(number) for number in (1, 2, 3))
    return ViewUpdate(0, 5, records, routes=_full_table(1))


# A change of each part, after the first state.
_CHANGES = (
    ViewUpdate(5, 6, routes=_full_table(2)),
    ViewUpdate(5, 6, (build_record(4, revision=6),)),
    ViewUpdate(5, 6, (build_record(1, revision=6, is_leaving=True),)),
    ViewUpdate(5, 6, removed=(('instance-1', 6),)),
    ViewUpdate(5, 6, evacuations=(build_evacuation(6),)),
    ViewUpdate(5, 7, (build_record(4, revision=7),), routes=_full_table(2)),
)


class PartsTest(unittest.TestCase):
    def test_every_part_has_a_way_to_other_daemons(self) -> None:
        """A new part must be carried, or keep the revision where it is."""
        for kind, parts in (
            (FleetView, _VIEW_PARTS),
            (RouteTable, _TABLE_PARTS),
            (EvacuationTable, _EVACUATION_PARTS),
        ):
            with self.subTest(kind=kind.__name__):
                self.assertEqual(_names(kind), set(parts))

    def test_raised_revision_means_that_every_part_is_held(self) -> None:
        for change in _CHANGES:
            for way in (_notify, _pull, _pull_all):
                with self.subTest(change=str(change), way=way.__name__):
                    sender, recipient = _gossips()
                    sender.view.apply(change)
                    way(sender, recipient)
                    self._check(sender, recipient)

    def test_notice_of_a_new_version_leaves_the_revision(self) -> None:
        sender, recipient = _gossips()
        sender.view.apply(_CHANGES[0])
        _notify(sender, recipient)
        self.assertEqual(recipient.view.revision, 5)
        self.assertTrue(recipient.view.lacks_routes)
        _pull(sender, recipient)
        self.assertEqual(recipient.view.revision, 6)
        self.assertFalse(recipient.view.lacks_routes)

    def test_view_that_lacks_a_version_is_not_fresh(self) -> None:
        """Its age was confirmed by any peer of the same revision."""
        sender, recipient = _gossips()
        sender.view.apply(_CHANGES[0])
        _notify(sender, recipient)
        _report(recipient, revision=5, version=1)
        self.assertEqual(recipient.age_s(0), float('inf'))
        _pull(sender, recipient)
        _report(recipient, revision=6, version=2)
        self.assertEqual(recipient.age_s(0), 0)

    def test_pull_from_a_peer_without_the_version_raises_nothing(self) -> None:
        """A peer of the build before reports a revision that it lacks."""
        sender, recipient = _gossips()
        _report(recipient, revision=6, version=2)
        sender.view.revision = 6
        _pull(sender, recipient)
        self.assertEqual(recipient.view.revision, 5)

    def test_version_that_nobody_reports_any_more_counts_as_lost(self) -> None:
        """The copy from which a store was restored may lack it."""
        sender, recipient = _gossips()
        recipient.view.clock = lambda: 1
        _report(recipient, revision=5, version=2)
        sender.view.revision = 6
        _pull(sender, recipient)
        self.assertEqual(recipient.view.revision, 5)
        recipient.view.clock = lambda: 11
        _pull(sender, recipient)
        self.assertEqual(recipient.view.revision, 6)

    def test_part_that_can_not_be_decoded_raises_nothing(self) -> None:
        for index, part in (
            (2, [['further']]),
            (3, [['gone', 'now']]),
            (4, b'\xc1'),
        ):
            sender, recipient = _gossips()
            sender.view.apply(_CHANGES[-1])
            fields = msgpack.unpackb(encode_update(sender.view, 5, 1))
            fields[index] = part
            with self.subTest(index=index), self.assertLogs(level='ERROR'):
                update = decode_update(msgpack.packb(fields))
                recipient.view.apply(update)
            self.assertEqual(recipient.view.revision, 5)

    def test_record_that_can_not_be_sent_raises_nothing(self) -> None:
        sender, recipient = _gossips()
        sender.view.apply(_CHANGES[1])
        sender.view.merge(build_record(7, revision=6, service='lists-\ud83d'))
        with self.assertLogs(level='ERROR'):
            _pull(sender, recipient)
        self.assertIn('instance-4', recipient.view.records)
        self.assertEqual(recipient.view.revision, 5)

    def test_random_messages_never_promise_more_than_is_held(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                self._exchange_at_random(random.Random(seed))

    def _exchange_at_random(self, rng: random.Random) -> None:
        states = {5: _held(_apply_all(_first_state()))}
        reader, *peers = _gossips(4)
        for revision in range(6, 30):
            reader.view.apply(_random_change(rng, revision))
            states[revision] = _held(reader.view)
            for sender, recipient in permutations([reader, *peers], 2):
                if recipient is not reader:
                    rng.choice(_RANDOM_WAYS)(sender, recipient)
            for peer in peers:
                if peer.view.revision < revision:
                    continue
                self.assertEqual(_held(peer.view), states[revision])

    def _check(self, sender: Gossip, recipient: Gossip) -> None:
        if recipient.view.revision >= sender.view.revision:
            self.assertEqual(_held(recipient.view), _held(sender.view))


class ListingTest(unittest.TestCase):
    """A peer may end before it drops an entry that the store has removed."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.listing = StoreListing()
        self._read(_first_state())

    def test_entry_that_only_a_peer_has_sent_has_ended(self) -> None:
        self.view.merge(build_record(4, revision=4))
        ended = self.listing.find_ended_endpoints(self.view)
        self.assertEqual(ended, ['instance-4'])

    def test_newer_entry_of_a_peer_is_kept(self) -> None:
        self.view.merge(build_record(4, revision=6))
        self.assertEqual(self.listing.find_ended_endpoints(self.view), [])

    def test_entry_that_was_removed_and_sent_again_has_ended(self) -> None:
        self._read(ViewUpdate(5, 6, removed=(('instance-1', 6),)))
        self.assertEqual(self.listing.find_ended_endpoints(self.view), [])
        self.view.records['instance-1'] = build_record(1)
        ended = self.listing.find_ended_endpoints(self.view)
        self.assertEqual(ended, ['instance-1'])

    def test_evacuation_that_only_a_peer_has_sent_has_ended(self) -> None:
        self.view.evacuations.merge(build_evacuation(4))
        ended = self.listing.find_ended_evacuations(self.view)
        self.assertEqual(ended, [DATA_CENTER])
        self._read(ViewUpdate(5, 6, evacuations=(build_evacuation(6),)))
        self.assertEqual(self.listing.find_ended_evacuations(self.view), [])

    def test_changes_after_a_gap_prove_nothing(self) -> None:
        """Peers have supplied what lies between."""
        self._read(ViewUpdate(8, 9))
        self.view.merge(build_record(4, revision=4))
        self.assertFalse(self.listing.is_complete)
        self.assertEqual(self.listing.find_ended_endpoints(self.view), [])

    def _read(self, update: ViewUpdate) -> None:
        self.listing.apply(update)
        self.view.apply(update)


def _apply_all(*updates: ViewUpdate) -> FleetView:
    view = FleetView()
    for update in updates:
        view.apply(update)
    return view


def _gossips(count: int = 2) -> list[Gossip]:
    gossips = [build_gossip(_apply_all(_first_state())) for _ in range(count)]
    for gossip in gossips:
        gossip.view.clock = int
    return gossips


def _random_change(rng: random.Random, revision: int) -> ViewUpdate:
    base = revision - 1
    number = rng.randint(1, 5)
    return rng.choice(
        (
            ViewUpdate(base, revision, routes=_full_table(revision)),
            ViewUpdate(
                base, revision, (build_record(number, revision=revision),)
            ),
            ViewUpdate(
                base, revision, removed=((f'instance-{number}', revision),)
            ),
            ViewUpdate(
                base,
                revision,
                evacuations=(
                    build_evacuation(
                        revision, is_evacuated=rng.choice((True, False))
                    ),
                ),
            ),
        )
    )


def _notify(sender: Gossip, recipient: Gossip) -> None:
    """Send the changes since the recipient's revision as a notice."""
    update = sender.view.since(recipient.view.revision)
    notice = ChangeNotice(
        update.base,
        update.revision,
        sender.view.routes.version,
        0,
        update.records,
        update.removed + encode_evacuations(update.evacuations),
    )
    recipient.on_notice(0, notice, _PEER)


def _pull(sender: Gossip, recipient: Gossip) -> None:
    view = recipient.view
    raw = encode_update(sender.view, view.revision, view.routes.version)
    view.apply(decode_update(raw))


def _pull_all(sender: Gossip, recipient: Gossip) -> None:
    view = recipient.view
    raw = encode_update(sender.view, 0, view.routes.version)
    view.apply(decode_update(raw))


def _lose(_sender: Gossip, _recipient: Gossip) -> None:
    """Lose a message."""


# Most messages of a random exchange are lost.
_RANDOM_WAYS = (_notify, _pull, *repeat(_lose, 8))


def _report(recipient: Gossip, *, revision: int, version: int) -> None:
    """Report the state of a peer whose view is as new as can be."""
    status = build_status(
        revision=revision, version=version, digest=recipient.view.checksum
    )
    recipient.on_status(0, status, _PEER)
