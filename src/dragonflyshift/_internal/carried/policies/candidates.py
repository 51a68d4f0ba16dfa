"""Selects the endpoints of a large service that are rated for a flow.

Rating all endpoints of a 50-endpoint service for each new flow takes a
balancer with a sixth of a core longer than the network does, and a dozen
candidates include an idle one just as well. The candidates depend only on the
flow's key, so two balancers that receive copies of the same first packet
consider the same endpoints.
"""

__all__ = ('CandidateRing',)

from collections.abc import Sequence

import xxhash
from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey
from dragonflyshift._internal.carried.records import EndpointRecord

# With single-slot servers at 90 % utilization, at least one of these twelve
# is idle in seven of ten cases. The remote ones take over when all of the
# local ones are busy.
LOCAL_CANDIDATES = 9
REMOTE_CANDIDATES = 3


@define(eq=False, repr=False)
class _Rings:
    """The endpoints of a service, ordered by the hash of their host."""

    local: list[EndpointRecord] = field(factory=list)
    remote: list[EndpointRecord] = field(factory=list)


@define(eq=False, repr=False)
class CandidateRing:
    """Selects a section of a hash ring, mostly from the own data centre."""

    data_center: str
    # The endpoints that were last passed in and their rings, by service.
    _rings_by_service: dict[str, tuple[object, _Rings]] = field(factory=dict)

    def choose(
        self,
        service: str,
        endpoints: Sequence[EndpointRecord],
        key: FlowKey,
    ) -> Sequence[EndpointRecord]:
        """Return the candidates for a flow.

        A service with no more endpoints than the maximum number of
        candidates is returned in full.
        """
        if len(endpoints) <= LOCAL_CANDIDATES + REMOTE_CANDIDATES:
            return endpoints
        rings = self._rings(service, endpoints)
        key_hash = xxhash.xxh3_64_intdigest(key)
        local = _section(rings.local, key_hash, LOCAL_CANDIDATES)
        remote_count = LOCAL_CANDIDATES + REMOTE_CANDIDATES - len(local)
        return local + _section(rings.remote, key_hash, remote_count)

    def _rings(
        self,
        service: str,
        endpoints: Sequence[EndpointRecord],
    ) -> _Rings:
        cached = self._rings_by_service.get(service)
        if cached is not None and cached[0] is endpoints:
            return cached[1]
        rings = _Rings()
        for record in sorted(endpoints, key=_ring_position):
            is_local = record.data_center == self.data_center
            (rings.local if is_local else rings.remote).append(record)
        self._rings_by_service[service] = (endpoints, rings)
        return rings


def _section(
    ring: list[EndpointRecord],
    key_hash: int,
    count: int,
) -> list[EndpointRecord]:
    if len(ring) <= count:
        return ring
    first = key_hash % len(ring)
    return (ring + ring[:count])[first : first + count]


def _ring_position(record: EndpointRecord) -> int:
    return int(xxhash.xxh3_64_intdigest(record.host.encode()))
