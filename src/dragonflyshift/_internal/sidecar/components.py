"""Factories of the components of a sidecar."""

import random
from collections.abc import Callable

from attrs import frozen

from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.membership import MemberTable, live_peers
from dragonflyshift._internal.models import (
    Incarnation,
    MemberRecord,
    MemberState,
    ServiceDocument,
    ServiceRules,
)
from dragonflyshift._internal.retries import RetryPolicy
from dragonflyshift._internal.routing import CandidateChoice, PeerChoice
from dragonflyshift._internal.sidecar.backend import BackendClient
from dragonflyshift._internal.sidecar.evacuation import SidecarEvacuation
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.keyed_base import KeyedRequests
from dragonflyshift._internal.sidecar.lifecycle import Lifecycle
from dragonflyshift._internal.sidecar.local_runner import LocalRunner
from dragonflyshift._internal.sidecar.peers import PeerClaims
from dragonflyshift._internal.sidecar.placing import (
    OfferSender,
    SlotFinder,
)
from dragonflyshift._internal.sidecar.requests import (
    RequestRunner,
    RequestService,
)
from dragonflyshift._internal.sidecar.serving import ClaimServer
from dragonflyshift._internal.state import KeyIssuer, OutcomeTable
from dragonflyshift._internal.telemetry import Metrics, Tracing

MAX_IDLE_BACKEND_CONNECTIONS = 16
MAX_OUTCOMES = 16384
OUTCOME_RETENTION_SECONDS = 900.0


@frozen
class Telemetry:
    """Metrics and traces of a process."""

    metrics: Metrics
    tracing: Tracing


@frozen
class RequestComponents:
    """The components that serve requests."""

    backend: BackendClient
    admission: Admission
    local_runner: LocalRunner
    finder: SlotFinder
    service: RequestService
    keyed: KeyedRequests
    claim_server: ClaimServer
    outcomes: OutcomeTable


def create_members(identity: SidecarIdentity) -> MemberTable:
    """Return a member table with the own record, in state COLD."""
    return MemberTable(
        MemberRecord(
            identity.address,
            Incarnation(identity.boot),
            MemberState.COLD,
        ),
    )


def create_admission(
    settings: Settings,
    service: ServiceDocument,
    now: float,
) -> Admission:
    """Return the admission policy for the slots of this endpoint."""
    plugin = find_plugin(Admission, settings.admission)
    return plugin(
        own_slots(settings, service),
        service.rules.queue_limit,
        service.rules.slow_start,
        now,
    )


def own_slots(settings: Settings, service: ServiceDocument) -> int:
    """Return the configured slots of this endpoint, or 1 if not listed."""
    for endpoint in service.endpoints:
        if endpoint.address == settings.listen:
            return endpoint.slots
    return 1


def create_evacuation(
    settings: Settings,
    service: Callable[[], ServiceDocument],
    members: MemberTable,
    metrics: Metrics,
) -> SidecarEvacuation:
    """Return the part that keeps new flows out of evacuated data centres."""
    choice = find_plugin(CandidateChoice, settings.candidate_choice)
    return SidecarEvacuation(settings, service, members, choice(), metrics)


def create_request_components(
    settings: Settings,
    identity: SidecarIdentity,
    members: MemberTable,
    lifecycle: Lifecycle,
    admission: Admission,
    rules: Callable[[], ServiceRules],
    send_offer: OfferSender,
    telemetry: Telemetry,
    tasks: BackgroundTasks,
) -> RequestComponents:
    """Create and connect the components that serve requests."""
    rng = random.Random()
    metrics = telemetry.metrics
    if settings.backend is None:
        raise ValueError('a sidecar requires the setting backend')
    backend = BackendClient(settings.backend, MAX_IDLE_BACKEND_CONNECTIONS)
    local_runner = LocalRunner(backend, admission, metrics)
    claims = PeerClaims(
        identity,
        settings.fleet_keys,
        members,
        find_plugin(PeerChoice, settings.peer_choice)(),
        rng,
    )
    finder = SlotFinder(
        admission,
        local_runner,
        claims,
        lambda: lifecycle.accepts_work,
        send_offer,
        metrics,
        lambda: lifecycle.runs_own_requests,
    )
    retries = find_plugin(RetryPolicy, settings.retry_policy)
    runner = RequestRunner(
        finder,
        retries(rules().retry_ratio, rng),
        rules,
        metrics,
    )
    issuer = KeyIssuer(
        settings.fleet_keys,
        identity.address,
        identity.first_boot,
        identity.tag,
    )
    outcomes = OutcomeTable(
        MAX_OUTCOMES,
        OUTCOME_RETENTION_SECONDS,
        owner=identity.address,
        boot=identity.first_boot,
        last_issued_nonce=lambda: issuer.last_issued_nonce,
    )
    keyed = find_plugin(KeyedRequests, settings.keyed_requests)(
        identity,
        settings.fleet_keys,
        issuer,
        outcomes,
        runner,
        tasks,
        lambda: live_peers(members),
    )
    return RequestComponents(
        backend,
        admission,
        local_runner,
        finder,
        RequestService(runner, keyed, rules, metrics, telemetry.tracing),
        keyed,
        ClaimServer(
            identity,
            admission,
            local_runner,
            lambda: lifecycle.accepts_work,
            finder.offers,
            metrics,
            telemetry.tracing,
        ),
        outcomes,
    )
