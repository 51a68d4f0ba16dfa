"""Deferral of refusals while the servers of a service warm up.

After a loss of all power the servers start cold, and the clients of all lost
flows connect at once. For a second or two every server refuses new flows. A
client that is refused tries again at once and gives up after two retries, all
within some 30 ms, long before there is a free slot. Therefore a balancer keeps
a refused flow for a while and offers it again. Sidecars still order flows by
their age, so flows that can be in time start first. With servers that aren't
cold there is no such transient backlog, and refusals aren't deferred.
"""

__all__ = ('ColdServiceDeferral',)

from collections.abc import Sequence

from attrs import frozen

from dragonflyshift._internal.carried.policies.placement import PlacementOption

# Clients abandon a new flow 1.4 s after its first packet; the rest of that time
# is left for the answer.
MAX_DEFERRED_AGE_MS = 1200.0
# A flow that is refused in the end leaves its client this share of the timeout
# to try again.
MIN_TIMEOUT_SHARE_LEFT = 0.5


@frozen(eq=False, repr=False)
class ColdServiceDeferral:
    """Defers the refusal of flows while most servers are cold.

    ``max_age_ms`` is the age up to which a flow is kept. A client abandons its
    flow soon after, and a flow that starts then would reserve a slot in vain.
    """

    max_age_ms: float = MAX_DEFERRED_AGE_MS

    def should_defer(
        self,
        options: Sequence[PlacementOption],
        age_ms: float,
        timeout_ms: float,
    ) -> bool:
        """Return whether to keep a flow that all servers have refused.

        ``options`` are the servers that may accept it. ``age_ms`` is the time
        since its client sent the first packet, ``timeout_ms`` the timeout of
        its request.
        """
        cold = sum(option.is_cold for option in options)
        max_age_ms = min(
            self.max_age_ms, timeout_ms * (1 - MIN_TIMEOUT_SHARE_LEFT)
        )
        return age_ms < max_age_ms and cold * 2 > len(options)
