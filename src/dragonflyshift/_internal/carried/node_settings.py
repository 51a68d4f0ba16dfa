"""Settings of a balancer or sidecar of carried flows."""

__all__ = ('NodeSettings',)

from attrs import field, frozen

from dragonflyshift._internal.carried.packet import SocketAddress


@frozen(kw_only=True, repr=False)
class NodeSettings:
    """The location, addresses and limits of a daemon.

    ``regions`` maps data centres to their regions. ``peers`` is the UDP and
    TCP address of this daemon for other daemons, ``seeds`` are such addresses
    of daemons that it contacts at its start. ``readiness`` and ``control``
    are addresses of its HTTP pages, ``store`` is the store's.

    ``fabric`` is where a balancer receives clients' packets from the network,
    ``client_port`` the port at which clients' hosts receive packets. A
    sidecar has ``backend``, where its server listens, and ``outbound``, where
    that server sends its packets.

    ``stop_grace_s`` is the time from the stop signal until the process is
    killed. ``flow_lifetime_s`` is the age at which flows may be discarded.
    ``change_bound_s`` is the time within which a change that the store has
    acknowledged must be in force, the shortest such bound of all changes.
    ``detects_failures`` switches on the detection of servers that fail while
    their health checks pass.
    In any second a cold server gets at most ``warmup_overage`` times its
    warm-up rate and ``warmup_slack`` new flows more. ``has_warmup_bounds`` is
    whether the settings state these bounds, so that the configuration is
    expected to have warm-up rates.
    """

    name: str
    data_center: str
    regions: dict[str, str]
    peers: SocketAddress
    readiness: SocketAddress
    client_port: int
    seeds: tuple[SocketAddress, ...] = ()
    control: SocketAddress | None = None
    fabric: SocketAddress | None = None
    service: str = ''
    backend: SocketAddress | None = None
    outbound: SocketAddress | None = None
    metrics_port: int = 0
    store: SocketAddress | None = None
    stop_grace_s: float = 6.0
    flow_lifetime_s: float = 60.0
    change_bound_s: float = 3.0
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0
    has_warmup_bounds: bool = False
    is_first_start: bool = False
    detects_failures: bool = False
    log_level: str = 'info'
    plugins: dict[str, str] = field(factory=dict)
