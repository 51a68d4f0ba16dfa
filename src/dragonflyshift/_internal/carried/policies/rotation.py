"""Decides when a balancer that stops is no longer used by the fabric.

Load pattern: the balancers of a data centre are restarted one after the other,
a second apart. If each of them waits for its whole grace period, most of them
stop at the same time. The fabric then uses all balancers of the data centre,
and the packets for those that have just ended are lost. Therefore a balancer
ends as soon as the fabric sends it nothing more.
"""

__all__ = ('RotationWatch',)

from attrs import define, field

# The fabric takes a balancer out of rotation after this many failed checks.
FAILED_CHECKS = 2
# A balancer in rotation that gets a few packets a second is unlikely to get
# none for this long. Packets on their way take a few milliseconds.
QUIET_S = 0.5


@define(eq=False, repr=False)
class RotationWatch:
    """Watches the checks and packets of the fabric at a stopping balancer.

    Times are in monotonic seconds. While the fabric sends packets in spite of
    failed checks, which it does if most balancers of the data centre are out
    of rotation, the balancer stays in use.

    Example:
        >>> watch = RotationWatch()
        >>> watch.record_failed_check()
        >>> watch.record_failed_check()
        >>> watch.record_packet(10.0)
        >>> watch.is_unused(10.2), watch.is_unused(10.6)
        (False, True)
    """

    _failed_checks: int = field(default=0)
    _last_packet_at: float = field(default=float('-inf'))

    def record_failed_check(self) -> None:
        """Record that the balancer answered a check as not ready."""
        self._failed_checks += 1

    def record_packet(self, now: float) -> None:
        """Record a packet from the fabric, or the beginning of the stop."""
        self._last_packet_at = now

    def is_unused(self, now: float) -> bool:
        """Return whether the fabric has stopped sending packets."""
        is_quiet = now - self._last_packet_at > QUIET_S
        return is_quiet and self._failed_checks >= FAILED_CHECKS
