"""A sidecar reduced to its policies, and the settings of a run."""

# Plug-ins are looked up by their abstract base, which is what mypy's
# type-abstract forbids for type arguments.
# mypy: disable-error-code="type-abstract"

import random
from collections.abc import Iterable

from attrs import define, field, frozen

from bench.policy_trace import DATA_CENTERS, REGION, Arrival, Workload
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
    """The names of the plug-ins that make up one system."""

    label: str
    candidates: str
    decision: str
    peers: str
    admission: str
    retries: str


@frozen
class Fault:
    """What is wrong with the first endpoint, and when, in seconds.

    ``failing`` answers each request quickly with an error; ``shedding``
    refuses all but one request at a time.
    """

    kind: str = 'none'
    start: float = 60
    end: float = 120

    def kind_at(self, endpoint: int, now: float) -> str:
        """Return what is wrong with an endpoint, or ``none``."""
        if endpoint == 0 and self.start <= now < self.end:
            return self.kind
        return 'none'


@frozen
class Options:
    """Settings of the sidecars.

    ``refresh`` is the view's age in seconds, ``claims`` the peers that a
    full sidecar asks, ``has_offers`` whether these come back with an offer
    when a slot is free.
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
    """One endpoint: its policies with state, and its view of its peers."""

    endpoint: Endpoint
    admission: Admission
    retries: RetryPolicy
    index: int
    view: tuple[MemberRecord, ...] = ()
    offers: OfferQueue = field(factory=OfferQueue)

    @property
    def has_free_slot(self) -> bool:
        """Tell whether the backend server could run one more request."""
        return self.admission.running < self.endpoint.slots

    def record(self, now: float) -> MemberRecord:
        """Say what this sidecar tells its peers."""
        return MemberRecord(
            address=self.endpoint.address,
            incarnation=Incarnation(boot=1),
            state=MemberState.ALIVE,
            free_slots=self.admission.free_slots(now),
            queued=self.admission.queued,
        )

    def load(self, now: float) -> LoadSnapshot:
        """Say what the flow decision sees."""
        return LoadSnapshot(
            state=MemberState.ALIVE,
            connections=0,
            connection_limit=CONNECTION_LIMIT,
            free_slots=self.admission.free_slots(now),
            queued=self.admission.queued,
        )


@define(eq=False)
class Request:
    """One request on its way through the sidecars."""

    arrival: Arrival
    home: Sidecar
    is_counted: bool
    attempt: int = 1
    started_at: float = field(default=0)

    @property
    def client(self) -> bytes:
        """The flow's identity."""
        return self.arrival.flow.to_bytes(8)


def request_of(ticket: Ticket) -> Request:
    """Return the request that waits under a ticket."""
    req = ticket.waiter
    if not isinstance(req, Request):
        raise TypeError('a ticket of another caller is in the queue')
    return req


def build_sidecars(
    workload: Workload,
    policies: Policies,
    options: Options,
    rng: random.Random,
) -> tuple[Sidecar, ...]:
    """Build the sidecars, spread evenly over the data centers."""
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
