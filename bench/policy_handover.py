"""Handing a request over to a peer: claims, and offers of free slots."""

import random
from collections.abc import Callable, Sequence
from functools import partial

from bench.policy_clock import EventClock
from bench.policy_sidecar import Request, Sidecar, request_of
from bench.policy_tally import Tally
from dragonflyshift._internal.models import MemberRecord
from dragonflyshift._internal.routing import PeerChoice

HOP_SECONDS = 0.0015

_Action = Callable[[Request], None]


class HandOvers:
    """Move requests between the sidecars of a service."""

    def __init__(
        self,
        peer_choice: PeerChoice,
        limit: int,
        sidecars: Sequence[Sidecar],
        clock: EventClock,
        rng: random.Random,
        tally: Tally,
        on_slot: Callable[[Request, Sidecar], None],
        on_none: _Action,
    ) -> None:
        """Call ``on_slot`` with the slot found, ``on_none`` without one."""
        self._peer_choice = peer_choice
        self._limit = limit
        self._by_address = {each.endpoint.address: each for each in sidecars}
        self._clock = clock
        self._rng = rng
        self._tally = tally
        self._on_slot = on_slot
        self._on_none = on_none

    def start(self, req: Request) -> None:
        """Ask the peers for a slot, one after another."""
        peers = self._peer_choice.order(
            req.home.view,
            self._rng,
            self._limit,
        )
        self._claim(req, peers, self._on_none)

    def start_at_freer(self, req: Request, otherwise: _Action) -> None:
        """Ask a peer that has more free slots, if one is known."""
        peers = self._peer_choice.choose_freer(
            req.home.admission.free_slots(self._clock.now),
            req.home.view,
            self._rng,
        )
        self._claim(req, peers, otherwise)

    def _claim(
        self,
        req: Request,
        peers: tuple[MemberRecord, ...],
        otherwise: _Action,
    ) -> None:
        if not peers:
            otherwise(req)
            return
        peer = self._by_address[peers[0].address]
        following = partial(self._claim, req, peers[1:], otherwise)
        self._clock.after(
            HOP_SECONDS,
            partial(self._answer_claim, req, peer, following),
        )

    def _answer_claim(
        self,
        req: Request,
        peer: Sidecar,
        following: Callable[[], None],
    ) -> None:
        self._tally.claims += req.is_counted
        if peer.admission.try_start(self._clock.now):
            self._tally.handed_over += req.is_counted
            self._on_slot(req, peer)
            return
        peer.offers.add(req.home.endpoint.address, self._clock.now)
        self._clock.after(HOP_SECONDS, following)

    def offer(self, sidecar: Sidecar) -> None:
        """Tell who asked in vain that a slot is free now."""
        if sidecar.admission.free_slots(self._clock.now) <= 0:
            return
        asker = sidecar.offers.pop(self._clock.now)
        if asker is not None:
            self._tally.offers += 1
            self._clock.after(
                HOP_SECONDS,
                partial(self._take_offer, self._by_address[asker], sidecar),
            )

    def _take_offer(self, asker: Sidecar, peer: Sidecar) -> None:
        """Claim the slot for the request that is next, if any waits."""
        ticket = asker.admission.peek(self._clock.now)
        if ticket is None:
            self._clock.after(HOP_SECONDS, partial(self.offer, peer))
            return
        # It leaves the queue first, so that it can't start at both.
        asker.admission.cancel(ticket)
        req = request_of(ticket)
        following = partial(self._on_none, req)
        self._clock.after(
            HOP_SECONDS,
            partial(self._answer_claim, req, peer, following),
        )
