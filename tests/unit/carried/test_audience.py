import random
import unittest
from collections import Counter

from dragonflyshift._internal.carried.fleet.audience import (
    TELLERS,
    Audience,
)
from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.messages import DaemonStatus, FlowReply
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.sidecar.reports import (
    MAX_REPORTS_PER_S,
    LoadReporter,
)
from tests.lib.carried import Outbox, build_load

_PLACES = ('klang', 'ipoh', 'melaka')
_STEP_S = 0.005


def _pair(number: int, kind: int) -> SocketAddress:
    return (f'10.{kind}.0.{number}', 7720)


def _status(place: str) -> DaemonStatus:
    return DaemonStatus(
        is_balancer=True,
        is_reader=False,
        data_center=place,
        revision=1,
        version=1,
        digest=1,
        age_ms=0,
        is_leaving=False,
        wants_reply=False,
    )


def _audiences(balancers: int, sidecars: int) -> list[Audience]:
    places = {
        _pair(number, 1): _PLACES[number % len(_PLACES)]
        for number in range(balancers)
    }
    targets = {
        _pair(number, 2): _PLACES[number % len(_PLACES)]
        for number in range(sidecars)
    }
    found = []
    for own, place in places.items():
        book = PeerBook(own, (), random.Random(1))
        for other, other_place in places.items():
            if other != own:
                book.heard(0, other, _status(other_place))
        found.append(Audience(True, place, book, targets.copy))
    return found


class AudienceTest(unittest.TestCase):
    def test_each_sidecar_has_two_tellers_at_any_size(self) -> None:
        for balancers in (6, 24, 60):
            told: Counter[SocketAddress] = Counter()
            for audience in _audiences(balancers, 50):
                told.update(audience.of_news(is_reading=False))
            with self.subTest(balancers=balancers):
                self.assertEqual(len(told), 50)
                self.assertEqual(set(told.values()), {TELLERS})

    def test_data_centre_without_balancers_is_told_by_others(self) -> None:
        told: Counter[SocketAddress] = Counter()
        for audience in _audiences(2, 9):
            told.update(audience.of_news(is_reading=False))
        self.assertEqual(len(told), 9)

    def test_reader_tells_all_balancers(self) -> None:
        audience = _audiences(24, 50)[0]
        told = audience.of_news(is_reading=True)
        balancers = {pair for pair in told if pair[0].startswith('10.1.')}
        self.assertEqual(len(balancers), 23)

    def test_reports_of_a_busy_sidecar_are_bounded(self) -> None:
        """The load changes with each packet, and 24 balancers listen."""
        outbox = Outbox()
        state = {'busy': 0}
        reporter = LoadReporter(
            lambda _now: build_load(busy=state['busy']),
            outbox.daemon,
        )
        for number in range(24):
            reporter.note_interest(0, _pair(number, 1))
        for step in range(400):
            state['busy'] = step % 4
            reporter.report_change(step * _STEP_S)
        reports = [
            message
            for message, _pair_told in outbox.to_daemon
            if isinstance(message, FlowReply)
        ]
        self.assertLessEqual(len(reports), MAX_REPORTS_PER_S * 2 + 24)
        self.assertGreater(len(reports), MAX_REPORTS_PER_S)
