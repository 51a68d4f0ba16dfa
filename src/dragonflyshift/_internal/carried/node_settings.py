"""Settings of a daemon that carries flows."""

__all__ = ('NodeSettings',)

from attrs import field, frozen

from dragonflyshift._internal.carried.packet import SocketAddress


@frozen(kw_only=True, repr=False)
class NodeSettings:
    """Where a daemon stands, listens and looks.

    ``fabric`` takes clients' packets on a balancer. ``peers`` is the UDP and
    TCP address for other daemons. ``client_port`` is where clients' hosts
    take packets. ``backend`` and ``outbound`` are a sidecar's: where its
    server listens, and where that server sends its packets.
    ``stop_grace_s`` is the time from the stop signal to a kill.
    ``flow_lifetime_s`` is the age at which flows may be discarded.
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
    is_first_start: bool = False
    log_level: str = 'info'
    plugins: dict[str, str] = field(factory=dict)
