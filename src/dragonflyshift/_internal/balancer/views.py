"""A balancer's view of the endpoints of each service.

It combines three sources, in order of precedence: the balancer's own traffic,
the sidecars' digests and the endpoint records of the configuration. The
platform's list of instances is not used because it is updated late.
"""

import random
import time
from collections.abc import Callable
from typing import Self

from attrs import frozen

from dragonflyshift._internal.membership import (
    EndpointHealth,
    MemberTable,
    decode_digest,
)
from dragonflyshift._internal.models import (
    Address,
    MemberState,
    ServiceDocument,
)
from dragonflyshift._internal.routing import Candidate

_EndpointStatus = tuple[MemberState, bool]


@frozen
class _CachedCandidates:
    """The candidates last returned, and the data they were built from.

    ``statuses`` holds the member state and reachability of each endpoint.
    """

    service: ServiceDocument
    statuses: tuple[_EndpointStatus, ...]
    candidates: tuple[Candidate, ...]

    @classmethod
    def build(
        cls,
        service: ServiceDocument,
        statuses: tuple[_EndpointStatus, ...],
    ) -> Self:
        """Build the candidates from the endpoints and their statuses."""
        paired = zip(service.endpoints, statuses, strict=True)
        candidates = tuple(
            Candidate(endpoint, state, reachable)
            for endpoint, (state, reachable) in paired
        )
        return cls(service, statuses, candidates)


class ServiceViews:
    """A member table for each service, and the health of all endpoints."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without records: all endpoints are presumed alive."""
        self._clock = clock
        self._tables: dict[int, MemberTable] = {}
        self._candidate_cache: dict[int, _CachedCandidates] = {}
        self.health = EndpointHealth(random.Random())

    def table(self, tag: int) -> MemberTable:
        """Return the member table of the service with this tag."""
        member_table = self._tables.get(tag)
        if member_table is None:
            member_table = MemberTable(None)
            self._tables[tag] = member_table
        return member_table

    def candidates(self, service: ServiceDocument) -> tuple[Candidate, ...]:
        """Return the service's endpoints with the latest status of each.

        The same tuple is returned while nothing changes, so that the
        candidate choice can cache what it computes from it.
        """
        now = self._clock()
        table = self.table(service.tag)
        statuses = tuple(
            self._endpoint_status(endpoint.address, table, now)
            for endpoint in service.endpoints
        )
        cached = self._candidate_cache.get(service.tag)
        if (
            cached is None
            or cached.service is not service
            or cached.statuses != statuses
        ):
            cached = _CachedCandidates.build(service, statuses)
            self._candidate_cache[service.tag] = cached
        return cached.candidates

    def merge(self, tag: int, digest: bytes) -> None:
        """Merge a digest into the member table of a service.

        Raises MembershipError if the digest is malformed.
        """
        if not digest:
            return
        self.table(tag).merge(decode_digest(digest), self._clock())

    def set_endpoints(self, service: ServiceDocument) -> None:
        """Remove members that the service document no longer lists."""
        addresses = frozenset(item.address for item in service.endpoints)
        self.table(service.tag).set_configured_members(addresses, self._clock())

    def record_datagram(self, address: Address) -> None:
        """Record that a datagram was received from a sidecar."""
        self.health.record_datagram(address, self._clock())

    def record_refusal(self, address: Address) -> None:
        """Record an ICMP error: no socket is bound at a sidecar's address."""
        self.health.record_refusal(address, self._clock())

    def record_new_flow(self, address: Address) -> None:
        """Record that a new flow was forwarded to a sidecar."""
        self.health.record_new_flow(address, self._clock())

    def reset(self) -> None:
        """Mark all records as outdated after a pause of the process."""
        self.health.reset()
        for table in self._tables.values():
            table.mark_records_outdated(self._clock())

    def _endpoint_status(
        self,
        address: Address,
        table: MemberTable,
        now: float,
    ) -> _EndpointStatus:
        return (table.state_of(address), self.health.is_reachable(address, now))
