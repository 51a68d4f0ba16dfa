"""Decoding of the platform's settings file."""

__all__ = ('read_settings',)

import json
from typing import Any

from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift.platform.binding import SETTINGS_VARIABLE

# The port of the metrics address in deploy/system.toml.
METRICS_PORT = 9464
MAX_PORT = 65535
# The bounds for a change of the configuration, for an endpoint that leaves, and
# for an evacuation, in milliseconds.
_CHANGE_BOUNDS = ('configApplyMs', 'drainMs', 'evacuateMs')
DEFAULT_CHANGE_BOUND_MS = 3000
MIN_CHANGE_BOUND_S = 0.1
MS_PER_S = 1000
_WARMUP_BOUNDS = frozenset(('warmupOverage', 'warmupSlack'))
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def read_settings(path: str) -> NodeSettings:
    """Read the settings; raise SettingsError if they are not usable."""
    try:
        with open(path, 'rb') as settings:
            raw = settings.read()
    except OSError as exc:
        raise SettingsError(
            f'can not read the settings: {exc.strerror}',
            context=path,
            hint=f'{SETTINGS_VARIABLE} names the settings file',
        ) from exc
    try:
        return _decode(json.loads(raw))
    except _DECODE_ERRORS as exc:
        raise SettingsError(
            f'settings are malformed: {exc!r}',
            context=path,
        ) from exc


def _decode(body: dict[str, Any]) -> NodeSettings:
    listen = body['listenAddrs']
    peer_port = int(body['internalPorts'][0])
    # On a balancer this is the address at which clients' packets arrive. On
    # all daemons its port is also that at which clients' hosts receive packets.
    packets = _parse_address(listen['packetAddr'])
    # The platform runs balancers on machines of the class edge.
    is_edge = body['machineClass'] == 'edge'
    bounds = body.get('bounds') or {}
    platform = body.get('platform') or {}
    # The part of the platform's rules for servers that fail behind their health
    # checks, flap, or return by the dozen.
    expects_failing_servers = 'health' in (body.get('contracts') or ())
    return NodeSettings(
        name=str(body['node']),
        data_center=str(body['zone']),
        regions={str(zone): str(at) for zone, at in body['zones'].items()},
        peers=(str(body['ip']), peer_port),
        readiness=_parse_address(listen['readiness']),
        client_port=packets[1],
        seeds=_seeds(body, peer_port),
        control=_parse_optional_address(listen.get('controlPlane')),
        fabric=packets if is_edge else None,
        service=str(body.get('service') or ''),
        # The platform's name for the backend server on the same machine.
        backend=_parse_optional_address(body.get('app')),
        outbound=_parse_optional_address(listen.get('outbound')),
        metrics_port=METRICS_PORT,
        store=_parse_optional_address(platform.get('address')),
        stop_grace_s=float(bounds.get('graceS', 6)),
        flow_lifetime_s=float(bounds.get('flowMaxS', 60)),
        change_bound_s=_change_bound_s(bounds),
        warmup_overage=_non_negative(bounds.get('warmupOverage', 1.5)),
        warmup_slack=_non_negative(bounds.get('warmupSlack', 5)),
        has_warmup_bounds=not _WARMUP_BOUNDS.isdisjoint(bounds),
        is_first_start=body.get('bootstrap') is True,
        detects_failures=expects_failing_servers,
        plugins=_plugins(body),
    )


def _change_bound_s(bounds: dict[str, Any]) -> float:
    """Return the shortest bound for a change in seconds."""
    stated = [
        _non_negative(bounds[name]) for name in _CHANGE_BOUNDS if name in bounds
    ]
    bound_ms = min(stated, default=DEFAULT_CHANGE_BOUND_MS)
    return max(MIN_CHANGE_BOUND_S, bound_ms / MS_PER_S)


def _plugins(body: dict[str, Any]) -> dict[str, str]:
    """Return the chosen plug-ins, by kind."""
    plugins = body.get('plugins') or {}
    return {str(kind): str(name) for kind, name in plugins.items()}


def _seeds(body: dict[str, Any], peer_port: int) -> tuple[SocketAddress, ...]:
    """Return the seeds with the port at which daemons listen for each other.

    The daemon's own address is left out.
    """
    own = str(body['ip'])
    hosts = [_parse_address(seed)[0] for seed in body.get('seeds') or ()]
    return tuple((host, peer_port) for host in hosts if host != own)


def _non_negative(value: Any) -> float:
    number = float(value)
    # A comparison with a value that is not a number is false.
    if number >= 0:
        return number
    raise ValueError(f'bound {value!r} is negative or not a number')


def _parse_optional_address(text: Any) -> SocketAddress | None:
    return _parse_address(text) if text else None


def _parse_address(text: Any) -> SocketAddress:
    host, _colon, port = str(text).rpartition(':')
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{text!r} is not an address of the form host:port')
    return (host, int(port))
