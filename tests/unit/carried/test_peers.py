"""Who reads the store, as a sidecar hears it from balancers."""

import random
import unittest
from typing import Any

from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.messages import DaemonStatus
from dragonflyshift._internal.carried.packet import SocketAddress

_OWN: SocketAddress = ('10.1.0.9', 7720)
_TELLER: SocketAddress = ('10.0.0.5', 7720)
_READER: SocketAddress = ('10.0.0.1', 7720)


def _status(**changes: Any) -> DaemonStatus:
    attributes: dict[str, Any] = {
        'is_balancer': True,
        'is_reader': False,
        'data_center': 'klang',
        'revision': 7,
        'version': 1,
        'digest': 0,
        'age_ms': 200,
        'is_leaving': False,
        'wants_reply': False,
        'readers': ('10.0.0.1:7720',),
        **changes,
    }
    return DaemonStatus(**attributes)


class ReportedReadersTest(unittest.TestCase):
    """Sidecars that stepped in went on for as long as they lived.

    The readers tell all balancers, but a sidecar hears two balancers only:
    on the grown deployment 60 sidecars read the store for 20 seconds.
    """

    def setUp(self) -> None:
        self.book = PeerBook(_OWN, (), random.Random(1))

    def test_reader_is_known_by_way_of_a_balancer(self) -> None:
        self.book.heard(0, _TELLER, _status())
        self.assertEqual(self.book.reported_readers(0.5), [_READER])
        self.assertEqual(self.book.readers(0.5), [])

    def test_report_of_a_balancer_without_news_counts_for_nothing(self) -> None:
        self.book.heard(0, _TELLER, _status(age_ms=2000))
        self.assertEqual(self.book.reported_readers(0.5), [])

    def test_old_report_counts_for_nothing(self) -> None:
        self.book.heard(0, _TELLER, _status())
        self.assertEqual(self.book.reported_readers(2), [])

    def test_sidecar_reports_no_reader(self) -> None:
        self.book.heard(0, _TELLER, _status(is_balancer=False))
        self.assertEqual(self.book.reported_readers(0.5), [])

    def test_only_balancers_count_as_readers_to_report(self) -> None:
        self.book.heard(0, _TELLER, _status(is_reader=True))
        sidecar = ('10.1.0.4', 7720)
        self.book.heard(0, sidecar, _status(is_balancer=False, is_reader=True))
        names = self.book.reader_names(0.5, is_reading=False)
        self.assertEqual(names, ('10.0.0.5:7720',))
        names = self.book.reader_names(0.5, is_reading=True)
        self.assertEqual(names, ('10.1.0.9:7720', '10.0.0.5:7720'))
