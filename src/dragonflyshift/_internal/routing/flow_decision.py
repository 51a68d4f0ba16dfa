"""The decision of a sidecar to keep a new flow or to pass it on."""

from dragonflyshift._internal.models import MemberRecord, MemberState
from dragonflyshift._internal.routing.base import FlowDecision, LoadSnapshot

_NOT_ACCEPTING = frozenset((MemberState.LEAVING, MemberState.DEAD))


class LeastLoaded(FlowDecision, name='least-loaded'):
    """Keeps a flow unless the second candidate is better suited.

    The second candidate is better suited if it is alive and this sidecar is
    cold, or if it is alive and has a free slot while this sidecar has none.

    ``accepts`` returns False for a sidecar that is leaving, dead or at its
    connection limit, whatever is known of the second candidate and however
    often the flow was passed on. A second candidate that is recorded as dead
    gets the flow too: the record may be outdated, while this sidecar is
    certain not to serve the flow. The flow table doesn't call it for a flow
    that was passed on before or that has no second candidate.
    """

    def accepts(
        self,
        own: LoadSnapshot,
        second: MemberRecord | None,
        hops: int,
    ) -> bool:
        """Return whether to keep the flow instead of passing it on."""
        if (
            own.state in _NOT_ACCEPTING
            or own.connections >= own.connection_limit
        ):
            return False
        if hops >= 1 or second is None:
            return True
        if second.state is not MemberState.ALIVE:
            return True
        if own.state is MemberState.COLD:
            return False
        return own.free_slots > 0 or second.free_slots <= 0
