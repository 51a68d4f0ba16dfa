"""Finding the owner of a flow for a balancer, among many sidecars."""

__all__ = ('Surveyor', 'SurveyorPorts')

from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.lookups import (
    Lookup,
    LookupPorts,
    OwnerLookups,
)
from dragonflyshift._internal.carried.messages import (
    Finding,
    Findings,
    Placement,
    Survey,
    Verdict,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    Pair,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.exceptions import WireError


@define(eq=False, repr=False)
class SurveyorPorts:
    """How a surveyor sends, and what it asks of its daemon.

    ``confirm_view()`` has the readers of the store tell what they hold.
    """

    send: Callable[[bytes, Pair], None]
    sidecar: Callable[[EndpointRecord], Pair]
    confirm_view: Callable[[], None]
    malformed: Callable[[WireError], None]


@define(eq=False, repr=False)
class Surveyor:
    """Ask all sidecars of a route's services, for balancers."""

    view: FleetView
    codec: PacketCodec
    ports: SurveyorPorts
    lookups: OwnerLookups = field(init=False)
    # Who wants to know the end; copies of a packet come through several.
    _balancers: dict[FlowKey, set[Pair]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Prepare the look-ups."""
        self.lookups = OwnerLookups(
            LookupPorts(
                self.ports.send,
                self.ports.confirm_view,
                self._denied,
                self._unanswered,
            ),
        )

    def on_message(
        self,
        now: float,
        message: Survey | Placement,
        pair: Pair,
    ) -> None:
        """Take a balancer's survey, or another sidecar's answer."""
        if isinstance(message, Survey):
            self._begin(now, message, pair)
        else:
            self._answered(now, message, pair)

    def _begin(self, now: float, message: Survey, balancer: Pair) -> None:
        try:
            packet = self.codec.from_client(message.raw)
        except WireError as exc:
            self.ports.malformed(exc)
            return
        sidecars = self._sidecars(packet.key)
        if not sidecars:
            lookup = Lookup(message.service, now, sidecars, [packet])
            self._tell(lookup, {balancer}, Finding.UNANSWERED)
            return
        self._balancers.setdefault(packet.key, set()).add(balancer)
        self.lookups.start(now, packet, message.service, sidecars)

    def _answered(
        self,
        now: float,
        message: Placement,
        pair: Pair,
    ) -> None:
        lookup = self.lookups.lookups.get(message.key)
        if lookup is None:
            return
        if message.verdict in {Verdict.OWNED, Verdict.ACCEPTED}:
            self.lookups.owned(message.key, pair)
            self._end(lookup, Finding.OWNED, pair[0])
        elif message.verdict is Verdict.UNSURE:
            self.lookups.unsure(now, message.key, pair)
        elif message.verdict is Verdict.NOT_OWNED:
            self.lookups.not_owned(now, message.key, pair)

    def tick(self, now: float) -> None:
        """Go on with look-ups that lack an answer."""
        self.lookups.tick(now)

    def has_waiting(self) -> bool:
        """Tell whether a look-up is under way."""
        return bool(self.lookups.lookups)

    def _sidecars(self, key: FlowKey) -> set[Pair]:
        route = self.view.routes.find(key)
        options = () if route is None else route.services
        return {
            self.ports.sidecar(record)
            for option in options
            for record in self.view.endpoints(option.name)
        }

    def _denied(self, _now: float, lookup: Lookup) -> None:
        self._end(lookup, Finding.DENIED)

    def _unanswered(self, lookup: Lookup) -> None:
        self._end(lookup, Finding.UNANSWERED)

    def _end(self, lookup: Lookup, finding: Finding, owner: str = '') -> None:
        balancers = self._balancers.pop(lookup.packets[0].key, set())
        self._tell(lookup, balancers, finding, owner)

    def _tell(
        self,
        lookup: Lookup,
        balancers: set[Pair],
        finding: Finding,
        owner: str = '',
    ) -> None:
        # A view that lost or gained sidecars meanwhile was not asked in full.
        is_whole = self._sidecars(lookup.packets[0].key) <= lookup.asked
        if finding is Finding.DENIED and not is_whole:
            finding = Finding.UNANSWERED
        findings = Findings(
            key=lookup.packets[0].key,
            finding=finding,
            owner=owner,
            asked=len(lookup.asked),
            answered=len(lookup.answered),
            digest=self.view.digest,
            version=self.view.routes.version,
        )
        for balancer in balancers:
            self.ports.send(findings.encode(), balancer)
