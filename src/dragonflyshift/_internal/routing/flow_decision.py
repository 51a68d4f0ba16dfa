"""Whether the first sidecar keeps a new flow or passes it on."""

from dragonflyshift._internal.models import MemberRecord, MemberState
from dragonflyshift._internal.routing.base import FlowDecision, LoadSnapshot

_GONE = frozenset((MemberState.LEAVING, MemberState.DEAD))


class LeastLoaded(FlowDecision, name='least-loaded'):
    """Keep a flow unless the second candidate is plainly better.

    A sidecar that can't take the flow at all answers False even when there
    is no second candidate or the flow was passed on before; the caller then
    refuses the flow.
    """

    def accepts(
        self,
        own: LoadSnapshot,
        second: MemberRecord | None,
        hops: int,
    ) -> bool:
        """Tell whether to keep the flow instead of passing it on once."""
        if own.state in _GONE or own.connections >= own.connection_limit:
            return False
        if hops >= 1 or second is None:
            return True
        if second.state is not MemberState.ALIVE:
            return True
        if own.state is MemberState.COLD:
            return False
        return own.free_slots > 0 or second.free_slots <= 0
