"""What a balancer knows of the endpoints of each service.

Three sources, the strongest first: its own traffic, the sidecars' digests,
and the register. The platform's list of instances is not used here: it lags.
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

_Word = tuple[MemberState, bool]


@frozen
class _KnownCandidates:
    """Candidates as they were last returned, and what they rest on."""

    service: ServiceDocument
    words: tuple[_Word, ...]
    candidates: tuple[Candidate, ...]

    @classmethod
    def build(
        cls,
        service: ServiceDocument,
        words: tuple[_Word, ...],
    ) -> Self:
        """Pair each endpoint with the word on it."""
        paired = zip(service.endpoints, words, strict=True)
        candidates = tuple(
            Candidate(endpoint, state, reachable)
            for endpoint, (state, reachable) in paired
        )
        return cls(service, words, candidates)


class ServiceViews:
    """One member table for each service, and one health record for all."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with no word on anybody: all endpoints are presumed alive."""
        self._clock = clock
        self._tables: dict[int, MemberTable] = {}
        self._known: dict[int, _KnownCandidates] = {}
        self.health = EndpointHealth(random.Random())

    def table(self, tag: int) -> MemberTable:
        """Return the member table of a service."""
        found = self._tables.get(tag)
        if found is None:
            found = MemberTable(None)
            self._tables[tag] = found
        return found

    def candidates(self, service: ServiceDocument) -> tuple[Candidate, ...]:
        """Return the service's endpoints with the newest word on each.

        While no word changes the same tuple is returned, so that candidate
        choice can keep what it has prepared for it.
        """
        now = self._clock()
        table = self.table(service.tag)
        words = tuple(
            self._word(endpoint.address, table, now)
            for endpoint in service.endpoints
        )
        known = self._known.get(service.tag)
        if (
            known is None
            or known.service is not service
            or known.words != words
        ):
            known = _KnownCandidates.build(service, words)
            self._known[service.tag] = known
        return known.candidates

    def merge(self, tag: int, digest: bytes) -> None:
        """Take in a digest; raise MembershipError if it is malformed."""
        if not digest:
            return
        self.table(tag).merge(decode_digest(digest), self._clock())

    def retain(self, service: ServiceDocument) -> None:
        """Forget members that the register no longer lists."""
        addresses = frozenset(item.address for item in service.endpoints)
        self.table(service.tag).set_configured_members(addresses, self._clock())

    def heard(self, address: Address) -> None:
        """Take note that a sidecar sent something."""
        self.health.record_datagram(address, self._clock())

    def refused(self, address: Address) -> None:
        """Take note that nobody listens at a sidecar's address."""
        self.health.record_refusal(address, self._clock())

    def forwarded_new(self, address: Address) -> None:
        """Take note that a new flow was sent to a sidecar."""
        self.health.record_new_flow(address, self._clock())

    def reset(self) -> None:
        """Trust nothing from before a pause."""
        self.health.reset()
        for table in self._tables.values():
            table.mark_records_outdated(self._clock())

    def _word(
        self,
        address: Address,
        table: MemberTable,
        now: float,
    ) -> _Word:
        return (table.state_of(address), self.health.is_reachable(address, now))
