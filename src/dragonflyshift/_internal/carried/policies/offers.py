"""Decides which sidecar gets the next offer of a new flow.

With single-slot servers at 70 % utilization three of ten are idle, but the
reports about them are old. Therefore a flow is first offered to servers that
are expected to be idle, and their sidecars take it only into a free slot. In
overload no server is idle, and a round of such offers would only delay the
flow: the first offer then lets the sidecar queue it.
"""

__all__ = ('Offer', 'OfferHistory', 'OfferTrace')

from collections.abc import Sequence

from attrs import define, field, frozen

from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.placement import PlacementOption

# After this many refused or unanswered offers, the flow is offered for
# queueing.
MAX_IDLE_OFFERS = 3
# Number of offers for queueing after which a flow is refused. An offer without
# a reply resets the count.
MAX_QUEUE_OFFERS = 2
# How many of the first endpoints of the order a trace holds.
TRACED_OPTIONS = 3


@frozen(eq=False, repr=False)
class Offer:
    """An endpoint, and whether its sidecar may queue the flow."""

    option: PlacementOption
    may_queue: bool


@define(eq=False, repr=False)
class OfferTrace:
    """An offer that was made at ``offered_at``, in monotonic seconds.

    ``first`` are the first endpoints of the order, ``considered`` counts all of
    them, and ``outcome`` is ``accepted``, ``refused`` or ``no-reply``.
    """

    offer: Offer
    offered_at: float
    first: Sequence[PlacementOption]
    considered: int
    outcome: str = 'no-reply'

    @classmethod
    def of(
        cls, now: float, offer: Offer, options: Sequence[PlacementOption]
    ) -> 'OfferTrace':
        """Return the trace of an offer that was chosen among ``options``."""
        return cls(offer, now, options[:TRACED_OPTIONS], len(options))


@define(eq=False, repr=False)
class OfferHistory:
    """The offers of a new flow so far.

    ``preferred`` is the sidecar that accepted the flow before, if any.
    ``tried`` are the sidecars that refused the flow or didn't reply,
    ``queue_offers`` counts the offers for queueing.
    """

    preferred: SocketAddress | None = field(default=None)
    tried: list[SocketAddress] = field(factory=list)
    queue_offers: int = field(default=0)

    def record_refusal(self, sidecar: SocketAddress) -> None:
        """Record that a sidecar refused the flow."""
        if sidecar not in self.tried:
            self.tried.append(sidecar)

    def record_timeout(self, sidecar: SocketAddress) -> None:
        """Record that a sidecar didn't reply to its offer."""
        self.record_refusal(sidecar)
        self.queue_offers = 0

    def next_offer(self, options: Sequence[PlacementOption]) -> Offer | None:
        """Return the next offer, or None if the flow is to be refused.

        ``options`` are the endpoints that accept new flows, best first, at
        least one. Endpoints that are expected to be idle come first, each of
        them once. Their replies contain the exact load, so afterwards the
        sidecar of the endpoint with the best estimate may queue the flow, and
        if it refuses, one more. A preferred sidecar may queue the flow at the
        first offer.
        """
        if self.queue_offers >= MAX_QUEUE_OFFERS:
            return None
        offer = self._choose(options)
        self.queue_offers += offer.may_queue
        return offer

    def _choose(self, options: Sequence[PlacementOption]) -> Offer:
        untried = [
            option for option in options if option.sidecar not in self.tried
        ]
        for option in untried:
            if option.sidecar == self.preferred and not option.is_suspect:
                return Offer(option, may_queue=True)
        if len(self.tried) < MAX_IDLE_OFFERS:
            for option in untried:
                if option.is_likely_idle:
                    return Offer(option, may_queue=False)
        if not self.queue_offers:
            return Offer(options[0], may_queue=True)
        return Offer((untried or options)[0], may_queue=True)
