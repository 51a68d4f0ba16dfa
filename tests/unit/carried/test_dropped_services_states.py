"""Tests lookups over drops of services, restarts and foreign entries.

A filter of entries that is too narrow resets open flows of living servers; one
that is too wide lets other writers stop the resets of flows of ended ones.
"""

from operator import attrgetter

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dragonflyshift._internal.carried.balancer.forwarder import FlowForwarder
from dragonflyshift._internal.carried.fleet.peers import SIDECAR_TIMEOUT_S
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.lookups import UNPROVEN_SERVER_S
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.routes import RouteTable
from tests.lib.carried import (
    ACK,
    Outbox,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_routes,
    sidecar_address,
)

# A flow of an ended server is reset within so many lookups, one each 0.4 s.
_MAX_LOOKUPS = int(UNPROVEN_SERVER_S / 0.4) + 3
_FOREIGN = 'watch'


class _Clock:
    """A clock that is set by hand."""

    now: float = 0

    def __call__(self) -> float:
        return self.now


class _Server:
    """A server with its sidecar, as lookups see them."""

    def __init__(self, number: int, service: str) -> None:
        self.record = build_record(number, service=service)
        self.is_alive = True
        self.is_restarted = False
        self.down_until: float = 0
        self.holds_flow = False
        # The server has bounced a probe of the flow.
        self.has_bounced = False


