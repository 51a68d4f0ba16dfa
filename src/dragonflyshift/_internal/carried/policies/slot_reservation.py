"""How long a slot stays reserved for the request of a new flow.

A slot is reserved from the delivery of a first packet, so that no other flow
takes it before the request arrives. After an outage many flows start whose
clients have given up: each would block a slot, and the queue behind it, for as
long as a request may take that was lost on its way. Therefore the reservation
follows the time that requests take to arrive.
"""

__all__ = ('SlotReservation',)

from attrs import define, field

# Bounds of the reservation. A packet that was lost is sent again within the
# maximum, which applies until a request was observed.
MIN_RESERVATION_S = 0.01
MAX_RESERVATION_S = 0.3
# Weights of a sample and the factor of the deviation, as in the retransmission
# timer of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_FACTOR = 4


@define(eq=False, repr=False)
class SlotReservation:
    """Derives the reservation from the arrival times of requests.

    ``seconds`` is the time for which a slot is reserved.

    Example:
        >>> reservation = SlotReservation()
        >>> for _ in range(50):
        ...     reservation.record(0.008)
        >>> reservation.seconds < 0.02
        True
    """

    seconds: float = MAX_RESERVATION_S
    _mean_s: float | None = field(default=None)
    _deviation_s: float = field(default=0)

    def until(self, now: float) -> float:
        """Return until when a slot that is reserved now stays reserved."""
        return now + self.seconds

    def record(self, arrival_s: float) -> None:
        """Add the time from a first packet to the request of its flow.

        Times beyond the maximum are left out: a client that keeps its flow
        open may send its request whenever it likes.
        """
        if arrival_s > MAX_RESERVATION_S:
            return
        if self._mean_s is None:
            self._mean_s = arrival_s
            self._deviation_s = arrival_s / 2
        else:
            error_s = arrival_s - self._mean_s
            self._mean_s += MEAN_WEIGHT * error_s
            self._deviation_s += DEVIATION_WEIGHT * (
                abs(error_s) - self._deviation_s
            )
        bound_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.seconds = min(MAX_RESERVATION_S, max(MIN_RESERVATION_S, bound_s))
