"""Simulates claims, offers and handing requests over to peers."""

import random
from collections.abc import Callable, Sequence
from functools import partial

from bench.policies.clock import EventClock
from bench.policies.sidecar import Request, Sidecar, ticket_request
from bench.policies.tally import RunCounters
from dragonflyshift._internal.models import MemberRecord
from dragonflyshift._internal.routing import PeerChoice

HOP_SECONDS = 0.0015

_Action = Callable[[Request], None]


class HandOvers:
    """Hands requests over between the sidecars of a service."""

    def __init__(
        self,
        peer_choice: PeerChoice,
        limit: int,
        sidecars: Sequence[Sidecar],
        clock: EventClock,
        rng: random.Random,
        counters: RunCounters,
        on_slot: Callable[[Request, Sidecar], None],
        on_no_slot: _Action,
    ) -> None:
        """Call ``on_slot`` when a claim succeeds, else ``on_no_slot``."""
        self._peer_choice = peer_choice
        self._limit = limit
        self._by_address = {each.endpoint.address: each for each in sidecars}
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._on_slot = on_slot
        self._on_no_slot = on_no_slot

    def start(self, req: Request) -> None:
        """Claim a slot of the peers, one after another."""
        peers = self._peer_choice.order(
            req.owner.view,
            self._rng,
            self._limit,
        )
        self._claim(req, peers, self._on_no_slot)

    def start_at_less_loaded(self, req: Request, fallback: _Action) -> None:
        """Claim a slot of peers with more free slots than the owner.

        Call ``fallback`` if there is none or all claims are refused.
        """
        peers = self._peer_choice.choose_freer(
            req.owner.admission.free_slots(self._clock.now),
            req.owner.view,
            self._rng,
        )
        self._claim(req, peers, fallback)

    def _claim(
        self,
        req: Request,
        peers: tuple[MemberRecord, ...],
        fallback: _Action,
    ) -> None:
        if not peers:
            fallback(req)
            return
        peer = self._by_address[peers[0].address]
        on_refusal = partial(self._claim, req, peers[1:], fallback)
        self._clock.after(
            HOP_SECONDS,
            partial(self._handle_claim, req, peer, on_refusal),
        )

    def _handle_claim(
        self,
        req: Request,
        peer: Sidecar,
        on_refusal: Callable[[], None],
    ) -> None:
        self._counters.claims += req.is_measured
        if peer.admission.try_start(self._clock.now):
            self._counters.handed_over += req.is_measured
            self._on_slot(req, peer)
            return
        peer.offers.add(req.owner.endpoint.address, self._clock.now)
        self._clock.after(HOP_SECONDS, on_refusal)

    def offer(self, sidecar: Sidecar) -> None:
        """Offer a free slot to a sidecar whose claim was refused."""
        if sidecar.admission.free_slots(self._clock.now) <= 0:
            return
        claimant = sidecar.offers.pop(self._clock.now)
        if claimant is not None:
            self._counters.offers += 1
            self._clock.after(
                HOP_SECONDS,
                partial(self._take_offer, self._by_address[claimant], sidecar),
            )

    def _take_offer(self, claimant: Sidecar, peer: Sidecar) -> None:
        """Claim the offered slot for the next waiting request, if any."""
        ticket = claimant.admission.peek(self._clock.now)
        if ticket is None:
            self._clock.after(HOP_SECONDS, partial(self.offer, peer))
            return
        # Remove it from the queue first, so that it cannot start twice.
        claimant.admission.cancel(ticket)
        req = ticket_request(ticket)
        on_refusal = partial(self._on_no_slot, req)
        self._clock.after(
            HOP_SECONDS,
            partial(self._handle_claim, req, peer, on_refusal),
        )
