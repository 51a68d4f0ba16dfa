"""The member views that balancers report, and when to send them a digest."""

from collections import OrderedDict

from attrs import define

from dragonflyshift._internal.models import Address

FIRST_PERIOD_SECONDS = 0.2
MAX_PERIOD_SECONDS = 30.0
MAX_BALANCERS = 2048
_PERIOD_FACTOR = 2


@define(eq=False)
class _BalancerView:
    """The hashes of a balancer's view and of the view last sent to it.

    ``due_at`` is the earliest time to send the same view again.
    """

    digest_hash: bytes
    sent_hash: bytes = b''
    due_at: float = 0
    period: float = FIRST_PERIOD_SECONDS


class BalancerViews:
    """Decides when a reply carries the digest to a balancer.

    The digest is due while the hashes differ. It is repeated, since a
    datagram may be lost, at intervals that double while neither view changes:
    the views can stay different if the balancer has a record that overrides
    one of this sidecar, or another configuration.
    """

    def __init__(self) -> None:
        """Start without views."""
        self._views: OrderedDict[Address, _BalancerView] = OrderedDict()

    def update(self, balancer: Address, digest_hash: bytes) -> None:
        """Record the hash of the view that a balancer reports."""
        view = self._views.get(balancer)
        if view is None or view.digest_hash != digest_hash:
            self._views[balancer] = _BalancerView(digest_hash)
        self._views.move_to_end(balancer)
        if len(self._views) > MAX_BALANCERS:
            self._views.popitem(last=False)

    def take_due(
        self,
        balancer: Address,
        own_hash: bytes,
        now: float,
    ) -> bool:
        """Return whether the digest is due, and record it as sent if so."""
        view = self._views.get(balancer)
        if view is None or view.digest_hash == own_hash:
            return False
        if view.sent_hash != own_hash:
            view.period = FIRST_PERIOD_SECONDS
        elif now < view.due_at:
            return False
        view.sent_hash = own_hash
        view.due_at = now + view.period
        view.period = min(view.period * _PERIOD_FACTOR, MAX_PERIOD_SECONDS)
        return True
