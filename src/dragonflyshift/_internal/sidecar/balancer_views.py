"""What balancers were last seen to know, and when to tell them more."""

from collections import OrderedDict

from attrs import define

from dragonflyshift._internal.models import Address

FIRST_PERIOD_SECONDS = 0.2
MAX_PERIOD_SECONDS = 30.0
MAX_BALANCERS = 2048
_GROWTH = 2


@define(eq=False)
class _BalancerView:
    """A balancer's view, and the last view that it was told.

    ``due_at`` is the earliest time to tell it the same again.
    """

    digest_hash: bytes
    told_hash: bytes = b''
    due_at: float = 0
    period: float = FIRST_PERIOD_SECONDS


class BalancerViews:
    """Decide when a reply carries the digest to a balancer.

    The digest is due while the hashes differ. It is repeated after periods
    that double as long as neither view changes: the datagram may have been
    lost, but a balancer may also hold a record that overrides ours, or have
    another configuration, and then the views can't become equal.
    """

    def __init__(self) -> None:
        """Start without a word from any balancer."""
        self._views: OrderedDict[Address, _BalancerView] = OrderedDict()

    def heard(self, balancer: Address, digest_hash: bytes) -> None:
        """Take note of the hash that a balancer told."""
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
        """Tell whether the digest is due, and count it as told."""
        view = self._views.get(balancer)
        if view is None or view.digest_hash == own_hash:
            return False
        if view.told_hash != own_hash:
            view.period = FIRST_PERIOD_SECONDS
        elif now < view.due_at:
            return False
        view.told_hash = own_hash
        view.due_at = now + view.period
        view.period = min(view.period * _GROWTH, MAX_PERIOD_SECONDS)
        return True
