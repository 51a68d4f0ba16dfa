"""Tests which sidecar gets the next offer of a new flow.

Offers to busy servers one after the other delay a flow in overload, when no
server is idle.
"""

import unittest

from dragonflyshift._internal.carried.policies.offers import OfferHistory
from dragonflyshift._internal.carried.policies.placement import PlacementOption
from tests.lib.carried import build_load, build_record, sidecar_address

_SERVERS = 5


def _options(busy: int, *, suspect: int | None = None) -> list[PlacementOption]:
    return [
        PlacementOption(
            record=build_record(number),
            load=build_load(busy=busy),
            age_ms=0,
            sent_since=0,
            is_local=True,
            is_suspect=number == suspect,
            is_cold=False,
            sidecar=sidecar_address(build_record(number)),
        )
        for number in range(1, _SERVERS + 1)
    ]


class OfferHistoryTest(unittest.TestCase):
    def test_idle_servers_get_offers_before_one_may_queue(self) -> None:
        offers = self._offers(OfferHistory(), _options(busy=0))
        self.assertEqual(
            offers,
            [(1, False), (2, False), (3, False), (1, True), (4, True)],
        )

    def test_first_offer_may_queue_if_no_server_is_idle(self) -> None:
        offers = self._offers(OfferHistory(), _options(busy=9))
        self.assertEqual(offers, [(1, True), (2, True)])

    def test_preferred_sidecar_may_queue_at_the_first_offer(self) -> None:
        history = OfferHistory(sidecar_address(build_record(3)))
        self.assertEqual(self._offers(history, _options(busy=0))[0], (3, True))

    def test_suspect_sidecar_is_not_preferred(self) -> None:
        history = OfferHistory(sidecar_address(build_record(3)))
        offers = self._offers(history, _options(busy=0, suspect=3))
        self.assertEqual(offers[0], (1, False))

    def test_offer_without_reply_does_not_use_up_the_queue_offers(self) -> None:
        """Many sidecars may be gone at once."""
        history = OfferHistory()
        options = _options(busy=9)
        for _ in range(_SERVERS):
            offer = history.next_offer(options)
            assert offer is not None
            history.record_timeout(offer.option.sidecar)
        self.assertIsNotNone(history.next_offer(options))

    def _offers(
        self, history: OfferHistory, options: list[PlacementOption]
    ) -> list[tuple[int, bool]]:
        """Return the numbers of the servers that refuse, one by one."""
        offers = []
        while (offer := history.next_offer(options)) is not None:
            number = options.index(offer.option) + 1
            offers.append((number, offer.may_queue))
            history.record_refusal(offer.option.sidecar)
        return offers
