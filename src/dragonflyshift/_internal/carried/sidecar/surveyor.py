"""Finding the owner of a flow for a balancer, among many sidecars."""

__all__ = ('Surveyor', 'SurveyorPorts')

from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.lookups import (
    LookupCallbacks,
    LookupTable,
    PendingLookup,
)
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    LookupOutcome,
    LookupRequest,
    LookupResult,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    SocketAddress,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.exceptions import WireError


@define(eq=False, repr=False)
class SurveyorPorts:
    """How a surveyor sends, and what it asks of its daemon.

    ``confirm_view()`` has the readers of the store tell what they hold.
    """

    send: Callable[[bytes, SocketAddress], None]
    sidecar: Callable[[EndpointRecord], SocketAddress]
    confirm_view: Callable[[], None]
    malformed: Callable[[WireError], None]


@define(eq=False, repr=False)
class Surveyor:
    """Ask all sidecars of a route's services, for balancers."""

    view: FleetView
    codec: PacketCodec
    ports: SurveyorPorts
    lookups: LookupTable = field(init=False)
    # Who wants to know the end; copies of a packet come through several.
    _balancers: dict[FlowKey, set[SocketAddress]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Prepare the look-ups."""
        self.lookups = LookupTable(
            LookupCallbacks(
                self.ports.send,
                self.ports.confirm_view,
                self._denied,
                self._unanswered,
            ),
        )

    def on_message(
        self,
        now: float,
        message: LookupRequest | FlowReply,
        pair: SocketAddress,
    ) -> None:
        """Take a balancer's survey, or another sidecar's answer."""
        if isinstance(message, LookupRequest):
            self._begin(now, message, pair)
        else:
            self._answered(now, message, pair)

    def _begin(
        self, now: float, message: LookupRequest, balancer: SocketAddress
    ) -> None:
        try:
            packet = self.codec.from_client(message.raw)
        except WireError as exc:
            self.ports.malformed(exc)
            return
        sidecars = self._sidecars(packet.key)
        if not sidecars:
            lookup = PendingLookup(message.service, now, sidecars, [packet])
            self._tell(lookup, {balancer}, LookupOutcome.UNANSWERED)
            return
        self._balancers.setdefault(packet.key, set()).add(balancer)
        self.lookups.start(now, packet, message.service, sidecars)

    def _answered(
        self,
        now: float,
        message: FlowReply,
        pair: SocketAddress,
    ) -> None:
        lookup = self.lookups.pending.get(message.key)
        if lookup is None:
            return
        if message.status in {FlowStatus.OWNED, FlowStatus.ACCEPTED}:
            self.lookups.on_owned(message.key, pair)
            self._end(lookup, LookupOutcome.OWNED, pair[0])
        elif message.status is FlowStatus.UNSURE:
            self.lookups.on_unsure(now, message.key, pair)
        elif message.status is FlowStatus.NOT_OWNED:
            self.lookups.on_not_owned(now, message.key, pair)

    def tick(self, now: float) -> None:
        """Go on with look-ups that lack an answer."""
        self.lookups.tick(now)

    def has_waiting(self) -> bool:
        """Tell whether a look-up is under way."""
        return bool(self.lookups.pending)

    def _sidecars(self, key: FlowKey) -> set[SocketAddress]:
        route = self.view.routes.find(key)
        options = () if route is None else route.services
        return {
            self.ports.sidecar(record)
            for option in options
            for record in self.view.endpoints(option.name)
        }

    def _denied(self, _now: float, lookup: PendingLookup) -> None:
        self._end(lookup, LookupOutcome.DENIED)

    def _unanswered(self, lookup: PendingLookup) -> None:
        self._end(lookup, LookupOutcome.UNANSWERED)

    def _end(
        self, lookup: PendingLookup, finding: LookupOutcome, owner: str = ''
    ) -> None:
        balancers = self._balancers.pop(lookup.packets[0].key, set())
        self._tell(lookup, balancers, finding, owner)

    def _tell(
        self,
        lookup: PendingLookup,
        balancers: set[SocketAddress],
        finding: LookupOutcome,
        owner: str = '',
    ) -> None:
        # A view that lost or gained sidecars meanwhile was not asked in full.
        is_whole = self._sidecars(lookup.packets[0].key) <= lookup.queried
        if finding is LookupOutcome.DENIED and not is_whole:
            finding = LookupOutcome.UNANSWERED
        findings = LookupResult(
            key=lookup.packets[0].key,
            outcome=finding,
            owner=owner,
            queried=len(lookup.queried),
            answered=len(lookup.answered),
            digest=self.view.digest,
            version=self.view.routes.version,
        )
        for balancer in balancers:
            self.ports.send(findings.encode(), balancer)
