"""A simulated sidecar that consists of its policies, and run settings."""

# Plug-ins are looked up by their abstract base class, which mypy's
# type-abstract check forbids as a type argument.
# mypy: disable-error-code="type-abstract"

import random
from collections.abc import Iterable

from attrs import define, field, frozen

from bench.policies.trace import DATA_CENTERS, REGION, Arrival, Workload
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.limits import Admission, Ticket
from dragonflyshift._internal.models import (
    Address,
    Endpoint,
    Incarnation,
    Locality,
    MemberRecord,
    MemberState,
)
from dragonflyshift._internal.retries import RetryPolicy
from dragonflyshift._internal.routing import LoadSnapshot, OfferQueue

CONNECTION_LIMIT = 2000


@frozen
class Policies:
    """The names of the plug-ins of one system."""

    label: str
    candidates: str
    decision: str
    peers: str
    admission: str
    retries: str


@frozen
class Fault:
    """A fault of the first endpoint, from ``start`` to ``end`` (seconds).

    ``failing`` answers each request quickly with an error; ``shedding``
    refuses all but one request at a time.
    """

    kind: str = 'none'
    start: float = 60
    end: float = 120

    def kind_at(self, endpoint: int, now: float) -> str:
        """Return the kind of fault that an endpoint has, or ``none``."""
        if endpoint == 0 and self.start <= now < self.end:
            return self.kind
        return 'none'


@frozen
class Options:
    """Settings of the sidecars.

    ``refresh`` is the interval in seconds between refreshes of the view,
    ``claims`` the number of peers of which a full sidecar claims a slot, and
    ``has_offers`` whether these send an offer once a slot is free.
    """

    refresh: float = 1
    claims: int = 2
    has_offers: bool = True
    queue_limit: int = 32
    slow_start: float = 5
    retry_ratio: float = 0.1
    max_attempts: int = 4
    warm_up: float = 10
    locality: Locality = Locality.DATA_CENTER
    fault: Fault = Fault()


@define(eq=False)
class Sidecar:
    """An endpoint, the state of its policies and its view of its peers."""

    endpoint: Endpoint
    admission: Admission
    retries: RetryPolicy
    index: int
    view: tuple[MemberRecord, ...] = ()
    offers: OfferQueue = field(factory=OfferQueue)

    @property
    def has_free_slot(self) -> bool:
        """Whether the backend server could run one more request."""
        return self.admission.running < self.endpoint.slots

    def record(self, now: float) -> MemberRecord:
        """Return the member record that peers receive."""
        return MemberRecord(
            address=self.endpoint.address,
            incarnation=Incarnation(boot=1),
            state=MemberState.ALIVE,
            free_slots=self.admission.free_slots(now),
            queued=self.admission.queued,
        )

    def load(self, now: float) -> LoadSnapshot:
        """Return the load snapshot for the flow decision."""
        return LoadSnapshot(
            state=MemberState.ALIVE,
            connections=0,
            connection_limit=CONNECTION_LIMIT,
            free_slots=self.admission.free_slots(now),
            queued=self.admission.queued,
        )


@define(eq=False)
class Request:
    """A request and the state of its handling."""

    arrival: Arrival
    owner: Sidecar
    is_measured: bool
    attempt: int = 1
    started_at: float = field(default=0)

    @property
    def client(self) -> bytes:
        """Identity of the flow as bytes."""
        return self.arrival.flow.to_bytes(8)


def ticket_request(ticket: Ticket) -> Request:
    """Return the request that waits with a ticket.

    Raises TypeError if the ticket holds anything else.
    """
    req = ticket.waiter
    if not isinstance(req, Request):
        raise TypeError(f'ticket holds {req!r}, expected a Request')
    return req


def build_sidecars(
    workload: Workload,
    policies: Policies,
    options: Options,
    rng: random.Random,
) -> tuple[Sidecar, ...]:
    """Build the sidecars, spread evenly over the data centres."""
    admission = find_plugin(Admission, policies.admission)
    retries = find_plugin(RetryPolicy, policies.retries)
    return tuple(
        Sidecar(
            endpoint,
            admission(
                endpoint.slots,
                options.queue_limit,
                options.slow_start,
                0,
            ),
            retries(options.retry_ratio, rng),
            index,
        )
        for index, endpoint in enumerate(_build_endpoints(workload))
    )


def _build_endpoints(workload: Workload) -> Iterable[Endpoint]:
    for index in range(workload.endpoints):
        yield Endpoint(
            name=f'parts-{index}',
            address=Address('192.0.2.1', 1000 + index),
            data_center=DATA_CENTERS[index % len(DATA_CENTERS)],
            region=REGION,
            slots=workload.slots,
        )
