"""The platform's settings file."""

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
_MALFORMED = (ValueError, TypeError, LookupError, AttributeError)


def read_settings(path: str) -> NodeSettings:
    """Read the file; raise SettingsError when anything needed is off."""
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
    except _MALFORMED as exc:
        raise SettingsError(
            f'settings are malformed: {exc!r}',
            context=path,
        ) from exc


def _decode(body: dict[str, Any]) -> NodeSettings:
    listen = body['listenAddrs']
    inner_port = int(body['internalPorts'][0])
    # On a balancer the address where the fabric's packets come in; its port
    # is also the one where clients' hosts take packets.
    packets = _parse_address(listen['packetAddr'])
    is_edge = body['machineClass'] == 'edge'
    bounds = body.get('bounds') or {}
    platform = body.get('platform') or {}
    return NodeSettings(
        name=str(body['node']),
        data_center=str(body['zone']),
        regions={str(zone): str(at) for zone, at in body['zones'].items()},
        peers=(str(body['ip']), inner_port),
        readiness=_parse_address(listen['readiness']),
        client_port=packets[1],
        seeds=_seeds(body, inner_port),
        control=_parse_optional_address(listen.get('controlPlane')),
        fabric=packets if is_edge else None,
        service=str(body.get('service') or ''),
        # The backend server on the same machine.
        backend=_parse_optional_address(body.get('app')),
        outbound=_parse_optional_address(listen.get('outbound')),
        metrics_port=METRICS_PORT,
        store=_parse_optional_address(platform.get('address')),
        stop_grace_s=float(bounds.get('graceS', 6)),
        flow_lifetime_s=float(bounds.get('flowMaxS', 60)),
        is_first_start=body.get('bootstrap') is True,
    )


def _seeds(body: dict[str, Any], inner_port: int) -> tuple[SocketAddress, ...]:
    """Return the seeds at the port that daemons use among themselves."""
    own = str(body['ip'])
    hosts = [_parse_address(seed)[0] for seed in body.get('seeds') or ()]
    return tuple((host, inner_port) for host in hosts if host != own)


def _parse_optional_address(text: Any) -> SocketAddress | None:
    return _parse_address(text) if text else None


def _parse_address(text: Any) -> SocketAddress:
    host, _colon, port = str(text).rpartition(':')
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{text!r} is not an address')
    return (host, int(port))