class DroppedServicesMachine(RuleBasedStateMachine):
    """Drops, returns, restarts and foreign entries in any order.

    One flow is open at most. A lookup goes on with a retransmission each 0.4 s.
    """

    @initialize()
    def begin(self) -> None:
        """Start with two services."""
        self.clock = _Clock()
        self.clock.now = 1000
        self.revision = 10
        self.version = 1
        self.servers = [_Server(1, 'one'), _Server(2, 'one'), _Server(3, 'two')]
        self.named = {'one', 'two'}
        self.route = 'one'
        self.entries = {srv.record.name: srv.record for srv in self.servers}
        self.opened_at: float | None = None
        self.flows = 0
        self.was_reset = False
        self._start_balancer()

    @rule()
    def drop_a_service(self) -> None:
        """Lead the route elsewhere, and no longer name the former service."""
        former = self.route
        self.route = 'two' if former == 'one' else 'one'
        self.named = {self.route}
        self._publish()

    @rule()
    def name_both(self) -> None:
        """Name both services again."""
        self.named = {'one', 'two'}
        self._publish()

    @rule(seconds=st.sampled_from((0.3, 2, 6, 40)))
    def pass_time(self, seconds: float) -> None:
        """Let time pass; flows older than a minute don't count."""
        self.clock.now += seconds
        if self._flow_age() > 60:
            self._forget_flow()

    @rule()
    def restart_balancer(self) -> None:
        """Start the balancer without a view."""
        self._start_balancer()

    @rule(index=st.integers(0, 2))
    def restart_sidecar(self, index: int) -> None:
        """Restart a sidecar, which is away for a second."""
        server = self.servers[index]
        server.is_restarted = True
        server.down_until = self.clock.now + 1

    @rule(number=st.integers(20, 29))
    def write_foreign_entry(self, number: int) -> None:
        """Write an entry of another service where nobody answers."""
        self.revision += 1
        record = build_record(number, service=_FOREIGN, revision=self.revision)
        self.entries[record.name] = record
        self.view.apply(ViewUpdate(1, self.revision, (record,)))

    @precondition(attrgetter('has_no_flow'))
    @rule()
    def open_flow(self) -> None:
        """Open a flow at a server of the route."""
        for server in self.servers:
            if server.record.service == self.route and server.is_alive:
                server.holds_flow = True
                self.opened_at = self.clock.now
                self.flows += 1
                self.was_reset = False
                return

    @precondition(attrgetter('has_flow'))
    @rule()
    def end_server_of_the_flow(self) -> None:
        """End the server; its entry is removed.

        The last server stays, as a view without any proves nothing.
        """
        if sum(server.is_alive for server in self.servers) == 1:
            return
        for server in self.servers:
            if server.holds_flow and server.is_alive:
                server.is_alive = False
                self.revision += 1
                name = server.record.name
                self.entries.pop(name)
                removed = ((name, self.revision),)
                self.view.apply(ViewUpdate(1, self.revision, removed=removed))

    @precondition(attrgetter('has_flow'))
    @rule()
    def send_on_the_flow(self) -> None:
        """Send a packet through the balancer, which lost its cache."""
        self.forwarder.owner_cache.clear()
        owner = self._holder()
        for _ in range(_MAX_LOOKUPS):
            if self._look_up() or self.was_reset:
                break
        if owner is None:
            assert self.was_reset or self._is_prevented(), 'flow was not reset'
            self._forget_flow()
        elif self.was_reset:
            self.denied_live_flow = True

    @property
    def has_flow(self) -> bool:
        """Whether a flow is open."""
        return self.opened_at is not None

    @property
    def has_no_flow(self) -> bool:
        """Whether no flow is open."""
        return self.opened_at is None

    @invariant()
    def no_open_flow_is_denied(self) -> None:
        """Check that no flow of a live server was reset."""
        assert not getattr(self, 'denied_live_flow', False)

    def _start_balancer(self) -> None:
        self.view = FleetView()
        self.view.clock = self.clock
        self.view.route_history.since = self.clock.now
        self.view.is_answering = self._is_answering
        self.outbox = Outbox()
        self.view.apply(
            ViewUpdate(
                0,
                self.revision,
                tuple(self.entries.values()),
                routes=self._routes(),
            )
        )
        self.forwarder: FlowForwarder = build_forwarder(self.view, self.outbox)

    def _routes(self) -> RouteTable:
        table = build_routes(self.version)
        for address, route in tuple(table.routes.items()):
            service = evolve(route.services[0], name=self.route)
            table.routes[address] = evolve(route, services=(service,))
        return evolve(table, services=frozenset(self.named))

    def _publish(self) -> None:
        self.version += 1
        self.revision += 1
        self.view.apply(ViewUpdate(1, self.revision, routes=self._routes()))

    def _holder(self) -> _Server | None:
        for server in self.servers:
            if server.holds_flow and server.is_alive:
                return server
        return None

    def _is_prevented(self) -> bool:
        """Return whether a reset waits for a restarted sidecar.

        An older view sends no probes to servers of other services.
        """
        is_old = self.view.route_history.is_complete(self.clock.now)
        return is_old and any(srv.is_restarted for srv in self._running())

    def _flow_age(self) -> float:
        return 0 if self.opened_at is None else self.clock.now - self.opened_at

    def _forget_flow(self) -> None:
        self.opened_at = None
        for server in self.servers:
            server.holds_flow = False
            server.has_bounced = False

    def _is_answering(self, host: str) -> bool:
        """Return whether a sidecar has reported itself lately.

        It is asked every other second, and is away for one.
        """
        return any(
            server.record.host == host
            and (
                self.clock.now >= server.down_until
                or self.clock.now < server.down_until + SIDECAR_TIMEOUT_S - 3
            )
            for server in self.servers
        )

    def _running(self) -> list[_Server]:
        return [
            server
            for server in self.servers
            if server.is_alive and self.clock.now >= server.down_until
        ]

    def _look_up(self) -> bool:
        """Send the packet once; return whether its owner got it."""
        self.outbox.clear()
        data = build_packet(
            build_key(self.flows), ACK, acknowledged=7000, payload=b'GET /'
        )
        self.forwarder.on_client_packet(self.clock.now, data)
        for _ in range(20):
            if self._answer_all():
                return True
            self.clock.now += 0.02
            self.forwarder.tick(self.clock.now)
            if self.outbox.to_client:
                self.was_reset = True
                return False
        return False

    def _answer_all(self) -> bool:
        """Reply to queries and probes; return whether the owner got one."""
        while self.outbox.to_daemon:
            message, address = self.outbox.to_daemon.pop(0)
            server = next(
                (
                    srv
                    for srv in self._running()
                    if sidecar_address(srv.record) == address
                ),
                None,
            )
            if server is None:
                continue
            if isinstance(message, OwnershipQuery):
                self._reply(address, _status(server))
            elif isinstance(message, ForwardedPacket):
                if server.holds_flow:
                    self._reply(address, FlowStatus.OWNED)
                    return True
                server.has_bounced = True
                self._reply(address, FlowStatus.NOT_OWNED)
        return False

    def _reply(self, address: SocketAddress, status: FlowStatus) -> None:
        reply = FlowReply(build_key(self.flows), status, build_load())
        self.forwarder.on_flow_reply(self.clock.now, reply, address)


def _status(server: _Server) -> FlowStatus:
    """Return a sidecar's reply; after a restart it has to probe its server."""
    if server.is_restarted and not server.has_bounced:
        return FlowStatus.UNSURE
    return FlowStatus.OWNED if server.holds_flow else FlowStatus.NOT_OWNED


DroppedServicesMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)
DroppedServicesTest = DroppedServicesMachine.TestCase
